package forward

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopHeaders are the hop-by-hop headers, which are never forwarded.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// ownPrefix is the prefix of this system's own headers.
const ownPrefix = "Fennel-"

// endToEnd reports whether a header, by its canonical name, affects the meaning
// of a request or an answer, or identifies its sender, and so must not be removed
// when Connection names it. Otherwise the next daemon or the instance would see
// another request than the one that was checked, for example an idempotent one,
// which is retried. RFC 9110 (7.6.1) forbids senders to name headers in
// Connection that are meant for all recipients.
func endToEnd(name string) bool {
	switch name {
	case "Idempotency-Key", "Content-Type", "Content-Encoding", "Authorization", "Cookie":
		return true
	default:
		return strings.HasPrefix(name, ownPrefix)
	}
}

// RemoveHopHeaders deletes the hop-by-hop headers, including those named by
// Connection unless they are meant for all recipients.
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

// PrepareRequest converts the headers of a caller's request, in place, to those
// of the request to an endpoint.
func PrepareRequest(h http.Header, requestID string) {
	RemoveHopHeaders(h)
	// The body is sent without waiting: the caller got its 100 Continue when the
	// daemon began to read the body.
	delete(h, "Expect")
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""} // otherwise net/http sets its own
	}
	h[RequestIDHeader] = []string{requestID}
}
