package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/internal/tcpsocket"
)

// TestArrivedBytesCountAsAnAnswerBeforeTheyAreRead guards against a deadline that overtakes an
// answer: after a time without CPU the deadline's timer may be handled before the socket is read.
func TestArrivedBytesCountAsAnAnswerBeforeTheyAreRead(t *testing.T) {
	for _, secure := range []bool{false, true} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer func() { _ = ln.Close() }()
		raw, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		defer func() { _ = raw.Close() }()
		instance, err := ln.Accept()
		require.NoError(t, err)
		defer func() { _ = instance.Close() }()

		c := &conn{Conn: raw, secure: secure, socket: tcpsocket.Of(raw)}
		x := &exchange{conn: c, wrote: true}
		c.bind(x)
		o := &Outgoing{}
		require.False(t, o.Answering(), "no attempt")
		o.current = x
		require.False(t, o.Answering(), "nothing has arrived")
		_, err = io.WriteString(instance, ok)
		require.NoError(t, err)
		require.Eventually(t, c.socket.Readable, 10*time.Second, time.Millisecond)
		require.Equal(t, !secure, o.Answering(), "beneath TLS the bytes may be of the protocol itself")
		x.wrote = false
		require.False(t, o.Answering(), "bytes before the request are no answer to it")
		x.wrote = true
		x.release()
		require.False(t, o.Answering(), "the attempt has ended")
	}
}

// TestInterimResponseIsNoAnswer guards against a caller that waits beyond its deadline for an
// instance that has only sent an interim response.
func TestInterimResponseIsNoAnswer(t *testing.T) {
	interim, answer := make(chan struct{}), make(chan struct{})
	w := newWire(t, func(w *wire, c net.Conn, r *bufio.Reader) {
		if _, read := w.read(r); read {
			_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\n\r\n")
			<-interim
			_, _ = io.WriteString(c, ok)
			<-answer
		}
	})
	o := outgoing(http.MethodPost, "1", "")
	done := make(chan error, 1)
	go func() {
		a, err := New(Options{}).Send(t.Context(), w.endpoint(), o)
		if err == nil {
			defer a.Close()
			if !o.Answering() {
				t.Error("the answer does not count")
			}
		}
		close(answer)
		done <- err
	}()
	current := func() *exchange {
		o.mu.Lock()
		defer o.mu.Unlock()
		return o.current
	}
	read := func() bool {
		x := current()
		if x == nil {
			return false
		}
		x.mu.Lock()
		defer x.mu.Unlock()
		return x.conn != nil && x.conn.answered.Load()
	}
	require.Eventually(t, read, 10*time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return !o.Answering() }, 10*time.Second, time.Millisecond)
	close(interim)
	require.NoError(t, <-done)
}
