package admin

import (
	"context"
	"errors"
	"net/http"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/admin/api"
	"fennelshunt.example/fennelshunt/version/history"
	"fennelshunt.example/fennelshunt/version/spec"
)

// statuses are the HTTP statuses of the codes.
var statuses = map[api.Code]int{
	api.CodeInvalid:         http.StatusUnprocessableEntity,
	api.CodeConflict:        http.StatusConflict,
	api.CodeUnauthenticated: http.StatusUnauthorized,
	api.CodeForbidden:       http.StatusForbidden,
	api.CodeNotFound:        http.StatusNotFound,
	api.CodeTooLarge:        http.StatusRequestEntityTooLarge,
	api.CodeBusy:            http.StatusTooManyRequests,
	api.CodeUnavailable:     http.StatusServiceUnavailable,
	api.CodeUnknownOutcome:  http.StatusGatewayTimeout,
	api.CodeInternal:        http.StatusInternalServerError,
	api.CodeMethod:          http.StatusMethodNotAllowed,
	api.CodeUnsupported:     http.StatusNotImplemented,
}

func statusOf(code api.Code) int {
	if status, ok := statuses[code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// errorOf converts err to the error to send to the caller.
func errorOf(err error) *api.Error {
	e := &api.Error{Message: err.Error()}
	var (
		typed    *api.Error
		invalid  *spec.ValidationError
		conflict *history.ConflictError
		base     *history.BaseError
		unknown  *history.UnknownOutcomeError
		large    *http.MaxBytesError
	)
	switch {
	case errors.As(err, &typed):
		return typed
	case errors.As(err, &unknown):
		e.Code = api.CodeUnknownOutcome
	case errors.As(err, &invalid):
		e.Code, e.Problems = api.CodeInvalid, invalid.Problems
	case errors.As(err, &conflict):
		e.Code, e.Conflict = api.CodeConflict, conflict
	case errors.As(err, &base):
		e.Code = api.CodeInvalid
	case errors.Is(err, history.ErrNotPermitted):
		e.Code = api.CodeForbidden
	case errors.Is(err, ErrUnknownTask):
		e.Code = api.CodeNotFound
	case errors.As(err, &large):
		e.Code = api.CodeTooLarge
	case unavailable(err):
		e.Code = api.CodeUnavailable
	default:
		e.Code = api.CodeInternal
	}
	return e
}

// unavailable reports whether err means that the store could not be reached in time. An
// apply that failed in this way did not take effect.
func unavailable(err error) bool {
	for _, known := range []error{store.ErrUnavailable, store.ErrOverBudget, store.ErrConflict, context.DeadlineExceeded, context.Canceled} {
		if errors.Is(err, known) {
			return true
		}
	}
	return false
}

func invalid(message string) error { return &api.Error{Code: api.CodeInvalid, Message: message} }

func notFound(message string) error { return &api.Error{Code: api.CodeNotFound, Message: message} }

func unsupported(what string) error {
	return &api.Error{Code: api.CodeUnsupported, Message: "this daemon serves no " + what}
}
