package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"fennelshunt.example/fennelshunt/request/forward"
	"fennelshunt.example/fennelshunt/request/verdict"
)

var (
	errDetached     = errors.New("gateway: the attempt that read this body has ended")
	errBodyTooLarge = errors.New("gateway: body larger than the limit")
)

// body is a caller's request body that several attempts can read. Bytes that
// were read are kept up to a limit; beyond it no further attempt is possible.
type body struct {
	ctl     *http.ResponseController
	timeout time.Duration
	max     int64

	mu        sync.Mutex
	src       io.Reader
	read      int64  // bytes taken from src
	kept      []byte // the first bytes of src
	keepLimit int
	err       error // how src ended
	reader    *bodyReader
}

func (b *body) init(w http.ResponseWriter, r *http.Request, o *Options) {
	b.ctl, b.timeout, b.max = http.NewResponseController(w), o.BodyTimeout, o.MaxBody
	b.src, b.keepLimit = r.Body, o.RewindBody
	if r.ContentLength == 0 {
		b.err = io.EOF
	}
}

// newWholeBody returns a body whose bytes are all in memory.
func newWholeBody(data []byte) *body {
	return &body{kept: data, read: int64(len(data)), keepLimit: len(data), err: io.EOF}
}

// preload reads a body of known, small size into memory.
func (b *body) preload(size int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.kept = make([]byte, size)
	n, err := io.ReadFull(b.src, b.kept)
	b.kept, b.read = b.kept[:n], int64(n)
	if err != nil {
		b.err = err
		return err
	}
	b.err = io.EOF
	return nil
}

// interrupt makes a read in progress fail with os.ErrDeadlineExceeded.
func (b *body) interrupt() { _ = b.ctl.SetReadDeadline(time.Unix(1, 0)) }

// setReadDeadline allows the caller BodyTimeout to send the next part of its
// body. Otherwise a caller that stops sending would occupy a slot until the
// request's deadline.
func (b *body) setReadDeadline() {
	if b.ctl != nil && b.timeout > 0 {
		_ = b.ctl.SetReadDeadline(time.Now().Add(b.timeout))
	}
}

// clearReadDeadline removes the read deadline once the body has ended. If it
// were left in place it would end the server's background read of the
// connection, and the server would take a caller that waits for its answer for
// one that has disconnected.
func (b *body) clearReadDeadline() {
	if b.ctl != nil && b.timeout > 0 {
		_ = b.ctl.SetReadDeadline(time.Time{})
	}
}

// attempt returns a reader from the start of the body and invalidates that of
// the previous attempt. It returns false when the start is no longer kept, or
// when an earlier attempt is still blocked reading from the caller.
func (b *body) attempt() (io.Reader, bool) {
	if !b.mu.TryLock() {
		return nil, false
	}
	defer b.mu.Unlock()
	if b.read > int64(len(b.kept)) {
		return nil, false
	}
	if b.err != nil && b.err != io.EOF {
		return nil, false
	}
	b.reader = nil
	if b.err == io.EOF {
		// The body is in memory: a plain reader needs no lock, and an attempt that
		// has ended may still read from it.
		return bytes.NewReader(b.kept), true
	}
	b.reader = &bodyReader{body: b}
	return b.reader, true
}

// bodyReader is one attempt's view of the body.
type bodyReader struct {
	body *body
	at   int64
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reader != r {
		return 0, errDetached
	}
	if r.at < int64(len(b.kept)) {
		n := copy(p, b.kept[r.at:])
		r.at += int64(n)
		return n, nil
	}
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.next(p)
	r.at += int64(n)
	return n, err
}

// next reads bytes from the caller.
func (b *body) next(p []byte) (int, error) {
	b.setReadDeadline()
	n, err := b.src.Read(p)
	if b.read == int64(len(b.kept)) && len(b.kept)+n <= b.keepLimit {
		b.kept = append(b.kept, p[:n]...)
	}
	b.read += int64(n)
	if b.read > b.max && (err == nil || err == io.EOF) {
		err = errBodyTooLarge
	}
	b.err = err
	if err != nil {
		b.clearReadDeadline()
	}
	return n, err
}

// complete reports whether the whole body has arrived.
func (b *body) complete() bool {
	if !b.mu.TryLock() {
		return false // an attempt is blocked reading from the caller
	}
	defer b.mu.Unlock()
	return b.err == io.EOF
}

// readWhole reads the whole body into memory that it reserves with r, up to
// limit bytes. size is the body's length, or -1 when that is not known.
func (b *body) readWhole(size, limit int64, r *reservation) ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == io.EOF {
		return b.kept, nil
	}
	b.setReadDeadline()
	defer b.clearReadDeadline()
	data, err := readAll(b.src, size, limit, r)
	b.read = int64(len(data))
	return data, err
}

// describeBody sets status and code when the caller's body made an attempt
// fail because it was too large or too slow.
func describeBody(e *verdict.Error) {
	switch {
	case e.Code != forward.CodeCallerBody:
	case errors.Is(e, errBodyTooLarge):
		e.Status, e.Code = http.StatusRequestEntityTooLarge, CodeBodyTooLarge
	case errors.Is(e, os.ErrDeadlineExceeded):
		e.Status, e.Code = http.StatusRequestTimeout, CodeBodyTimeout
	}
}

// bodyError returns the refusal for an error in reading the caller's body
// before any attempt.
func bodyError(err error) *verdict.Error {
	switch {
	case errors.Is(err, errBodyTooLarge):
		return refuse(http.StatusRequestEntityTooLarge, CodeBodyTooLarge, err)
	case errors.Is(err, errBodyMemory):
		return refuse(http.StatusServiceUnavailable, CodeOverloaded, err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refuse(http.StatusRequestTimeout, CodeBodyTimeout, errors.New("the body did not arrive in time"))
	default:
		return badRequest(fmt.Errorf("read the body: %w", err))
	}
}
