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

// body is a caller's request body that several attempts can read. What was
// read is kept up to a limit; beyond it no further attempt is possible.
type body struct {
	ctl     *http.ResponseController
	timeout time.Duration
	max     int64

	mu     sync.Mutex
	src    io.Reader
	read   int64  // bytes taken from src
	kept   []byte // the first bytes of src
	keep   int
	err    error // how src ended
	reader *bodyReader
}

func (b *body) init(w http.ResponseWriter, r *http.Request, o *Options) {
	b.ctl, b.timeout, b.max = http.NewResponseController(w), o.BodyTimeout, o.MaxBody
	b.src, b.keep = r.Body, o.RewindBody
	if r.ContentLength == 0 {
		b.err = io.EOF
	}
}

// newWholeBody returns a body that is in memory.
func newWholeBody(data []byte) *body {
	return &body{kept: data, read: int64(len(data)), keep: len(data), err: io.EOF}
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

// interrupt ends a read in progress with os.ErrDeadlineExceeded.
func (b *body) interrupt() { _ = b.ctl.SetReadDeadline(time.Unix(1, 0)) }

// arm gives the caller BodyTimeout for the next part of its body. Without it a
// caller that stops sending would hold a slot until the request's deadline.
func (b *body) arm() {
	if b.ctl != nil && b.timeout > 0 {
		_ = b.ctl.SetReadDeadline(time.Now().Add(b.timeout))
	}
}

// disarm takes the time limit away once the body has ended. Left in place it
// would end the server's watch on the connection, which then takes a caller
// that waits for its answer for one that has gone.
func (b *body) disarm() {
	if b.ctl != nil && b.timeout > 0 {
		_ = b.ctl.SetReadDeadline(time.Time{})
	}
}

// attempt returns a reader from the body's beginning and ends the reader of
// the attempt before; false when the beginning is no longer there or an
// earlier attempt still waits for the caller.
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
		// All in memory: a plain reader needs no lock, and an attempt that has
		// ended may still read it.
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

// next takes bytes from the caller.
func (b *body) next(p []byte) (int, error) {
	b.arm()
	n, err := b.src.Read(p)
	if b.read == int64(len(b.kept)) && len(b.kept)+n <= b.keep {
		b.kept = append(b.kept, p[:n]...)
	}
	b.read += int64(n)
	if b.read > b.max && (err == nil || err == io.EOF) {
		err = errBodyTooLarge
	}
	b.err = err
	if err != nil {
		b.disarm()
	}
	return n, err
}

// complete reports whether the whole body has arrived.
func (b *body) complete() bool {
	if !b.mu.TryLock() {
		return false // an attempt waits for the caller
	}
	defer b.mu.Unlock()
	return b.err == io.EOF
}

// readWhole reads the whole body, of size bytes or -1 when that is not known,
// into memory taken from r, up to limit.
func (b *body) readWhole(size, limit int64, r *reservation) ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == io.EOF {
		return b.kept, nil
	}
	b.arm()
	defer b.disarm()
	data, err := readAll(b.src, size, limit, r)
	b.read = int64(len(data))
	return data, err
}

// describeBody names the cause when the caller's body broke off an attempt.
func describeBody(e *verdict.Error) {
	switch {
	case e.Code != forward.CodeCallerBody:
	case errors.Is(e, errBodyTooLarge):
		e.Status, e.Code = http.StatusRequestEntityTooLarge, CodeBodyTooLarge
	case errors.Is(e, os.ErrDeadlineExceeded):
		e.Status, e.Code = http.StatusRequestTimeout, CodeBodyTimeout
	}
}

// bodyError gives an error of the caller's body, met before any attempt, its
// answer.
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
