package fleet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/internal/sleep"
)

const (
	firstRegisterRetry = 250 * time.Millisecond
	lastRegisterRetry  = 4 * time.Second
)

// grant is a granted lease, with the time at which its last successful renewal began.
type grant struct {
	lease   store.LeaseID
	ttl     time.Duration
	renewed time.Time
}

// registrar keeps this daemon's alive key in the store under one lease.
type registrar struct {
	fleet   *Fleet
	store   *store.Handle
	current atomic.Pointer[grant]
}

func newRegistrar(f *Fleet) *registrar {
	return &registrar{fleet: f, store: f.options.Store}
}

func (r *registrar) lastRenewal() time.Time {
	if g := r.current.Load(); g != nil {
		return g.renewed
	}
	return time.Time{}
}

func (r *registrar) leaseID() store.LeaseID {
	if g := r.current.Load(); g != nil {
		return g.lease
	}
	return 0
}

// outgrownBy is the factor by which the required TTL must exceed that of the lease for the
// lease to be replaced, so that a fleet of constant size replaces none.
const outgrownBy = 1.5

// run registers and renews until the context or this incarnation ends. A lost lease is
// replaced within the same incarnation, unless the others have evicted it.
func (r *registrar) run(ctx context.Context) error {
	retry := firstRegisterRetry
	var outgrown store.LeaseID
	for {
		g, err := r.register(ctx)
		var evicted *EvictedError
		if errors.As(err, &evicted) {
			return evicted
		}
		if err == nil {
			r.revokeOutgrown(ctx, outgrown)
			retry = firstRegisterRetry
			outgrown = r.keepRenewed(ctx, g)
		} else {
			r.failed(err, "registration in the store failed; trying again")
		}
		if err := sleep.For(ctx, jittered(retry)); err != nil {
			return err
		}
		retry = min(2*retry, lastRegisterRetry)
	}
}

// register gets a lease, writes the alive key under it, and confirms the incarnation. The
// confirmation comes last and changes the incarnation record: a daemon that is about to
// evict this incarnation reads that record before it looks for the alive key, so exactly
// one of the two swaps fails.
func (r *registrar) register(ctx context.Context) (grant, error) {
	ttl := r.fleet.leaseTTL()
	start := time.Now()
	lease, err := r.store.GrantLease(ctx, ttl)
	if err != nil {
		return grant{}, err
	}
	if err := r.putAlive(ctx, lease); err != nil {
		return grant{}, r.abandon(ctx, lease, err)
	}
	_, err = r.store.Update(ctx, incarnationKey(r.fleet.self.ID), r.fleet.options.Incarnation.confirm)
	if err != nil {
		return grant{}, r.abandon(ctx, lease, err)
	}
	g := grant{lease: lease, ttl: ttl, renewed: start}
	r.current.Store(&g)
	r.fleet.stats.Registrations.Add(1)
	return g, nil
}

// abandon revokes a lease whose registration failed, so that no alive key remains for an
// incarnation that may have ended.
func (r *registrar) abandon(ctx context.Context, lease store.LeaseID, cause error) error {
	if err := r.store.RevokeLease(ctx, lease); err != nil {
		return fmt.Errorf("%w (lease %d not revoked, it expires: %v)", cause, lease, err)
	}
	return cause
}

// putAlive writes the alive key under the lease, replacing one of an earlier lease or
// incarnation of this daemon.
func (r *registrar) putAlive(ctx context.Context, lease store.LeaseID) error {
	self := r.fleet.options.Self
	data, err := peer.Marshal(self)
	if err != nil {
		return err
	}
	var prev store.Revision
	item, err := r.store.Get(ctx, aliveKey(self.ID))
	switch {
	case err == nil:
		if m, err := decodeMember(item.Data); err == nil && m.Incarnation > self.Incarnation {
			return &EvictedError{Cause: Replaced, Floor: m.Incarnation}
		}
		prev = item.Revision
	case !errors.Is(err, store.ErrNotFound):
		return err
	}
	_, err = r.store.Swap(ctx, aliveKey(self.ID), data, prev, lease)
	return err
}

// revokeOutgrown revokes a lease to which the alive key is no longer attached.
func (r *registrar) revokeOutgrown(ctx context.Context, outgrown store.LeaseID) {
	if outgrown == 0 {
		return
	}
	if err := r.store.RevokeLease(ctx, outgrown); err != nil {
		r.failed(err, "outgrown store lease not revoked; it expires")
	}
}

// keepRenewed renews the lease until it is lost, the context ends, or the fleet has
// outgrown its TTL; only in the last case does it return the lease. Other failures are
// retried: in an outage the lease may remain valid, and this daemon continues in its
// incarnation.
func (r *registrar) keepRenewed(ctx context.Context, g grant) (outgrown store.LeaseID) {
	for sleep.For(ctx, jittered(g.ttl/renewsPerTTL)) == nil {
		start := time.Now()
		err := r.store.RenewLease(ctx, g.lease)
		switch {
		case err == nil:
			g.renewed = start
			renewed := g
			r.current.Store(&renewed)
			r.fleet.stats.Renewals.Add(1)
		case errors.Is(err, store.ErrLeaseLost):
			r.failed(err, "store lease lost; registering again")
			return 0
		default:
			r.failed(err, "store lease not renewed; trying again")
		}
		if err == nil && float64(r.fleet.leaseTTL()) > outgrownBy*float64(g.ttl) {
			return g.lease
		}
	}
	return 0
}

func (r *registrar) failed(err error, what string) {
	if errors.Is(err, context.Canceled) {
		return
	}
	r.fleet.stats.StoreFailures.Add(1)
	r.fleet.options.Log.Warn().Err(err).Msg(what)
}

// leaseTTL returns the TTL for a new lease, which is longer in a larger fleet.
func (f *Fleet) leaseTTL() time.Duration {
	base := f.options.LeaseTTL
	size := len(f.Members())
	return max(base, base*time.Duration(size)/fleetAtBaseTTL)
}

// jittered shortens a pause at random, to spread the calls of daemons that would otherwise
// coincide, above all after an outage.
func jittered(d time.Duration) time.Duration {
	return d - time.Duration(rand.Int64N(int64(d)/4+1))
}
