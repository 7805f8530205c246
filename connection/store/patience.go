package store

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Patience bounds how long one call may go without an answer, from how long
// recent calls took.
//
// What goes wrong without it: an answer that was lost, or a connection that
// went silent, is noticed only by its timeout. A fixed timeout long enough for
// a slow store makes every lost answer cost that long; one fit for a quick
// store never succeeds with a slow one.
type Patience struct {
	// Min and Max bound the timeout.
	Min, Max time.Duration

	mu      sync.Mutex
	average time.Duration // of answered calls, decaying
	misses  int           // calls in a row without an answer
	failing bool          // the last call failed
	// refusals counts calls in a row that were turned away, and last is when one
	// was answered.
	refusals  int
	last      time.Time
	refusedAt time.Time              // when a call was last turned away
	back      chan struct{}          // closed by the next answer; nil if nobody waits
	open      map[*exchange]struct{} // readings and watches under way
}

// Weights of Patience: the timeout is patienceFactor times the decaying average
// of the answers' times, which a new answer enters with 1/patienceDecay.
const (
	patienceFactor  = 8
	patienceDecay   = 4
	maxPatienceMiss = 6 // doublings, so that the shift stays small
)

// Timeout returns the bound for the next call.
func (p *Patience) Timeout() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := max(p.average*patienceFactor, p.Min) << min(p.misses, maxPatienceMiss)
	return min(d, p.Max)
}

// Usual returns how long an answer takes of late; 0 before the first.
func (p *Patience) Usual() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.average
}

// Call makes one call bounded by the timeout and notes how it went, unless it was
// taken back.
//
// What goes wrong if a call that was taken back counts: callers that leave early
// make the store look as if it had failed, and every hand-in after one of them
// costs a read more.
func (p *Patience) Call(ctx context.Context, f func(ctx context.Context) error) error {
	return p.CallWithin(ctx, 0, f)
}

// CallWithin is Call with at least a limit: for a caller that does not wait for
// the answer alone, and learns from one that comes late.
func (p *Patience) CallWithin(ctx context.Context, limit time.Duration, f func(ctx context.Context) error) error {
	bounded, cancel := context.WithTimeout(ctx, max(p.Timeout(), limit))
	defer cancel()
	start := time.Now()
	err := f(bounded)
	if !errors.Is(ctx.Err(), context.Canceled) {
		p.note(err, time.Since(start))
	}
	return err
}

// answered notes a call that was answered after d.
func (p *Patience) answered(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.overtake(now.Add(-d), p.failing && now.Sub(p.last) >= outageMin)
	p.misses, p.refusals = 0, 0
	p.failing = false
	p.last = now
	if p.back != nil {
		close(p.back)
		p.back = nil
	}
	if p.average == 0 {
		p.average = d
		return
	}
	p.average += (d - p.average) / patienceDecay
}

// missed notes a call without an answer.
func (p *Patience) missed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.misses++
	p.failing = true
}

// refused notes a call that the store turned away or that did not reach it.
func (p *Patience) refused() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refusals++
	p.failing, p.refusedAt = true, time.Now()
}

// manyRefusals in a row are more than a store sheds that is over its rates.
const manyRefusals = 3

// turnedAwayFor is how long the store must have refused every call before a daemon counts
// as turned away.
const turnedAwayFor = 300 * time.Millisecond

// TurnedAway reports whether the store has refused every call for a while.
func (p *Patience) TurnedAway() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refusals >= manyRefusals && time.Since(p.last) >= turnedAwayFor
}

// Suspect reports whether the last call failed. A write that is sent then may
// leave its outcome open; a read is the safe way to learn whether the store is
// there.
func (p *Patience) Suspect() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failing
}

// RefusedWithin reports whether the last call failed, and one was turned away no
// longer than d ago. Calls without an answer do not count: they take their time,
// so that waiting for them already spaces the next ones.
func (p *Patience) RefusedWithin(d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failing && time.Since(p.refusedAt) < d
}

// Await returns once a call has been answered since the last one that failed, and
// after most at the latest.
//
// What goes wrong without it: in an outage each of a daemon's followers calls the
// store ten times a second, and all calls are paid for.
func (p *Patience) Await(ctx context.Context, most time.Duration) {
	p.mu.Lock()
	if !p.failing {
		p.mu.Unlock()
		return
	}
	if p.back == nil {
		p.back = make(chan struct{})
	}
	back := p.back
	p.mu.Unlock()
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-back:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// note notes how a call went that took d, by its error.
func (p *Patience) note(err error, d time.Duration) {
	switch {
	case errors.Is(err, ErrUnknownOutcome), errors.Is(err, ErrUnavailable) && errors.Is(err, context.DeadlineExceeded):
		p.missed()
	case errors.Is(err, ErrUnavailable), errors.Is(err, ErrOverBudget):
		p.refused()
	default:
		p.answered(d)
	}
}
