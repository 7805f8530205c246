package history

import (
	"context"
	"errors"
	"fmt"
	"time"

	"fennelshunt.example/fennelshunt/connection/store"
)

const (
	// collectTimeout bounds one collection. It may be interrupted at any point: a
	// later sweep finds what is left.
	collectTimeout = time.Minute
	// sweepPrefixes is the number of key ranges in which all chunks are swept in
	// turn, to find chunks that no segment names, such as those of an apply that
	// lost the compare-and-swap.
	sweepPrefixes = 256
)

// rotation describes the move of a segment out of the head.
type rotation struct {
	number uint64 // of the segment
	// before is the index that the rotation replaced, changes those since.
	before  Blob
	changes []Change
}

// announceRotation notifies Serve that the segment at the end of head was moved out
// of it. The notification is dropped if Serve is busy: a later sweep finds the chunks.
func (h *History) announceRotation(head *Head) {
	r := rotation{number: segmentOf(head.Version), before: head.Index, changes: head.Recent[len(head.Recent)-SegmentLength:]}
	select {
	case h.rotated <- r:
	default:
	}
}

// Serve deletes, until ctx ends, what applies on this daemon have left behind: record
// segments beyond those kept, and chunks that no file in force references any more. It
// implements suture.Service.
func (h *History) Serve(ctx context.Context) error {
	// Content is collected one rotation late, so that a reader with a slightly older
	// head still finds the chunks that it names.
	var earlier rotation
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case r := <-h.rotated:
			if err := h.collect(ctx, earlier, r.number); err != nil && ctx.Err() == nil {
				h.log.Warn().Err(err).Uint64("segment", r.number).Msg("deleting old segments and chunks failed; later sweeps find the chunks, but segments may remain")
			}
			earlier = r
		}
	}
}

// collect deletes what rotation r made obsolete. It is called after the next rotation,
// which moved the segment with the given number out of the head.
func (h *History) collect(ctx context.Context, r rotation, number uint64) error {
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

// dropSegments deletes the segments that are no longer kept, the latest first, until
// it finds that an earlier collection has deleted the rest.
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
		if err := h.handle.Delete(ctx, segmentKey(n), item.Revision); err != nil && !deletedOrChanged(err) {
			return fmt.Errorf("drop segment: %w", err)
		}
	}
	return nil
}

// deletedOrChanged reports whether err means that another process deleted or rewrote
// a key first.
func deletedOrChanged(err error) bool {
	return errors.Is(err, store.ErrNotFound) || errors.Is(err, store.ErrConflict)
}

// candidates returns the chunks that may be unreferenced, with the revisions that were
// read: those that the rotation replaced, and one of the sweepPrefixes ranges of all.
func (h *History) candidates(ctx context.Context, r rotation, number uint64) (map[Hash]store.Revision, error) {
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

// replaced returns the content that a rotation may have left unreferenced: the index
// before it, the content that the files changed since had in that index, and the
// content added since.
func (h *History) replaced(ctx context.Context, r rotation) ([]Blob, error) {
	if len(r.before.Chunks) == 0 {
		return nil, nil
	}
	x, err := readIndex(ctx, &Head{Index: r.before}, h.source)
	if errors.Is(err, ErrNoChunk) {
		return nil, nil // another collector has deleted it
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

// findChunks adds to found the chunks of blobs that are still in the store and that the
// latest snapshot known on this daemon does not reference.
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
// An apply may name such a chunk at the same time. If the chunk were deleted, the new
// version would be in force without its content, and daemons that fetch it would fail
// with ErrNoChunk and keep an earlier version. The order of steps prevents that: found
// holds revisions that were read before the head; then the head is swapped with a
// higher Sweep, so that every apply fails that read the head before; such an apply
// detects the higher Sweep and writes its chunks again, which raises their revisions;
// and only the revision in found is deleted. A collector that is suspended for any
// time in between deletes nothing that was written again.
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
			if deletedOrChanged(err) {
				continue
			}
			return fmt.Errorf("delete chunk: %w", err)
		}
		h.count(func(s *Stats) { s.Collected++ })
	}
	return nil
}
