package endpoint

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// chunkSize is the size of the writes of a large response, in bytes.
const chunkSize = 32 << 10

// ResponseBody returns the body of an endpoint's response to a request with this key and
// body.
func ResponseBody(key string, body []byte) []byte {
	return append(fmt.Appendf(nil, "%s %016x\n", key, xxhash.Sum64(body)), body...)
}

// Filler returns the byte at an offset of a large response to the request with this
// key. Responses to different keys differ, and so do the parts of a response.
func Filler(key string, offset int64) byte {
	return byte(xxhash.Sum64String(key) + uint64(offset)*0x9e37 + uint64(offset>>8))
}

// Key returns the key of the request in Report.Runs.
func Key(h http.Header) string {
	for _, name := range []string{KeyHeader, "Idempotency-Key", RequestIDHeader} {
		if v := h.Get(name); v != "" {
			return v
		}
	}
	return ""
}

// ServeHTTP serves one request. With the query parameter size=N the response has N
// filler bytes instead of the request's body, with trailer=1 it has a trailer.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key := Key(r.Header)
	kind, delay, leaving := e.draw()
	if leaving {
		w.Header().Set(LeavingHeader, "true")
	}
	if id := r.Header.Get(RequestIDHeader); id != "" && !e.opts.NoEcho {
		w.Header().Set(RequestIDHeader, id)
	}
	if kind == faultRefuse || !e.begin(key, r) {
		if kind == faultRefuse {
			e.countRefused()
		}
		w.Header().Set(RefusedHeader, RefusedBeforeWork)
		http.Error(w, "refused before work", http.StatusServiceUnavailable)
		return
	}
	completed := false
	defer func() { e.end(completed) }()
	e.serve(w, r, key, kind, delay)
	completed = true
}

func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request, key string, kind fault, delay time.Duration) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if d := e.opts.Work + delay; d > 0 {
		select {
		case <-time.After(d):
		case <-e.stop:
		}
	}
	switch kind {
	case faultReset:
		reset(r)
	case faultHang:
		select {
		case <-r.Context().Done():
		case <-e.stop:
		}
		panic(http.ErrAbortHandler)
	case faultError:
		http.Error(w, "endpoint failed", http.StatusInternalServerError)
		return
	}
	w.Header().Set(KeyHeader, key)
	e.respond(w, r, key, body, kind)
}

func (e *Endpoint) respond(w http.ResponseWriter, r *http.Request, key string, body []byte, kind fault) {
	if r.URL.Query().Get("trailer") == "1" {
		w.Header().Set("Trailer", "Endpoint-Sum")
		defer w.Header().Set("Endpoint-Sum", strconv.FormatUint(xxhash.Sum64(body), 16))
	}
	if size, err := strconv.ParseInt(r.URL.Query().Get("size"), 10, 64); err == nil && size >= 0 {
		e.fill(w, r, key, size, kind)
		return
	}
	out := ResponseBody(key, body)
	if r.URL.Query().Get("trailer") == "" {
		w.Header().Set("Content-Length", strconv.Itoa(len(out)))
	}
	half := len(out)
	if kind == faultTruncate || kind == faultResetMid {
		half /= 2
	}
	_, _ = w.Write(out[:half])
	truncate(w, r, kind)
}

// fill streams size filler bytes in chunked encoding.
func (e *Endpoint) fill(w http.ResponseWriter, r *http.Request, key string, size int64, kind fault) {
	buf := make([]byte, chunkSize)
	for at := int64(0); at < size; {
		n := min(int64(chunkSize), size-at)
		for i := range n {
			buf[i] = Filler(key, at+i)
		}
		if _, err := w.Write(buf[:n]); err != nil {
			panic(http.ErrAbortHandler)
		}
		at += n
		if at >= size/2 {
			truncate(w, r, kind)
		}
	}
}

// truncate aborts the response here if kind is a fault that truncates it.
func truncate(w http.ResponseWriter, r *http.Request, kind fault) {
	if kind != faultTruncate && kind != faultResetMid {
		return
	}
	_ = http.NewResponseController(w).Flush()
	if kind == faultResetMid {
		reset(r)
	}
	panic(http.ErrAbortHandler)
}
