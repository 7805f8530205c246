// Package retry decides whether and when a failed attempt is made again: as
// the verdict allows, within a budget, after a backoff with jitter.
package retry

import (
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"fennelshunt.example/fennelshunt/request/verdict"
)

// Defaults of Options.
const (
	DefaultRatio       = 0.1
	DefaultBurst       = 20
	DefaultMaxAttempts = 3
	DefaultFirstDelay  = 5 * time.Millisecond
	DefaultMaxDelay    = 250 * time.Millisecond

	jitter     = 0.5
	multiplier = 2
)

// Options of a Budget; zero values take the defaults.
type Options struct {
	// Ratio is how many retries each request earns.
	Ratio float64
	// Burst limits the retries that may accumulate.
	Burst float64
	// MaxAttempts limits the attempts of one request, the first included.
	MaxAttempts int
	// FirstDelay and MaxDelay bound the backoff between two attempts.
	FirstDelay, MaxDelay time.Duration
}

func (o *Options) setDefaults() {
	if o.Ratio == 0 {
		o.Ratio = DefaultRatio
	}
	if o.Burst == 0 {
		o.Burst = DefaultBurst
	}
	if o.MaxAttempts == 0 {
		o.MaxAttempts = DefaultMaxAttempts
	}
	if o.FirstDelay == 0 {
		o.FirstDelay = DefaultFirstDelay
	}
	if o.MaxDelay == 0 {
		o.MaxDelay = DefaultMaxDelay
	}
}

// Permitted reports whether the verdict allows a request to be sent again.
func Permitted(v verdict.Verdict, idempotent bool) bool {
	switch v {
	case verdict.NotRun:
		return true
	case verdict.MayHaveRun:
		return idempotent
	default:
		return false
	}
}

// Budget limits the retries of one service to a share of its requests.
//
// Without it, an overload or a failing set of endpoints multiplies the load by the number of
// attempts when there is least capacity for it: the endpoints' request rate exceeds the
// callers'. With it the additional load stays within Ratio. It is safe for concurrent use.
type Budget struct {
	opts Options

	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget(o Options) *Budget {
	o.setDefaults()
	return &Budget{opts: o, tokens: o.Burst}
}

// earn credits the budget for one request.
func (b *Budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.opts.Burst, b.tokens+b.opts.Ratio)
}

func (b *Budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Request counts a new request and returns the Attempts that limit its retries.
func (b *Budget) Request(idempotent bool) Attempts {
	b.earn()
	return Attempts{budget: b, idempotent: idempotent, made: 1}
}

// Attempts tracks the attempts of one request. It is not safe for concurrent use.
type Attempts struct {
	budget     *Budget
	idempotent bool
	made       int
	backoff    *backoff.ExponentialBackOff
}

// Next reports whether a request whose attempt failed with this verdict may be tried again,
// after delay. left is the time until its deadline: a retry is refused if it could not begin
// by then, so that the caller gets the error at once. reached reports whether the attempt
// reached an endpoint. One that did not has put no load on an endpoint and is not charged to the
// budget; otherwise the loss of a zone, where a third of the first attempts find no connection,
// would use up the budget and fail requests that other instances could serve.
func (a *Attempts) Next(v verdict.Verdict, reached bool, left time.Duration) (delay time.Duration, ok bool) {
	if a.made >= a.budget.opts.MaxAttempts || !Permitted(v, a.idempotent) {
		return 0, false
	}
	if a.backoff == nil {
		a.backoff = &backoff.ExponentialBackOff{
			InitialInterval:     a.budget.opts.FirstDelay,
			RandomizationFactor: jitter,
			Multiplier:          multiplier,
			MaxInterval:         a.budget.opts.MaxDelay,
		}
		a.backoff.Reset()
	}
	delay = a.backoff.NextBackOff()
	if delay >= left || reached && !a.budget.spend() {
		return 0, false
	}
	a.made++
	return delay, true
}
