package relay

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"fennelshunt.example/fennelshunt/connection/peer"
)

// orderConn is the leader's connection to a relay. At most one frame of orders is in
// flight; outcomes arrive at any time.
//
// It is a TLS connection rather than calls over QUIC: a leader exchanges some 1,300
// messages per second with relays, and a call over QUIC, with a stream of its own and
// separately acknowledged packets, takes nearly six times the processor time (113 against
// 20 µs, BenchmarkMessage).
type orderConn struct {
	addr       string
	dial       func(ctx context.Context, addr string) (net.Conn, error)
	onOutcomes func(all []outcome)

	mu       sync.Mutex
	conn     net.Conn
	number   uint64
	missed   int // consecutive exchanges without an answer
	accepted chan relayFrame
}

// reconnectAfter is the number of consecutive exchanges without an answer after which a
// new connection is opened, since the old one may have failed silently.
const reconnectAfter = 2

var errConnClosed = errors.New("relay: connection closed")

// exchange sends a frame of orders and waits until the relay has accepted it. It returns
// the highest epoch that the relay has seen. After an error it is unknown whether the
// relay has accepted the frame.
func (c *orderConn) exchange(ctx context.Context, m *orders) (epoch uint64, err error) {
	conn, accepted, err := c.open(ctx)
	if err != nil {
		return 0, err
	}
	c.number++
	m.Number = c.number
	frame, err := peer.EncodeFrame(m)
	if err != nil {
		return 0, err
	}
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetWriteDeadline(deadline) // fails only on a closed connection, as the write does
	}
	if _, err := conn.Write(frame); err != nil {
		c.closeConn(conn)
		return 0, err
	}
	for {
		select {
		case f, ok := <-accepted:
			if !ok {
				return 0, errConnClosed
			}
			if f.Accepted != m.Number {
				continue // answers an abandoned frame
			}
			c.missed = 0
			return f.Epoch, nil
		case <-ctx.Done():
			if c.missed++; c.missed >= reconnectAfter {
				c.closeConn(conn)
			}
			return 0, ctx.Err()
		}
	}
}

// open returns the connection, a new one if there is none.
func (c *orderConn) open(ctx context.Context) (net.Conn, chan relayFrame, error) {
	c.mu.Lock()
	conn, accepted := c.conn, c.accepted
	c.mu.Unlock()
	if conn != nil {
		return conn, accepted, nil
	}
	conn, err := c.dial(ctx, c.addr)
	if err != nil {
		return nil, nil, err
	}
	accepted = make(chan relayFrame, 1)
	c.mu.Lock()
	c.conn, c.accepted, c.missed = conn, accepted, 0
	c.mu.Unlock()
	go c.read(conn, accepted)
	return conn, accepted, nil
}

// read handles the frames from the relay until the connection ends.
func (c *orderConn) read(conn net.Conn, accepted chan relayFrame) {
	defer close(accepted)
	defer c.closeConn(conn)
	r := bufio.NewReaderSize(conn, readBuffer)
	for {
		var f relayFrame
		if err := peer.ReadFrame(r, &f); err != nil {
			return // the exchange in flight, or the next one, finds the connection closed
		}
		f.distributeIncarnations()
		c.onOutcomes(f.Outcomes)
		if f.Accepted == 0 {
			continue
		}
		select {
		case <-accepted: // answers an abandoned frame
		default:
		}
		accepted <- relayFrame{Accepted: f.Accepted, Epoch: f.Epoch}
	}
}

func (c *orderConn) closeConn(conn net.Conn) {
	c.mu.Lock()
	if c.conn == conn {
		c.conn = nil
	}
	c.mu.Unlock()
	_ = conn.Close() // not used any more, whatever the error
}

func (c *orderConn) close() {
	c.mu.Lock()
	conn := c.conn
	c.mu.Unlock()
	if conn != nil {
		c.closeConn(conn)
	}
}

// Dialer returns a Dial function for Options that fails after the timeout.
func Dialer(timeout time.Duration, secure func(ctx context.Context, c net.Conn) (net.Conn, error)) func(ctx context.Context, addr string) (net.Conn, error) {
	d := &net.Dialer{Timeout: timeout, KeepAlive: -1}
	return func(ctx context.Context, addr string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, "tcp", addr)
		if err != nil {
			return nil, err
		}
		secured, err := secure(ctx, conn)
		if err != nil {
			return nil, errors.Join(err, conn.Close())
		}
		return secured, nil
	}
}
