package gateway

import (
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"fennelshunt.example/fennelshunt/request/forward"
	"fennelshunt.example/fennelshunt/request/verdict"
	"fennelshunt.example/fennelshunt/version/spec"
)

// call is the state of one request in the gateway.
type call struct {
	w  http.ResponseWriter
	in *http.Request

	id         string
	service    string
	job        *spec.VersionedJob
	identity   Identity
	team       *spec.Team // nil when it is not in the configuration
	key        string
	idempotent bool
	forwarded  bool // from another daemon
	start      time.Time
	deadline   time.Time
	limit      time.Duration // request timeout of the service
	body       *body

	// wait ends when the caller disconnects or at the deadline. Attempts do not
	// run under it: when the caller has disconnected the answer is read and
	// discarded, because only its end shows that the endpoint's slot is free.
	wait *waitContext

	// tried combines the verdicts of all attempts so far.
	tried    verdict.Verdict
	attempts int
	endpoint string

	fromOwner bool // the answer was forwarded from the key owner
	cut       bool // the caller got a truncated answer

	reply reply
	left  atomic.Bool // set once the request is no longer counted as in progress

	counted bool // against the shares of its caller and its team

	// Embedded so that most requests need a single allocation.
	firstBody body
	firstWait waitContext
	bodyAlarm alarm
	watch     deadlineWatch
	out       forward.Outgoing
	values    [2]string // backing store of the two headers that answerHeader sets
}

// leave removes the request from the counts of those in progress. Only the
// first call has an effect.
func (g *Gateway) leave(c *call) {
	if c.left.CompareAndSwap(false, true) {
		g.inFlight.Add(-1)
		if c.counted {
			g.shares.leave(c.callerKey())
		}
	}
}

// newCall validates the request. The call is not nil even when it returns an
// error, and nothing has run by then.
func (g *Gateway) newCall(w http.ResponseWriter, r *http.Request, forwarded bool) (*call, *verdict.Error) {
	c := &call{w: w, in: r, start: time.Now(), forwarded: forwarded, tried: verdict.NotRun}
	c.id = g.requestID(r, forwarded)
	if !g.ready() {
		return c, refuse(http.StatusServiceUnavailable, CodeStarting, errStarting)
	}
	if err := g.parse(c); err != nil {
		return c, err
	}
	c.firstWait.Context, c.firstWait.deadline = r.Context(), c.deadline
	c.wait = &c.firstWait
	return c, nil
}

func (g *Gateway) parse(c *call) *verdict.Error {
	h := c.in.Header
	if c.in.Method == http.MethodConnect || c.in.RequestURI == "*" {
		return refuse(http.StatusMethodNotAllowed, CodeBadRequest, errNoPath)
	}
	if c.in.URL.Opaque != "" {
		return badRequest(errNoPath)
	}
	if wantsWebSocket(h) {
		return refuse(http.StatusNotImplemented, CodeUpgrade, errUpgrade)
	}
	c.service = ServiceName(h.Get(ServiceHeader), c.in.Host)
	job, failure := findService(g.opts.Config.Current(), c.service)
	if failure != nil {
		c.service = "" // keeps unknown names out of the metrics
		return failure
	}
	c.job = job
	c.identity = g.identify(c)
	c.team = g.opts.Config.Current().Teams[c.identity.Team]
	if len(c.identity.Team) > maxName || len(c.identity.Caller) > maxName {
		return badRequest(fmt.Errorf("team or caller name longer than %d bytes", maxName))
	}
	c.limit = g.opts.Timeout
	if t := job.Service.RequestTimeout.Std(); t > 0 {
		c.limit = t
	}
	timeout, err := ParseTimeout(h.Get(TimeoutHeader), c.limit)
	if err != nil {
		return badRequest(err)
	}
	c.deadline = c.start.Add(timeout)
	if c.key, err = ParseKey(h[KeyHeader]); err != nil {
		return badRequest(err)
	}
	if c.idempotent, err = ParseIdempotent(h.Get(IdempotentHeader), c.in.Method); err != nil {
		return badRequest(err)
	}
	if c.in.ContentLength > g.opts.MaxBody {
		return refuse(http.StatusRequestEntityTooLarge, CodeBodyTooLarge, fmt.Errorf("body of %d bytes, limit %d", c.in.ContentLength, g.opts.MaxBody))
	}
	return nil
}

// identify returns the sender of the request; for a forwarded one, the identity
// that the forwarding daemon has set in the headers.
func (g *Gateway) identify(c *call) Identity {
	if c.forwarded {
		return Identity{Team: c.in.Header.Get(TeamHeader), Caller: c.in.Header.Get(CallerHeader)}
	}
	return g.opts.Identify(c.in)
}

// outgoing returns the request to send to endpoints. It prepares the headers in
// place: hop-by-hop headers are removed, request id and identity are set.
func (c *call) outgoing() *forward.Outgoing {
	forward.PrepareRequest(c.in.Header, c.id)
	delete(c.in.Header, ForwardedHeader)
	c.setIdentity()
	o := &c.out
	o.Method, o.URL, o.Host, o.Header, o.Trailer = c.in.Method, c.in.URL, c.in.Host, c.in.Header, c.in.Trailer
	o.ContentLength, o.ID = c.in.ContentLength, c.id
	return o
}

// setIdentity sets the team and caller headers from the identity that this
// daemon has established. Otherwise a caller with a certificate could send
// another team's name in a header, which the daemon ignores but the instance
// would trust.
func (c *call) setIdentity() {
	setOrDelete(c.in.Header, TeamHeader, c.identity.Team)
	setOrDelete(c.in.Header, CallerHeader, c.identity.name())
}

func setOrDelete(h http.Header, name, value string) {
	switch {
	case value == "":
		delete(h, name)
	case len(h[name]) != 1 || h[name][0] != value:
		h[name] = []string{value}
	}
}

// teamName returns the team for limits and fair shares. All teams that are not
// in the configuration share one name, so that callers cannot multiply their
// share by inventing teams.
func (c *call) teamName() string {
	if c.team == nil {
		return ""
	}
	return c.team.Name
}

func (c *call) callerKey() callerKey { return callerKey{c.teamName(), c.identity.Caller} }

func (c *call) remaining() time.Duration { return time.Until(c.deadline) }

// fail answers the caller with an error. The verdict covers all attempts: when
// an earlier one may have run, NotRun would be false.
func (c *call) fail(err error) {
	e := *verdict.As(err)
	describeBody(&e)
	if c.attempts > 0 {
		e.Verdict = c.tried.Combine(e.Verdict)
	}
	if c.reply.claim() {
		c.reply.note(e.Status, e.Verdict, e.Code)
		e.WriteHTTP(c.w, c.id)
	}
}

// pause waits before the next attempt. It returns false when the call's wait
// context ends first.
func (c *call) pause(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-c.wait.Done():
		return false
	}
}

// endedInBody reports whether err was caused by the caller's request body.
func endedInBody(err error) bool {
	var e *verdict.Error
	return errors.As(err, &e) && e.Code == forward.CodeCallerBody
}
