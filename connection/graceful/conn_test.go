package graceful

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// pair returns both ends of a connection of Listener.
func pair(t *testing.T) (out, in net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	out, err = net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = out.Close() })
	in, err = Listener(l).Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = in.Close() })
	return out, in
}

// TestArrivedBytesAreNeverOverlooked guards against a stop that looks between the moment at which a
// request leaves the kernel's buffer and the one at which it is recorded as read.
func TestArrivedBytesAreNeverOverlooked(t *testing.T) {
	out, in := pair(t)
	b := make([]byte, 1)
	for range 20_000 {
		_, err := out.Write([]byte("x"))
		require.NoError(t, err)
		for !unanswered(in) {
		}
		done := make(chan error, 1)
		go func() {
			_, err := io.ReadFull(in, b)
			done <- err
		}()
		for reading := true; reading; {
			require.True(t, unanswered(in))
			select {
			case err := <-done:
				require.NoError(t, err)
				reading = false
			default:
			}
		}
		_, err = in.Write(b)
		require.NoError(t, err)
		_, err = io.ReadFull(out, b)
		require.NoError(t, err)
	}
}

// TestNothingIsReadOnceAConnectionMayBeClosed guards against a request that arrives after the check,
// runs, and loses its answer because its connection is then closed.
func TestNothingIsReadOnceAConnectionMayBeClosed(t *testing.T) {
	out, in := pair(t)
	require.True(t, stopReading(in))
	_, err := out.Write([]byte("x"))
	require.NoError(t, err)
	n, err := in.Read(make([]byte, 1))
	require.ErrorIs(t, err, net.ErrClosed)
	require.Zero(t, n)
}

// TestReadFailsAsOfAnyConnection guards against a server that takes a deadline, or the end of a
// connection, for another failure, and against logs that name an operation nobody asked for.
func TestReadFailsAsOfAnyConnection(t *testing.T) {
	out, in := pair(t)
	require.NoError(t, in.SetReadDeadline(time.Now().Add(-time.Second)))
	_, err := in.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	var failed net.Error
	require.ErrorAs(t, err, &failed)
	require.True(t, failed.Timeout())
	require.Contains(t, err.Error(), "read tcp 127.0.0.1:")
	require.NotContains(t, err.Error(), "raw-read")
	require.NoError(t, in.SetReadDeadline(time.Time{}))
	require.NoError(t, out.Close())
	_, err = in.Read(make([]byte, 1))
	require.Equal(t, io.EOF, err)
	require.NoError(t, in.Close())
	_, err = in.Read(make([]byte, 1))
	require.ErrorIs(t, err, net.ErrClosed)
}
