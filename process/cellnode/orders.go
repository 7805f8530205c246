package cellnode

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"fennelshunt.example/fennelshunt/process/relay"
)

// dialTimeout bounds opening a connection for orders: the way between availability
// zones takes a few milliseconds, and a VM without power does not answer.
const dialTimeout = 700 * time.Millisecond

// serveOrders takes the orders of leaders, who show that they are daemons of the cell.
func (n *Node) serveOrders(ctx context.Context) error {
	return n.relay.Serve(ctx, tls.NewListener(n.listen.orders, n.tls))
}

// dialOrders opens a connection to where a daemon takes orders.
func (n *Node) dialOrders(ctx context.Context, addr string) (net.Conn, error) {
	return relay.Dialer(dialTimeout, func(ctx context.Context, c net.Conn) (net.Conn, error) {
		secured := tls.Client(n.o.Traffic.WrapAll(kindOrders, c), n.tls)
		return secured, secured.HandshakeContext(ctx)
	})(ctx, addr)
}

// kindOrders counts the connections to relays.
const kindOrders = "relay.orders"
