// Package kv is a stand-in for the platform's key-value service: an in-memory
// engine with compare-and-swap, transactions, leases and watches, injectable faults,
// and a handler that serves it over HTTP+JSON.
//
// Time is read with the time package, so that an engine created in a
// testing/synctest bubble uses the bubble's virtual time.
package kv

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/btree"

	"fennelshunt.example/fennelshunt/connection/store"
)

const (
	// historySize is the number of events that are kept for watches.
	historySize = 4096
	treeDegree  = 32
	defaultSeed = 1
)

// Memory is the engine. It is safe for concurrent use.
type Memory struct {
	mu        sync.Mutex
	rev       store.Revision
	entries   *btree.BTreeG[store.Entry]
	history   []store.Event  // by ascending revision
	compacted store.Revision // events up to this revision are dropped
	changed   chan struct{}  // closed and replaced at each event
	leases    map[store.LeaseID]*lease
	lastLease store.LeaseID

	faults   Faults
	limit    *rateLimit
	released chan struct{} // closed and replaced when the faults change
	rng      *rand.Rand
	counts   Counts
}

var _ store.Store = (*Memory)(nil)

// New returns an empty engine without faults.
func New() *Memory { return NewSeeded(defaultSeed) }

// NewSeeded returns an empty engine whose random faults are drawn from seed.
func NewSeeded(seed uint64) *Memory {
	return &Memory{
		entries:  btree.NewG(treeDegree, func(a, b store.Entry) bool { return a.Key < b.Key }),
		changed:  make(chan struct{}),
		leases:   make(map[store.LeaseID]*lease),
		released: make(chan struct{}),
		rng:      rand.New(rand.NewPCG(seed, seed)),
	}
}

// Get implements store.Store.
func (m *Memory) Get(ctx context.Context, key string) (store.Entry, error) {
	var found store.Entry
	err := m.call(ctx, callGet, func() error {
		e, ok := m.entries.Get(store.Entry{Key: key})
		if !ok {
			return fmt.Errorf("get %s: %w", key, store.ErrNotFound)
		}
		found = e
		return nil
	})
	return found, err
}

// List implements store.Store.
func (m *Memory) List(ctx context.Context, prefix string) ([]store.Entry, store.Revision, error) {
	var found []store.Entry
	var rev store.Revision
	err := m.call(ctx, callList, func() error {
		found, rev = m.under(prefix), m.rev
		return nil
	})
	if err != nil {
		return nil, 0, err
	}
	return found, rev, nil
}

// under returns the entries under a prefix, by key.
func (m *Memory) under(prefix string) (found []store.Entry) {
	m.entries.AscendGreaterOrEqual(store.Entry{Key: prefix}, func(e store.Entry) bool {
		if !strings.HasPrefix(e.Key, prefix) {
			return false
		}
		found = append(found, e)
		return true
	})
	return found
}

// Entries returns the entries under a prefix at once, whatever faults are set, for checks of tests.
func (m *Memory) Entries(prefix string) []store.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.under(prefix)
}

// Put implements store.Store.
func (m *Memory) Put(ctx context.Context, key string, value []byte, prev store.Revision, id store.LeaseID) (store.Revision, error) {
	value = append([]byte(nil), value...)
	var rev store.Revision
	err := m.call(ctx, callPut, func() error {
		if err := m.put(key, value, prev, id); err != nil {
			return fmt.Errorf("put %s: %w", key, err)
		}
		rev = m.rev
		return nil
	})
	if err != nil {
		return 0, err
	}
	return rev, nil
}

func (m *Memory) put(key string, value []byte, prev store.Revision, id store.LeaseID) error {
	if len(value) > store.MaxValueSize {
		return store.ErrTooLarge
	}
	old, _ := m.entries.Get(store.Entry{Key: key})
	if old.Revision != prev {
		return store.ErrConflict
	}
	if id != 0 && m.leases[id] == nil {
		return store.ErrLeaseLost
	}
	m.detach(old)
	m.rev++
	e := store.Entry{Key: key, Value: value, Revision: m.rev, Lease: id}
	m.entries.ReplaceOrInsert(e)
	if id != 0 {
		m.leases[id].keys[key] = struct{}{}
	}
	m.record(store.Event{Entry: e})
	return nil
}

// Delete implements store.Store. It returns ErrNotFound for a key that does not exist.
func (m *Memory) Delete(ctx context.Context, key string, prev store.Revision) error {
	return m.call(ctx, callDelete, func() error {
		old, ok := m.entries.Get(store.Entry{Key: key})
		if !ok {
			return fmt.Errorf("delete %s: %w", key, store.ErrNotFound)
		}
		if old.Revision != prev {
			return fmt.Errorf("delete %s: %w", key, store.ErrConflict)
		}
		m.remove(old)
		return nil
	})
}

// remove deletes an entry and records the event.
func (m *Memory) remove(e store.Entry) {
	m.detach(e)
	m.entries.Delete(e)
	m.rev++
	m.record(store.Event{Entry: store.Entry{Key: e.Key, Revision: m.rev}, Deleted: true})
}

func (m *Memory) detach(e store.Entry) {
	if l := m.leases[e.Lease]; l != nil {
		delete(l.keys, e.Key)
	}
}

// record appends an event, drops the oldest ones beyond historySize and wakes the
// watches.
func (m *Memory) record(e store.Event) {
	m.history = append(m.history, e)
	if excess := len(m.history) - historySize; excess > 0 {
		m.compactTo(m.history[excess-1].Revision)
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *Memory) compactTo(rev store.Revision) {
	n := 0
	for n < len(m.history) && m.history[n].Revision <= rev {
		n++
	}
	clear(m.history[:n])
	m.history = m.history[n:]
	m.compacted = max(m.compacted, min(rev, m.rev))
}

// Compact drops all events, so that watches that lag behind get ErrCompacted.
func (m *Memory) Compact() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.compactTo(m.rev)
}

// Revision returns the revision of the last write.
func (m *Memory) Revision() store.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rev
}

// Watch implements store.Store.
func (m *Memory) Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
	expired := wait <= 0
	var timeout <-chan time.Time
	if !expired {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		timeout = timer.C
	}
	// Only the first check counts as a call; later ones only end the watch in an outage.
	check := func() error { return m.call(ctx, callWatch, func() error { return nil }) }
	for {
		if err := check(); err != nil {
			return nil, 0, err
		}
		events, rev, changed, err := m.since(prefix, after)
		if err != nil {
			return nil, 0, fmt.Errorf("watch %s after %d: %w", prefix, after, err)
		}
		if len(events) > 0 || expired {
			return events, rev, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, fmt.Errorf("watch %s: %w: %w", prefix, store.ErrUnavailable, ctx.Err())
		case <-timeout:
			expired = true
		case <-changed.events:
		case <-changed.faults:
		}
		check = m.stillUp
	}
}

// wakeups are channels that are closed at the next event and the next change of the faults.
type wakeups struct{ events, faults <-chan struct{} }

func (m *Memory) since(prefix string, after store.Revision) ([]store.Event, store.Revision, wakeups, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if after < m.compacted || after > m.rev {
		return nil, 0, wakeups{}, store.ErrCompacted
	}
	var found []store.Event
	for i := len(m.history) - 1; i >= 0 && m.history[i].Revision > after; i-- {
		if strings.HasPrefix(m.history[i].Key, prefix) {
			found = append(found, m.history[i])
		}
	}
	slices.Reverse(found)
	return found, m.rev, wakeups{m.changed, m.released}, nil
}
