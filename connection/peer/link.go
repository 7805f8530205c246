package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
)

// link is one QUIC connection after its hello. Both sides may make calls over it.
type link struct {
	conn    *quic.Conn
	addr    string // of the remote daemon, which listens on the address it dials from
	remote  hello
	version int

	calls    atomic.Int64 // in flight, both directions
	lastUsed atomic.Int64 // end of the last call, unix nanoseconds
	// lastReply is when a call over this link last got its reply. If a call times
	// out and no reply arrived meanwhile, the link is retired.
	lastReply atomic.Int64
}

func newLink(conn *quic.Conn, addr string, self, remote hello) (*link, error) {
	version, err := self.negotiate(remote)
	if err != nil {
		return nil, err
	}
	l := &link{conn: conn, addr: addr, remote: remote, version: version}
	l.lastUsed.Store(time.Now().UnixNano())
	return l, nil
}

func (l *link) begin() { l.calls.Add(1) }

func (l *link) end() {
	l.lastUsed.Store(time.Now().UnixNano())
	l.calls.Add(-1)
}

func (l *link) unusedSince(now time.Time) time.Duration {
	if l.calls.Load() > 0 {
		return 0
	}
	return now.Sub(time.Unix(0, l.lastUsed.Load()))
}

func (l *link) alive() bool { return l.conn.Context().Err() == nil }

func (l *link) close(code quic.ApplicationErrorCode, why string) {
	// The only possible error is that the connection is closed already.
	_ = l.conn.CloseWithError(code, why)
}

// linkTo returns an open link to the incarnation at addr, dialling if necessary.
// An error means that nothing was sent to a handler.
func (n *Node) linkTo(ctx context.Context, to Ref, addr string) (*link, error) {
	l, err := n.current(to)
	if l != nil || err != nil {
		return l, err
	}
	l, err = n.dialShared(ctx, addr, func(l *link) bool { return l.remote.Self == to })
	if err != nil {
		return nil, err
	}
	if l.remote.Self != to {
		return nil, &WrongIncarnationError{Want: to, Actual: l.remote.Self}
	}
	return l, nil
}

// current returns the open link to the incarnation, nil if there is none, or a
// *WrongIncarnationError if there is an open link to a later incarnation: the earlier one
// has ended, and a handshake for each call to it would be in vain.
func (n *Node) current(to Ref) (*link, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.links[to.ID]
	switch {
	case l == nil || !l.alive():
		return nil, nil
	case l.remote.Self == to:
		return l, nil
	case l.remote.Self.Incarnation > to.Incarnation:
		return nil, &WrongIncarnationError{Want: to, Actual: l.remote.Self}
	default:
		return nil, nil
	}
}

// find returns an open link for new calls that matches, or nil.
func (n *Node) find(matches func(*link) bool) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		if l.alive() && matches(l) {
			return l
		}
	}
	return nil
}

// dialShared dials addr with one handshake for all calls that wait for it. It uses
// an open link that matches, if another call has made one since the caller checked.
// A caller whose context ends stops waiting; the handshake continues for others.
func (n *Node) dialShared(ctx context.Context, addr string, matches func(*link) bool) (*link, error) {
	result := n.dials.DoChan(addr, func() (any, error) {
		if l := n.find(matches); l != nil {
			return l, nil
		}
		if err := n.backoff.check(addr); err != nil {
			return nil, err
		}
		dialCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), handshakeTimeout)
		defer cancel()
		l, err := n.dial(dialCtx, addr)
		n.backoff.record(addr, err)
		return l, err
	})
	select {
	case <-ctx.Done():
		return nil, notSent(ctx.Err())
	case r := <-result:
		if r.Err != nil {
			return nil, notSent(r.Err)
		}
		return r.Val.(*link), nil
	}
}

func (n *Node) dial(ctx context.Context, addr string) (*link, error) {
	udp, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("peer: address %q: %w", addr, err)
	}
	conn, err := n.transport.Dial(ctx, udp, n.clientTLS(), quicConfig())
	if err != nil {
		return nil, fmt.Errorf("peer: dial %s: %w", addr, err)
	}
	l, err := n.greet(ctx, conn, addr)
	if err != nil {
		_ = conn.CloseWithError(closeCodeBadPeer, err.Error())
		return nil, err
	}
	if !n.adopt(l) {
		l.close(closeCodeNormal, "closing")
		return nil, ErrClosed
	}
	go n.serveLink(conn.Context(), l)
	return l, nil
}

func (n *Node) clientTLS() *tls.Config {
	config := n.tls.Clone()
	if config.ServerName == "" {
		config.ServerName = alpn
	}
	return config
}

// greet sends this daemon's hello on the first stream and reads the remote one.
func (n *Node) greet(ctx context.Context, conn *quic.Conn, addr string) (*link, error) {
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, fmt.Errorf("peer: hello to %s: %w", addr, err)
	}
	defer stream.CancelRead(streamCancelled)
	if deadline, ok := ctx.Deadline(); ok {
		_ = stream.SetDeadline(deadline) // fails only on a closed stream
	}
	frame, err := encodeFrame(n.self)
	if err != nil {
		return nil, err
	}
	if _, err := stream.Write(frame); err != nil {
		return nil, fmt.Errorf("peer: hello to %s: %w", addr, err)
	}
	if err := stream.Close(); err != nil {
		return nil, fmt.Errorf("peer: hello to %s: %w", addr, err)
	}
	var remote hello
	if err := readFrame(stream, &remote); err != nil {
		return nil, fmt.Errorf("peer: hello from %s: %w", addr, err)
	}
	return newLink(conn, addr, n.self, remote)
}

// accept answers the hello of an incoming connection and serves its calls.
func (n *Node) accept(ctx context.Context, conn *quic.Conn) {
	l, err := n.answerHello(ctx, conn)
	if err != nil {
		n.stats.BadPeers.Add(1)
		n.log.Warn().Err(err).Str("remote", conn.RemoteAddr().String()).Msg("peer connection refused")
		_ = conn.CloseWithError(closeCodeBadPeer, err.Error())
		return
	}
	if !n.adopt(l) {
		l.close(closeCodeNormal, "closing")
		return
	}
	// The remote daemon listens on the address it dials from.
	n.backoff.record(conn.RemoteAddr().String(), nil)
	n.serveLink(ctx, l)
}

func (n *Node) answerHello(ctx context.Context, conn *quic.Conn) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	stream, err := conn.AcceptStream(ctx)
	if err != nil {
		return nil, fmt.Errorf("peer: await hello: %w", err)
	}
	_ = stream.SetDeadline(time.Now().Add(handshakeTimeout)) // fails only on a closed stream
	var remote hello
	if err := readFrame(stream, &remote); err != nil {
		return nil, err
	}
	frame, err := encodeFrame(n.self)
	if err != nil {
		return nil, err
	}
	// The answer is sent even if there is no common version, so that the remote
	// daemon can log both ranges.
	if _, err := stream.Write(frame); err != nil {
		return nil, fmt.Errorf("peer: answer hello: %w", err)
	}
	// The remote daemon may have read the answer and stopped reading before the
	// end of the stream is sent; Close then fails although nothing is missing.
	// Closing the link for that would end the first call that the remote daemon
	// already makes over it with an unknown outcome.
	_ = stream.Close()
	l, err := newLink(conn, conn.RemoteAddr().String(), n.self, remote)
	if errors.Is(err, ErrProtocol) {
		awaitClose(ctx, conn)
	}
	return l, err
}

// awaitClose waits until the remote daemon has read the hello and closes the
// connection; closing it here would discard the hello.
func awaitClose(ctx context.Context, conn *quic.Conn) {
	select {
	case <-ctx.Done():
	case <-conn.Context().Done():
	}
}

// adopt makes new calls use the link, unless there is an open link to the same or
// a later incarnation. It returns false if the node is closed.
func (n *Node) adopt(l *link) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.all[l] = struct{}{}
	id := l.remote.Self.ID
	old := n.links[id]
	if old == nil || !old.alive() || old.remote.Self.Incarnation < l.remote.Self.Incarnation {
		n.links[id] = l
	}
	return true
}

// retire stops new calls from using the link; calls in flight continue.
func (n *Node) retire(l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.links[l.remote.Self.ID] == l {
		delete(n.links, l.remote.Self.ID)
	}
}

// remove drops a link whose connection has ended.
func (n *Node) remove(l *link) {
	n.retire(l)
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.all, l)
}
