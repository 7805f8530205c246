// Package forward makes one attempt of a request at one endpoint and says
// exactly what is known of its fate.
//
// Guarantees:
//   - one call of Send writes the request to at most one connection: the silent
//     resend of net/http's Transport on a broken kept-alive connection is
//     prevented;
//   - verdict NotRun is given only when no byte of the request was accepted by
//     the kernel for the endpoint and none can be later, or when the endpoint
//     refused the request before work;
//   - an answer that belongs to another request is never taken for this one's
//     when the endpoint sends RequestIDHeader back in its answers. Without it,
//     HTTP/1.1 binds answers to requests by their order only; then an answer is
//     still refused when it arrives before the request is written, or when the
//     endpoint's side had not received a byte of the request when it sent it;
//   - a body that ends early gives an error, never an end; so does one with
//     neither Content-Length nor chunks, whose end can not be told from a cut;
//   - this daemon keeps at most Options.IdleShare idle connections per endpoint
//     beside those that requests in progress use.
package forward

import (
	"net/http"

	"fennelshunt.example/fennelshunt/request/verdict"
)

// Headers between a daemon and an endpoint.
const (
	// RefusedHeader with the value RefusedBeforeWork on an answer with status
	// 503 tells that the endpoint did not begin to work on the request.
	RefusedHeader     = "Fennel-Refused"
	RefusedBeforeWork = "before-work"
	// RequestIDHeader carries the request's id; an endpoint that echoes it lets
	// the daemon find answers that belong to another request.
	RequestIDHeader = "Fennel-Request-Id"
	// LeavingHeader on an endpoint's answer, with any value, tells that it
	// takes no new requests soon.
	LeavingHeader = "Fennel-Leaving"
)

// Codes of the errors of an attempt.
const (
	CodeConnect      = "connect_failed"     // NotRun: no connection
	CodeNotSent      = "not_sent"           // NotRun: the connection broke before the first byte
	CodeRefused      = "endpoint_refused"   // NotRun: the endpoint refused before work
	CodeLost         = "connection_lost"    // MayHaveRun: broke after the first byte
	CodeBadAnswer    = "bad_answer"         // MayHaveRun: not an HTTP answer, or its end is not marked
	CodeForeign      = "foreign_answer"     // MayHaveRun: the answer names another request
	CodeTruncated    = "answer_truncated"   // MayHaveRun: the answer's body ended early
	CodeDeadline     = "deadline_exceeded"  // by the verdict
	CodeCallerBody   = "request_body_broke" // by the verdict: the caller's body ended early
	CodeCallerClosed = "caller_gone"        // by the verdict
)

func newError(v verdict.Verdict, status int, code string, err error) *verdict.Error {
	return &verdict.Error{Verdict: v, Status: status, Code: code, Err: err}
}

// unsent reports how an attempt ended of which no byte was sent.
func unsent(code string, err error) *verdict.Error {
	return newError(verdict.NotRun, http.StatusServiceUnavailable, code, err)
}
