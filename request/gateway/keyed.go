package gateway

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"fennelshunt.example/fennelshunt/process/fleet"
	"fennelshunt.example/fennelshunt/request/admission"
	"fennelshunt.example/fennelshunt/request/forward"
	"fennelshunt.example/fennelshunt/request/idem"
	"fennelshunt.example/fennelshunt/request/verdict"
)

var (
	errKeysOff = errors.New("idempotency keys are not served here")
	errNoOwner = errors.New("no daemon is known as the key's home")
)

// Pauses between two tries to reach a key's owner.
const (
	ownerPause    = 20 * time.Millisecond
	maxOwnerPause = 250 * time.Millisecond
)

// writeGrace is the time after the deadline, or after a later arrival, in which an
// answer in memory may still be written.
const writeGrace = time.Second

// serveKeyed serves a request with an idempotency key. Every such request is
// handled by the key's owner, which is this daemon or another.
func (g *Gateway) serveKeyed(c *call) {
	if g.opts.Keys == nil {
		c.fail(refuse(http.StatusNotImplemented, CodeKeysOff, errKeysOff))
		return
	}
	reserved := &reservation{memory: &g.bodies, holder: c.callerKey()}
	defer reserved.free()
	data, err := c.body.readWhole(c.in.ContentLength, g.opts.MaxKeyedBody, reserved)
	if err != nil {
		c.fail(bodyError(err))
		return
	}
	c.body = newWholeBody(data)
	// Other requests may join this one, so it continues when its caller disconnects.
	c.wait.stop()
	c.wait = &waitContext{Context: context.WithoutCancel(c.in.Context()), deadline: c.deadline}
	defer c.wait.stop()
	c.in.ContentLength = int64(len(data))
	c.in.Trailer = nil
	req := idem.Request{
		Key:           idem.Key{Team: c.identity.Team, Service: c.service, Text: c.key},
		Fingerprint:   idem.FingerprintOf(c.in, c.identity.name(), data),
		NonIdempotent: !c.idempotent,
	}
	g.serveAtOwner(c, req)
}

// serveAtOwner serves the request at the key's owner and retries while the
// ownership is moving. Sending a keyed request to an owner again is safe
// whatever the outcome of the first try: the owner joins both, or has a record
// that the request was sent.
func (g *Gateway) serveAtOwner(c *call, req idem.Request) {
	until := time.Now().Add(g.opts.OwnerWait)
	for pause := ownerPause; ; pause = min(2*pause, maxOwnerPause) {
		done, err := g.tryOwner(c, req)
		if done {
			return
		}
		if c.forwarded || time.Now().Add(pause).After(until) || !c.pause(pause) {
			c.fail(err)
			return
		}
	}
}

// tryOwner makes one try; done is false when another try may reach the owner.
func (g *Gateway) tryOwner(c *call, req idem.Request) (done bool, err error) {
	owner, self, ok := g.opts.Keys.Owner(req.Key)
	switch {
	case !ok:
		return false, refuse(http.StatusServiceUnavailable, idem.CodeOwnerNotReady, errNoOwner)
	case self:
		return g.serveAsOwner(c, req)
	case c.forwarded:
		return false, refuse(http.StatusServiceUnavailable, idem.CodeNotOwner, errNoOwner)
	default:
		return g.forwardToOwner(c, owner)
	}
}

// serveAsOwner runs the key's request on this daemon, or joins the one that runs.
func (g *Gateway) serveAsOwner(c *call, req idem.Request) (done bool, err error) {
	attempt, answer, err := g.opts.Keys.Begin(c.wait, req)
	switch {
	case err != nil && ownerMoving(verdict.As(err).Code):
		return false, err
	case err != nil:
		c.fail(err)
	case answer != nil:
		c.writeKept(answer)
	default:
		g.runKeyed(c, attempt)
	}
	return true, nil
}

// ownerMoving reports whether an error code means that the key's ownership is
// moving: the claim of an owner that is stopping, or that has restarted, will
// soon belong to another daemon.
func ownerMoving(code string) bool {
	return code == idem.CodeNotOwner || code == idem.CodeOwnerNotReady || code == CodeDraining || code == CodeStarting
}

// runKeyed runs the key's request. It continues when this caller disconnects,
// because other requests may have joined.
func (g *Gateway) runKeyed(c *call, attempt *idem.Attempt) {
	defer attempt.Close()
	pass, err := g.intendAndAdmit(c, attempt)
	if err != nil {
		attempt.Fail(err)
		c.fail(err)
		return
	}
	defer func() { pass.Done(outcomeOf(err)) }()
	var final bool
	final, err = g.attemptAll(c, pass, func(a *forward.Answer) (bool, error) {
		return c.keepAnswer(a, attempt)
	})
	if err != nil && !errors.Is(err, errAnswered) {
		e := *verdict.As(err)
		e.Verdict = c.tried.Combine(e.Verdict)
		attempt.Fail(&e)
	}
	c.finish(final, err)
}

// intendAndAdmit makes the intent durable and then waits for admission.
//
// In the other order admission would count a request as about to take a slot
// while it waits for the store, would mistake the store's service rate for that
// of the slots, and with a slow store would refuse requests of every kind while
// slots are idle. A request that admission would refuse is refused before its
// intent is written; one that is refused afterwards did not run, and its key
// can be used again.
func (g *Gateway) intendAndAdmit(c *call, attempt *idem.Attempt) (*admission.Pass, error) {
	if err := g.opts.Admission.Check(c.admission()); err != nil {
		return nil, err
	}
	if err := attempt.Intend(c.wait); err != nil {
		return nil, err
	}
	return g.admit(c)
}

// keepAnswer passes a complete answer to the joined requests of the key and to
// this caller. An answer that is too large to keep is streamed to this caller.
func (c *call) keepAnswer(a *forward.Answer, attempt *idem.Attempt) (bool, error) {
	body, tooLarge, err := a.ReadWhole(idem.DefaultMaxAnswer)
	if err != nil {
		return false, err
	}
	if tooLarge {
		final, err := c.deliver(a)
		if a.Whole() {
			attempt.Finish(&idem.Answer{Status: a.Status, NotKept: true})
		}
		return final, err
	}
	forward.RemoveHopHeaders(a.Header)
	forward.RemoveReserved(a.Header)
	answer := &idem.Answer{Status: a.Status, Header: a.Header, Body: body, Trailer: a.Trailer()}
	attempt.Finish(answer)
	c.writeKept(answer)
	return true, nil // writeKept does nothing when the deadline was answered first
}

// writeKept answers the caller with an answer that is held in memory.
func (c *call) writeKept(answer *idem.Answer) {
	if !c.reply.claim() {
		return
	}
	h := c.w.Header()
	for name, values := range answer.Header {
		h[name] = values
	}
	if c.in.Method != http.MethodHead && answer.Status != http.StatusNoContent && answer.Status != http.StatusNotModified {
		h["Content-Length"] = []string{strconv.Itoa(len(answer.Body))}
	}
	if len(answer.Trailer) > 0 && c.in.ProtoAtLeast(1, 1) {
		delete(h, "Content-Length") // trailers need a chunked body
		for name := range answer.Trailer {
			h.Add("Trailer", name)
		}
	}
	c.answerHeader(verdict.Ran)
	c.reply.note(answer.Status, verdict.Ran, "")
	defer c.boundWrites()()
	c.w.WriteHeader(answer.Status)
	_, _ = c.w.Write(answer.Body)
	for name, values := range answer.Trailer {
		h[name] = values
	}
}

// boundWrites sets a write deadline of writeGrace after the request's deadline, or after now if
// the answer was complete only after the deadline, for callers that do not read their answer;
// the returned function removes it.
func (c *call) boundWrites() func() {
	ctl := http.NewResponseController(c.w)
	from := c.deadline
	if now := time.Now(); now.After(from) {
		from = now
	}
	_ = ctl.SetWriteDeadline(from.Add(writeGrace))
	return func() { _ = ctl.SetWriteDeadline(time.Time{}) }
}

// forwardToOwner forwards the request to the key's owner.
func (g *Gateway) forwardToOwner(c *call, owner fleet.Member) (done bool, err error) {
	if g.opts.Peers == nil {
		return false, refuse(http.StatusServiceUnavailable, idem.CodeOwnerNotReady, errNoOwner)
	}
	out := c.outgoing()
	out.Header = out.Header.Clone()
	g.forwardHeader(c, out.Header)
	out.Body = bytes.NewReader(c.body.kept)
	answer, err := g.opts.Peers.Send(c.wait, peerEndpoint(owner), out)
	if err != nil {
		c.count(err)
		return false, err
	}
	defer answer.Close()
	v, perr := verdict.Parse(answer.Header.Get(verdict.Header))
	if perr == nil && v == verdict.NotRun && ownerMoving(answer.Header.Get(verdict.CodeHeader)) {
		out.NotRun()
		return false, refuse(http.StatusServiceUnavailable, answer.Header.Get(verdict.CodeHeader), errNoOwner)
	}
	c.deliverFromOwner(answer, v)
	return true, nil
}

// deliverFromOwner passes the owner's answer on to the caller. The owner's
// verdict covers this try only, so it is combined with that of earlier tries.
func (c *call) deliverFromOwner(a *forward.Answer, v verdict.Verdict) {
	if c.attempts > 0 {
		v = c.tried.Combine(v)
	}
	c.answerHeader(v)
	c.reply.claim()
	c.fromOwner = true
	c.reply.note(a.Status, v, a.Header.Get(verdict.CodeHeader))
	defer c.boundWrites()()
	sent, err := a.Deliver(c.w)
	if !sent {
		c.w.Header().Del(verdict.Header)
		c.reply.unclaim()
	}
	c.finish(sent, err)
}
