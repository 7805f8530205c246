// Package liblog takes in what libraries print by the standard library's log, so that
// a daemon's output holds structured lines only.
package liblog

import (
	"bytes"
	"log"

	"github.com/rs/zerolog"
)

// maxLibraryLine bounds what is kept of a library's line, in bytes.
const maxLibraryLine = 4 << 10

// lines passes lines of the standard library's log on without what they
// quote.
//
// What goes wrong without it: net/http's Transport prints the start of an
// answer that nobody asked for, and its Server the values of headers that it
// refuses; both are caller data, which then stands in the daemon's logs.
// net/http quotes such data, so a line ends before its first quotation mark.
type lines struct{ log zerolog.Logger }

// Write implements io.Writer; package log calls it once per line.
func (l lines) Write(p []byte) (int, error) {
	line, _, quoted := bytes.Cut(p, []byte{'"'})
	line = bytes.TrimSpace(line[:min(len(line), maxLibraryLine)])
	l.log.Warn().Bool("cut", quoted).Msg(string(line))
	return len(p), nil
}

// Redirect sends what libraries print by package log to l, at level
// warn and without caller data. It changes the whole process, so that only a
// program's main function calls it: net/http's Transport has no log of its own.
func Redirect(l zerolog.Logger) {
	log.SetFlags(0)
	log.SetOutput(lines{l})
}

// ForServer returns the log of an http.Server.
func ForServer(l zerolog.Logger) *log.Logger { return log.New(lines{l}, "", 0) }
