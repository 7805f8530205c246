package history

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"fennelshunt.example/fennelshunt/connection/store"
)

// segment holds SegmentLength changes that were moved out of the head.
type segment struct {
	Changes []Change `cbor:"1,keyasint,omitempty"`
}

// segmentOf returns the number of the segment that holds a version, from 1.
func segmentOf(version uint64) uint64 { return (version + SegmentLength - 1) / SegmentLength }

func segmentKey(number uint64) string { return fmt.Sprintf("%s%016x", prefixRecord, number) }

// rotate writes the changes since the index into a segment of the record, and the
// current index into chunks. It changes nothing that is in force: both take effect
// only once a head names the index. A segment's content is determined by the head
// it is taken from, so concurrent writers write the same.
func (h *History) rotate(ctx context.Context, s *state) (Blob, error) {
	if s.head.Version%SegmentLength != 0 {
		return Blob{}, fmt.Errorf("history: rotation at version %d, which ends no segment", s.head.Version)
	}
	changes := s.head.Recent[len(s.head.Recent)-SegmentLength:]
	data, err := encoder.Marshal(segment{Changes: changes})
	if err != nil {
		return Blob{}, fmt.Errorf("encode segment: %w", err)
	}
	_, err = h.handle.Swap(ctx, segmentKey(segmentOf(s.head.Version)), data, 0, 0)
	if err != nil && !errors.Is(err, store.ErrConflict) {
		return Blob{}, fmt.Errorf("write segment: %w", err)
	}
	return h.writeIndex(ctx, s)
}

// writeIndex writes the index of s into chunks.
func (h *History) writeIndex(ctx context.Context, s *state) (Blob, error) {
	data, err := encoder.Marshal(s.snapshot.index())
	if err != nil {
		return Blob{}, fmt.Errorf("encode index: %w", err)
	}
	blob, chunks, err := split(data)
	if err != nil {
		return Blob{}, err
	}
	for _, c := range chunks {
		if err := writeChunk(ctx, h.handle, c); err != nil {
			return Blob{}, err
		}
	}
	return blob, nil
}

// readSegment returns the changes of a segment; none if it is no longer kept.
func readSegment(ctx context.Context, handle *store.Handle, number uint64) ([]Change, error) {
	item, err := handle.Get(ctx, segmentKey(number))
	if errors.Is(err, store.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return decodeSegment(item.Data, number)
}

func decodeSegment(data []byte, number uint64) ([]Change, error) {
	var s segment
	if err := decoder.Unmarshal(data, &s); err != nil {
		return nil, fmt.Errorf("%w: segment %d: %w", ErrCorrupt, number, err)
	}
	if len(s.Changes) != SegmentLength {
		return nil, fmt.Errorf("%w: segment %d of %d changes", ErrCorrupt, number, len(s.Changes))
	}
	if err := checkRun(s.Changes, (number-1)*SegmentLength+1); err != nil {
		return nil, fmt.Errorf("%w: segment %d: %w", ErrCorrupt, number, err)
	}
	return s.Changes, nil
}

// changeAt returns the change of one version. found is false if the head has not
// reached that version.
func changeAt(ctx context.Context, handle *store.Handle, version uint64) (change Change, found bool, err error) {
	head, _, err := readHead(ctx, handle)
	if err != nil {
		return Change{}, false, err
	}
	if version > head.Version {
		return Change{}, false, nil
	}
	if c, ok := head.change(version); ok {
		return c, true, nil
	}
	changes, err := readSegment(ctx, handle, segmentOf(version))
	if err != nil {
		return Change{}, false, err
	}
	if len(changes) == 0 {
		return Change{}, false, fmt.Errorf("history: the change of version %d is no longer retained", version)
	}
	return changes[(version-1)%SegmentLength], true, nil
}

// List returns up to limit changes below version before (0: the latest), the
// latest first. Changes that are no longer retained are left out.
func (h *History) List(ctx context.Context, before uint64, limit int) ([]Change, error) {
	head, _, err := readHead(ctx, h.handle)
	if err != nil {
		return nil, fmt.Errorf("read history: %w", err)
	}
	version := head.Version
	if before > 0 {
		version = min(version, before-1)
	}
	var changes []Change
	for version > 0 && len(changes) < limit {
		run, err := h.runUpTo(ctx, head, version)
		if err != nil {
			return nil, fmt.Errorf("read history: %w", err)
		}
		if len(run) == 0 {
			break
		}
		slices.Reverse(run)
		changes = append(changes, run...)
		version -= uint64(len(run))
	}
	return changes[:min(limit, len(changes))], nil
}

// runUpTo returns consecutive changes that end with version, from one record.
func (h *History) runUpTo(ctx context.Context, head *Head, version uint64) ([]Change, error) {
	if version >= head.oldest() {
		return slices.Clone(head.Recent[:version-head.oldest()+1]), nil
	}
	run, err := readSegment(ctx, h.handle, segmentOf(version))
	if err != nil || len(run) == 0 {
		return nil, err
	}
	return run[:(version-1)%SegmentLength+1], nil
}
