// Package versions replicates configuration versions to all daemons and puts them
// into force.
//
// A version reaches a daemon in two ways: by a watch on the store, and from a
// peer that has it. A daemon that puts a version into force announces it to a
// few peers at once and exchanges version numbers with a random peer at every
// interval, so that versions also spread while the store is down, and a daemon
// that has just started gets the configuration from its peers.
//
// Guarantees: the version in force on a daemon only rises; a version is put
// into force as a whole, after all its content was fetched and checked against
// the hashes in its record.
package versions

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/fleet"
	"fennelshunt.example/fennelshunt/version/history"
	"fennelshunt.example/fennelshunt/version/spec"
)

// Defaults of Options.
const (
	DefaultGossipInterval = time.Second
	DefaultFanout         = 3
)

// Options configure a Replicator.
type Options struct {
	// Handle is the access to the store in the versions role.
	Handle *store.Handle
	// Caller, Registrar and Fleet are the access to the peers.
	Caller    peer.Caller
	Registrar peer.Registrar
	Fleet     fleet.View
	// History, if set, is given each version so that it need not fetch it.
	History *history.History
	Log     zerolog.Logger
	// GossipInterval is the mean time between two exchanges with a peer; 0
	// means DefaultGossipInterval.
	GossipInterval time.Duration
	// Fanout is the number of peers to which a new version is announced; 0
	// means DefaultFanout.
	Fanout int
	// Seed fixes the choice of peers; 0 means a random seed.
	Seed uint64
}

// Replicator implements spec.Source. It is safe for concurrent use.
type Replicator struct {
	options      Options
	current      atomic.Pointer[history.Snapshot]
	chunks       chunkIndex
	pending      pending
	observed     observations
	metrics      metrics
	loaded       chan struct{}
	heads        chan *history.Head
	offers       chan *history.Snapshot
	wake         chan struct{}
	storeVersion atomic.Uint64

	mu      sync.Mutex
	changed chan struct{}
	random  *rand.Rand
}

var _ spec.Source = (*Replicator)(nil)

// New returns a Replicator at version 0 and registers its peer methods. It receives
// versions only while Serve runs.
func New(o Options) *Replicator {
	o.GossipInterval = cmp.Or(o.GossipInterval, DefaultGossipInterval)
	o.Fanout = cmp.Or(o.Fanout, DefaultFanout)
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	r := &Replicator{
		options: o,
		loaded:  make(chan struct{}),
		changed: make(chan struct{}),
		heads:   make(chan *history.Head),
		offers:  make(chan *history.Snapshot),
		wake:    make(chan struct{}, 1),
		random:  rand.New(rand.NewPCG(o.Seed, 0)),
	}
	r.current.Store(history.Empty())
	r.metrics.init()
	r.register(o.Registrar)
	return r
}

// Current implements spec.Source.
func (r *Replicator) Current() *spec.Config { return r.current.Load().Config }

// Snapshot returns the version in force with the content of its files.
func (r *Replicator) Snapshot() *history.Snapshot { return r.current.Load() }

// Changed implements spec.Source. A caller that takes the channel before it
// calls Current misses no version.
func (r *Replicator) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Loaded returns a channel that is closed once the configuration is known. Until
// then Current is the empty configuration; a daemon that acted on it would
// treat every job as cancelled.
func (r *Replicator) Loaded() <-chan struct{} { return r.loaded }

func (r *Replicator) isLoaded() bool {
	select {
	case <-r.loaded:
		return true
	default:
		return false
	}
}

// StoreVersion returns the version last read from the store. The version in force
// may be later for a moment, when a peer delivered it first. If the store's version
// stays lower, the store was reset to an earlier state and accepts no applies until
// it is restored.
func (r *Replicator) StoreVersion() uint64 { return r.storeVersion.Load() }

// Serve follows the store and the peers until ctx ends. It implements
// suture.Service.
func (r *Replicator) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	running.Go(func() { r.follow(ctx) })
	running.Go(func() { r.gossipLoop(ctx) })
	l := &loop{replicator: r, ctx: ctx, running: &running, fetched: make(chan error, 1)}
	return l.run()
}

// follow watches the head in the store and passes it to the loop.
func (r *Replicator) follow(ctx context.Context) {
	_ = r.options.Handle.Follow(ctx, history.KeyHead, func(items []store.Item, _ []string, reset bool) {
		head, err := headOf(items)
		if err != nil {
			r.metrics.refused.Add(1)
			r.options.Log.Error().Err(err).Msg("configuration head in the store cannot be decoded and is ignored")
			return
		}
		if head == nil && reset {
			head = new(history.Head)
		}
		if head == nil {
			return
		}
		select {
		case r.heads <- head:
		case <-ctx.Done():
		}
	})
}

// headOf returns the head among the items, nil if there is none.
func headOf(items []store.Item) (*history.Head, error) {
	for _, item := range items {
		if item.Key == history.KeyHead {
			return history.DecodeHead(item.Data)
		}
	}
	return nil, nil
}

// errNothingNew means that a source had no later version.
var errNothingNew = errors.New("versions: source has no later version")

// publish puts a version into force.
func (r *Replicator) publish(s *history.Snapshot) {
	before := r.current.Load()
	if s.Version <= before.Version {
		// Only the loop publishes, and Advance refuses what is not later.
		r.metrics.invariant.Add(1)
		r.options.Log.Error().Uint64("version", s.Version).Uint64("in_force", before.Version).
			Msg("invariant violated: attempt to put into force a version that is not later")
		return
	}
	r.chunks.replace(before, s)
	r.pending.clear()
	r.current.Store(s)
	r.metrics.version.Set(int64(s.Version))
	r.setLoaded()
	if r.options.History != nil {
		r.options.History.Offer(s)
	}
	r.mu.Lock()
	close(r.changed)
	r.changed = make(chan struct{})
	r.mu.Unlock()
	r.options.Log.Info().Uint64("version", s.Version).Int("jobs", len(s.Config.Jobs)).Msg("configuration in force")
}

// setLoaded is called by the loop only.
func (r *Replicator) setLoaded() {
	if !r.isLoaded() {
		close(r.loaded)
	}
}

// notify wakes the loop after a message from a peer.
func (r *Replicator) notify() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}
