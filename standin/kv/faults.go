package kv

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"fennelshunt.example/fennelshunt/connection/store"
)

// Faults are the misbehaviours that a test injects. Probabilities are 0 to 1.
type Faults struct {
	// Down refuses every call at once with ErrUnavailable; waiting watches end.
	Down bool
	// Hang makes every call wait until its context ends, without effect.
	Hang bool
	// FreezeLeases keeps leases from lapsing while the service is Down.
	FreezeLeases bool
	// LoseAnswers is the probability that a call takes effect and its answer is
	// lost: ErrUnknownOutcome for writes, ErrUnavailable for reads.
	LoseAnswers float64
	// LoseRequests is the probability that a call is lost before it takes
	// effect; the caller sees the same error as for a lost answer.
	LoseRequests float64
	// Refuse is the probability that a call is refused with ErrUnavailable.
	Refuse float64
	// Delay is how long a call waits before it takes effect. A write whose
	// context ends during the wait still takes effect when the wait is over.
	Delay time.Duration
	// DelayChance is the probability that a call is delayed; 0 means all are.
	DelayChance float64
	// CallsPerSecond limits all calls together; more are refused with
	// ErrOverBudget. 0 is no limit.
	CallsPerSecond float64
}

// Counts are the calls received since the engine was made, by kind. A waiting
// watch is one call.
type Counts struct {
	Get, List, Put, Delete, Watch, Grant, Renew, Revoke int
	// Refused counts calls that CallsPerSecond refused.
	Refused int
}

// Reads returns the number of calls that read.
func (c Counts) Reads() int { return c.Get + c.List + c.Watch }

// Writes returns the number of calls that write.
func (c Counts) Writes() int { return c.Put + c.Delete + c.Grant + c.Renew + c.Revoke }

// Total returns the number of all calls.
func (c Counts) Total() int { return c.Reads() + c.Writes() }

// callKind tells the methods of store.Store apart, for faults and counts.
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

// gate is the rate limit of the service.
type gate struct{ limiter *rate.Limiter }

// SetFaults replaces the faults in force.
func (m *Memory) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gate = nil
	if f.CallsPerSecond > 0 {
		burst := max(1, int(f.CallsPerSecond))
		m.gate = &gate{rate.NewLimiter(rate.Limit(f.CallsPerSecond), burst)}
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

// fate is what the faults decided for one call.
type fate struct {
	refused     error
	hang        bool
	loseRequest bool
	loseAnswer  bool
	delay       time.Duration
}

func (m *Memory) decide(kind callKind) fate {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.add(kind)
	f := m.faults
	if m.gate != nil && !m.gate.limiter.Allow() {
		m.counts.Refused++
		return fate{refused: store.ErrOverBudget}
	}
	if f.Down || m.chance(f.Refuse) {
		return fate{refused: store.ErrUnavailable}
	}
	decided := fate{
		hang:        f.Hang,
		loseRequest: m.chance(f.LoseRequests),
		loseAnswer:  m.chance(f.LoseAnswers),
	}
	if f.DelayChance == 0 || m.chance(f.DelayChance) {
		decided.delay = f.Delay
	}
	return decided
}

func (m *Memory) chance(p float64) bool { return p > 0 && m.rng.Float64() < p }

// call runs effect under the lock, with the faults applied around it.
func (m *Memory) call(ctx context.Context, kind callKind, effect func() error) error {
	f := m.decide(kind)
	if f.refused != nil {
		return fmt.Errorf("stand-in refused the call: %w", f.refused)
	}
	if f.hang {
		<-ctx.Done()
		return lost(kind, ctx.Err())
	}
	if f.loseRequest {
		return lost(kind, nil)
	}
	if f.delay > 0 {
		if err := m.delayed(ctx, kind, f.delay, effect); err != nil {
			return err
		}
	}
	err := m.locked(effect)
	if f.loseAnswer {
		return lost(kind, nil)
	}
	return err
}

// delayed waits; when ctx ends first, a write takes effect later all the same.
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
	return lost(kind, ctx.Err())
}

func (m *Memory) locked(effect func() error) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return effect()
}

// stillUp is asked by a waiting watch when it wakes: an outage ends it.
func (m *Memory) stillUp() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.Down {
		return fmt.Errorf("stand-in went down: %w", store.ErrUnavailable)
	}
	return nil
}

func lost(kind callKind, cause error) error {
	err := store.ErrUnavailable
	if kind.writes() {
		err = store.ErrUnknownOutcome
	}
	if cause != nil {
		return fmt.Errorf("no answer: %w: %w", err, cause)
	}
	return fmt.Errorf("no answer: %w", err)
}
