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

// reply is the answer to the caller. It is written by one of two goroutines: the
// one that makes the attempts, or the alarm at the deadline, whichever claims it first.
type reply struct {
	mu      sync.Mutex
	claimed bool
	status  int
	verdict verdict.Verdict
	code    string
	at      time.Time // when the answer at the deadline was written
}

// claim acquires the right to answer the caller. It returns false when that is
// already taken.
func (r *reply) claim() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.claimed {
		return false
	}
	r.claimed = true
	return true
}

// unclaim returns the right to answer when nothing was sent.
func (r *reply) unclaim() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.claimed = false
}

// note records the outcome for metrics and the access log; status 0 leaves the
// recorded status as it is.
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

// deadlineWatch enforces a request's deadline during its attempts. It answers
// the caller at the deadline, and lets the attempt continue for up to the
// service's limit to determine its outcome.
//
// If the attempt were aborted at the deadline, the daemon could not tell whether
// the endpoint had finished, and its slot would count as taken for the service's
// whole time limit. Under overload, when many requests reach their deadlines,
// the slots would run out.
type deadlineWatch struct {
	gateway *Gateway
	call    *call
	out     *forward.Outgoing
	alarm   alarm
	expired sync.WaitGroup // done when expire has returned

	// lingering is set when the attempt continues after the deadline; linger is
	// the alarm that then aborts it.
	lingering bool
	linger    alarm
}

func (w *deadlineWatch) start(g *Gateway, c *call, out *forward.Outgoing) {
	w.gateway, w.call, w.out = g, c, out
	w.expired.Add(1)
	g.deadlines.set(&w.alarm, c.deadline, w.expire)
}

// stop ends the watch; when it has returned, expire no longer writes to the caller.
func (w *deadlineWatch) stop() {
	if w.gateway.deadlines.stop(&w.alarm) {
		return
	}
	w.expired.Wait()
	if w.lingering {
		w.gateway.deadlines.stop(&w.linger)
		_ = http.NewResponseController(w.call.w).SetWriteDeadline(time.Time{}) // the next request on the connection sets its own
	}
}

func (w *deadlineWatch) abort() { w.out.Abort(context.DeadlineExceeded) }

// expire answers the caller at its deadline, unless the answer has begun to arrive.
func (w *deadlineWatch) expire() {
	defer w.expired.Done()
	c := w.call
	// An answer that arrived in time may not have been processed yet, because the process got no
	// CPU time. Its caller gets it rather than "may have run".
	arriving := c.body.complete() && w.out.Answering()
	if arriving || !c.reply.claim() {
		// The answer is arriving or being written. A caller that does not read it would block
		// the write, and occupy the slot, forever.
		until := time.Now()
		if arriving || c.body.complete() {
			until = w.startLinger()
		} else {
			w.abort() // the caller has not sent its whole request either
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
		w.abort() // nothing was sent, or the request cannot be completed
		return
	}
	w.startLinger()
}

// startLinger lets the attempt continue for as long as its slot is counted as taken. It
// returns the time at which the attempt is aborted.
func (w *deadlineWatch) startLinger() time.Time {
	w.lingering = true
	limit := w.call.limit
	until := time.Now().Add(slots.AttemptLimit(limit) - limit)
	w.gateway.deadlines.set(&w.linger, until, w.abort)
	return until
}

// answer sends the caller the deadline error. The connection is not reused,
// because its next request would wait for this one's attempt.
func (w *deadlineWatch) answer(v verdict.Verdict) {
	c := w.call
	ctl := http.NewResponseController(c.w)
	_ = ctl.EnableFullDuplex() // otherwise net/http first waits for the rest of the body
	c.w.Header().Set("Connection", "close")
	e := &verdict.Error{Verdict: v, Status: http.StatusGatewayTimeout, Code: forward.CodeDeadline, Err: errDeadline}
	if v == verdict.NotRun {
		e = w.gateway.refuseTemporarily(c, forward.CodeDeadline, errDeadline)
	}
	c.reply.note(e.Status, v, e.Code)
	e.WriteHTTP(c.w, c.id)
	_ = ctl.Flush()
	c.reply.mu.Lock()
	defer c.reply.mu.Unlock()
	c.reply.at = time.Now()
}
