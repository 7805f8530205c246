// Package peer carries typed messages between the daemons of a cell: calls
// with a reply over QUIC, encoded as CBOR. Delivery is not guaranteed and a
// call whose reply is lost may have run at the other side.
package peer

import (
	"context"
	"errors"
)

// MemberID names a daemon; it stays the same over restarts.
type MemberID string

// Ref names one life of a daemon. A restarted daemon has a higher incarnation
// and is never taken for its earlier self.
type Ref struct {
	ID          MemberID `json:"id" cbor:"1,keyasint"`
	Incarnation uint64   `json:"incarnation" cbor:"2,keyasint"`
}

// Errors of calls. Test with errors.Is.
var (
	ErrNotSent   = errors.New("peer: not sent, the call did not run")
	ErrUnknown   = errors.New("peer: outcome unknown, the call may have run")
	ErrNoMethod  = errors.New("peer: method not known to the other side")
	ErrWrongLife = errors.New("peer: the address belongs to another incarnation, the call did not run")
)

// Method names a call, for example "slots.acquire".
type Method string

// Caller sends calls to members. Implementations route by the fleet's view.
type Caller interface {
	// Call sends req (a CBOR-encodable value) and decodes the reply into resp,
	// which may be nil. The error is one of this package's, a *RemoteError, or
	// the context's.
	Call(ctx context.Context, to Ref, method Method, req, resp any) error
}

// Handler serves one method. payload is the CBOR request; the returned value
// is encoded as the reply.
type Handler func(ctx context.Context, from Ref, payload []byte) (any, error)

// Typed returns a handler that decodes its request; one that does not decode is
// answered with the error.
func Typed[Req any](f func(ctx context.Context, req Req) (any, error)) Handler {
	return func(ctx context.Context, _ Ref, payload []byte) (any, error) {
		var req Req
		if err := Unmarshal(payload, &req); err != nil {
			return nil, err
		}
		return f(ctx, req)
	}
}

// Registrar registers handlers; each method once, before serving starts.
type Registrar interface {
	Handle(method Method, h Handler)
}

// RemoteError is an error that the handler at the other side returned.
type RemoteError struct {
	Code    string `cbor:"1,keyasint,omitempty"` // typed by the method's package
	Message string `cbor:"2,keyasint"`
}

// Error implements error.
func (e *RemoteError) Error() string { return "peer: remote: " + e.Message }
