package gateway

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"fennelshunt.example/fennelshunt/request/admission"
	"fennelshunt.example/fennelshunt/request/forward"
	"fennelshunt.example/fennelshunt/request/outlier"
	"fennelshunt.example/fennelshunt/request/slots"
	"fennelshunt.example/fennelshunt/request/verdict"
)

// otherInstanceWait bounds how long a retry waits for a slot of an instance
// other than the one that has just failed.
const otherInstanceWait = 2 * time.Millisecond

// deliver consumes an endpoint's answer. final is set when anything has been
// written to the caller, so that no other attempt may follow.
type deliver func(a *forward.Answer) (final bool, err error)

// servePlain serves a request without idempotency key.
func (g *Gateway) servePlain(c *call) {
	pass, err := g.admit(c)
	if err != nil {
		c.fail(err)
		return
	}
	final, err := g.attemptAll(c, pass, c.deliver)
	pass.Done(outcomeOf(err))
	c.finish(final, err)
}

// outcomeOf maps the error of the attempts to the outcome for admission.
func outcomeOf(err error) admission.Outcome {
	switch {
	case err == nil:
		return admission.Completed
	case errors.Is(err, errNoTime):
		return admission.NotSent
	case errors.Is(err, errAnswered), verdict.As(err).Code == forward.CodeDeadline:
		return admission.Late
	default:
		return admission.Other
	}
}

// deliver streams the answer to the caller.
func (c *call) deliver(a *forward.Answer) (bool, error) {
	if !c.reply.claim() {
		a.Discard()
		return true, errAnswered
	}
	forward.RemoveReserved(a.Header)
	c.answerHeader(verdict.Ran)
	c.reply.note(a.Status, verdict.Ran, "")
	sent, err := a.Deliver(c.w)
	if !sent {
		c.w.Header().Del(verdict.Header)
		c.reply.unclaim()
	}
	return sent, err
}

func (c *call) answerHeader(v verdict.Verdict) {
	h := c.w.Header()
	c.values = [2]string{v.String(), c.id}
	h[verdict.Header] = c.values[:1:1]
	h[verdict.RequestIDHeader] = c.values[1:]
}

// finish ends the call after its last attempt. When only part of an answer was
// written to the caller it aborts the connection: a truncated body must not
// look complete.
func (c *call) finish(final bool, err error) {
	switch {
	case err == nil, errors.Is(err, errAnswered):
	case !final:
		c.fail(err)
	default:
		e := verdict.As(err)
		c.reply.note(0, e.Verdict, e.Code)
		c.cut = true
		c.reset()
		panic(http.ErrAbortHandler)
	}
}

// reset closes the connection of an HTTP/1.0 caller with a TCP reset, so that
// the caller sees an error. HTTP/1.0 has no chunks: a body of unknown length
// ends with the connection, so that after an orderly close a truncated answer
// would look complete.
func (c *call) reset() {
	if c.in.ProtoAtLeast(1, 1) {
		return
	}
	conn, _, err := http.NewResponseController(c.w).Hijack()
	if err != nil {
		return
	}
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn() // without the close_notify of TLS, which marks an orderly end
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// attemptAll makes attempts until one is answered, the verdict or the retry
// budget forbids another, or the deadline passes.
func (g *Gateway) attemptAll(c *call, pass *admission.Pass, deliver deliver) (final bool, err error) {
	attempts := g.budget(c.service).Request(c.idempotent)
	out := c.outgoing()
	c.watch.start(g, c, out)
	defer c.watch.stop()
	for {
		reader, ok := c.body.attempt()
		if !ok {
			return false, err // the previous attempt has consumed the body
		}
		out.Body = reader
		final, err = g.attempt(c, out, pass, deliver)
		if err == nil || final || endedInBody(err) || errors.Is(err, errNoTime) {
			return final, err
		}
		delay, ok := attempts.Next(verdict.Of(err), reached(err), c.remaining())
		if !ok || !c.pause(delay) {
			return false, err
		}
		g.counts.Retries.Add(1)
	}
}

// reached reports whether a failed attempt reached an endpoint.
func reached(err error) bool {
	code := verdict.As(err).Code
	return code != forward.CodeConnect && code != forward.CodeNotSent
}

// acquire takes a slot. After a failed attempt it prefers another instance: a
// slot that has just been released is often the first to be granted again.
func (g *Gateway) acquire(c *call) (slots.Slot, error) {
	slot, err := g.opts.Slots.Acquire(c.wait, c.service)
	if err != nil || c.endpoint == "" || slot.Endpoint().Address != c.endpoint {
		return slot, err
	}
	ctx, cancel := context.WithTimeout(c.wait, otherInstanceWait)
	defer cancel()
	other, err := g.opts.Slots.Acquire(ctx, c.service)
	if err != nil {
		return slot, nil
	}
	slot.Release(slots.Ended)
	return other, nil
}

// attempt acquires a slot and makes one attempt at its endpoint.
func (g *Gateway) attempt(c *call, out *forward.Outgoing, pass *admission.Pass, deliver deliver) (final bool, err error) {
	slot, err := g.acquire(c)
	if err != nil {
		return false, err
	}
	pass.Started()
	outcome := slots.Unknown
	defer func() { slot.Release(outcome) }()
	if !pass.InTime(c.start, c.deadline) {
		outcome = slots.Ended
		return false, g.refuseTemporarily(c, forward.CodeDeadline, errNoTime)
	}
	endpoint := slot.Endpoint()
	c.endpoint = endpoint.Address
	answer, err := g.opts.Forwarder.Send(context.Background(), endpoint, out)
	if out.Leaving() {
		g.opts.OnLeaving(endpoint.Address)
	}
	if err != nil {
		g.report(c, endpoint.Address, err, 0, out.Took())
		c.count(err)
		if verdict.Of(err) == verdict.NotRun {
			outcome = slots.Ended
		}
		return false, err
	}
	defer answer.Close()
	status, headerTime := answer.Status, answer.HeaderTime
	final, err = deliver(answer)
	g.report(c, endpoint.Address, err, status, headerTime)
	if answer.Whole() {
		outcome = slots.Ended
	}
	if err != nil && !errors.Is(err, errAnswered) {
		c.count(err)
		return final, err
	}
	c.attempts++
	c.tried = verdict.Ran
	return final, err
}

// report passes the result of an attempt to the outlier tracker.
func (g *Gateway) report(c *call, address string, err error, status int, d time.Duration) {
	if g.opts.Outliers == nil {
		return
	}
	outcome := outlier.OK
	if status >= http.StatusInternalServerError {
		outcome = outlier.Errored
	}
	if err != nil && !errors.Is(err, errAnswered) {
		switch verdict.As(err).Code {
		case forward.CodeCallerBody, forward.CodeCallerClosed:
			return // caused by the caller, not by the instance
		case forward.CodeDeadline:
			if d >= c.limit {
				outcome = outlier.Failed
			} // otherwise the caller chose a shorter timeout; a slow instance shows in d
		default:
			outcome = outlier.Failed
		}
	}
	g.opts.Outliers.Report(c.service, address, outcome, d)
}

// count adds a failed attempt to the call's attempts and verdict.
func (c *call) count(err error) {
	c.attempts++
	c.tried = c.tried.Combine(verdict.Of(err))
}
