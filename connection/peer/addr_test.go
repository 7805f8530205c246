package peer

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCallsByAddressUseTheAcceptedConnection(t *testing.T) {
	// Guards against goroutines and memory that grow with every call, by some 500
	// connections per second in a busy cell: a daemon accepts a connection from another
	// one and then calls it by its address repeatedly. If an accepted connection cannot
	// be found by its address but stays the member's link, each call dials another one.
	mux := NewMux()
	mux.Handle("echo", echo)
	a := startNode(t, "127.0.0.1:0", newHello("a", 1), peerTLS(t), mux)
	b := startNode(t, "127.0.0.1:0", newHello("b", 1), peerTLS(t), mux)
	_, err := a.CallAddr(t.Context(), b.Addr(), "echo", message{}, nil)
	require.NoError(t, err)
	for range 20 {
		_, err := b.CallAddr(t.Context(), a.Addr(), "echo", message{}, nil)
		require.NoError(t, err)
	}
	require.Equal(t, 1, a.open())
	require.Equal(t, 1, b.open())
}
