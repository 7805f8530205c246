package peer

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCallsByAddressUseTheAcceptedConnection(t *testing.T) {
	// Symptom: a daemon's goroutines and memory grow with every call, by some
	//   500 connections a second in a busy cell.
	// Sequence: a daemon accepts a connection from another and then calls that
	//   one by its address, again and again.
	// Cause: an accepted connection has no address to be found by, and stays the
	//   one in use for its member; so each call by address dials one more.
	mux := NewMux()
	mux.Handle("echo", echo)
	a := startNode(t, "127.0.0.1:0", life("a", 1), peerTLS(t), mux)
	b := startNode(t, "127.0.0.1:0", life("b", 1), peerTLS(t), mux)
	_, err := a.CallAddr(t.Context(), b.Addr(), "echo", message{}, nil)
	require.NoError(t, err)
	for range 20 {
		_, err := b.CallAddr(t.Context(), a.Addr(), "echo", message{}, nil)
		require.NoError(t, err)
	}
	require.Equal(t, 1, a.open())
	require.Equal(t, 1, b.open())
}
