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

// ownPrefix begins the names of this system's own headers.
const ownPrefix = "Fennel-"

// endToEnd reports whether a header, by its canonical name, decides what a
// request asks for, for whom, or what an answer says.
//
// What goes wrong without it: a Connection header that names one makes the next
// daemon or the instance see another request than the one that was checked, for
// example an idempotent one, which is retried. RFC 9110 (7.6.1) forbids senders
// to name headers meant for all recipients.
func endToEnd(name string) bool {
	switch name {
	case "Idempotency-Key", "Content-Type", "Content-Encoding", "Authorization", "Cookie":
		return true
	default:
		return strings.HasPrefix(name, ownPrefix)
	}
}

// RemoveHopHeaders deletes the headers that concern one connection only, those
// named by Connection included unless they are meant for all recipients.
func RemoveHopHeaders(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			name = textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name))
			if name != "" && !endToEnd(name) {
				delete(h, name)
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
