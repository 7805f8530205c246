package cellnode

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"fennelshunt.example/fennelshunt/process/relay"
)

// dialTimeout bounds opening a connection for orders: a round trip between availability
// zones takes a few milliseconds, and a VM that is down does not answer at all.
const dialTimeout = 700 * time.Millisecond

// serveOrders accepts orders from leaders, which authenticate as daemons of the cell by TLS.
func (n *Node) serveOrders(ctx context.Context) error {
	return n.relay.Serve(ctx, tls.NewListener(n.listen.orders, n.tls))
}

// dialOrders opens a connection to the address at which a daemon accepts orders.
func (n *Node) dialOrders(ctx context.Context, addr string) (net.Conn, error) {
	return relay.Dialer(dialTimeout, func(ctx context.Context, c net.Conn) (net.Conn, error) {
		secured := tls.Client(n.o.Traffic.WrapCounting(kindOrders, c), n.tls)
		return secured, secured.HandshakeContext(ctx)
	})(ctx, addr)
}

// kindOrders is the traffic kind of connections to relays.
const kindOrders = "relay.orders"
