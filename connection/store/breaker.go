package store

import (
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rs/zerolog"

	"fennelshunt.example/fennelshunt/internal/sleep"
)

const (
	// breakerThreshold is how many consecutive calls must fail for the breaker to
	// open.
	breakerThreshold = 3
	// firstProbe and lastProbe bound the time between two probes in an outage.
	// lastProbe also bounds the delay until the end of an outage is noticed.
	firstProbe = 250 * time.Millisecond
	lastProbe  = 2 * time.Second
)

// callResult is what the breaker concludes from a call.
type callResult int

const (
	callAnswered  callResult = iota // the store answered, possibly with a refusal
	callFailed                      // no answer
	callAbandoned                   // the caller gave up first; ignored
)

// ticket records whether a call is the breaker's probe.
type ticket struct{ probe bool }

// breaker is a circuit breaker that refuses calls during an outage. Without it
// every call of every daemon would wait for its timeout, callers would queue up,
// and all of them would load the store at once when it recovers. A closed breaker
// passes all calls, an open one none, except for one probe after each jittered
// interval; only an answer closes the breaker again.
type breaker struct {
	mu       sync.Mutex
	log      zerolog.Logger
	failures int
	open     bool
	probing  bool
	since    time.Time
	next     time.Time
	interval *backoff.ExponentialBackOff
	opened   int64
}

func newBreaker(log zerolog.Logger) *breaker {
	return &breaker{log: log, interval: sleep.NewBackoff(firstProbe, lastProbe)}
}

// refuses reports whether enter would refuse a call now.
func (b *breaker) refuses() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.waiting()
}

// waiting reports whether the breaker is open and no probe is due.
func (b *breaker) waiting() bool {
	return b.open && (b.probing || time.Now().Before(b.next))
}

// enter asks for permission to make a call; each ticket must be passed to leave.
func (b *breaker) enter() (ticket, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.open {
		return ticket{}, true
	}
	if b.waiting() {
		return ticket{}, false
	}
	b.probing = true
	return ticket{probe: true}, true
}

// leave reports the result of a call.
func (b *breaker) leave(t ticket, r callResult) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t.probe {
		b.probing = false
	}
	switch r {
	case callAnswered:
		b.answered()
	case callFailed:
		b.failed(t)
	}
}

func (b *breaker) answered() {
	b.failures = 0
	if !b.open {
		return
	}
	b.open = false
	b.log.Info().Dur("outage", time.Since(b.since)).Msg("store answers again; calls are no longer refused")
}

func (b *breaker) failed(t ticket) {
	b.failures++
	if b.open {
		if t.probe {
			b.next = time.Now().Add(b.interval.NextBackOff())
		}
		return
	}
	if b.failures < breakerThreshold {
		return
	}
	b.open = true
	b.opened++
	b.since = time.Now()
	b.interval.Reset()
	b.next = b.since.Add(b.interval.NextBackOff())
	b.log.Warn().Int("failures", b.failures).Msg("store does not answer; calls are refused until a probe is answered")
}

func (b *breaker) isClosed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.open
}
