package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"fennelshunt.example/fennelshunt/connection/traffic"
	"github.com/rs/zerolog"
	"golang.org/x/sync/singleflight"
)

// Settings of the QUIC connections between daemons.
const (
	alpn = "fennelshunt-peer"

	// handshakeTimeout allows for three lost packets.
	handshakeTimeout = 2 * time.Second
	// keepAlive keeps a connection open during a long poll without traffic.
	keepAlive   = 15 * time.Second
	idleTimeout = 45 * time.Second
	// unusedTimeout closes connections that no call uses. Without it keep-alives
	// would keep a full mesh of the fleet open.
	unusedTimeout = 90 * time.Second
	janitorPeriod = 30 * time.Second

	streamWindow     = 64 << 10
	maxStreamWindow  = 1 << 20
	connWindow       = 256 << 10
	maxConnWindow    = 4 << 20
	maxCallsPerConn  = 1024
	closeCodeNormal  = quic.ApplicationErrorCode(0)
	closeCodeBadPeer = quic.ApplicationErrorCode(1)
	streamCancelled  = quic.StreamErrorCode(1)
	streamNotRun     = quic.StreamErrorCode(2) // nothing ran for this stream
)

// Resolver returns the UDP address of a member's incarnation.
type Resolver func(Ref) (addr string, ok bool)

// Node is the endpoint of one daemon: it serves the methods of a Mux and calls
// other nodes, over one QUIC connection per peer and one stream per call. It
// implements Caller and is safe for concurrent use.
type Node struct {
	self      hello
	tls       *tls.Config
	mux       *Mux
	log       zerolog.Logger
	transport *quic.Transport
	listener  *quic.Listener
	resolver  atomic.Pointer[Resolver]
	dials     singleflight.Group
	backoff   dialBackoff
	stats     Stats
	traffic   atomic.Pointer[traffic.Meter]
	serving   atomic.Int64 // calls of other nodes in progress

	mu     sync.Mutex
	links  map[MemberID]*link // the link for new calls, by member
	all    map[*link]struct{} // every open link
	closed bool
}

// CountOn counts calls by method on a meter, with the bytes of their frames but
// without the overhead of the connection.
func (n *Node) CountOn(m *traffic.Meter) { n.traffic.Store(m) }

// Prefixes of the kinds of calls on the meter; the method follows.
const (
	kindMade   = "peer.made."
	kindServed = "peer.served."
)

// NewNode returns a node on a bound UDP socket, which Close closes. The node answers
// calls while Serve runs and can make calls at once. The TLS configuration is used
// in both directions; it must have a certificate and verify that of the remote
// daemon.
func NewNode(socket net.PacketConn, self Ref, tlsConfig *tls.Config, mux *Mux, log zerolog.Logger) (*Node, error) {
	return newNode(socket, hello{Self: self, Min: ProtocolMin, Max: ProtocolMax}, tlsConfig, mux, log)
}

func newNode(socket net.PacketConn, self hello, tlsConfig *tls.Config, mux *Mux, log zerolog.Logger) (*Node, error) {
	config := tlsConfig.Clone()
	config.NextProtos = []string{alpn}
	if config.CurvePreferences == nil {
		// The default's post-quantum key share does not fit into one packet and
		// doubles the bytes of each handshake, including failed ones. Control
		// messages have no value to an attacker who decrypts them years later.
		config.CurvePreferences = []tls.CurveID{tls.X25519, tls.CurveP256}
	}
	n := &Node{
		self:  self,
		tls:   config,
		mux:   mux,
		log:   log,
		links: make(map[MemberID]*link),
		all:   make(map[*link]struct{}),
	}
	n.transport = &quic.Transport{Conn: n.counted(socket)}
	listener, err := n.transport.Listen(config, quicConfig())
	if err != nil {
		return nil, errors.Join(fmt.Errorf("peer: listen: %w", err), socket.Close())
	}
	n.listener = listener
	return n, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 idleTimeout,
		KeepAlivePeriod:                keepAlive,
		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		InitialConnectionReceiveWindow: connWindow,
		MaxConnectionReceiveWindow:     maxConnWindow,
		MaxIncomingStreams:             maxCallsPerConn,
		MaxIncomingUniStreams:          -1,
	}
}

// Addr returns the UDP address that the node listens on.
func (n *Node) Addr() string { return n.transport.Conn.LocalAddr().String() }

// Self returns the incarnation of the node's daemon.
func (n *Node) Self() Ref { return n.self.Self }

// SetResolver sets the resolver of member addresses.
func (n *Node) SetResolver(r Resolver) { n.resolver.Store(&r) }

// Serve accepts connections until the context ends or the node is closed.
func (n *Node) Serve(ctx context.Context) error {
	go n.janitor(ctx)
	for {
		conn, err := n.listener.Accept(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return fmt.Errorf("peer: accept: %w", err)
		}
		go n.accept(ctx, conn)
	}
}

// Close ends every connection and the socket. Calls in flight fail with
// ErrUnknown.
func (n *Node) Close() error {
	n.mu.Lock()
	n.closed = true
	open := make([]*link, 0, len(n.all))
	for l := range n.all {
		open = append(open, l)
	}
	n.mu.Unlock()
	for _, l := range open {
		l.close(closeCodeNormal, "closing")
	}
	return errors.Join(n.listener.Close(), n.transport.Close(), n.transport.Conn.Close())
}

// janitor periodically closes unused links and evicts ended dial backoffs.
func (n *Node) janitor(ctx context.Context) {
	ticker := time.NewTicker(janitorPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			n.closeUnused(now)
			n.backoff.evict(now)
		}
	}
}

func (n *Node) closeUnused(now time.Time) {
	n.mu.Lock()
	var unused []*link
	for l := range n.all {
		if l.unusedSince(now) > unusedTimeout {
			unused = append(unused, l)
		}
	}
	n.mu.Unlock()
	for _, l := range unused {
		n.retire(l)
		l.close(closeCodeNormal, "unused")
	}
}
