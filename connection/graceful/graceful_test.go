package graceful

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// slowReader returns a request that it has read only after release is closed, as if the
// server's goroutine were not scheduled after it read the bytes.
type slowReader struct {
	*conn
	release chan struct{}
	held    *atomic.Bool
}

func (s slowReader) Read(b []byte) (int, error) {
	n, err := s.conn.Read(b)
	if n > 0 && s.held.Load() {
		<-s.release
	}
	return n, err
}

type slowListener struct {
	net.Listener
	release chan struct{}
	held    atomic.Bool
}

func (l *slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return slowReader{c.(*conn), l.release, &l.held}, nil
}

const testTimeout = 20 * time.Second

type fixture struct {
	conns  *Conns
	listen *slowListener
	done   chan error
}

func serve(t *testing.T) *fixture {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := &fixture{listen: &slowListener{Listener: Listener(l), release: make(chan struct{})}, done: make(chan error, 1)}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })}
	f.conns = Track(server)
	go func() { _ = server.Serve(f.listen) }() // ends with the listener
	t.Cleanup(func() { _ = server.Close() })
	return f
}

func (f *fixture) shutdown(ctx context.Context) {
	go func() { f.done <- f.conns.Shutdown(ctx, func() { _ = f.listen.Close() }) }()
}

// caller is a kept-alive connection.
type caller struct {
	t *testing.T
	net.Conn
	r *bufio.Reader
}

func call(t *testing.T, f *fixture) *caller {
	c, err := net.Dial("tcp", f.listen.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(testTimeout)))
	return &caller{t, c, bufio.NewReader(c)}
}

func (c *caller) send() {
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi")
	require.NoError(c.t, err)
}

func (c *caller) answer() *http.Response {
	res, err := http.ReadResponse(c.r, nil)
	require.NoError(c.t, err)
	body, err := io.ReadAll(res.Body)
	require.NoError(c.t, err)
	require.Equal(c.t, "whole", string(body))
	return res
}

// TestRequestThatWasReadIsAnswered guards against a planned stop that drops a request whose
// bytes the server has read while its goroutine is not scheduled.
func TestRequestThatWasReadIsAnswered(t *testing.T) {
	f := serve(t)
	c := call(t, f)
	c.send()
	c.answer()
	f.listen.held.Store(true)
	c.send()
	require.Eventually(t, f.anyUnanswered, testTimeout, time.Millisecond)
	f.shutdown(t.Context())
	require.Never(t, func() bool { return len(f.done) > 0 }, 10*pollInterval, pollInterval, "the request is not answered yet")
	close(f.listen.release)
	require.True(t, c.answer().Close, "the connection is not reused")
	require.NoError(t, <-f.done)
}

func (f *fixture) anyUnanswered() bool {
	f.conns.mu.Lock()
	defer f.conns.mu.Unlock()
	for c := range f.conns.conns {
		if unanswered(c) {
			return true
		}
	}
	return false
}

// TestRequestInTheKernelKeepsItsConnection guards against a planned stop that drops a
// request which is still in the kernel's receive buffer.
func TestRequestInTheKernelKeepsItsConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	out, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer out.Close()
	in, err := Listener(l).Accept()
	require.NoError(t, err)
	defer in.Close()
	conns := Track(&http.Server{})
	conns.setState(in, http.StateIdle)
	_, err = io.WriteString(out, "POST")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return unanswered(in) }, testTimeout, time.Millisecond)
	require.Equal(t, 1, conns.closeIdle(time.Now()))
	_, err = io.ReadFull(in, make([]byte, 4))
	require.NoError(t, err)
	require.Equal(t, 1, conns.closeIdle(time.Now()), "read but not answered")
	_, err = io.WriteString(in, "HTTP/1.1 200 OK\r\n\r\n")
	require.NoError(t, err)
	require.Zero(t, conns.closeIdle(time.Now()))
}

// TestConnectionsEndTogether guards against a stop that waits for callers who keep idle
// connections open, or that drops the late first request of a new connection.
func TestConnectionsEndTogether(t *testing.T) {
	f := serve(t)
	idle, fresh := call(t, f), call(t, f)
	idle.send()
	idle.answer()
	require.Eventually(t, func() bool { return f.count() == 2 }, testTimeout, time.Millisecond)
	f.shutdown(t.Context())
	_, err := idle.r.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	fresh.send()
	require.True(t, fresh.answer().Close)
	require.NoError(t, <-f.done)
}

func (f *fixture) count() int {
	f.conns.mu.Lock()
	defer f.conns.mu.Unlock()
	return len(f.conns.conns)
}

// TestShutdownIsBounded guards against a stop that waits forever for the rest of a request.
func TestShutdownIsBounded(t *testing.T) {
	f := serve(t)
	c := call(t, f)
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\n")
	require.NoError(t, err)
	require.Eventually(t, f.anyUnanswered, testTimeout, time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 5*pollInterval)
	defer cancel()
	f.shutdown(ctx)
	require.ErrorIs(t, <-f.done, context.DeadlineExceeded)
	_, err = c.r.ReadByte()
	require.Error(t, err)
}

// lateConn holds the server's goroutine after it has sent an answer, and again before its next read.
type lateConn struct {
	*conn
	afterWrite, beforeRead chan struct{}
	reads                  atomic.Int32
}

func (l *lateConn) Write(b []byte) (int, error) {
	n, err := l.conn.Write(b)
	<-l.afterWrite
	return n, err
}

func (l *lateConn) Read(b []byte) (int, error) {
	if l.reads.Add(1) > 1 {
		<-l.beforeRead
	}
	return l.conn.Read(b)
}

type lateListener struct {
	net.Listener
	afterWrite, beforeRead chan struct{}
}

func (l lateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lateConn{conn: c.(*conn), afterWrite: l.afterWrite, beforeRead: l.beforeRead}, nil
}

// TestRequestAfterAnAnswerOfBeforeTheStopIsAnswered guards against a planned stop that closes the
// connection under the request that follows an answer, when the answer was sent without a word of
// the stop and the server had not finished with it when the stop began.
func TestRequestAfterAnAnswerOfBeforeTheStopIsAnswered(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := lateListener{Listener(tcp), make(chan struct{}), make(chan struct{})}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })}
	f := &fixture{conns: Track(server), listen: &slowListener{Listener: l}, done: make(chan error, 1)}
	go func() { _ = server.Serve(l) }() // ends with the listener
	t.Cleanup(func() { _ = server.Close() })
	c := call(t, f)
	c.send()
	require.False(t, c.answer().Close, "sent before the stop")
	f.shutdown(t.Context())
	require.Never(t, func() bool { return len(f.done) > 0 }, 5*pollInterval, pollInterval)
	c.send()
	close(l.afterWrite)
	require.Never(t, func() bool { return len(f.done) > 0 }, 20*pollInterval, pollInterval, "the request is not answered yet")
	close(l.beforeRead)
	require.True(t, c.answer().Close)
	require.NoError(t, <-f.done)
}

// twiceClosedListener ends Accept only when it has been closed twice, as if the goroutine of Serve
// were not scheduled after the first time.
type twiceClosedListener struct {
	net.Listener
	closes atomic.Int32
	twice  chan struct{}
}

func (l *twiceClosedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.twice
	}
	return c, err
}

func (l *twiceClosedListener) Close() error {
	if l.closes.Add(1) == 2 {
		close(l.twice)
	}
	return l.Listener.Close()
}

// TestListenerClosedTwiceIsACleanStop guards against a planned stop that ends without an open
// connection and is reported as one that aborted requests.
func TestListenerClosedTwiceIsACleanStop(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := &twiceClosedListener{Listener: tcp, twice: make(chan struct{})}
	server := &http.Server{}
	conns := Track(server)
	go func() { _ = server.Serve(Listener(l)) }() // ends with the listener
	c, err := net.Dial("tcp", l.Addr().String())  // Serve has registered the listener when it accepts
	require.NoError(t, err)
	require.Eventually(t, func() bool { return conns.open() == 1 }, testTimeout, time.Millisecond)
	require.NoError(t, c.Close())
	require.NoError(t, conns.Shutdown(t.Context(), func() { _ = l.Close() }))
	require.EqualValues(t, 2, l.closes.Load())
}

// heldWhenIdle serves h and holds the server's goroutine each time that a request has ended, until
// release; idle gets a value each time.
func heldWhenIdle(t *testing.T, h http.HandlerFunc) (f *fixture, idle, release chan struct{}) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: h}
	f = &fixture{conns: Track(server), listen: &slowListener{Listener: Listener(tcp)}, done: make(chan error, 1)}
	idle, release = make(chan struct{}), make(chan struct{})
	track := server.ConnState
	server.ConnState = func(c net.Conn, s http.ConnState) {
		track(c, s)
		if s == http.StateIdle {
			select {
			case idle <- struct{}{}:
				<-release
			case <-release:
			}
		}
	}
	go func() { _ = server.Serve(f.listen) }() // ends with the listener
	t.Cleanup(func() { _ = server.Close() })
	return f, idle, release
}

// TestRequestReadWithTheOneBeforeIsAnswered guards against a planned stop that drops a request whose
// bytes the server has read together with those of the one before.
func TestRequestReadWithTheOneBeforeIsAnswered(t *testing.T) {
	f, idle, release := heldWhenIdle(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "whole")
	})
	c := call(t, f)
	const request = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi"
	_, err := io.WriteString(c, request+request)
	require.NoError(t, err)
	c.answer()
	<-idle
	require.Equal(t, 1, f.conns.closeIdle(time.Now()), "the next request has been read")
	close(release)
	c.answer()
	require.Eventually(t, func() bool {
		f.conns.closeIdle(time.Now())
		return f.conns.open() == 0
	}, testTimeout, time.Millisecond)
	_, err = c.r.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}
