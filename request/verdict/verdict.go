// Package verdict classifies requests by whether they may have run. Every error on the request
// path carries a verdict, and only NotRun permits sending a non-idempotent request again.
package verdict

import "errors"

// Verdict is what is certain about a request's execution.
type Verdict int

// Verdicts. The zero value is MayHaveRun, so that an unclassified error never claims that the
// request has not run.
const (
	MayHaveRun Verdict = iota // bytes may have reached an endpoint
	NotRun                    // no byte reached an endpoint, or it refused the request before working on it
	Ran                       // the endpoint answered
)

// Header is the response header that contains the verdict.
const Header = "Fennel-Verdict"

// String returns the value used in the header and in JSON bodies.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "may-have-run"
	}
}

// Error is an error with a verdict, an HTTP status for the caller and a
// machine-readable code.
type Error struct {
	Verdict Verdict
	Status  int
	Code    string
	// RetryAfterMillis is the delay after which the caller should retry; 0 means unknown.
	RetryAfterMillis int64
	Err              error // the cause
}

// errNoCause stands for a missing cause: the verdict is owed to the caller all the same.
var errNoCause = errors.New("no cause recorded")

// cause returns Err, or errNoCause if it is nil.
func (e *Error) cause() error {
	if e.Err == nil {
		return errNoCause
	}
	return e.Err
}

// Error implements error.
func (e *Error) Error() string { return e.Code + " (" + e.Verdict.String() + "): " + e.cause().Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Of returns the verdict of err: that of the outermost *Error in its chain,
// MayHaveRun when there is none.
func Of(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}
