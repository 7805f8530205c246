package daemon

import (
	"context"
	"net"
	"time"
)

// sharedListener accepts connections for one incarnation on a listener that later
// incarnations use too: the end of ctx ends Accept but leaves the socket open, so that a
// daemon that starts a new incarnation never loses its port to another process.
type sharedListener struct {
	net.Listener
	ctx context.Context
}

type deadliner interface{ SetDeadline(time.Time) error }

// Accept implements net.Listener.
func (k *sharedListener) Accept() (net.Conn, error) {
	if d, ok := k.Listener.(deadliner); ok {
		stop := context.AfterFunc(k.ctx, func() { _ = d.SetDeadline(time.Unix(1, 0)) })
		defer stop()
		if k.ctx.Err() == nil {
			_ = d.SetDeadline(time.Time{}) // an earlier incarnation may have set it
		}
	}
	c, err := k.Listener.Accept()
	if err != nil && k.ctx.Err() != nil {
		return nil, net.ErrClosed
	}
	return c, err
}

// Close implements net.Listener; the socket stays open for the next incarnation.
func (k *sharedListener) Close() error { return nil }
