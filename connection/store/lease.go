package store

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"fennelshunt.example/fennelshunt/internal/sleep"
)

const (
	// renewalsPerTTL is how many renewals are tried in one time to live.
	renewalsPerTTL = 3
	// renewalJitter is the random part of the interval. Without it daemons that
	// started together would renew at the same time forever.
	renewalJitter = 0.2
)

// Lease is a lease of the store whose remaining validity is never overestimated,
// also after its holder was paused.
//
// Two errors would let a holder rely on a lease that another daemon holds already:
// counting the time to live from the arrival of a renewal's response, which may
// be handled long after the store renewed the lease if the holder is paused in
// between; and counting by a clock that stands still while the VM is suspended.
// So validity counts from the beginning of the last successful renewal, by the
// monotonic or the wall clock, whichever has advanced further.
//
// Checking Remaining is not enough to protect an action: the holder can be paused
// between the check and the action. An action that must not happen twice has to
// be fenced where it takes effect.
type Lease struct {
	handle *Handle
	id     LeaseID
	ttl    time.Duration

	mu      sync.Mutex
	renewed time.Time
	lost    bool
}

// OpenLease grants a lease that expires ttl after its last renewal.
func (h *Handle) OpenLease(ctx context.Context, ttl time.Duration) (*Lease, error) {
	begun := time.Now()
	id, err := h.GrantLease(ctx, ttl)
	if err != nil {
		return nil, err
	}
	return &Lease{handle: h, id: id, ttl: ttl, renewed: begun}, nil
}

// ID returns the lease's id for writes that are bound to it.
func (l *Lease) ID() LeaseID { return l.id }

// Renewed returns when the last successful renewal began.
func (l *Lease) Renewed() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.renewed
}

// Remaining returns how long the lease is still certainly valid; never negative.
func (l *Lease) Remaining() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lost {
		return 0
	}
	return max(0, l.ttl-elapsed(l.renewed, time.Now()))
}

// elapsed returns the time from a to b by the clock that advanced further: the
// monotonic clock may stand still while a VM is suspended, the wall clock may be
// set back.
func elapsed(a, b time.Time) time.Duration {
	return max(b.Sub(a), b.Round(0).Sub(a.Round(0)))
}

// Renew restarts the time to live. After ErrLeaseLost the lease has ended and
// cannot be renewed. Any other error leaves its validity as it was: a renewal
// whose response was lost does not count.
func (l *Lease) Renew(ctx context.Context) error {
	begun := time.Now()
	err := l.handle.RenewLease(ctx, l.id)
	l.mu.Lock()
	defer l.mu.Unlock()
	if errors.Is(err, ErrLeaseLost) {
		l.lost = true
	}
	if err != nil {
		return err
	}
	if begun.After(l.renewed) {
		l.renewed = begun
	}
	return nil
}

// Serve renews the lease until ctx ends, whose error it returns, or the lease is lost:
// the error then matches ErrLeaseLost. During an outage it keeps trying, since the
// store may still have the lease.
func (l *Lease) Serve(ctx context.Context) error {
	pause := newRetryBackoff()
	next := l.interval()
	for {
		if err := sleep.For(ctx, next); err != nil {
			return err
		}
		err := l.Renew(ctx)
		if errors.Is(err, ErrLeaseLost) {
			return fmt.Errorf("lease %d: %w", l.id, err)
		}
		if err != nil {
			next = min(pause.NextBackOff(), l.interval())
			continue
		}
		pause.Reset()
		next = l.interval()
	}
}

// interval returns the time to the next renewal, with jitter.
func (l *Lease) interval() time.Duration {
	longest := l.ttl / renewalsPerTTL
	return longest - time.Duration(rand.Float64()*renewalJitter*float64(longest))
}

// Revoke ends the lease and removes every key bound to it.
func (l *Lease) Revoke(ctx context.Context) error {
	l.mu.Lock()
	l.lost = true
	l.mu.Unlock()
	return l.handle.RevokeLease(ctx, l.id)
}
