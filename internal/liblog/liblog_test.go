package liblog

import (
	"bufio"
	"bytes"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

func TestResponsesOfInstancesAreNotLogged(t *testing.T) {
	// Guards against callers' data in a daemon's log, where part of a response to a
	// caller was found: an instance sends two responses to one request at once, and
	// net/http's Transport prints the start of the second one with package log.
	flags, prefix, output := log.Flags(), log.Prefix(), log.Writer()
	defer func() { log.SetFlags(flags); log.SetPrefix(prefix); log.SetOutput(output) }()
	var logged lockedBuffer
	Redirect(zerolog.New(&logged))

	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		r := bufio.NewReader(c)
		if _, err := http.ReadRequest(r); err == nil {
			const answer = "HTTP/1.1 200 OK\r\nX: secret\r\nContent-Length: 2\r\n\r\nok"
			_, _ = io.WriteString(c, answer+answer)
			_, _ = r.ReadByte() // until the other side closes
		}
	}()
	client := &http.Client{Transport: &http.Transport{}}
	resp, err := client.Get("http://" + ln.Addr().String())
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Eventually(t, func() bool { return logged.String() != "" }, 10*time.Second, time.Millisecond)
	require.Contains(t, logged.String(), "Unsolicited response")
	require.NotContains(t, logged.String(), "secret")
	require.NotContains(t, logged.String(), "HTTP/1.1")

	ForServer(zerolog.New(&logged)).Printf("http: invalid Content-Length of %q", "private")
	require.Contains(t, logged.String(), "invalid Content-Length")
	require.NotContains(t, logged.String(), "private")
}
