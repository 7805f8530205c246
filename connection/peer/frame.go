package peer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"time"
)

// A frame is a four byte big endian length and that many bytes of CBOR. The
// receiver acts on a frame only once all of it has arrived, so nothing has run if
// the sender failed to write the last byte.
const (
	frameHeader = 4
	// maxFrame leaves room for the envelope around the largest message.
	maxFrame = MaxMessage + 4096
	// firstRead bounds the initial allocation, which relies on the length that the
	// sender claims.
	firstRead = 64 << 10
)

// Protocol versions of this release. A daemon supports every version between the
// two; two daemons use the highest common one, so that two releases work together
// during a rolling upgrade.
const (
	ProtocolMin = 1
	ProtocolMax = 1
)

// hello is the first message on a connection, in both directions.
type hello struct {
	Self Ref `cbor:"1,keyasint"`
	Min  int `cbor:"2,keyasint"`
	Max  int `cbor:"3,keyasint"`
}

// negotiate returns the highest protocol version that both sides support.
func (h hello) negotiate(other hello) (int, error) {
	version := min(h.Max, other.Max)
	if version < max(h.Min, other.Min) {
		return 0, fmt.Errorf("%w: %d to %d here, %d to %d there", ErrProtocol, h.Min, h.Max, other.Min, other.Max)
	}
	return version, nil
}

// request is one call.
type request struct {
	Method  Method `cbor:"1,keyasint"`
	To      Ref    `cbor:"2,keyasint"`
	Payload []byte `cbor:"3,keyasint,omitempty"`
	// Budget is the time until the caller's deadline in milliseconds; 0 means none.
	Budget uint64 `cbor:"4,keyasint,omitempty"`
	// AnyIncarnation skips the check of To: the caller has only an address.
	AnyIncarnation bool `cbor:"5,keyasint,omitempty"`
}

// status is the outcome of a call in its reply.
type status uint8

const (
	statusOK status = iota
	statusRemoteError
	statusNoMethod
	statusWrongIncarnation
	statusRefused
)

// reply answers a request. Every status but the first two means that nothing
// ran.
type reply struct {
	Status  status       `cbor:"1,keyasint,omitempty"`
	Payload []byte       `cbor:"2,keyasint,omitempty"`
	Error   *RemoteError `cbor:"3,keyasint,omitempty"`
	Actual  Ref          `cbor:"4,keyasint"`
}

// err turns the reply into the error of the call.
func (r reply) err(to Ref) error {
	switch r.Status {
	case statusOK:
		return nil
	case statusRemoteError:
		if r.Error == nil {
			return &RemoteError{Message: "no details"}
		}
		return r.Error
	case statusNoMethod:
		return ErrNoMethod
	case statusWrongIncarnation:
		return &WrongIncarnationError{Want: to, Actual: r.Actual}
	case statusRefused:
		return ErrBusy
	default:
		return fmt.Errorf("%w: reply status %d", ErrUnknown, r.Status)
	}
}

// replyFor encodes the outcome of Mux.Dispatch.
func replyFor(payload []byte, err error) reply {
	var remote *RemoteError
	switch {
	case err == nil:
		return reply{Payload: payload}
	case errors.Is(err, ErrNoMethod):
		return reply{Status: statusNoMethod}
	case errors.As(err, &remote):
		return reply{Status: statusRemoteError, Error: remote}
	default:
		return reply{Status: statusRemoteError, Error: asRemote(err)}
	}
}

// budget returns the time left until the deadline, at least one millisecond.
func budget(deadline time.Time) uint64 {
	left := time.Until(deadline).Milliseconds()
	return uint64(max(left, 1))
}

func encodeFrame(v any) ([]byte, error) {
	body, err := Marshal(v)
	if err != nil {
		return nil, notSent(err)
	}
	if len(body) > maxFrame {
		return nil, fmt.Errorf("%w: %d bytes", ErrTooLarge, len(body))
	}
	frame := make([]byte, frameHeader, frameHeader+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	return append(frame, body...), nil
}

// EncodeFrame returns a value as one frame, for connections that carry frames of
// another package. ReadFrame is its counterpart.
func EncodeFrame(v any) ([]byte, error) { return encodeFrame(v) }

// ReadFrame reads one frame into v.
func ReadFrame(r io.Reader, v any) error { return readFrame(r, v) }

// readFrame decodes one frame. Memory use grows with the bytes received, not with
// the length that the sender claims.
func readFrame(r io.Reader, v any) error {
	var header [frameHeader]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return fmt.Errorf("peer: read frame header: %w", err)
	}
	size := int(binary.BigEndian.Uint32(header[:]))
	if size > maxFrame {
		return fmt.Errorf("peer: frame of %d bytes, at most %d", size, maxFrame)
	}
	body, err := readBody(r, size)
	if err != nil {
		return err
	}
	return Unmarshal(body, v)
}

func readBody(r io.Reader, size int) ([]byte, error) {
	body := make([]byte, min(size, firstRead))
	filled := 0
	for {
		n, err := io.ReadFull(r, body[filled:])
		filled += n
		if err != nil {
			return nil, fmt.Errorf("peer: read frame: %w", err)
		}
		if filled == size {
			return body, nil
		}
		grown := make([]byte, min(size, 2*filled))
		copy(grown, body)
		body = grown
	}
}
