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
}

// Weights of Patience: the timeout is patienceFactor times the decaying average
// of the answers' times, which a new answer enters with 1/patienceDecay.
const (
	patienceFactor  = 8
	patienceDecay   = 4
	maxPatienceMiss = 6 // doublings, so that the shift stays small
)

// timeout returns the bound for the next call.
func (p *Patience) timeout() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := max(p.average*patienceFactor, p.Min) << min(p.misses, maxPatienceMiss)
	return min(d, p.Max)
}

// Call makes one call bounded by the timeout and notes how it went, unless it was
// taken back.
//
// What goes wrong if a call that was taken back counts: callers that leave early
// make the store look as if it had failed, and every hand-in after one of them
// costs a read more.
func (p *Patience) Call(ctx context.Context, f func(ctx context.Context) error) error {
	bounded, cancel := context.WithTimeout(ctx, p.timeout())
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
	p.misses = 0
	p.failing = false
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
	p.failing = true
}

// Suspect reports whether the last call failed. A write that is sent then may
// leave its outcome open; a read is the safe way to learn whether the store is
// there.
func (p *Patience) Suspect() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failing
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
