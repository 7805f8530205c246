package history

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/version/spec"
)

// DefaultKeep is how many versions the record keeps by default: one day at 40,000
// changes per day.
const DefaultKeep = 40960

// History applies files and reads what was applied. It is safe for concurrent
// use, and any number of daemons may use the same store.
type History struct {
	handle *store.Handle
	source Chunks
	keep   uint64
	log    zerolog.Logger
	known  atomic.Pointer[Snapshot]
	// applying admits one Apply at a time: several would only lose the
	// compare-and-swap to each other.
	applying chan struct{}
	// rotated receives the segments that were moved out of the head.
	rotated chan rotation

	mu    sync.Mutex
	stats Stats
}

// Stats counts the operations of a History since it was created.
type Stats struct {
	Applied    uint64 `json:"applied"`
	Unchanged  uint64 `json:"unchanged"`
	Conflicts  uint64 `json:"conflicts"`
	RacesLost  uint64 `json:"races_lost"` // compare-and-swaps repeated
	Resolved   uint64 `json:"resolved"`   // lost answers resolved by reading back
	Unresolved uint64 `json:"unresolved"`
	Collected  uint64 `json:"collected"` // chunks deleted
}

// Option changes a History.
type Option func(*History)

// WithKeep sets how many versions the record keeps; at least 2*SegmentLength are kept.
func WithKeep(versions uint64) Option {
	return func(h *History) { h.keep = max(versions, 2*SegmentLength) }
}

// WithLog sets the logger.
func WithLog(log zerolog.Logger) Option { return func(h *History) { h.log = log } }

// New returns a History over the store.
func New(handle *store.Handle, options ...Option) *History {
	h := &History{
		handle:   handle,
		source:   StoreChunks{handle},
		keep:     DefaultKeep,
		log:      zerolog.Nop(),
		applying: make(chan struct{}, 1),
		rotated:  make(chan rotation, 1),
	}
	for _, o := range options {
		o(h)
	}
	h.known.Store(Empty())
	return h
}

// Offer passes to the History a snapshot that was fetched elsewhere, so that it
// need not fetch the same content itself.
func (h *History) Offer(s *Snapshot) {
	for {
		known := h.known.Load()
		if s.Version <= known.Version || h.known.CompareAndSwap(known, s) {
			return
		}
	}
}

// Stats returns the counters.
func (h *History) Stats() Stats {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stats
}

func (h *History) count(f func(*Stats)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f(&h.stats)
}

// state is a head that was read, with its snapshot.
type state struct {
	head     *Head
	revision store.Revision
	snapshot *Snapshot
}

// maxReads bounds how often read is retried because content of the head was replaced
// and collected before it could be read.
const maxReads = 5

// read returns the current state in the store.
func (h *History) read(ctx context.Context) (*state, error) {
	var err error
	for range maxReads {
		var s *state
		if s, err = h.readOnce(ctx); !errors.Is(err, ErrNoChunk) {
			return s, err
		}
	}
	return nil, err
}

func (h *History) readOnce(ctx context.Context) (*state, error) {
	// Loaded before the head is read: a version received from a peer while the answer
	// is in flight may be later than that answer although the store was not reset.
	known := h.known.Load()
	head, revision, err := readHead(ctx, h.handle)
	if err != nil {
		return nil, err
	}
	s := &state{head: head, revision: revision, snapshot: known}
	if s.snapshot.Version > head.Version {
		// The store was reset to an earlier state, or this daemon's state is wrong.
		// Continuing would assign a version number twice, and daemons that have the
		// higher version would never accept the new one.
		return nil, fmt.Errorf("history: the store is at version %d, but version %d is in force; restore the store", head.Version, s.snapshot.Version)
	}
	if s.snapshot.Version == head.Version {
		return s, nil
	}
	update, err := s.snapshot.UpdateFrom(ctx, head, h.source)
	if err != nil {
		return nil, err
	}
	if s.snapshot, err = s.snapshot.Advance(ctx, update, h.source); err != nil {
		return nil, err
	}
	h.Offer(s.snapshot)
	return s, nil
}

// readHead returns the head, an empty one if there was no apply yet.
func readHead(ctx context.Context, handle *store.Handle) (*Head, store.Revision, error) {
	item, err := handle.Get(ctx, KeyHead)
	if errors.Is(err, store.ErrNotFound) {
		return new(Head), 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	head, err := DecodeHead(item.Data)
	return head, item.Revision, err
}

// Current returns the latest version, read from the store.
func (h *History) Current(ctx context.Context) (*Snapshot, error) {
	s, err := h.read(ctx)
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	return s.snapshot, nil
}

// Version returns the number of the latest version, read from the store; 0 if
// there was no apply yet.
func (h *History) Version(ctx context.Context) (uint64, error) {
	head, _, err := readHead(ctx, h.handle)
	if err != nil {
		return 0, fmt.Errorf("read configuration: %w", err)
	}
	return head.Version, nil
}

// Check reports whether file could be applied on base now: the error is the one
// that ApplyAs would return.
func (h *History) Check(ctx context.Context, file *spec.File, base uint64, by By) error {
	s, err := h.read(ctx)
	if err != nil {
		return fmt.Errorf("read configuration: %w", err)
	}
	_, err = plan(s, file, base, by)
	return err
}
