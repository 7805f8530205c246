package history

import (
	"context"
	"errors"
	"fmt"
	"time"

	"fennelshunt.example/fennelshunt/connection/store"
)

const (
	// collectTimeout bounds one collection. Nothing is lost when it is cut
	// short: what stays is found by a later sweep.
	collectTimeout = time.Minute
	// sweepPrefixes is the number of parts in which all chunks are swept for
	// those that no segment tells of, such as an apply's that lost its race.
	sweepPrefixes = 256
)

// roll is the move of a segment out of the head.
type roll struct {
	number uint64 // of the segment
	// before is the index that the roll replaced, changes those since.
	before  Blob
	changes []Change
}

// announceRoll tells Serve that the segment at the end of head was moved out of
// it. A roll that finds Serve busy is skipped: the sweep finds its chunks later.
func (h *History) announceRoll(head *Head) {
	r := roll{number: segmentOf(head.Version), before: head.Index, changes: head.Recent[len(head.Recent)-SegmentLength:]}
	select {
	case h.rolled <- r:
	default:
	}
}

// Serve collects what applies made here leave behind, until ctx ends: record
// segments beyond those kept and chunks that no file in force has any more. It
// implements suture's service.
func (h *History) Serve(ctx context.Context) error {
	// Content is collected one roll late, so that a reader with a head of a
	// moment ago still finds what it names.
	var earlier roll
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case r := <-h.rolled:
			if err := h.collect(ctx, earlier, r.number); err != nil && ctx.Err() == nil {
				h.log.Warn().Err(err).Uint64("segment", r.number).Msg("collection put off")
			}
			earlier = r
		}
	}
}

// collect cleans up after a roll, when segment number has been rolled since.
func (h *History) collect(ctx context.Context, r roll, number uint64) error {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	if err := h.dropSegments(ctx, number); err != nil {
		return err
	}
	found, err := h.candidates(ctx, r, number)
	if err != nil {
		return err
	}
	return h.collectChunks(ctx, found)
}

// dropSegments deletes the segments that are no longer kept, the latest first,
// back to where an earlier collector has been.
func (h *History) dropSegments(ctx context.Context, number uint64) error {
	missing := 0
	for n := number - min(number, h.keep/SegmentLength); n > 0 && missing < 2; n-- {
		item, err := h.handle.Get(ctx, segmentKey(n))
		if errors.Is(err, store.ErrNotFound) {
			missing++
			continue
		}
		if err != nil {
			return fmt.Errorf("read segment: %w", err)
		}
		if err := h.handle.Delete(ctx, segmentKey(n), item.Revision); err != nil && !gone(err) {
			return fmt.Errorf("drop segment: %w", err)
		}
	}
	return nil
}

// gone reports that somebody else deleted or rewrote a key first.
func gone(err error) bool {
	return errors.Is(err, store.ErrNotFound) || errors.Is(err, store.ErrConflict)
}

// candidates returns the chunks that may be unreferenced, with the revisions
// that were seen: what the roll replaced, and one part of all.
func (h *History) candidates(ctx context.Context, r roll, number uint64) (map[Hash]store.Revision, error) {
	found := make(map[Hash]store.Revision)
	replaced, err := h.replaced(ctx, r)
	if err != nil {
		return nil, err
	}
	if err := h.findChunks(ctx, replaced, found); err != nil {
		return nil, err
	}
	items, _, err := h.handle.List(ctx, fmt.Sprintf("%s%02x", prefixChunk, number%sweepPrefixes))
	if err != nil {
		return nil, fmt.Errorf("sweep: %w", err)
	}
	for _, item := range items {
		if hash, ok := parseChunkKey(item.Key); ok {
			found[hash] = item.Revision
		}
	}
	return found, nil
}

// replaced returns what a roll may have left unreferenced: the index before it,
// the content that the files changed since had in that index, and the content
// that came since.
func (h *History) replaced(ctx context.Context, r roll) ([]Blob, error) {
	if len(r.before.Chunks) == 0 {
		return nil, nil
	}
	x, err := readIndex(ctx, &Head{Index: r.before}, h.source)
	if errors.Is(err, ErrNoChunk) {
		return nil, nil // another collector was here
	}
	if err != nil {
		return nil, err
	}
	blobs := []Blob{r.before}
	changed := make(map[string]bool, len(r.changes))
	for _, c := range r.changes {
		changed[c.File] = true
		blobs = append(blobs, c.Content)
	}
	for _, c := range x.Files {
		if changed[c.File] {
			blobs = append(blobs, c.Content)
		}
	}
	return blobs, nil
}

// findChunks adds the chunks of blobs that are still in the store and that the
// snapshot known here does not have.
func (h *History) findChunks(ctx context.Context, blobs []Blob, found map[Hash]store.Revision) error {
	referenced := h.known.Load().referenced()
	for _, blob := range blobs {
		for _, hash := range blob.Chunks {
			if referenced[hash] {
				continue
			}
			item, err := h.handle.Get(ctx, chunkKey(hash))
			if errors.Is(err, store.ErrNotFound) {
				continue
			}
			if err != nil {
				return fmt.Errorf("look up chunk: %w", err)
			}
			found[hash] = item.Revision
		}
	}
	return nil
}

// referenced returns the chunks of all files of s.
func (s *Snapshot) referenced() map[Hash]bool {
	hashes := make(map[Hash]bool)
	for _, d := range s.documents {
		for _, hash := range d.Change.Content.Chunks {
			hashes[hash] = true
		}
	}
	return hashes
}

// collectChunks deletes those of found that the head does not name.
//
// The hazard is an apply that names such a chunk at the same time: it would be
// in force without its content, and no daemon could take it. It would show as
// daemons that stay behind with "no such chunk". The order of steps prevents
// it: found holds revisions that were seen before the head is read; then the
// head is swapped with a higher Sweep, which makes every apply fail that read
// the head before; such an apply sees the higher Sweep and writes its chunks
// again, which raises their revisions; and only the revision in found is
// deleted. A collector that was paused for any time in between deletes nothing
// that was written again.
func (h *History) collectChunks(ctx context.Context, found map[Hash]store.Revision) error {
	for {
		s, err := h.read(ctx)
		if err != nil {
			return err
		}
		for hash := range s.snapshot.referenced() {
			delete(found, hash)
		}
		for _, hash := range s.head.Index.Chunks {
			delete(found, hash)
		}
		if len(found) == 0 {
			return nil
		}
		next := *s.head
		next.Sweep++
		data, err := encodeHead(&next)
		if err != nil {
			return err
		}
		if _, err = h.handle.Swap(ctx, KeyHead, data, s.revision, 0); err == nil {
			return h.deleteChunks(ctx, found)
		}
		if !errors.Is(err, store.ErrConflict) {
			return fmt.Errorf("announce sweep: %w", err)
		}
	}
}

func (h *History) deleteChunks(ctx context.Context, found map[Hash]store.Revision) error {
	for hash, revision := range found {
		if err := h.handle.Delete(ctx, chunkKey(hash), revision); err != nil {
			if gone(err) {
				continue
			}
			return fmt.Errorf("delete chunk: %w", err)
		}
		h.count(func(s *Stats) { s.Collected++ })
	}
	return nil
}
