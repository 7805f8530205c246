// Package forward sends a request to one endpoint, once, and returns a verdict
// that states exactly what is known of its outcome.
//
// Guarantees:
//   - one call of Send writes the request to at most one connection: the
//     automatic retry of net/http's Transport on a broken kept-alive connection
//     is prevented;
//   - verdict NotRun is given only when no byte of the request was accepted by
//     the kernel for the endpoint and none can be later, or when the endpoint
//     refused the request before work;
//   - an answer to another request is never returned for this one when the
//     endpoint echoes RequestIDHeader in its answers. Without the echo, HTTP/1.1
//     matches answers to requests by their order only; then an answer is still
//     rejected when it arrives before the request is written, or while no byte
//     of the request has been acknowledged by the endpoint's side;
//   - a truncated body results in an error, never in io.EOF; so does one with
//     neither Content-Length nor chunks, whose end cannot be distinguished from
//     a broken connection;
//   - this daemon keeps at most IdleShare idle connections per endpoint,
//     in addition to those that requests in progress use.
package forward

import (
	"net/http"

	"fennelshunt.example/fennelshunt/request/verdict"
)

// Headers between a daemon and an endpoint.
const (
	// RefusedHeader with the value RefusedBeforeWork on an answer with status
	// 503 means that the endpoint did not begin to work on the request.
	RefusedHeader     = "Fennel-Refused"
	RefusedBeforeWork = "before-work"
	// RequestIDHeader carries the request's id. When an endpoint echoes it, the
	// daemon can detect answers to another request.
	RequestIDHeader = "Fennel-Request-Id"
	// LeavingHeader on an endpoint's answer, with any value, is a leaving notice:
	// the endpoint will soon accept no new requests.
	LeavingHeader = "Fennel-Leaving"
)

// Codes of the errors of an attempt.
const (
	CodeConnect      = "connect_failed"     // NotRun: no connection
	CodeNotSent      = "not_sent"           // NotRun: the connection broke before the first byte
	CodeRefused      = "endpoint_refused"   // NotRun: the endpoint refused before work
	CodeLost         = "connection_lost"    // MayHaveRun: broke after the first byte
	CodeBadAnswer    = "bad_answer"         // MayHaveRun: unexpected status, or a body without length and chunks
	CodeForeign      = "foreign_answer"     // MayHaveRun: the answer has the id of another request
	CodeTruncated    = "answer_truncated"   // MayHaveRun: the answer's body ended early
	CodeDeadline     = "deadline_exceeded"  // verdict depends on what was sent: the deadline has passed
	CodeCallerBody   = "request_body_broke" // verdict depends on what was sent: the caller's body ended early
	CodeCallerClosed = "caller_gone"        // verdict depends on what was sent: the caller disconnected
)

func newError(v verdict.Verdict, status int, code string, err error) *verdict.Error {
	return &verdict.Error{Verdict: v, Status: status, Code: code, Err: err}
}

// unsent returns the error of an attempt that the endpoint has not worked on.
func unsent(code string, err error) *verdict.Error {
	return newError(verdict.NotRun, http.StatusServiceUnavailable, code, err)
}
