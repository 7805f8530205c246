package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"fennelshunt.example/fennelshunt/request/verdict"
)

const (
	// bufferSize is the size of the copy buffer, in bytes. An answer that fits into
	// it is known to be complete before its first byte is passed on.
	bufferSize = 32 << 10
	// drainLimit bounds how much of a discarded answer is read, in bytes, to confirm
	// that the endpoint has finished.
	drainLimit = 1 << 20
)

var buffers = sync.Pool{New: func() any { return new([bufferSize]byte) }}

// errEndUnknown rejects a body that ends with the connection: a crash of the
// instance in the middle of it would look like its end, and half an answer would
// be passed on, or kept for an idempotency key, as a complete one.
var errEndUnknown = errors.New("the answer's body has neither a length nor chunks")

var errCallerGone = errors.New("the caller's connection is gone")

// Answer is an endpoint's answer whose body has not been read yet.
type Answer struct {
	Status     int
	Header     http.Header
	HeaderTime time.Duration // from the start of the attempt to the header

	resp     *http.Response
	target   *target
	exchange *exchange
	ctx      context.Context
	whole    bool
	closed   bool
}

// check rejects answers that must not be passed on.
func (a *Answer) check(x *exchange, id string) *verdict.Error {
	got := a.Header.Get(RequestIDHeader)
	if !x.belongs(got, id) {
		return newError(verdict.MayHaveRun, http.StatusBadGateway, CodeForeign,
			fmt.Errorf("answer of request %.64q", got))
	}
	if a.Status == http.StatusServiceUnavailable && a.Header.Get(RefusedHeader) == RefusedBeforeWork {
		a.Discard()
		return unsent(CodeRefused, errRefused)
	}
	if a.Status < http.StatusOK {
		return newError(verdict.MayHaveRun, http.StatusBadGateway, CodeBadAnswer,
			fmt.Errorf("unexpected status %d", a.Status))
	}
	if !a.delimited() {
		return newError(verdict.MayHaveRun, http.StatusBadGateway, CodeBadAnswer, errEndUnknown)
	}
	return nil
}

// delimited reports whether the body's end can be distinguished from a broken
// connection.
func (a *Answer) delimited() bool {
	return a.resp.ContentLength >= 0 || len(a.resp.TransferEncoding) > 0 || a.resp.Body == http.NoBody
}

// Whole reports whether the whole body was read, in which case the endpoint has
// finished its work on the request.
func (a *Answer) Whole() bool { return a.whole }

// Close releases the answer's resources. It closes the connection unless the
// whole body was read.
func (a *Answer) Close() {
	if a.closed {
		return
	}
	a.closed = true
	_ = a.resp.Body.Close()
	a.exchange.cancel(nil)
	a.exchange.release()
	a.target.end()
}

// read reads into buf. When the length is known it waits until buf is full or
// the body ends, otherwise it returns after the first bytes.
func (a *Answer) read(buf []byte, known bool) (int, error) {
	n, err := 0, error(nil)
	for n < len(buf) && err == nil {
		var m int
		m, err = a.resp.Body.Read(buf[n:])
		n += m
		if !known && n > 0 {
			break
		}
	}
	if err == io.EOF {
		a.whole = true
	}
	return n, err
}

// truncated returns the error for a body that ended early.
func (a *Answer) truncated(err error) *verdict.Error {
	if a.ctx.Err() != nil && errors.Is(context.Cause(a.ctx), context.DeadlineExceeded) {
		return newError(verdict.MayHaveRun, http.StatusGatewayTimeout, CodeDeadline, errDeadline)
	}
	return newError(verdict.MayHaveRun, http.StatusBadGateway, CodeTruncated, err)
}

// Discard reads and discards the rest of the body, up to a limit, to confirm that
// the endpoint has finished.
func (a *Answer) Discard() {
	n, err := io.Copy(io.Discard, io.LimitReader(a.resp.Body, drainLimit))
	if err == nil && n < drainLimit {
		a.whole = true
	}
}

// ReadWhole reads the body into memory. When it is longer than limit, tooLarge is
// set and body is nil; the answer can then still be streamed whole with Deliver.
// The error is a *verdict.Error.
func (a *Answer) ReadWhole(limit int) (body []byte, tooLarge bool, err error) {
	body, err = io.ReadAll(io.LimitReader(a.resp.Body, int64(limit)+1))
	switch {
	case err != nil:
		return nil, false, a.truncated(err)
	case len(body) > limit:
		a.resp.Body = &prefixed{Reader: io.MultiReader(bytes.NewReader(body), a.resp.Body), Closer: a.resp.Body}
		return nil, true, nil
	}
	a.whole = true
	return body, false, nil
}

type prefixed struct {
	io.Reader
	io.Closer
}

// Trailer returns the answer's trailers, except those that have the name of one
// of this system's headers. They are complete once the body has been read.
func (a *Answer) Trailer() http.Header {
	var out http.Header
	for name, values := range a.resp.Trailer {
		if reserved(name) {
			continue
		}
		if out == nil {
			out = http.Header{}
		}
		out[name] = values
	}
	return out
}

// Deliver streams the answer to the caller. sent reports whether anything was
// written to w: if so, and err is not nil, the caller's connection must be
// aborted, because a truncated body must not look complete. When the caller has
// disconnected, the rest of the answer is read and discarded, to confirm that the
// endpoint has finished.
func (a *Answer) Deliver(w http.ResponseWriter) (sent bool, err error) {
	buf := buffers.Get().(*[bufferSize]byte)
	defer buffers.Put(buf)
	known := a.resp.ContentLength >= 0
	n, err := a.read(buf[:], known)
	if err != nil && err != io.EOF {
		return false, a.truncated(err)
	}
	a.writeHeader(w)
	for {
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				if err == nil {
					a.Discard()
				}
				return true, newError(verdict.Ran, http.StatusBadGateway, CodeCallerClosed, errCallerGone)
			}
		}
		if err == io.EOF {
			a.writeTrailer(w)
			return true, nil
		}
		if err != nil {
			return true, a.truncated(err)
		}
		if !known {
			_ = http.NewResponseController(w).Flush()
		}
		n, err = a.read(buf[:], known)
	}
}

func (a *Answer) writeHeader(w http.ResponseWriter) {
	h := w.Header()
	RemoveHopHeaders(a.Header)
	for name, values := range a.Header {
		if _, set := h[name]; !set {
			h[name] = values
		}
	}
	for name := range a.Trailer() {
		h.Add("Trailer", name)
	}
	w.WriteHeader(a.Status)
}

func (a *Answer) writeTrailer(w http.ResponseWriter) {
	trailer := a.Trailer()
	if len(trailer) == 0 {
		return
	}
	// Trailers are only sent with a chunked body, which Flush enforces.
	_ = http.NewResponseController(w).Flush()
	for name, values := range trailer {
		w.Header()[name] = values
	}
}
