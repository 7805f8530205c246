package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"fennelshunt.example/fennelshunt/connection/keys"
	"fennelshunt.example/fennelshunt/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

const testTimeout = 20 * time.Second

type message struct {
	Text string    `cbor:"1,keyasint"`
	Data []byte    `cbor:"2,keyasint,omitempty"`
	At   time.Time `cbor:"3,keyasint"`
}

var sharedKeys = sync.OnceValues(func() (*keys.Keys, error) { return keys.Ephemeral() })

func peerTLS(t testing.TB) *tls.Config {
	k, err := sharedKeys()
	require.NoError(t, err)
	return k.PeerConfig()
}

// open returns the number of open links.
func (n *Node) open() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.all)
}

func echo(_ context.Context, _ Ref, payload []byte) (any, error) {
	var m message
	if err := Unmarshal(payload, &m); err != nil {
		return nil, err
	}
	return m, nil
}

// startNode serves a node on loopback until the test ends.
func startNode(t testing.TB, addr string, h hello, config *tls.Config, mux *Mux) *Node {
	socket, err := net.ListenPacket("udp", addr)
	require.NoError(t, err)
	n, err := newNode(socket, h, config, mux, zerolog.Nop())
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
		_ = n.Close() // may have been closed by the test
	})
	return n
}

func newHello(id MemberID, incarnation uint64) hello {
	return hello{Self: Ref{ID: id, Incarnation: incarnation}, Min: ProtocolMin, Max: ProtocolMax}
}

// pairOf returns a client and a server that resolve each other.
func pairOf(t testing.TB, mux *Mux) (client, server *Node) {
	server = startNode(t, "127.0.0.1:0", newHello("server", 1), peerTLS(t), mux)
	client = startNode(t, "127.0.0.1:0", newHello("client", 1), peerTLS(t), NewMux())
	addr := server.Addr()
	client.SetResolver(func(to Ref) (string, bool) { return addr, to.ID == "server" })
	return client, server
}

func TestCallOutcomes(t *testing.T) {
	mux := NewMux()
	mux.Handle("echo", echo)
	mux.Handle("nothing", func(context.Context, Ref, []byte) (any, error) { return nil, nil })
	mux.Handle("typed", func(context.Context, Ref, []byte) (any, error) {
		return nil, &RemoteError{Code: "full", Message: "no room"}
	})
	mux.Handle("plain", func(context.Context, Ref, []byte) (any, error) { return nil, errors.New("broken") })
	mux.Handle("panic", func(context.Context, Ref, []byte) (any, error) { panic("at the disco") })
	mux.Handle("huge", func(context.Context, Ref, []byte) (any, error) { return make([]byte, MaxMessage+1), nil })
	mux.Handle("wait", func(ctx context.Context, _ Ref, _ []byte) (any, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	client, server := pairOf(t, mux)
	to := server.Self()
	old := Ref{ID: to.ID, Incarnation: to.Incarnation - 1}
	next := Ref{ID: to.ID, Incarnation: to.Incarnation + 1}
	remote := func(code string) func(error) bool {
		return func(err error) bool {
			var r *RemoteError
			return errors.As(err, &r) && r.Code == code && !NotRun(err) && !errors.Is(err, ErrUnknown)
		}
	}
	is := func(targets ...error) func(error) bool {
		return func(err error) bool {
			for _, target := range targets {
				if !errors.Is(err, target) {
					return false
				}
			}
			return true
		}
	}
	for _, c := range []struct {
		name    string
		to      Ref
		method  Method
		req     any
		timeout time.Duration
		ok      func(error) bool
	}{
		{"empty reply", to, "nothing", nil, testTimeout, func(err error) bool { return err == nil }},
		{"typed remote error", to, "typed", nil, testTimeout, remote("full")},
		{"untyped remote error", to, "plain", nil, testTimeout, remote("")},
		{"handler panics", to, "panic", nil, testTimeout, remote(CodePanic)},
		{"reply too large", to, "huge", nil, testTimeout, remote(CodeBadReply)},
		{"method not registered", to, "absent", nil, testTimeout, is(ErrNoMethod)},
		{"earlier incarnation", old, "echo", message{}, testTimeout, is(ErrWrongIncarnation)},
		{"later incarnation", next, "echo", message{}, testTimeout, is(ErrWrongIncarnation)},
		{"no address", Ref{ID: "else", Incarnation: 1}, "echo", message{}, testTimeout, is(ErrNotSent, ErrNoAddress)},
		{"request too large", to, "echo", message{Data: make([]byte, MaxMessage)}, testTimeout, is(ErrNotSent, ErrTooLarge)},
		{"request cannot be encoded", to, "echo", make(chan int), testTimeout, is(ErrNotSent)},
		{"deadline before the send", to, "echo", message{}, 0, is(ErrNotSent, context.DeadlineExceeded)},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
			defer cancel()
			err := client.Call(ctx, c.to, c.method, c.req, nil)
			require.True(t, c.ok(err), "%v", err)
		})
	}
	t.Run("deadline after the send", func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		err := client.Call(ctx, to, "wait", nil, nil)
		// If the handler's context ends first, the reply is the error of that context.
		var r *RemoteError
		require.True(t, errors.As(err, &r) || errors.Is(err, ErrUnknown), "%v", err)
		require.False(t, NotRun(err), "%v", err)
	})
}

func TestManyCallsShareOneConnection(t *testing.T) {
	mux := NewMux()
	mux.Handle("echo", echo)
	client, server := pairOf(t, mux)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for i := range 100 {
		wg.Go(func() {
			in := message{Text: "m", Data: make([]byte, i*1000), At: time.Now().Round(0)}
			var out message
			if err := client.Call(ctx, server.Self(), "echo", in, &out); err != nil {
				t.Error(err)
				return
			}
			if out.Text != in.Text || len(out.Data) != len(in.Data) || !out.At.Equal(in.At) {
				t.Errorf("call %d: answer differs", i)
			}
		})
	}
	wg.Wait()
	require.Equal(t, 1, client.open())
	big := message{Data: make([]byte, MaxMessage-100)}
	var out message
	require.NoError(t, client.Call(ctx, server.Self(), "echo", big, &out))
	require.Len(t, out.Data, len(big.Data))
	// The server calls back over the same connection, without an address.
	client.mux.Handle("back", echo)
	server.SetResolver(func(Ref) (string, bool) { return "127.0.0.1:1", true })
	require.NoError(t, server.Call(ctx, client.Self(), "back", message{}, &out))
}

func TestCancelReachesTheHandler(t *testing.T) {
	begun, ended := make(chan struct{}), make(chan struct{})
	mux := NewMux()
	mux.Handle("wait", func(ctx context.Context, _ Ref, _ []byte) (any, error) {
		close(begun)
		<-ctx.Done()
		close(ended)
		return nil, ctx.Err()
	})
	client, server := pairOf(t, mux)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-begun
		cancel()
	}()
	err := client.Call(ctx, server.Self(), "wait", nil, nil)
	require.ErrorIs(t, err, ErrUnknown)
	require.ErrorIs(t, err, context.Canceled)
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Fatal("the handler's context did not end")
	}
}

// TestRestartAtTheSameAddress guards against calls that act on a later incarnation than
// their target, or time out long after a restart: a daemon exits without closing its
// connections and its next incarnation binds the same address, so that the open
// connection is dead.
func TestRestartAtTheSameAddress(t *testing.T) {
	mux := NewMux()
	mux.Handle("echo", echo)
	client, server := pairOf(t, mux)
	first := server.Self()
	call := func(to Ref) error {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		return client.Call(ctx, to, "echo", message{}, nil)
	}
	require.NoError(t, call(first))
	addr := server.Addr()
	require.NoError(t, server.Close())
	second := startNode(t, addr, newHello("server", 2), peerTLS(t), mux).Self()
	require.Eventually(t, func() bool { return call(second) == nil }, testTimeout, time.Millisecond)
	err := call(first)
	require.ErrorIs(t, err, ErrWrongIncarnation)
	var wrong *WrongIncarnationError
	require.ErrorAs(t, err, &wrong)
	require.Equal(t, second, wrong.Actual)
}

func TestProtocolVersions(t *testing.T) {
	for _, c := range []struct {
		name             string
		min, max, expect int
	}{
		{"same", ProtocolMin, ProtocolMax, ProtocolMax},
		{"newer release that still supports ours", ProtocolMin, ProtocolMax + 3, ProtocolMax},
		{"release that dropped ours", ProtocolMax + 1, ProtocolMax + 2, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			mux := NewMux()
			mux.Handle("echo", echo)
			client, server := pairOf(t, mux)
			other := hello{Self: Ref{ID: "other", Incarnation: 1}, Min: c.min, Max: c.max}
			node := startNode(t, "127.0.0.1:0", other, peerTLS(t), mux)
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			// In both directions: as the dialling and as the accepting node.
			_, out := node.CallAddr(ctx, server.Addr(), "echo", message{}, nil)
			_, in := client.CallAddr(ctx, node.Addr(), "echo", message{}, nil)
			if c.expect == 0 {
				require.ErrorIs(t, out, ErrProtocol)
				require.ErrorIs(t, in, ErrProtocol)
				require.True(t, NotRun(out) && NotRun(in))
				return
			}
			require.NoError(t, out)
			require.NoError(t, in)
			l, err := node.current(server.Self())
			require.NoError(t, err)
			require.Equal(t, c.expect, l.version)
		})
	}
}

func TestOtherAuthorityIsRefused(t *testing.T) {
	mux := NewMux()
	mux.Handle("echo", echo)
	_, server := pairOf(t, mux)
	foreign, err := keys.Ephemeral()
	require.NoError(t, err)
	node := startNode(t, "127.0.0.1:0", newHello("stranger", 1), foreign.PeerConfig(), NewMux())
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	_, err = node.CallAddr(ctx, server.Addr(), "echo", message{}, nil)
	require.ErrorIs(t, err, ErrNotSent)
	require.Zero(t, server.Stats().Served.Value())
}

// TestBrokenFrames checks that bytes that are not a valid request affect neither the node
// nor other calls.
func TestBrokenFrames(t *testing.T) {
	mux := NewMux()
	mux.Handle("echo", echo)
	client, server := pairOf(t, mux)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	require.NoError(t, client.Call(ctx, server.Self(), "echo", message{}, nil))
	link, err := client.current(server.Self())
	require.NoError(t, err)
	frames := []string{"", "\x00\x00\x00\x05ab", "\xff\xff\xff\xffab", "\x00\x00\x00\x02\xff\xff"}
	for _, frame := range frames {
		_, err := roundTripRaw(ctx, link, frame)
		require.ErrorIs(t, err, ErrNotSent)
	}
	require.EqualValues(t, len(frames), server.Stats().BadFrames.Value())
	require.NoError(t, client.Call(ctx, server.Self(), "echo", message{}, nil))
}

func roundTripRaw(ctx context.Context, l *link, frame string) (reply, error) {
	stream, err := l.conn.OpenStreamSync(ctx)
	if err != nil {
		return reply{}, err
	}
	return roundTrip(stream, []byte(frame))
}

// TestFrameThatIsRejectedBeforeItsEndIsNotSent guards against a call that certainly did not run and is
// reported as one that may have run, because the receiver rejects its frame before the caller has
// ended the stream.
func TestFrameThatIsRejectedBeforeItsEndIsNotSent(t *testing.T) {
	mux := NewMux()
	mux.Handle("echo", echo)
	client, server := pairOf(t, mux)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	require.NoError(t, client.Call(ctx, server.Self(), "echo", message{}, nil))
	link, err := client.current(server.Self())
	require.NoError(t, err)
	stream, err := link.conn.OpenStreamSync(ctx)
	require.NoError(t, err)
	_, err = stream.Write([]byte("\xff\xff\xff\xffab"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return server.Stats().BadFrames.Value() == 1 && stream.Context().Err() != nil }, testTimeout, time.Millisecond)
	_, err = awaitReply(stream)
	require.ErrorIs(t, err, ErrNotSent)
}

func TestUnusedLinksAreClosed(t *testing.T) {
	mux := NewMux()
	mux.Handle("echo", echo)
	client, server := pairOf(t, mux)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	require.NoError(t, client.Call(ctx, server.Self(), "echo", message{}, nil))
	client.closeUnused(time.Now())
	require.Equal(t, 1, client.open())
	client.closeUnused(time.Now().Add(2 * unusedTimeout))
	require.Eventually(t, func() bool { return client.open() == 0 }, testTimeout, time.Millisecond)
	require.NoError(t, client.Call(ctx, server.Self(), "echo", message{}, nil))
}

func TestCloseLeaksNoGoroutines(t *testing.T) {
	ignore := goleak.IgnoreCurrent()
	t.Run("nodes", func(t *testing.T) {
		mux := NewMux()
		mux.Handle("echo", echo)
		client, server := pairOf(t, mux)
		require.NoError(t, client.Call(context.Background(), server.Self(), "echo", message{}, nil))
		require.NoError(t, client.Close())
		require.ErrorIs(t, client.Call(context.Background(), server.Self(), "echo", message{}, nil), ErrNotSent)
	})
	goleak.VerifyNone(t, ignore)
}

func TestMuxRefusesSecondHandler(t *testing.T) {
	mux := NewMux()
	mux.Handle("echo", echo)
	require.Panics(t, func() { mux.Handle("echo", echo) })
}

func TestFrameRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := request{
			Method:  Method(rapid.String().Draw(t, "method")),
			To:      Ref{ID: MemberID(rapid.String().Draw(t, "id")), Incarnation: rapid.Uint64().Draw(t, "incarnation")},
			Payload: rapid.SliceOfN(rapid.Byte(), 1, 200_000).Draw(t, "payload"),
			Budget:  rapid.Uint64().Draw(t, "budget"),
		}
		frame, err := encodeFrame(in)
		require.NoError(t, err)
		var out request
		require.NoError(t, readFrame(strings.NewReader(string(frame)), &out))
		require.Equal(t, in, out)
		cut := rapid.IntRange(0, len(frame)-1).Draw(t, "cut")
		require.Error(t, readFrame(strings.NewReader(string(frame[:cut])), &out))
	})
}
