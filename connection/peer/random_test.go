package peer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// lossy is a socket that drops a fraction of the packets that it sends.
type lossy struct {
	net.PacketConn
	loss atomic.Uint32 // percent
	mu   sync.Mutex
	rand *rand.Rand
}

func newLossy(t *testing.T, seed uint64) *lossy {
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	return &lossy{PacketConn: socket, rand: rand.New(rand.NewPCG(seed, 0))}
}

func (l *lossy) WriteTo(p []byte, to net.Addr) (int, error) {
	l.mu.Lock()
	lost := l.rand.Uint32N(100) < l.loss.Load()
	l.mu.Unlock()
	if lost {
		return len(p), nil
	}
	return l.PacketConn.WriteTo(p, to)
}

// runs counts how often each numbered call ran, in any incarnation of the server.
type runs struct {
	mu    sync.Mutex
	count map[int]int
}

// of returns how often a call ran. Handlers may still run after their node was closed.
func (r *runs) of(number int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count[number]
}

func (r *runs) handle(_ context.Context, _ Ref, payload []byte) (any, error) {
	var number int
	if err := Unmarshal(payload, &number); err != nil {
		return nil, err
	}
	r.mu.Lock()
	if number >= 0 { // negative numbers only open the connection
		r.count[number]++
	}
	r.mu.Unlock()
	time.Sleep(time.Duration(number%8) * time.Millisecond)
	return number, nil
}

// TestVerdictsUnderLossAndRestarts guards against a call that is reported as not run but
// ran, or that ran twice: if a failure after the last byte was written counts as not
// sent, or if a call is repeated on a new connection. Calls with short deadlines use a
// connection that loses packets, while the server stops and restarts as new incarnations
// under its name.
func TestVerdictsUnderLossAndRestarts(t *testing.T) {
	const incarnations, callsEach = 6, 60
	executed := &runs{count: make(map[int]int)}
	mux := NewMux()
	mux.Handle("run", executed.handle)
	clientSocket := newLossy(t, 1)
	client, err := newNode(clientSocket, newHello("client", 1), peerTLS(t), NewMux(), zerolog.Nop())
	require.NoError(t, err)
	defer client.Close()
	var verdicts sync.Map
	for n := range incarnations {
		socket := newLossy(t, uint64(n))
		server, err := newNode(socket, newHello("server", uint64(n+1)), peerTLS(t), mux, zerolog.Nop())
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(context.Background())
		served := make(chan error, 1)
		go func() { served <- server.Serve(ctx) }()
		client.SetResolver(func(Ref) (string, bool) { return server.Addr(), true })
		clientSocket.loss.Store(0)
		require.Eventually(t, func() bool { return callOnce(client, server.Self(), -1).err == nil }, testTimeout, time.Millisecond)
		percent := uint32(n * 6)
		clientSocket.loss.Store(percent)
		socket.loss.Store(percent)
		var wg sync.WaitGroup
		for i := range callsEach {
			number := n*callsEach + i
			wg.Go(func() { verdicts.Store(number, callOnce(client, server.Self(), number)) })
			if i == callsEach*3/4 {
				wg.Go(func() { _ = server.Close() }) // while calls are in flight
			}
			time.Sleep(time.Millisecond)
		}
		wg.Wait()
		cancel()
		<-served
	}
	var ok, notRun, maybe int
	verdicts.Range(func(key, value any) bool {
		count, err := executed.of(key.(int)), value.(outcomeOf).err
		require.LessOrEqual(t, count, 1, "call %d", key)
		switch {
		case err == nil:
			ok++
			require.Equal(t, 1, count, "call %d", key)
		case NotRun(err):
			notRun++
			require.Zero(t, count, "call %d: %v", key, err)
		default:
			maybe++
			require.True(t, errors.Is(err, ErrUnknown), "call %d: %v", key, err)
		}
		return true
	})
	t.Logf("of %d calls %d ran, %d did not, %d unknown", ok+notRun+maybe, ok, notRun, maybe)
	require.Positive(t, ok)
	require.Positive(t, notRun)
	require.Positive(t, maybe)
}

type outcomeOf struct{ err error }

func callOnce(client *Node, to Ref, number int) outcomeOf {
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	var answer int
	err := client.Call(ctx, to, "run", number, &answer)
	if err == nil && answer != number {
		err = errors.New("got the answer to another call")
	}
	return outcomeOf{err: err}
}

// TestUnresponsiveLinkIsRetired guards against calls to a crashed daemon that all wait
// for their whole deadline until the connection's idle timeout, if new calls keep using
// the dead connection. The remote daemon stops answering on an open connection, and a
// call times out.
func TestUnresponsiveLinkIsRetired(t *testing.T) {
	mux := NewMux()
	mux.Handle("echo", echo)
	socket := newLossy(t, 1)
	server, err := newNode(socket, newHello("server", 1), peerTLS(t), mux, zerolog.Nop())
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- server.Serve(ctx) }()
	defer func() {
		cancel()
		<-served
		_ = server.Close() // the error does not matter after the test
	}()
	client := startNode(t, "127.0.0.1:0", newHello("client", 1), peerTLS(t), NewMux())
	client.SetResolver(func(Ref) (string, bool) { return server.Addr(), true })
	call := func(limit time.Duration) error {
		callCtx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		return client.Call(callCtx, server.Self(), "echo", message{}, nil)
	}
	require.NoError(t, call(testTimeout))
	socket.loss.Store(100)
	require.ErrorIs(t, call(100*time.Millisecond), ErrUnknown)
	l, err := client.current(server.Self())
	require.NoError(t, err)
	require.Nil(t, l)
	require.ErrorIs(t, call(100*time.Millisecond), ErrNotSent)
	socket.loss.Store(0)
	require.Eventually(t, func() bool { return call(time.Second) == nil }, testTimeout, time.Millisecond)
}
