// Package liblog redirects what libraries print with the standard library's log package
// to a structured log, so that a daemon's output has structured lines only.
package liblog

import (
	"bytes"
	"log"

	"github.com/rs/zerolog"
)

// maxLibraryLine is the length at which a library's line is truncated, in bytes.
const maxLibraryLine = 4 << 10

// lines forwards lines of the standard library's log without quoted data.
//
// net/http's Transport prints the start of an unsolicited response, and its Server
// the values of headers that it rejects. Both are callers' data, which must not appear
// in a daemon's log. net/http quotes such data, so each line is cut before its first
// quotation mark.
type lines struct{ log zerolog.Logger }

// Write implements io.Writer; package log calls it once per line.
func (l lines) Write(p []byte) (int, error) {
	line, _, quoted := bytes.Cut(p, []byte{'"'})
	line = bytes.TrimSpace(line[:min(len(line), maxLibraryLine)])
	l.log.Warn().Bool("cut", quoted).Msg(string(line))
	return len(p), nil
}

// Redirect sends what libraries print with package log to l, at level warn and
// without callers' data. net/http's Transport has no logger setting, so Redirect
// changes package log for the whole process; only programs should call it, at their
// start.
func Redirect(l zerolog.Logger) {
	log.SetFlags(0)
	log.SetOutput(lines{l})
}

// ForServer returns a logger for the ErrorLog of an http.Server; it cuts lines as Redirect does.
func ForServer(l zerolog.Logger) *log.Logger { return log.New(lines{l}, "", 0) }
