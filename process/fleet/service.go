package fleet

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thejerf/suture/v4"
	"golang.org/x/sync/errgroup"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/connection/vmlist"
)

// Fleet is this daemon's membership service. It implements View; run Serve under the
// supervisor.
type Fleet struct {
	options  Options
	self     peer.Ref
	loop     *loop
	register *registrar
	events   chan event
	view     atomic.Pointer[snapshot]
	joined   chan struct{}
	joinOnce sync.Once
	stopped  chan struct{} // closed when this incarnation and Serve have ended
	stopOnce sync.Once
	stats    Stats
}

var _ View = (*Fleet)(nil)

// New returns a fleet whose only member is this daemon, and registers its peer methods.
func New(o Options) *Fleet {
	o = o.withDefaults()
	f := &Fleet{
		options: o,
		self:    o.Self.Ref,
		events:  make(chan event),
		joined:  make(chan struct{}),
		stopped: make(chan struct{}),
	}
	f.loop = newLoop(f)
	f.register = newRegistrar(f)
	f.view.Store(newSnapshot(f.loop.table, o.Self))
	o.Registrar.Handle(methodPing, f.handlePing)
	o.Registrar.Handle(methodPingVia, f.handlePingVia)
	o.Registrar.Handle(methodSync, f.handleSync)
	return f
}

// ErrStopped is returned by the methods of a fleet after its incarnation has ended.
var ErrStopped = errors.New("fleet: not taking part any more")

// errLeft ends the loop after Leave.
var errLeft = errors.New("fleet: left")

// Serve runs the membership protocol until the context ends. It returns an
// *EvictedError if this incarnation was evicted, and suture.ErrDoNotRestart after Leave.
func (f *Fleet) Serve(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.loop.run(ctx) })
	group.Go(func() error { return f.join(ctx) })
	if f.options.Store != nil {
		group.Go(func() error { return f.register.run(ctx) })
		group.Go(func() error { return f.follow(ctx) })
	}
	if f.options.VMs != nil {
		group.Go(func() error { return f.pollVMs(ctx) })
	}
	err := group.Wait()
	if errors.Is(err, errLeft) || errors.Is(err, ErrEvicted) {
		f.stopOnce.Do(func() { close(f.stopped) })
	}
	if errors.Is(err, errLeft) {
		return suture.ErrDoNotRestart
	}
	return err
}

// Joined returns a channel that is closed once this daemon has read the members from
// the store or from a seed. Until then the list of members is incomplete.
func (f *Fleet) Joined() <-chan struct{} { return f.joined }

// LeaseRenewed returns when the last successful renewal of the store lease began, on
// the monotonic clock; the zero time if there was none.
func (f *Fleet) LeaseRenewed() time.Time { return f.register.lastRenewal() }

// StoreLease returns the current store lease, 0 for none.
func (f *Fleet) StoreLease() store.LeaseID { return f.register.leaseID() }

// Stats returns the live counters.
func (f *Fleet) Stats() *Stats { return &f.stats }

// ObserveVMs passes on the platform's VM list, for a daemon that reads it for several
// components; Options.VMs is not needed then.
func (f *Fleet) ObserveVMs(ctx context.Context, vms []vmlist.VM) error {
	return f.post(ctx, vmListRead{vms: vms})
}

// Drain marks this daemon as Leaving: it gets no new work and transfers its resources.
// It returns when the view shows that state; the change is gossiped to the others
// meanwhile. It fails with ErrStopped if this incarnation has already ended, or with
// the context's error.
func (f *Fleet) Drain(ctx context.Context) error {
	done := make(chan struct{})
	if err := f.post(ctx, drain{done: done}); err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// post passes an event to the loop.
func (f *Fleet) post(ctx context.Context, e event) error {
	select {
	case f.events <- e:
		return nil
	case <-f.stopped:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}
