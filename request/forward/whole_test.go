package forward

import (
	"bufio"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/request/verdict"
)

func TestAnswerEndedByCloseIsNotTakenForWhole(t *testing.T) {
	// Guards against half an answer that is taken for a complete one: an instance
	// answers without Content-Length and without chunks, and crashes in the middle
	// of the body. Such a body ends with the connection, so that its end and a
	// crash look the same.
	for _, header := range []string{"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\n", "HTTP/1.0 200 OK\r\n"} {
		w := newWire(t, func(w *wire, c net.Conn, r *bufio.Reader) {
			if _, ok := w.read(r); ok {
				_, _ = io.WriteString(c, header+"\r\nthe first half")
			}
		})
		body, err := sendOnce(t.Context(), New(Options{}), w.endpoint(), outgoing("POST", "1", "x"))
		require.Error(t, err, "%q: passed on as complete: %q", header, body)
		require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
		require.Equal(t, CodeBadAnswer, verdict.As(err).Code)
	}
}

func TestAnswersWithoutBodyNeedNoLength(t *testing.T) {
	for method, answer := range map[string]string{
		"HEAD": "HTTP/1.1 200 OK\r\n\r\n",
		"POST": "HTTP/1.1 204 No Content\r\n\r\n",
		"GET":  "HTTP/1.1 304 Not Modified\r\n\r\n",
	} {
		w := newWire(t, func(w *wire, c net.Conn, r *bufio.Reader) {
			if _, ok := w.read(r); ok {
				_, _ = io.WriteString(c, answer)
			}
		})
		body, err := sendOnce(t.Context(), New(Options{}), w.endpoint(), outgoing(method, "1", ""))
		require.NoError(t, err, method)
		require.Empty(t, body)
	}
}
