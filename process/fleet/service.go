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

// Fleet is this daemon's part of the membership. It implements View; run Serve
// under the supervisor.
type Fleet struct {
	options  Options
	self     peer.Ref
	loop     *loop
	register *registrar
	events   chan event
	view     atomic.Pointer[snapshot]
	joined   chan struct{}
	joinOnce sync.Once
	stopped  chan struct{} // closed when this life is over and Serve has ended
	stopOnce sync.Once
	stats    Stats
}

var _ View = (*Fleet)(nil)

// New returns a fleet that knows itself only, and registers its peer methods.
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

// ErrStopped is returned by methods of a fleet whose life is over.
var ErrStopped = errors.New("fleet: not taking part any more")

// errLeft ends the loop after Leave.
var errLeft = errors.New("fleet: left")

// Serve takes part in the fleet until the context ends. It returns an
// *EvictedError when this life is over, and suture.ErrDoNotRestart after Leave.
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

// Joined returns a channel closed once this daemon has heard of the members
// from the store or from a seed. Until then an empty list means nothing.
func (f *Fleet) Joined() <-chan struct{} { return f.joined }

// LeaseRenewed returns when the last successful renewal of the store lease
// began, by the monotonic clock; the zero time when there was none.
func (f *Fleet) LeaseRenewed() time.Time { return f.register.lastRenewal() }

// StoreLease returns the store lease in use, 0 for none.
func (f *Fleet) StoreLease() store.LeaseID { return f.register.leaseID() }

// Stats returns the live counters.
func (f *Fleet) Stats() *Stats { return &f.stats }

// ObserveVMs reports the platform's list, for a daemon that reads it for
// several users; Options.VMs is not needed then.
func (f *Fleet) ObserveVMs(ctx context.Context, vms []vmlist.VM) error {
	return f.post(ctx, vmsSeen{vms: vms})
}

// Drain tells the others that this daemon is leaving: it gets no new work and
// hands over. It returns when the view says so; the news spreads meanwhile. It
// fails with ErrStopped when this life is over already, or with the context's
// error.
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

// post hands an event to the loop.
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
