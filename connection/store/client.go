package store

import (
	"cmp"
	"context"
	"errors"
	"expvar"
	"fmt"
	"time"

	"github.com/rs/zerolog"
)

// Defaults of Options.
const (
	DefaultCallTimeout      = 2 * time.Second
	DefaultOperationTimeout = 30 * time.Second
	DefaultWatchWait        = 20 * time.Second
	DefaultWatchFloor       = 250 * time.Millisecond
	DefaultFleetSize        = 8
)

// Options configure a Client. The zero value of a field means its default.
type Options struct {
	// Budget is the call budget of the whole cell.
	Budget Budget
	// FleetSize is the initial number of daemons that share Budget.
	FleetSize int
	// CallTimeout bounds one call; for a watch it is added to the time that it waits.
	CallTimeout time.Duration
	// OperationTimeout bounds an operation of several calls, such as the
	// resolution of a lost response, whose context has no deadline.
	OperationTimeout time.Duration
	// WatchWait is how long one watch call waits for events.
	WatchWait time.Duration
	// WatchFloor is the minimum time between the starts of two watch calls of one
	// Follow, so that a busy prefix does not cost a call per event.
	WatchFloor time.Duration
	// Log receives the start and the end of outages. The zero Logger discards.
	Log zerolog.Logger
}

func (o Options) withDefaults() Options {
	o.Budget = o.Budget.withDefaults()
	o.FleetSize = cmp.Or(o.FleetSize, DefaultFleetSize)
	o.CallTimeout = cmp.Or(o.CallTimeout, DefaultCallTimeout)
	o.OperationTimeout = cmp.Or(o.OperationTimeout, DefaultOperationTimeout)
	o.WatchWait = cmp.Or(o.WatchWait, DefaultWatchWait)
	o.WatchFloor = cmp.Or(o.WatchFloor, DefaultWatchFloor)
	return o
}

// Client makes the calls of one daemon to the store, with timeouts and within the
// call budget. During a known outage calls are refused at once. It is safe for
// concurrent use.
type Client struct {
	store   Store
	options Options
	breaker *breaker
	budget  *limiter
	metrics *metrics
	seen    revisionMark
	handles [roleCount]*Handle
}

// NewClient returns a Client of s.
func NewClient(s Store, o Options) *Client {
	o = o.withDefaults()
	c := &Client{
		store:   s,
		options: o,
		breaker: newBreaker(o.Log),
		budget:  newLimiter(o.Budget, o.FleetSize),
		metrics: newMetrics(),
	}
	for i := range c.handles {
		c.handles[i] = &Handle{client: c, role: Role(i)}
	}
	return c
}

// Role returns the handle whose calls count against the budget of r.
func (c *Client) Role(r Role) *Handle { return c.handles[r] }

// SetFleetSize sets the number of daemons that share the cell's budget.
func (c *Client) SetFleetSize(daemons int) { c.budget.setFleetSize(daemons) }

// Available reports whether the store has answered recently; false means an outage.
func (c *Client) Available() bool { return c.breaker.isClosed() }

// Vars returns the client's metrics for publication.
func (c *Client) Vars() *expvar.Map { return c.metrics.vars }

// callClass says which of the two budgets a call counts against.
type callClass int

const (
	readCall callClass = iota
	writeCall
	classCount int = iota
)

// call makes one call to the store for a handle. The error matches one of the
// package's; ErrUnavailable and ErrOverBudget mean that nothing took effect.
func (c *Client) call(ctx context.Context, h *Handle, class callClass, timeout time.Duration, f func(context.Context) error) error {
	m := c.metrics.of(h.role)
	if !h.ignoreBreaker && c.breaker.refuses() {
		m.refused.Add(1)
		return fmt.Errorf("outage: %w", ErrUnavailable)
	}
	if err := c.budget.wait(ctx, h.role, class); err != nil {
		m.overBudget.Add(1)
		return err
	}
	ticket, ok := c.breaker.enter()
	if !ok && !h.ignoreBreaker {
		m.refused.Add(1)
		return fmt.Errorf("outage: %w", ErrUnavailable)
	}
	m.count(class)
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	begun := time.Now()
	err := classify(f(callCtx), class)
	c.breaker.leave(ticket, resultOf(ctx, err, time.Since(begun), c.options.CallTimeout))
	c.countError(m, class, err)
	return err
}

// countError counts the failure of a call, and lowers the call rate if the service
// refused it for its rate limit.
func (c *Client) countError(m *roleMetrics, class callClass, err error) {
	switch {
	case errors.Is(err, ErrUnknownOutcome):
		m.unknown.Add(1)
	case errors.Is(err, ErrUnavailable):
		m.failed.Add(1)
	case errors.Is(err, ErrOverBudget):
		m.throttled.Add(1)
		c.budget.slowDown(class)
	}
}

// knownErrors are the errors that define the outcome of a call.
var knownErrors = []error{
	ErrNotFound, ErrConflict, ErrUnknownOutcome, ErrUnavailable, ErrTooLarge,
	ErrLeaseLost, ErrOverBudget, ErrCompacted, errInvalid,
}

// classify maps an error that the adapter did not classify to the safe one: the
// write may have taken effect.
func classify(err error, class callClass) error {
	if err == nil {
		return nil
	}
	for _, known := range knownErrors {
		if errors.Is(err, known) {
			return err
		}
	}
	if class == writeCall {
		return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}

// slowShare sets when a call that ended at its caller's deadline counts as a failure
// of the store: if it had run for at least 1/slowShare of the call timeout. A shorter
// deadline says nothing about the store.
const slowShare = 4

// resultOf returns what the breaker is to conclude from a call.
func resultOf(ctx context.Context, err error, took, timeout time.Duration) callResult {
	if !errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrUnknownOutcome) {
		return callAnswered
	}
	abandoned := ctx.Err() != nil
	if abandoned && (errors.Is(ctx.Err(), context.Canceled) || took < timeout/slowShare) {
		return callAbandoned
	}
	return callFailed
}

// bound gives ctx the operation timeout if it has no deadline.
func (c *Client) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, c.options.OperationTimeout)
}
