// Package peer implements remote procedure calls between the daemons of a cell:
// requests and replies over QUIC, encoded as CBOR. Delivery is not guaranteed,
// and a call whose reply is lost may have run on the remote daemon.
package peer

import (
	"context"
	"errors"
)

// MemberID identifies a daemon; it stays the same across restarts.
type MemberID string

// Ref identifies one incarnation of a daemon. A restarted daemon has a higher
// incarnation number, so that calls to an earlier incarnation never run on it.
type Ref struct {
	ID          MemberID `json:"id" cbor:"1,keyasint"`
	Incarnation uint64   `json:"incarnation" cbor:"2,keyasint"`
}

// Errors of calls. Test with errors.Is.
var (
	ErrNotSent          = errors.New("peer: not sent, the call did not run")
	ErrUnknown          = errors.New("peer: outcome unknown, the call may have run")
	ErrNoMethod         = errors.New("peer: method not known to the other side")
	ErrWrongIncarnation = errors.New("peer: the address belongs to another incarnation, the call did not run")
)

// Method is the name of a call, for example "slots.acquire".
type Method string

// Caller sends calls to members. Implementations route by the fleet's member list.
type Caller interface {
	// Call sends req (a CBOR-encodable value) and decodes the reply into resp,
	// which may be nil. The error is one of this package's, a *RemoteError, or
	// the context's.
	Call(ctx context.Context, to Ref, method Method, req, resp any) error
}

// Handler serves one method. payload is the request in CBOR; the returned value
// is encoded as the reply.
type Handler func(ctx context.Context, from Ref, payload []byte) (any, error)

// Typed returns a handler that decodes its request. A decoding error is returned to
// the caller.
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

// RemoteError is an error that the handler on the remote daemon returned.
type RemoteError struct {
	Code    string `cbor:"1,keyasint,omitempty"` // defined by the method's package
	Message string `cbor:"2,keyasint"`
}

// Error implements error.
func (e *RemoteError) Error() string { return "peer: remote: " + e.Message }
