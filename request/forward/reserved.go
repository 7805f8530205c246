package forward

import (
	"net/http"
	"strings"

	"fennelshunt.example/fennelshunt/request/verdict"
)

// reserved reports whether a trailer has the name of one of this system's
// headers. As trailers they mean nothing, and a caller that merges trailers
// into the header would take an endpoint's for the daemon's verdict.
func reserved(trailer string) bool { return strings.HasPrefix(trailer, ownPrefix) }

// RemoveReserved deletes from an endpoint's answer the headers that only a
// daemon may give to callers, and the sign of a refusal, which would mean the
// daemon's own to another daemon.
func RemoveReserved(h http.Header) {
	delete(h, verdict.Header)
	delete(h, verdict.CodeHeader)
	delete(h, RefusedHeader)
}
