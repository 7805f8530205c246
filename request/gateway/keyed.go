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
	errNoHome  = errors.New("no daemon is known as the key's home")
)

// Waits between two looks for a key's home.
const (
	homePause    = 20 * time.Millisecond
	homePauseMax = 250 * time.Millisecond
)

// writeGrace is how long after the deadline an answer in memory may still be
// written.
const writeGrace = time.Second

// serveKeyed serves a request with an idempotency key: at the key's home, which
// is this daemon or another.
func (g *Gateway) serveKeyed(c *call) {
	if g.opts.Keys == nil {
		c.fail(refuse(http.StatusNotImplemented, CodeKeysOff, errKeysOff))
		return
	}
	held := &reservation{memory: &g.bodies, holder: c.share()}
	defer held.free()
	data, err := c.body.readWhole(c.in.ContentLength, g.opts.MaxKeyedBody, held)
	if err != nil {
		c.fail(bodyError(err))
		return
	}
	c.body = newWholeBody(data)
	// Others may join this arrival, so it does not end with its caller.
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
	g.findHome(c, req)
}

// findHome serves the request at the key's home, looking again while the home
// is changing hands. Sending a keyed request to a home again is safe whatever
// became of the first: the home joins both, or knows that it was sent.
func (g *Gateway) findHome(c *call, req idem.Request) {
	until := time.Now().Add(g.opts.HomeWait)
	for pause := homePause; ; pause = min(2*pause, homePauseMax) {
		done, err := g.tryHome(c, req)
		if done {
			return
		}
		if c.forwarded || time.Now().Add(pause).After(until) || !c.pause(pause) {
			c.fail(err)
			return
		}
	}
}

// tryHome makes one try; done is false when another may find the home.
func (g *Gateway) tryHome(c *call, req idem.Request) (done bool, err error) {
	home, self, ok := g.opts.Keys.Home(req.Key)
	switch {
	case !ok:
		return false, refuse(http.StatusServiceUnavailable, idem.CodeNoHome, errNoHome)
	case self:
		return g.atHome(c, req)
	case c.forwarded:
		return false, refuse(http.StatusServiceUnavailable, idem.CodeNotHome, errNoHome)
	default:
		return g.toHome(c, home)
	}
}

// atHome begins or joins the key's request on this daemon.
func (g *Gateway) atHome(c *call, req idem.Request) (done bool, err error) {
	attempt, answer, err := g.opts.Keys.Begin(c.wait, req)
	switch {
	case err != nil && elsewhere(verdict.As(err).Code):
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

// elsewhere reports whether an error says that the home changes hands: the
// claim of a home that is stopping, or has begun anew, is another daemon's soon.
func elsewhere(code string) bool {
	return code == idem.CodeNotHome || code == idem.CodeNoHome || code == CodeDraining || code == CodeStarting
}

// runKeyed runs the key's request. It goes on when this caller goes away,
// because others may have joined.
func (g *Gateway) runKeyed(c *call, attempt *idem.Attempt) {
	defer attempt.Close()
	pass, err := g.intendAndAdmit(c, attempt)
	if err != nil {
		attempt.Fail(err)
		c.fail(err)
		return
	}
	defer func() { pass.Done(endOf(err)) }()
	var final bool
	final, err = g.attemptAll(c, pass, func(a *forward.Answer) (bool, error) {
		return c.keep(a, attempt)
	})
	if err != nil && !errors.Is(err, errAnswered) {
		e := *verdict.As(err)
		e.Verdict = c.tried.Join(e.Verdict)
		attempt.Fail(&e)
	}
	c.finish(final, err)
}

// intendAndAdmit makes the intent durable and then waits for admission.
//
// What goes wrong in the other order: admission counts a request as about to
// take a slot while it waits for the store, takes the store's pace for that of
// the slots, and with a slow store refuses requests of every kind while slots
// stand idle. A request that would be refused is told so before its intent is
// written; one that is refused afterwards did not run, and its key is free.
func (g *Gateway) intendAndAdmit(c *call, attempt *idem.Attempt) (*admission.Pass, error) {
	if err := g.opts.Admission.Check(c.admission()); err != nil {
		return nil, err
	}
	if err := attempt.Intend(c.wait); err != nil {
		return nil, err
	}
	return g.admit(c)
}

// keep hands a whole answer to the key's other arrivals and to this caller.
func (c *call) keep(a *forward.Answer, attempt *idem.Attempt) (bool, error) {
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
	return true, nil // when the deadline's answer came first, this one is dropped
}

// writeKept answers the caller from memory.
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
		delete(h, "Content-Length") // trailers come with chunks only
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

// boundWrites lets a caller that does not read its answer block the write until
// the deadline only; the returned function lifts the bound.
func (c *call) boundWrites() func() {
	ctl := http.NewResponseController(c.w)
	_ = ctl.SetWriteDeadline(c.deadline.Add(writeGrace))
	return func() { _ = ctl.SetWriteDeadline(time.Time{}) }
}

// toHome sends the request to its home daemon.
func (g *Gateway) toHome(c *call, home fleet.Member) (done bool, err error) {
	if g.opts.Peers == nil {
		return false, refuse(http.StatusServiceUnavailable, idem.CodeNoHome, errNoHome)
	}
	out := c.outgoing()
	out.Header = out.Header.Clone()
	g.forwardHeader(c, out.Header)
	out.Body = bytes.NewReader(c.body.kept)
	answer, err := g.opts.Peers.Send(c.wait, peerEndpoint(home), out)
	if err != nil {
		c.count(err)
		return false, err
	}
	defer answer.Close()
	v, perr := verdict.Parse(answer.Header.Get(verdict.Header))
	if perr == nil && v == verdict.NotRun && elsewhere(answer.Header.Get(verdict.CodeHeader)) {
		out.NotRun()
		return false, refuse(http.StatusServiceUnavailable, answer.Header.Get(verdict.CodeHeader), errNoHome)
	}
	c.deliverHome(answer, v)
	return true, nil
}

// deliverHome passes the home's answer on. Its verdict speaks of this arrival
// at the home only; an earlier try may have run.
func (c *call) deliverHome(a *forward.Answer, v verdict.Verdict) {
	if c.attempts > 0 {
		v = c.tried.Join(v)
	}
	c.answerHeader(v)
	c.reply.claim()
	c.passedOn = true
	c.reply.note(a.Status, v, a.Header.Get(verdict.CodeHeader))
	defer c.boundWrites()()
	sent, err := a.Deliver(c.w)
	if !sent {
		c.w.Header().Del(verdict.Header)
		c.reply.unclaim()
	}
	c.finish(sent, err)
}
