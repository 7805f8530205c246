package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"fennelshunt.example/fennelshunt/connection/store/wire"
)

// errInvalid means that the service rejected the call as malformed.
var errInvalid = errors.New("store: invalid call")

// refusal ties an error to its code and HTTP status on the wire.
type refusal struct {
	err    error
	code   wire.Code
	status int
}

var refusals = []refusal{
	{ErrNotFound, wire.CodeNotFound, http.StatusNotFound},
	{ErrConflict, wire.CodeConflict, http.StatusConflict},
	{ErrTooLarge, wire.CodeTooLarge, http.StatusRequestEntityTooLarge},
	{ErrLeaseLost, wire.CodeLeaseLost, http.StatusPreconditionFailed},
	{ErrOverBudget, wire.CodeOverBudget, http.StatusTooManyRequests},
	{ErrCompacted, wire.CodeCompacted, http.StatusGone},
	{ErrUnavailable, wire.CodeUnavailable, http.StatusServiceUnavailable},
	{errInvalid, wire.CodeInvalid, http.StatusBadRequest},
}

// EncodeRefusal returns the HTTP status and body by which a service refuses a
// call with err. Errors of other packages are encoded as invalid calls.
func EncodeRefusal(err error) (int, wire.Failure) {
	for _, r := range refusals {
		if errors.Is(err, r.err) {
			return r.status, wire.Failure{Code: r.code, Message: err.Error()}
		}
	}
	return http.StatusBadRequest, wire.Failure{Code: wire.CodeInvalid, Message: err.Error()}
}

// decodeRefusal returns the error that a refusal body encodes. It returns nil if
// the body does not come from the service but, say, from a load balancer in
// between: then the outcome of the call is unknown.
func decodeRefusal(body []byte) error {
	var f wire.Failure
	if err := json.Unmarshal(body, &f); err != nil {
		return nil
	}
	for _, r := range refusals {
		if f.Code == r.code {
			return fmt.Errorf("%w (service: %s)", r.err, f.Message)
		}
	}
	return nil
}
