package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"fennelshunt.example/fennelshunt/request/forward"
	"fennelshunt.example/fennelshunt/request/slots"
	"fennelshunt.example/fennelshunt/request/verdict"
)

// errAnswered ends an attempt whose caller was already answered.
var errAnswered = errors.New("gateway: the caller was answered at its deadline")

var errDeadline = errors.New("the request's deadline has passed")

// reply is what the caller gets. Two goroutines may give it: that which makes
// the attempts, and the alarm at the deadline. The one that claims it does.
type reply struct {
	mu      sync.Mutex
	claimed bool
	status  int
	verdict verdict.Verdict
	code    string
	at      time.Time // when the deadline's answer was given
}

// claim takes the right to answer the caller.
func (r *reply) claim() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.claimed {
		return false
	}
	r.claimed = true
	return true
}

// unclaim gives the right back; nothing was sent.
func (r *reply) unclaim() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.claimed = false
}

// note keeps the outcome for metrics and the log; status 0 keeps the one noted
// before.
func (r *reply) note(status int, v verdict.Verdict, code string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if status != 0 {
		r.status = status
	}
	r.verdict, r.code = v, code
}

func (r *reply) outcome(start time.Time) (status int, v verdict.Verdict, code string, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	end := r.at
	if end.IsZero() {
		end = time.Now()
	}
	return r.status, r.verdict, r.code, end.Sub(start)
}

// watch guards a request's attempts against its deadline.
//
// What goes wrong without it: when an attempt is cut at the deadline nobody
// learns whether the endpoint has ended, and its slot counts as taken for the
// service's whole time limit; under overload, when many requests meet their
// deadlines, the slots run out. So the caller is answered at its deadline, and
// the attempt goes on for up to the service's limit to learn its end.
type watch struct {
	gateway *Gateway
	call    *call
	out     *forward.Outgoing
	alarm   alarm
	expired sync.WaitGroup // done when the alarm's work is done

	// lingering is set after the deadline, linger then ends the attempt.
	lingering bool
	linger    alarm
}

func (w *watch) start(g *Gateway, c *call, out *forward.Outgoing) {
	w.gateway, w.call, w.out = g, c, out
	w.expired.Add(1)
	g.deadlines.set(&w.alarm, c.deadline, w.expire)
}

// stop ends the watch; afterwards the alarm does not touch the caller.
func (w *watch) stop() {
	if w.gateway.deadlines.stop(&w.alarm) {
		return
	}
	w.expired.Wait()
	if w.lingering {
		w.gateway.deadlines.stop(&w.linger)
		_ = http.NewResponseController(w.call.w).SetWriteDeadline(time.Time{}) // the connection's next answer has its own
	}
}

func (w *watch) cut() { w.out.Cut(context.DeadlineExceeded) }

// expire answers the caller at its deadline.
func (w *watch) expire() {
	defer w.expired.Done()
	c := w.call
	if !c.reply.claim() {
		// The answer is on its way. A caller that does not read it would block the
		// write, and with it the slot, for good.
		until := time.Now()
		if c.body.complete() {
			until = w.lingerOn()
		} else {
			w.cut() // the caller is not done either
		}
		_ = http.NewResponseController(c.w).SetWriteDeadline(until)
		return
	}
	v := verdict.NotRun
	if w.out.GiveUp() {
		v = verdict.MayHaveRun
	}
	w.answer(v)
	w.gateway.leave(c)
	if v == verdict.NotRun || !c.body.complete() {
		w.cut() // there is no end to be learnt
		return
	}
	w.lingerOn()
}

// lingerOn lets the attempt go on for as long as its slot is counted as taken, and returns
// until when.
func (w *watch) lingerOn() time.Time {
	w.lingering = true
	limit := w.call.limit
	until := time.Now().Add(slots.AttemptLimit(limit) - limit)
	w.gateway.deadlines.set(&w.linger, until, w.cut)
	return until
}

// answer tells the caller that the deadline has passed. The connection is not
// used again, because its next request would wait for this one's attempt.
func (w *watch) answer(v verdict.Verdict) {
	c := w.call
	ctl := http.NewResponseController(c.w)
	_ = ctl.EnableFullDuplex() // else the rest of the body is awaited first
	c.w.Header().Set("Connection", "close")
	e := &verdict.Error{Verdict: v, Status: http.StatusGatewayTimeout, Code: forward.CodeDeadline, Err: errDeadline}
	if v == verdict.NotRun {
		e = w.gateway.refuseForNow(c, forward.CodeDeadline, errDeadline)
	}
	c.reply.note(e.Status, v, e.Code)
	e.WriteHTTP(c.w, c.id)
	_ = ctl.Flush()
	c.reply.mu.Lock()
	defer c.reply.mu.Unlock()
	c.reply.at = time.Now()
}
