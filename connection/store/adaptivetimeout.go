package store

import (
	"context"
	"errors"
	"sync"
	"time"
)

// AdaptiveTimeout is a call timeout that is derived from the duration of recent calls. It
// also records whether the store answers or refuses calls.
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
	// failingSince is when the first of the consecutive failed calls ended.
	failingSince time.Time
	// refusals counts consecutive refused calls.
	refusals   int
	answeredAt time.Time                 // of the last answered call
	latest     time.Duration             // duration of the last answered call
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
func (a *AdaptiveTimeout) Timeout() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	d := max(a.average*timeoutFactor, a.Min) << min(a.timeouts, maxTimeoutDoublings)
	return min(d, a.Max)
}

// Average returns the decaying average duration of answered calls; 0 before the first.
func (a *AdaptiveTimeout) Average() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.average
}

// Call makes one call bounded by Timeout and records its result. A call that the
// caller cancels is not recorded: it would make the store look failed, and each
// submission after it would cost an additional read.
func (a *AdaptiveTimeout) Call(ctx context.Context, f func(ctx context.Context) error) error {
	return a.CallWithMinTimeout(ctx, 0, f)
}

// CallWithMinTimeout is Call with a timeout of at least minTimeout, for a caller that does other
// work meanwhile and can use a late answer.
func (a *AdaptiveTimeout) CallWithMinTimeout(ctx context.Context, minTimeout time.Duration,
	f func(ctx context.Context) error,
) error {
	bounded, cancel := context.WithTimeout(ctx, max(a.Timeout(), minTimeout))
	defer cancel()
	start := time.Now()
	err := f(bounded)
	if !errors.Is(ctx.Err(), context.Canceled) {
		a.record(err, time.Since(start))
	}
	return err
}

// answered records a call that was answered after d.
func (a *AdaptiveTimeout) answered(d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.overtake(now.Add(-d), a.failing && now.Sub(a.answeredAt) >= minOutage)
	a.timeouts, a.refusals = 0, 0
	a.failing = false
	a.answeredAt, a.latest = now, d
	if a.recovered != nil {
		close(a.recovered)
		a.recovered = nil
	}
	if a.average == 0 {
		a.average = d
		return
	}
	a.average += (d - a.average) / averageDecay
}

// timedOut records a call without an answer.
func (a *AdaptiveTimeout) timedOut() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.timeouts++
	a.fail()
}

// refused records a call that the store refused or that did not reach it.
func (a *AdaptiveTimeout) refused() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refusals++
	a.fail()
	a.refusedAt = time.Now()
}

// fail records that the last call failed; a.mu is held.
func (a *AdaptiveTimeout) fail() {
	if !a.failing {
		a.failing, a.failingSince = true, time.Now()
	}
}

// Condition is what recent calls have shown of the store.
type Condition struct {
	Failing      bool          // the last call failed
	FailingSince time.Time     // end of the first of the consecutive failed calls, if Failing
	RefusedAt    time.Time     // last refused call; zero for none
	AnsweredAt   time.Time     // last answered call; zero for none
	Average      time.Duration // decaying average duration of answered calls; 0 before the first
	Latest       time.Duration // duration of the last answered call
}

// Condition returns what recent calls have shown of the store.
func (a *AdaptiveTimeout) Condition() Condition {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Condition{Failing: a.failing, FailingSince: a.failingSince, RefusedAt: a.refusedAt,
		AnsweredAt: a.answeredAt, Average: a.average, Latest: a.latest}
}

// refusingCalls is the number of consecutive refusals that Refusing requires. A store that
// only refuses the calls above its rate limits returns fewer in succession.
const refusingCalls = 3

// refusingTime is how long the store must have refused every call for Refusing to
// report it.
const refusingTime = 300 * time.Millisecond

// Refusing reports whether the store has refused every call for a while.
func (a *AdaptiveTimeout) Refusing() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.refusals >= refusingCalls && time.Since(a.answeredAt) >= refusingTime
}

// Failing reports whether the last call failed. The outcome of a write that is sent
// then may stay unknown; a read is the safe way to check that the store is available.
func (a *AdaptiveTimeout) Failing() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.failing
}

// RefusedWithin reports whether the last call failed and a call was refused within the
// last d. Calls without an answer do not count: waiting for their timeout already
// spaces the next calls.
func (a *AdaptiveTimeout) RefusedWithin(d time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.failing && time.Since(a.refusedAt) < d
}

// AwaitAnswer returns at once unless the last call failed; otherwise when a call has been
// answered, limit has passed or ctx ends. It keeps each of a daemon's followers from calling
// the store ten times a second during an outage; all calls are billed.
func (a *AdaptiveTimeout) AwaitAnswer(ctx context.Context, limit time.Duration) {
	a.mu.Lock()
	if !a.failing {
		a.mu.Unlock()
		return
	}
	if a.recovered == nil {
		a.recovered = make(chan struct{})
	}
	recovered := a.recovered
	a.mu.Unlock()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-recovered:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// record records the result of a call that took d, by its error.
func (a *AdaptiveTimeout) record(err error, d time.Duration) {
	switch {
	case errors.Is(err, ErrUnknownOutcome), errors.Is(err, ErrUnavailable) && errors.Is(err, context.DeadlineExceeded):
		a.timedOut()
	case errors.Is(err, ErrUnavailable), errors.Is(err, ErrOverBudget):
		a.refused()
	default:
		a.answered(d)
	}
}
