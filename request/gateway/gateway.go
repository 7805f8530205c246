// Package gateway carries callers' requests to the instances of services: it
// finds the service, gives the request a deadline, keeps idempotency keys,
// takes a slot, forwards, retries as the verdict allows, and answers with a
// verdict.
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
	// drainPoll is how often Drain looks whether the last request has ended.
	drainPoll = 10 * time.Millisecond
	// quiet is for how long no caller has sent anything once the balancer has gone elsewhere.
	quiet = 500 * time.Millisecond
	// noticeLimit bounds the wait for the balancer beyond the grace.
	noticeLimit = 8 * time.Second
)

// Gateway serves callers' requests. Its methods are safe for concurrent use.
type Gateway struct {
	opts     Options
	idPrefix string
	idSeq    atomic.Uint64

	inFlight atomic.Int64
	lastCall atomic.Int64 // when a caller's request came last while unready, in Unix nanoseconds
	shares   shares
	bodies   bodyMemory
	state    atomic.Int32
	counts   Counters

	deadlines deadlines

	mu      sync.Mutex
	budgets map[string]*retry.Budget
}

// States of a gateway.
const (
	serving int32 = iota
	unready       // the balancer is told to go elsewhere; requests are served
	refusing
)

// New returns a gateway that serves as soon as Options.Ready says so.
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
	defer g.ended(c)
	if failure == nil {
		defer c.wait.stop()
		failure = g.gate(c, inFlight)
	}
	if !forwarded && g.state.Load() != serving {
		g.lastCall.Store(c.start.UnixNano())
		w.Header().Set("Connection", "close") // the balancer opens the next one elsewhere
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

// preload reads a small body before a slot is taken, so that a slow caller
// holds no slot.
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

// ready reports whether the configuration is known. Without this question a daemon that
// has just begun answers 404 for services that exist, and their callers do not come back.
func (g *Gateway) ready() bool {
	select {
	case <-g.opts.Ready:
		return true
	default:
		return false
	}
}

// gate refuses work that this daemon must not take on.
func (g *Gateway) gate(c *call, inFlight int64) *verdict.Error {
	if g.state.Load() == refusing {
		return refuse(http.StatusServiceUnavailable, CodeDraining, errDraining)
	}
	if inFlight > int64(g.opts.MaxConcurrent) {
		return g.refuseForNow(c, CodeOverloaded, errOverloaded)
	}
	if c.forwarded {
		return nil // counted where it arrived
	}
	if err := g.shares.enter(c.share()); err != nil {
		return g.refuseForNow(c, CodeOverloaded, err)
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

// requestID returns a new id, or that which another daemon gave the request.
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

// Drain stops the gateway as planned: for grace it serves on while its
// readiness check fails, so that the balancer goes elsewhere, and longer while
// callers still come; then it refuses new requests as not run and waits until
// those in progress have ended or ctx ends.
func (g *Gateway) Drain(ctx context.Context, grace time.Duration) error {
	g.state.CompareAndSwap(serving, unready)
	_ = sleep.For(ctx, grace) // ends with ctx, which the loops see
	g.awaitQuiet(ctx)
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

// awaitQuiet waits until callers come no more.
//
// What goes wrong with a fixed time: a balancer whose check is answered late, or that checks
// seldom, sends callers here for longer. They are refused by a daemon that could serve them,
// and those that come at the very end meet closed connections.
func (g *Gateway) awaitQuiet(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, noticeLimit)
	defer cancel()
	for time.Since(time.Unix(0, g.lastCall.Load())) < quiet {
		if sleep.For(ctx, drainPoll) != nil {
			return
		}
	}
}

// InFlight returns how many requests are in progress, waiting ones included.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }
