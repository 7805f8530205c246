package loopback

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"fennelshunt.example/fennelshunt/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

func TestProcessesHaveAddressesOfTheirOwn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pid := rapid.IntRange(1, 1<<22-1)
		a, b := pid.Draw(t, "a"), pid.Draw(t, "b")
		require.Equal(t, a == b, Address(a) == Address(b))
		require.True(t, net.ParseIP(Address(a)).IsLoopback())
		require.NotEqual(t, "127.0.0.1", Address(a))
	})
}

func TestListenerServes(t *testing.T) {
	ln, err := Listen()
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	c, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	require.NoError(t, c.Close())
}
