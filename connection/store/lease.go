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
	// renewalJitter is the part of the interval that is drawn: daemons that
	// started together would otherwise renew together for ever.
	renewalJitter = 0.2
)

// Lease is a lease of the store that stays safe while its holder is paused.
//
// What goes wrong otherwise: the holder sends a renewal, is paused, wakes up
// and counts the time to live from the answer, while the store counts from the
// renewal's arrival; or it counts by a clock that stood still while the VM was
// suspended. In both cases it believes in a lease that somebody else holds by
// now. So validity is counted from the beginning of the last successful
// renewal, by the monotonic or the wall clock, whichever went further.
//
// A check of the clock is still no guard by itself: the holder can be paused
// between the check and what it does next. What must not happen twice is
// fenced at the place where it happens.
type Lease struct {
	handle *Handle
	id     LeaseID
	ttl    time.Duration

	mu      sync.Mutex
	renewed time.Time
	lost    bool
}

// OpenLease grants a lease that lapses ttl after its last renewal.
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

// Left returns how long the lease is still certain to hold; never negative.
func (l *Lease) Left() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lost {
		return 0
	}
	return max(0, l.ttl-elapsed(l.renewed, time.Now()))
}

// elapsed returns the time from a to b by the clock that went further: the
// monotonic one may stand still while a VM is suspended, the wall clock may be
// set back.
func elapsed(a, b time.Time) time.Duration {
	return max(b.Sub(a), b.Round(0).Sub(a.Round(0)))
}

// Renew starts the time to live anew. After ErrLeaseLost the lease is over for
// good. Any other error leaves its validity as it was: a renewal whose answer
// was lost does not count.
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

// Serve renews the lease until ctx ends or the lease is lost: then it returns
// ErrLeaseLost. In an outage it goes on trying, since the store may have kept
// the lease.
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

// interval draws the time to the next renewal.
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
