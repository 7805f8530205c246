package store

import (
	"context"
	"errors"
	"sync"
	"time"
)

// AdaptiveTimeout is an adaptive call timeout: it is derived from the duration of recent
// calls. It also records whether the store answers or refuses calls.
//
// A lost response or a dead connection is noticed only by the timeout. With a
// fixed timeout that suits a slow store every lost response costs that long; with
// one that suits a fast store no call to a slow one ever succeeds.
type AdaptiveTimeout struct {
	// Min and Max bound the timeout.
	Min, Max time.Duration

	mu       sync.Mutex
	average  time.Duration // duration of answered calls, exponentially decaying
	timeouts int           // consecutive calls without an answer
	failing  bool          // the last call failed
	// refusals counts consecutive refused calls.
	refusals   int
	answeredAt time.Time                 // of the last answered call
	refusedAt  time.Time                 // of the last refused call
	recovered  chan struct{}             // closed by the next answer; nil if no goroutine waits
	open       map[*pendingCall]struct{} // reads and watches in flight
}

// Parameters of AdaptiveTimeout: the timeout is timeoutFactor times the decaying average
// duration of answered calls, in which a new call has the weight 1/averageDecay.
const (
	timeoutFactor       = 8
	averageDecay        = 4
	maxTimeoutDoublings = 6 // bounds the shift
)

// Timeout returns the timeout of the next call: doubled for each consecutive call
// without an answer, between Min and Max.
func (p *AdaptiveTimeout) Timeout() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := max(p.average*timeoutFactor, p.Min) << min(p.timeouts, maxTimeoutDoublings)
	return min(d, p.Max)
}

// Average returns the decaying average duration of answered calls; 0 before the first.
func (p *AdaptiveTimeout) Average() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.average
}

// Call makes one call bounded by Timeout and records its result. A call that the
// caller cancels is not recorded: it would make the store look failed, and each
// submission after it would cost an additional read.
func (p *AdaptiveTimeout) Call(ctx context.Context, f func(ctx context.Context) error) error {
	return p.CallWithMinTimeout(ctx, 0, f)
}

// CallWithMinTimeout is Call with a timeout of at least limit, for a caller that does other
// work meanwhile and can use a late answer.
func (p *AdaptiveTimeout) CallWithMinTimeout(ctx context.Context, limit time.Duration, f func(ctx context.Context) error) error {
	bounded, cancel := context.WithTimeout(ctx, max(p.Timeout(), limit))
	defer cancel()
	start := time.Now()
	err := f(bounded)
	if !errors.Is(ctx.Err(), context.Canceled) {
		p.record(err, time.Since(start))
	}
	return err
}

// answered records a call that was answered after d.
func (p *AdaptiveTimeout) answered(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.overtake(now.Add(-d), p.failing && now.Sub(p.answeredAt) >= minOutage)
	p.timeouts, p.refusals = 0, 0
	p.failing = false
	p.answeredAt = now
	if p.recovered != nil {
		close(p.recovered)
		p.recovered = nil
	}
	if p.average == 0 {
		p.average = d
		return
	}
	p.average += (d - p.average) / averageDecay
}

// timedOut records a call without an answer.
func (p *AdaptiveTimeout) timedOut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timeouts++
	p.failing = true
}

// refused records a call that the store refused or that did not reach it.
func (p *AdaptiveTimeout) refused() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refusals++
	p.failing, p.refusedAt = true, time.Now()
}

// refusingCalls is the number of consecutive refusals that Refusing requires: more than
// a store returns that sheds calls over its rate limits.
const refusingCalls = 3

// refusingTime is how long the store must have refused every call for Refusing to
// report it.
const refusingTime = 300 * time.Millisecond

// Refusing reports whether the store has refused every call for a while.
func (p *AdaptiveTimeout) Refusing() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refusals >= refusingCalls && time.Since(p.answeredAt) >= refusingTime
}

// Failing reports whether the last call failed. The outcome of a write that is sent
// then may stay unknown; a read is the safe way to check that the store is available.
func (p *AdaptiveTimeout) Failing() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failing
}

// RefusedWithin reports whether the last call failed and a call was refused within the
// last d. Calls without an answer do not count: waiting for their timeout already
// spaces the next calls.
func (p *AdaptiveTimeout) RefusedWithin(d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failing && time.Since(p.refusedAt) < d
}

// AwaitAnswer returns when a call has been answered after the last failed one, at the latest
// after limit. It keeps each of a daemon's followers from calling the store ten times a
// second during an outage; all calls are billed.
func (p *AdaptiveTimeout) AwaitAnswer(ctx context.Context, limit time.Duration) {
	p.mu.Lock()
	if !p.failing {
		p.mu.Unlock()
		return
	}
	if p.recovered == nil {
		p.recovered = make(chan struct{})
	}
	recovered := p.recovered
	p.mu.Unlock()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-recovered:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// record records the result of a call that took d, by its error.
func (p *AdaptiveTimeout) record(err error, d time.Duration) {
	switch {
	case errors.Is(err, ErrUnknownOutcome), errors.Is(err, ErrUnavailable) && errors.Is(err, context.DeadlineExceeded):
		p.timedOut()
	case errors.Is(err, ErrUnavailable), errors.Is(err, ErrOverBudget):
		p.refused()
	default:
		p.answered(d)
	}
}
