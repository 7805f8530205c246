// Package gateway is the HTTP reverse proxy between callers and the instances
// of services. For each request it finds the service, sets a deadline, applies
// the idempotency key, acquires a slot, forwards, retries where the verdict
// allows it, and answers.
//
// Guarantees: the answer to every request that it handles carries a verdict;
// verdict NotRun is given only when no attempt of the request can have run; a
// truncated answer is never passed on as a complete one.
package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"fennelshunt.example/fennelshunt/internal/sleep"
	"fennelshunt.example/fennelshunt/request/admission"
	"fennelshunt.example/fennelshunt/request/retry"
	"fennelshunt.example/fennelshunt/request/verdict"
)

var (
	errDraining   = errors.New("this daemon is stopping")
	errStarting   = errors.New("this daemon has begun and does not know the configuration yet")
	errNoTime     = errors.New("the request waited so long that it would hardly be answered before its deadline")
	errOverloaded = errors.New("this daemon has too many requests in progress")
)

const (
	// drainPoll is the interval at which Drain checks for requests in progress.
	drainPoll = 10 * time.Millisecond
	// quietPeriod is the time without a new request after which the load balancer is taken
	// to have stopped sending requests here.
	quietPeriod = 500 * time.Millisecond
	// maxQuietWait bounds the wait for a quiet period after Drain's grace period.
	maxQuietWait = 8 * time.Second
)

// Gateway serves callers' requests. Its methods are safe for concurrent use.
type Gateway struct {
	opts     Options
	idPrefix string
	idSeq    atomic.Uint64

	inFlight    atomic.Int64
	lastArrival atomic.Int64 // Unix nanoseconds; arrival of the last caller's request since Drain began
	shares      shares
	bodies      bodyMemory
	state       atomic.Int32
	counts      Counters

	deadlines deadlines

	mu      sync.Mutex
	budgets map[string]*retry.Budget
}

// States of a gateway.
const (
	serving int32 = iota
	unready       // the readiness check fails; requests are still served
	refusing
)

// New returns a gateway that serves once Options.Ready is closed.
func New(o Options) *Gateway {
	o.setDefaults()
	g := &Gateway{
		opts:     o,
		idPrefix: uuid.NewString()[:8] + "-",
		budgets:  map[string]*retry.Budget{},
	}
	g.shares.init(o.MaxConcurrent)
	g.bodies.init(o.KeyedBodyMemory)
	return g
}

// ServeHTTP serves callers.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.serve(w, r, false)
}

func (g *Gateway) serve(w http.ResponseWriter, r *http.Request, forwarded bool) {
	inFlight := g.inFlight.Add(1)
	c, failure := g.newCall(w, r, forwarded)
	defer g.leave(c)
	defer g.recordOutcome(c)
	if failure == nil {
		defer c.wait.stop()
		failure = g.precheck(c, inFlight)
	}
	if !forwarded && g.state.Load() != serving {
		g.lastArrival.Store(c.start.UnixNano())
		w.Header().Set("Connection", "close") // the load balancer reconnects to another daemon
	}
	if failure != nil {
		c.fail(failure)
		return
	}
	c.body = &c.firstBody
	c.body.init(w, r, &g.opts)
	if c.key != "" {
		g.serveKeyed(c)
		return
	}
	if err := g.preload(c); err != nil {
		c.fail(bodyError(err))
		return
	}
	g.servePlain(c)
}

// preload reads a small body before a slot is acquired, so that a slow caller
// does not occupy a slot.
func (g *Gateway) preload(c *call) error {
	size := c.in.ContentLength
	if size <= 0 || size > int64(g.opts.RewindBody) {
		return nil
	}
	limit := time.Now().Add(g.opts.BodyTimeout)
	g.deadlines.set(&c.bodyAlarm, limit, c.body.interrupt)
	defer g.deadlines.stop(&c.bodyAlarm)
	return c.body.preload(size)
}

// ready reports whether the configuration has been loaded. Without this check a daemon that
// has just started would answer 404 for services that exist, and callers do not retry a 404.
func (g *Gateway) ready() bool {
	select {
	case <-g.opts.Ready:
		return true
	default:
		return false
	}
}

// precheck refuses a request when the gateway is stopping or when a concurrency
// or rate limit is reached. Otherwise it counts the request against the shares
// of its caller and team.
func (g *Gateway) precheck(c *call, inFlight int64) *verdict.Error {
	if g.state.Load() == refusing {
		return refuse(http.StatusServiceUnavailable, CodeDraining, errDraining)
	}
	if inFlight > int64(g.opts.MaxConcurrent) {
		return g.refuseTemporarily(c, CodeOverloaded, errOverloaded)
	}
	if c.forwarded {
		return nil // counted by the daemon that received it from the caller
	}
	if err := g.shares.enter(c.callerKey()); err != nil {
		return g.refuseTemporarily(c, CodeOverloaded, err)
	}
	c.counted = true
	teamRate := 0.0
	if c.team != nil {
		teamRate = c.team.RequestsPerSecond
	}
	if err := g.opts.Admission.Limit(c.teamName(), c.identity.Caller, teamRate); err != nil {
		return verdict.As(err)
	}
	return nil
}

// admit waits until the request may take a slot.
func (g *Gateway) admit(c *call) (*admission.Pass, error) {
	return g.opts.Admission.Enter(c.wait, c.admission())
}

// admission describes the call to the admission controller.
func (c *call) admission() admission.Request {
	r := admission.Request{Service: c.service, Team: c.teamName(), Deadline: c.deadline}
	if c.team != nil {
		r.Weight = c.team.Weight
	}
	return r
}

// requestID returns a new id, or the id that the forwarding daemon assigned.
func (g *Gateway) requestID(r *http.Request, forwarded bool) string {
	if id := r.Header.Get(verdict.RequestIDHeader); forwarded && id != "" && len(id) <= maxName {
		return id
	}
	const digits = 24
	id := append(make([]byte, 0, digits), g.idPrefix...)
	return string(strconv.AppendUint(id, g.idSeq.Add(1), 36))
}

// budget returns the retry budget of a service.
func (g *Gateway) budget(service string) *retry.Budget {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.budgets[service]
	if b == nil {
		b = retry.NewBudget(g.opts.Retry)
		g.budgets[service] = b
	}
	return b
}

// Drain stops the gateway gracefully. For the grace period it keeps serving
// while its readiness check fails, so that the load balancer moves to other
// daemons, and for longer while new requests still arrive. Then it refuses new
// requests as not run and waits until those in progress have completed. It
// returns the error of ctx when ctx is done first.
func (g *Gateway) Drain(ctx context.Context, grace time.Duration) error {
	g.state.CompareAndSwap(serving, unready)
	_ = sleep.For(ctx, grace) // an ended ctx is detected by the loops below
	g.awaitQuietPeriod(ctx)
	g.state.Store(refusing)
	tick := time.NewTicker(drainPoll)
	defer tick.Stop()
	for g.inFlight.Load() > 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// awaitQuietPeriod waits until no new request has arrived for quietPeriod, at
// most for maxQuietWait.
//
// A fixed wait is not enough: a load balancer whose check is answered late, or that checks
// seldom, keeps sending requests here for longer. They would be refused by a daemon that
// could serve them, and the last ones would find their connections closed.
func (g *Gateway) awaitQuietPeriod(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxQuietWait)
	defer cancel()
	for time.Since(time.Unix(0, g.lastArrival.Load())) < quietPeriod {
		if sleep.For(ctx, drainPoll) != nil {
			return
		}
	}
}

// InFlight returns the number of requests in progress, including waiting ones.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }
