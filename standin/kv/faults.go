package kv

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"fennelshunt.example/fennelshunt/connection/store"
)

// Faults are the injected faults. Probabilities are from 0 to 1.
type Faults struct {
	// Down makes every call fail at once with ErrUnavailable and ends waiting watches.
	Down bool
	// Hang makes every call wait for the end of its context, without effect.
	Hang bool
	// FreezeLeases keeps leases from expiring while the service is Down.
	FreezeLeases bool
	// LoseAnswers is the probability that a call takes effect but its response is
	// lost: ErrUnknownOutcome for writes, ErrUnavailable for reads.
	LoseAnswers float64
	// LoseRequests is the probability that a call is lost before it takes
	// effect; the caller gets the same error as for a lost response.
	LoseRequests float64
	// Refuse is the probability that a call is rejected with ErrUnavailable.
	Refuse float64
	// Delay is how long a call waits before it takes effect. A write whose
	// context ends during the wait still takes effect after it.
	Delay time.Duration
	// DelayChance is the probability that a call is delayed; 0 means that all are.
	DelayChance float64
	// LongDelayChance is the probability that a call is delayed by a quarter to the whole of
	// LongDelay instead.
	LongDelayChance float64
	LongDelay       time.Duration
	// CallsPerSecond limits the rate of all calls together; excess calls are rejected
	// with ErrOverBudget. 0 means no limit.
	CallsPerSecond float64
}

// Counts are the calls received since the engine was created, by kind. A watch
// counts once, however long it waits; a transaction counts as Put.
type Counts struct {
	Get, List, Put, Delete, Watch, Grant, Renew, Revoke int
	// Refused counts the calls over CallsPerSecond.
	Refused int
}

// Reads returns the number of read calls.
func (c Counts) Reads() int { return c.Get + c.List + c.Watch }

// Writes returns the number of write calls.
func (c Counts) Writes() int { return c.Put + c.Delete + c.Grant + c.Renew + c.Revoke }

// Total returns the number of all calls.
func (c Counts) Total() int { return c.Reads() + c.Writes() }

// callKind is the kind of a call, by the methods of store.Store, for faults and counts.
type callKind int

const (
	callGet callKind = iota
	callList
	callWatch
	callPut
	callDelete
	callGrant
	callRenew
	callRevoke
)

func (k callKind) writes() bool { return k >= callPut }

func (c *Counts) add(kind callKind) {
	counters := [...]*int{&c.Get, &c.List, &c.Watch, &c.Put, &c.Delete, &c.Grant, &c.Renew, &c.Revoke}
	*counters[kind]++
}

// rateLimit is the rate limit of the service.
type rateLimit struct{ limiter *rate.Limiter }

// SetFaults replaces the injected faults.
func (m *Memory) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limit = nil
	if f.CallsPerSecond > 0 {
		burst := max(1, int(f.CallsPerSecond))
		m.limit = &rateLimit{rate.NewLimiter(rate.Limit(f.CallsPerSecond), burst)}
	}
	m.faults = f
	close(m.released)
	m.released = make(chan struct{})
}

// Counts returns the calls received so far.
func (m *Memory) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts
}

// outcome is the combination of faults drawn for one call.
type outcome struct {
	refused     error
	hang        bool
	loseRequest bool
	loseAnswer  bool
	delay       time.Duration
}

func (m *Memory) decide(kind callKind) outcome {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.add(kind)
	f := m.faults
	if m.limit != nil && !m.limit.limiter.Allow() {
		m.counts.Refused++
		return outcome{refused: store.ErrOverBudget}
	}
	if f.Down || m.chance(f.Refuse) {
		return outcome{refused: store.ErrUnavailable}
	}
	decided := outcome{
		hang:        f.Hang,
		loseRequest: m.chance(f.LoseRequests),
		loseAnswer:  m.chance(f.LoseAnswers),
	}
	if f.DelayChance == 0 || m.chance(f.DelayChance) {
		decided.delay = f.Delay
	}
	if m.chance(f.LongDelayChance) {
		decided.delay = f.LongDelay/4 + time.Duration(m.rng.Float64()*float64(f.LongDelay)*3/4)
	}
	return decided
}

func (m *Memory) chance(p float64) bool { return p > 0 && m.rng.Float64() < p }

// call counts a call and runs its effect under the lock, subject to the faults.
func (m *Memory) call(ctx context.Context, kind callKind, effect func() error) error {
	f := m.decide(kind)
	if f.refused != nil {
		return fmt.Errorf("stand-in refused the call: %w", f.refused)
	}
	if f.hang {
		<-ctx.Done()
		return lostError(kind, ctx.Err())
	}
	if f.loseRequest {
		return lostError(kind, nil)
	}
	if f.delay > 0 {
		if err := m.delayed(ctx, kind, f.delay, effect); err != nil {
			return err
		}
	}
	err := m.locked(effect)
	if f.loseAnswer {
		return lostError(kind, nil)
	}
	return err
}

// delayed waits for the delay. If ctx ends first, a write still takes effect at the end of
// the delay, in the background.
func (m *Memory) delayed(ctx context.Context, kind callKind, delay time.Duration, effect func() error) error {
	due := time.Now().Add(delay)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
	}
	if kind.writes() {
		time.AfterFunc(time.Until(due), func() { _ = m.locked(effect) })
	}
	return lostError(kind, ctx.Err())
}

func (m *Memory) locked(effect func() error) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return effect()
}

// stillUp returns an error during an outage, which ends waiting watches.
func (m *Memory) stillUp() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.Down {
		return fmt.Errorf("stand-in went down: %w", store.ErrUnavailable)
	}
	return nil
}

// lostError returns the error of a call without a response.
func lostError(kind callKind, cause error) error {
	err := store.ErrUnavailable
	if kind.writes() {
		err = store.ErrUnknownOutcome
	}
	if cause != nil {
		return fmt.Errorf("no answer: %w: %w", err, cause)
	}
	return fmt.Errorf("no answer: %w", err)
}
