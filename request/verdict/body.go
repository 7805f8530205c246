package verdict

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
)

// Headers of error answers in addition to Header.
const (
	// CodeHeader repeats the code of the body.
	CodeHeader = "Fennel-Code"
	// RequestIDHeader names the request in logs and answers.
	RequestIDHeader = "Fennel-Request-Id"
)

// maxMessage bounds the message in a body, in bytes.
const maxMessage = 512

// Body is the JSON body of an error answer.
type Body struct {
	Code             string  `json:"code"`
	Verdict          Verdict `json:"verdict"`
	Message          string  `json:"message"`
	RequestID        string  `json:"request_id,omitempty"`
	RetryAfterMillis int64   `json:"retry_after_ms,omitempty"`
}

// Parse is the inverse of String.
func Parse(s string) (Verdict, error) {
	for _, v := range []Verdict{MayHaveRun, NotRun, Ran} {
		if s == v.String() {
			return v, nil
		}
	}
	return MayHaveRun, fmt.Errorf("verdict: unknown %.32q", s)
}

// MarshalText implements encoding.TextMarshaler.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (v *Verdict) UnmarshalText(b []byte) error {
	got, err := Parse(string(b))
	if err == nil {
		*v = got
	}
	return err
}

// Combine returns the verdict of a request after one more attempt: not run only
// when no attempt can have run, and ran once an attempt was answered.
func (v Verdict) Combine(next Verdict) Verdict {
	switch {
	case v == Ran || next == Ran:
		return Ran
	case v == MayHaveRun || next == MayHaveRun:
		return MayHaveRun
	default:
		return NotRun
	}
}

// As returns the outermost *Error of err, or one with verdict MayHaveRun that
// wraps err.
func As(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Verdict: MayHaveRun, Status: http.StatusInternalServerError, Code: "internal", Err: err}
}

// WriteHTTP sends the error to the caller: status, verdict header, JSON body and, if the error
// has a delay for the retry, Retry-After in whole seconds, rounded up.
func (e *Error) WriteHTTP(w http.ResponseWriter, requestID string) {
	message := e.cause().Error()
	if len(message) > maxMessage {
		message = message[:maxMessage]
	}
	body, err := json.Marshal(Body{Code: e.Code, Verdict: e.Verdict, Message: message,
		RequestID: requestID, RetryAfterMillis: e.RetryAfterMillis})
	if err != nil {
		body = []byte("{}")
	}
	h := w.Header()
	h.Set(Header, e.Verdict.String())
	h.Set(CodeHeader, e.Code)
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if requestID != "" {
		h.Set(RequestIDHeader, requestID)
	}
	if e.RetryAfterMillis > 0 {
		h.Set("Retry-After", strconv.FormatInt((e.RetryAfterMillis+999)/1000, 10))
	}
	w.WriteHeader(e.Status)
	_, _ = w.Write(body)
}
