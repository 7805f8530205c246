package forward

import (
	"net/http"
	"strings"

	"fennelshunt.example/fennelshunt/request/verdict"
)

// reserved reports whether a trailer has the name of one of this system's
// headers. They have no meaning as trailers, and a caller that merges trailers
// into the header would take an endpoint's verdict for the daemon's.
func reserved(trailer string) bool { return strings.HasPrefix(trailer, ownPrefix) }

// RemoveReserved deletes from an endpoint's answer the headers that only a
// daemon may send to callers, and RefusedHeader, which another daemon would take
// for a refusal by this one.
func RemoveReserved(h http.Header) {
	delete(h, verdict.Header)
	delete(h, verdict.CodeHeader)
	delete(h, RefusedHeader)
}
