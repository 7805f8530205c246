package forward

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopHeaders concern one connection only and are never passed on.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopHeaders deletes the headers that concern one connection only,
// those named by Connection included.
func RemoveHopHeaders(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopHeaders {
		delete(h, name)
	}
}

// PrepareRequest turns the headers of a caller's request, in place, into those
// of the request to an endpoint.
func PrepareRequest(h http.Header, requestID string) {
	RemoveHopHeaders(h)
	// The body is sent at once: the caller was told to go on when the daemon
	// began to read it.
	delete(h, "Expect")
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""} // else net/http names itself
	}
	h[RequestIDHeader] = []string{requestID}
}
