package store

import (
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rs/zerolog"

	"fennelshunt.example/fennelshunt/internal/sleep"
)

const (
	// breakerThreshold is how many calls must fail in a row to open.
	breakerThreshold = 3
	// firstProbe and lastProbe bound the time between two probes in an outage.
	// The last one bounds how late a daemon learns that the store is back.
	firstProbe = 250 * time.Millisecond
	lastProbe  = 2 * time.Second
)

// callResult is what one call says about the store.
type callResult int

const (
	callAnswered  callResult = iota // the store answered, if only to refuse
	callFailed                      // no answer
	callAbandoned                   // the caller gave up first: says nothing
)

// ticket names the breaker's state when a call began.
type ticket struct{ probe bool }

// breaker refuses calls during an outage. What goes wrong without it: every
// call of every daemon waits for its timeout, callers pile up behind them, and
// the moment the store is back all of them fall on it at once. Closed it lets
// all calls pass; open none; after a jittered interval one call probes, and
// only its answer closes the breaker again.
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

// refuses tells whether enter would refuse now.
func (b *breaker) refuses() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.waiting()
}

// waiting tells that no call may pass yet.
func (b *breaker) waiting() bool {
	return b.open && (b.probing || time.Now().Before(b.next))
}

// enter asks to make a call; each ticket must be given back to leave.
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
	b.log.Info().Dur("outage", time.Since(b.since)).Msg("store is back")
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
	b.log.Warn().Int("failures", b.failures).Msg("store does not answer")
}

func (b *breaker) isClosed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.open
}
