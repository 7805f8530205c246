package forward

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/request/verdict"
)

var (
	errDeadline = errors.New("the request's deadline has passed")
	errRefused  = errors.New("the endpoint refused the request before work")
)

// Outgoing is a request to endpoints. Header is shared by all attempts and not
// modified by them.
type Outgoing struct {
	Method        string
	URL           *url.URL // path and query only
	Host          string
	Header        http.Header
	Trailer       http.Header
	Body          io.Reader // nil for none
	ContentLength int64     // -1 when not known
	ID            string

	mu      sync.Mutex
	current *exchange // of the attempt in progress
	sent    bool      // an earlier attempt may have run
	givenUp bool
	took    time.Duration
	leaving bool
}

// Leaving reports whether the endpoint's answer in the last attempt, which may
// also be a refusal, carried LeavingHeader.
func (o *Outgoing) Leaving() bool { return o.leaving }

// Took returns the duration of the last attempt for which Send got no answer.
func (o *Outgoing) Took() time.Duration { return o.took }

// GiveUp prevents further sending: an attempt in progress that has written
// nothing will write nothing, and no new one starts. An attempt that has written
// something continues. GiveUp reports whether the request may have run.
func (o *Outgoing) GiveUp() (sent bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.givenUp = true
	return o.sent || o.current != nil && o.current.sealUnwritten()
}

// Answering reports whether bytes of the answer to the attempt in progress have arrived,
// including bytes that were not read yet.
func (o *Outgoing) Answering() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.current != nil && o.current.answering()
}

// Abort cancels the attempt in progress, including the reading of its answer,
// with the given cause, and prevents new attempts.
func (o *Outgoing) Abort(cause error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.givenUp = true
	if o.current != nil {
		o.current.cancel(cause)
	}
}

// begin makes x the attempt in progress. It returns false after GiveUp or Abort.
// If Send returned an answer for the previous attempt the request may have run,
// even if that answer was then truncated.
func (o *Outgoing) begin(x *exchange) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sent = o.sent || o.current != nil
	o.current = x
	return !o.givenUp
}

// NotRun records that the last attempt was answered by a daemon with verdict
// NotRun.
func (o *Outgoing) NotRun() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.current = nil
}

// end records the failure of the attempt in progress.
func (o *Outgoing) end(err *verdict.Error) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.current = nil
	o.sent = o.sent || err.Verdict != verdict.NotRun
	return err
}

// callerBody records an error in reading the caller's body, to distinguish it
// from an error of the endpoint.
type callerBody struct {
	io.Reader
	err atomic.Pointer[error]
}

func (b *callerBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil && err != io.EOF {
		kept := err // err itself stays off the heap
		b.err.Store(&kept)
	}
	return n, err
}

func (*callerBody) Close() error { return nil }

// sending is the state of one attempt, in a single allocation.
type sending struct {
	exchange exchange
	trace    httptrace.ClientTrace
	url      url.URL
	body     callerBody
	answer   Answer
}

// request builds the request for the Transport. GetBody stays nil, so that the
// Transport cannot rewind the body.
func (s *sending) request(ctx context.Context, o *Outgoing, scheme, address string) *http.Request {
	s.url = *o.URL
	s.url.Scheme, s.url.Host, s.url.User = scheme, address, nil
	r := (&http.Request{
		Method: o.Method, URL: &s.url, Host: o.Host, Header: o.Header, Trailer: o.Trailer,
		ContentLength: o.ContentLength, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}).WithContext(ctx)
	if o.Body == nil || o.ContentLength == 0 {
		r.Body, r.ContentLength = http.NoBody, 0
		return r
	}
	s.body.Reader = o.Body
	r.Body = &s.body
	return r
}

// Send makes one attempt at the endpoint, of which the caller must hold a slot.
// The Answer must be closed. The error is a *verdict.Error.
func (f *Forwarder) Send(ctx context.Context, e plan.Endpoint, o *Outgoing) (*Answer, error) {
	s := &sending{}
	x := &s.exchange
	ctx, x.cancel = context.WithCancelCause(ctx)
	s.trace.GetConn = x.mayConnect
	s.trace.GotConn = x.use
	s.trace.GotFirstResponseByte = x.firstByte
	s.trace.Got1xxResponse = x.interim
	ctx = httptrace.WithClientTrace(ctx, &s.trace)
	if !o.begin(x) {
		x.cancel(nil)
		return nil, newError(verdict.NotRun, http.StatusGatewayTimeout, CodeDeadline, errDeadline)
	}
	o.leaving = false
	t := f.target(e)
	r := s.request(ctx, o, t.scheme, e.Address)
	t.begin()
	start := time.Now()
	resp, err := t.transport.RoundTrip(r)
	if err != nil {
		o.took = time.Since(start)
		failure := classify(ctx, err, x.seal(), &s.body)
		x.cancel(nil)
		t.end()
		return nil, o.end(failure)
	}
	x.firstByte() // is not called for a response that follows an interim one
	o.leaving = resp.Header[LeavingHeader] != nil
	a := &s.answer
	*a = Answer{Status: resp.StatusCode, Header: resp.Header, HeaderTime: time.Since(start),
		resp: resp, target: t, exchange: x, ctx: ctx}
	if err := a.check(x, o.ID); err != nil {
		a.Close()
		return nil, o.end(err)
	}
	return a, nil
}

// rawConn returns the connection beneath TLS.
func rawConn(c net.Conn) *conn {
	if secure, ok := c.(*tls.Conn); ok {
		c = secure.NetConn()
	}
	return c.(*conn)
}

// classify returns the error for a failed attempt. wrote reports whether a byte
// of the request can have reached the endpoint.
func classify(ctx context.Context, err error, wrote bool, body *callerBody) *verdict.Error {
	v := verdict.NotRun
	if wrote {
		v = verdict.MayHaveRun
	}
	switch {
	case body.err.Load() != nil:
		return newError(v, http.StatusBadRequest, CodeCallerBody, fmt.Errorf("read the caller's body: %w", *body.err.Load()))
	case ctx.Err() != nil && errors.Is(context.Cause(ctx), context.Canceled):
		return newError(v, http.StatusBadGateway, CodeCallerClosed, err)
	case ctx.Err() != nil && errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return newError(v, http.StatusGatewayTimeout, CodeDeadline, errDeadline)
	case wrote:
		return newError(v, http.StatusBadGateway, CodeLost, err)
	case errors.Is(err, errUnsolicited), errors.Is(err, errSealed):
		return unsent(CodeNotSent, err)
	default:
		return unsent(CodeConnect, err)
	}
}
