package daemon

import (
	"bytes"
	"log"

	"github.com/rs/zerolog"
)

// maxLibraryLine bounds what is kept of a library's line, in bytes.
const maxLibraryLine = 4 << 10

// libraryLog passes lines of the standard library's log on without what they
// quote.
//
// What goes wrong without it: net/http's Transport prints the start of an
// answer that nobody asked for, and its Server the values of headers that it
// refuses; both are caller data, which then stands in the daemon's logs.
// net/http quotes such data, so a line ends before its first quotation mark.
type libraryLog struct{ log zerolog.Logger }

// Write implements io.Writer; package log calls it once per line.
func (l libraryLog) Write(p []byte) (int, error) {
	line, _, quoted := bytes.Cut(p, []byte{'"'})
	line = bytes.TrimSpace(line[:min(len(line), maxLibraryLine)])
	l.log.Warn().Bool("cut", quoted).Msg(string(line))
	return len(p), nil
}

// RedirectStandardLog sends what libraries print by package log to l, at level
// warn and without caller data. It changes the whole process, so that only a
// program's main function calls it: net/http's Transport has no log of its own.
func RedirectStandardLog(l zerolog.Logger) {
	log.SetFlags(0)
	log.SetOutput(libraryLog{l})
}

// errorLog returns the log of an http.Server.
func errorLog(l zerolog.Logger) *log.Logger { return log.New(libraryLog{l}, "", 0) }
