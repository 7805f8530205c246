package ownership

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/internal/sleep"
)

// Manager claims, keeps and releases resources for this daemon. It implements
// Directory. Its state is confined to the goroutine of Serve; readers use published
// snapshots.
type Manager struct {
	o             Options
	log           zerolog.Logger
	registrations []registration

	commands  chan func(*state)
	done      chan struct{}
	published atomic.Pointer[snapshot]
}

// registration is a prefix with its handler.
type registration struct {
	prefix    string
	handler   Handler
	resources func() []Resource
}

// snapshot is the immutable state from which the methods of Directory answer.
type snapshot struct {
	claims  map[Resource]Claim
	owned   map[Resource]Claim
	changed chan struct{}
}

// New returns a manager. Call Register for each handler, then Serve.
func New(o Options) *Manager {
	m := &Manager{
		o:        o.withDefaults(),
		log:      o.Log,
		commands: make(chan func(*state), 64),
		done:     make(chan struct{}),
	}
	m.published.Store(&snapshot{changed: make(chan struct{})})
	return m
}

// Register adds a handler for the resources of a prefix. The function resources returns
// those that currently exist and is called from the manager's goroutine. Register
// must be called before Serve.
func (m *Manager) Register(prefix string, h Handler, resources func() []Resource) {
	m.registrations = append(m.registrations, registration{prefix, h, resources})
}

// Serve runs the manager until ctx ends. Before it returns, it calls Lost for every
// resource that is still owned. It may be called once.
func (m *Manager) Serve(ctx context.Context) error {
	defer close(m.done)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := newState(ctx, m)
	go m.follow(ctx)
	ticker := time.NewTicker(m.o.Tick)
	defer ticker.Stop()
	for {
		changed := m.o.View.Changed()
		s.tick()
		s.publish()
		select {
		case <-ctx.Done():
			s.loseAll("shutting down")
			s.publish()
			return ctx.Err()
		case f := <-m.commands:
			f(s)
		case <-changed:
		case <-ticker.C:
		}
	}
}

// follow keeps the claims up to date from the store.
func (m *Manager) follow(ctx context.Context) {
	delay := time.Second
	for ctx.Err() == nil {
		err := m.o.Store.Follow(ctx, keyPrefix, func(items []store.Item, deleted []string, reset bool) {
			m.send(func(s *state) { s.applyItems(items, deleted, reset) })
		})
		if err != nil && ctx.Err() == nil {
			m.log.Warn().Err(err).Msg("watch of claims failed; watching again after a pause")
		}
		_ = sleep.For(ctx, delay) // the loop checks ctx
	}
}

// send passes f to the manager's goroutine. It returns false if the manager has stopped.
func (m *Manager) send(f func(*state)) bool {
	select {
	case m.commands <- f:
		return true
	case <-m.done:
		return false
	}
}

// Owner implements Directory.
func (m *Manager) Owner(r Resource) (Claim, bool) {
	c, ok := m.published.Load().claims[r]
	return c, ok && !c.Released
}

// Owned implements Directory.
func (m *Manager) Owned(prefix string) []Claim {
	var owned []Claim
	for r, c := range m.published.Load().owned {
		if strings.HasPrefix(string(r), prefix) {
			owned = append(owned, c)
		}
	}
	slices.SortFunc(owned, func(a, b Claim) int { return strings.Compare(string(a.Resource), string(b.Resource)) })
	return owned
}

// Changed implements Directory.
func (m *Manager) Changed() <-chan struct{} { return m.published.Load().changed }

// Authority implements Directory.
func (m *Manager) Authority() (start, renew time.Duration) {
	since := time.Since(m.o.LastRenewal())
	return m.o.StartBound - since, m.o.RenewBound - since
}

// Observe implements Directory.
func (m *Manager) Observe(c Claim) {
	known, ok := m.published.Load().claims[c.Resource]
	if ok && known.Epoch >= c.Epoch {
		return
	}
	m.send(func(s *state) { s.observe(c) })
}

// Confirm reads the claim from the store, with a read that begins after the call,
// and returns nil if it is still c. ErrNotOwner means that the claim was superseded,
// released or deleted; after any other error this is unknown.
//
// A check before an action is not sufficient, since the process may be suspended
// between the two. Callers use Confirm after an action that a later owner reverts,
// such as opening a lease: see package partition.
func (m *Manager) Confirm(ctx context.Context, c Claim) error {
	item, err := m.o.Store.Get(ctx, keyPrefix+string(c.Resource))
	if errors.Is(err, store.ErrNotFound) {
		return fmt.Errorf("claim of %s is gone: %w", c.Resource, ErrNotOwner)
	}
	if err != nil {
		return fmt.Errorf("confirm claim of %s: %w", c.Resource, err)
	}
	current, err := decodeClaim(item)
	if err != nil {
		return err
	}
	if current.Same(c) && !current.Released {
		return nil
	}
	m.Observe(current.Claim)
	return fmt.Errorf("claim of %s is held by %s in epoch %d: %w", c.Resource, current.Owner.ID, current.Epoch, ErrNotOwner)
}

// SaveMemo stores a memo for the owners after c. A nil error means that every later
// owner receives it with its Grant.
func (m *Manager) SaveMemo(ctx context.Context, c Claim, memo Memo) error {
	e, err := m.amend(ctx, c, func(c *record) {
		c.Notes = memo.Notes
		if memo.EarlierFenced {
			c.Earlier = nil
		}
	})
	if err == nil {
		m.send(func(s *state) { s.apply(e) })
	}
	return err
}

// amend changes the record of the claim c in the store, provided that it is still c.
func (m *Manager) amend(ctx context.Context, c Claim, change func(*record)) (entry, error) {
	for {
		e, err := m.read(ctx, c.Resource, nil)
		if err != nil {
			return entry{}, err
		}
		if !e.Same(c) {
			return e, fmt.Errorf("amend claim of %s: %w", c.Resource, ErrNotOwner)
		}
		change(&e.record)
		data, err := json.Marshal(e.record)
		if err != nil {
			return entry{}, fmt.Errorf("encode claim: %w", err)
		}
		e.revision, err = m.o.Store.Swap(ctx, keyPrefix+string(c.Resource), data, e.revision, 0)
		if err == nil {
			return e, nil
		}
		if !errors.Is(err, store.ErrConflict) {
			return entry{}, fmt.Errorf("amend claim of %s: %w", c.Resource, err)
		}
	}
}

// Epochs reads the epochs of the claims of a prefix from the store, with a read that
// begins after the call.
func (m *Manager) Epochs(ctx context.Context, prefix string) (map[Resource]uint64, error) {
	items, _, err := m.o.Store.List(ctx, keyPrefix+prefix)
	if err != nil {
		return nil, fmt.Errorf("list claims of %s: %w", prefix, err)
	}
	epochs := make(map[Resource]uint64, len(items))
	for _, item := range items {
		c, err := decodeClaim(item)
		if err != nil {
			return nil, err
		}
		epochs[c.Resource] = c.Epoch
	}
	return epochs, nil
}

// Leave releases all resources and claims nothing more. It returns when nothing is
// owned or ctx ends.
func (m *Manager) Leave(ctx context.Context) error {
	if !m.send(func(s *state) { s.leaving = true }) {
		return ErrStopped
	}
	for {
		snap := m.published.Load()
		idle := make(chan bool, 1)
		if !m.send(func(s *state) { idle <- s.leaving && len(s.owned) == 0 && len(s.inFlight) == 0 }) {
			return ErrStopped
		}
		select {
		case ok := <-idle:
			if ok {
				return nil
			}
		case <-m.done:
			return ErrStopped
		}
		select {
		case <-snap.changed:
		case <-time.After(m.o.Tick):
		case <-ctx.Done():
			return fmt.Errorf("leave: %w", ctx.Err())
		}
	}
}

func decodeClaim(item store.Item) (record, error) {
	var c record
	if err := json.Unmarshal(item.Data, &c); err != nil {
		return record{}, fmt.Errorf("claim %s: %w", item.Key, err)
	}
	if want := keyPrefix + string(c.Resource); want != item.Key {
		return record{}, fmt.Errorf("claim %s names resource %q", item.Key, c.Resource)
	}
	return c, nil
}

// publish makes a changed state visible to readers.
func (s *state) publish() {
	if !s.dirty {
		return
	}
	s.dirty = false
	claims := make(map[Resource]Claim, len(s.claims))
	for r, e := range s.claims {
		claims[r] = e.Claim
	}
	old := s.m.published.Swap(&snapshot{claims: claims, owned: maps.Clone(s.owned), changed: make(chan struct{})})
	close(old.changed)
}

// self returns this incarnation of the daemon.
func (s *state) self() peer.Ref { return s.m.o.View.Self().Ref }
