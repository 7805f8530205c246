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

// Timeout returns the bound for the next call.
func (p *Patience) Timeout() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := max(p.average*patienceFactor, p.Min) << min(p.misses, maxPatienceMiss)
	return min(d, p.Max)
}

// Context returns a context bounded by Timeout.
func (p *Patience) Context(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, p.Timeout())
}

// Answered notes a call that was answered after d.
func (p *Patience) Answered(d time.Duration) {
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

// Missed notes a call without an answer.
func (p *Patience) Missed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.misses++
	p.failing = true
}

// Refused notes a call that the store turned away or that did not reach it.
func (p *Patience) Refused() {
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

// Note notes how a call went that took d, by its error.
func (p *Patience) Note(err error, d time.Duration) {
	switch {
	case errors.Is(err, ErrUnknownOutcome), errors.Is(err, ErrUnavailable) && errors.Is(err, context.DeadlineExceeded):
		p.Missed()
	case errors.Is(err, ErrUnavailable), errors.Is(err, ErrOverBudget):
		p.Refused()
	default:
		p.Answered(d)
	}
}
