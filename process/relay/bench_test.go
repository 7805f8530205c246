package relay

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/keys"
	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/version/work"
)

// BenchmarkMessage compares the cost of one message of three starts and its answer over an
// orderConn and as a call over QUIC, for both sides together, on real connections. Run it
// with -cpu 1, so that the time is processor time.
func BenchmarkMessage(b *testing.B) {
	authority, err := keys.NewAuthority()
	require.NoError(b, err)
	identity, err := authority.Identity("127.0.0.1")
	require.NoError(b, err)
	config := identity.PeerConfig()
	m := &orders{Epoch: 3}
	for i := range 3 {
		m.Orders = append(m.Orders, order{Seq: uint64(i), Worker: "i-0123456789", Address: "10.1.64.36:8662", Budget: 350, Until: 486000,
			Task: work.TaskID{Job: "5c0e7a21d94b36f8", Index: i}, Run: 65537, Ticket: "0123456789abcdef", AcceptedBy: "10.1.0.17:7580"})
	}
	b.Run("orderConn", func(b *testing.B) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(b, err)
		ctx, cancel := context.WithCancel(b.Context())
		defer cancel()
		s := NewServer(&fakeWorkers{}, nil, zerolog.Nop())
		s.acceptEpoch(0, 4) // the orders are refused, so that nothing is carried out
		go func() { _ = s.Serve(ctx, tls.NewListener(l, config)) }()
		conn := &orderConn{addr: l.Addr().String(), onOutcomes: func([]outcome) {}, dial: Dialer(time.Second, func(ctx context.Context, c net.Conn) (net.Conn, error) {
			secured := tls.Client(c, config)
			return secured, secured.HandshakeContext(ctx)
		})}
		defer conn.close()
		for b.Loop() {
			_, err := conn.exchange(b.Context(), m)
			require.NoError(b, err)
		}
	})
	b.Run("quic", func(b *testing.B) {
		var nodes [2]*peer.Node
		for i := range nodes {
			socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
			require.NoError(b, err)
			mux := peer.NewMux()
			mux.Handle("orders", peer.Typed(func(_ context.Context, m orders) (any, error) { return relayFrame{Accepted: m.Number, Epoch: 4}, nil }))
			nodes[i], err = peer.NewNode(socket, peer.Ref{ID: peer.MemberID(fmt.Sprint(i))}, config, mux, zerolog.Nop())
			require.NoError(b, err)
			go func() { _ = nodes[i].Serve(b.Context()) }()
			defer func() { _ = nodes[i].Close() }()
		}
		for b.Loop() {
			var t relayFrame
			_, err := nodes[0].CallAddr(b.Context(), nodes[1].Addr(), "orders", m, &t)
			require.NoError(b, err)
		}
	})
}
