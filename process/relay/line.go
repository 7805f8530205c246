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

// line is the leader's connection to a relay: one frame of orders at a time is on its
// way, and outcomes come as they are.
//
// It is a plain connection under TLS rather than calls over QUIC: a leader has some
// 1,300 messages a second to and from relays, and each call over QUIC, with a stream of
// its own and packets that are acknowledged apart, took nearly six times the processor
// time (113 against 20 µs, BenchmarkMessage).
type line struct {
	addr  string
	dial  func(ctx context.Context, addr string) (net.Conn, error)
	heard func(all []outcome)

	mu     sync.Mutex
	conn   net.Conn
	number uint64
	missed int // exchanges in a row without an answer
	taken  chan told
}

// silentAfter exchanges in a row without an answer the connection is opened anew: it
// may have gone silent for good.
const silentAfter = 2

var errLineClosed = errors.New("relay: the connection has ended")

// exchange sends a frame, and returns the highest epoch that the relay has seen once
// it has taken the frame. An error leaves open whether it has.
func (l *line) exchange(ctx context.Context, m *orders) (epoch uint64, err error) {
	conn, taken, err := l.open(ctx)
	if err != nil {
		return 0, err
	}
	l.number++
	m.Number = l.number
	frame, err := peer.EncodeFrame(m)
	if err != nil {
		return 0, err
	}
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetWriteDeadline(deadline) // fails only on a closed connection, as the write does
	}
	if _, err := conn.Write(frame); err != nil {
		l.closeConn(conn)
		return 0, err
	}
	for {
		select {
		case t, ok := <-taken:
			if !ok {
				return 0, errLineClosed
			}
			if t.Taken != m.Number {
				continue // of a frame that was given up
			}
			l.missed = 0
			return t.Epoch, nil
		case <-ctx.Done():
			if l.missed++; l.missed >= silentAfter {
				l.closeConn(conn)
			}
			return 0, ctx.Err()
		}
	}
}

// open returns the connection, a new one if there is none.
func (l *line) open(ctx context.Context) (net.Conn, chan told, error) {
	l.mu.Lock()
	conn, taken := l.conn, l.taken
	l.mu.Unlock()
	if conn != nil {
		return conn, taken, nil
	}
	conn, err := l.dial(ctx, l.addr)
	if err != nil {
		return nil, nil, err
	}
	taken = make(chan told, 1)
	l.mu.Lock()
	l.conn, l.taken, l.missed = conn, taken, 0
	l.mu.Unlock()
	go l.read(conn, taken)
	return conn, taken, nil
}

// read takes what the relay tells until the connection ends.
func (l *line) read(conn net.Conn, taken chan told) {
	defer close(taken)
	defer l.closeConn(conn)
	r := bufio.NewReaderSize(conn, readBuffer)
	for {
		var t told
		if err := peer.ReadFrame(r, &t); err != nil {
			return // the exchange under way, or the next one, finds it closed
		}
		t.takeLives()
		l.heard(t.Outcomes)
		if t.Taken == 0 {
			continue
		}
		select {
		case <-taken: // of a frame that was given up
		default:
		}
		taken <- told{Taken: t.Taken, Epoch: t.Epoch}
	}
}

func (l *line) closeConn(conn net.Conn) {
	l.mu.Lock()
	if l.conn == conn {
		l.conn = nil
	}
	l.mu.Unlock()
	_ = conn.Close() // given up, whatever the error
}

func (l *line) close() {
	l.mu.Lock()
	conn := l.conn
	l.mu.Unlock()
	if conn != nil {
		l.closeConn(conn)
	}
}

// Dialer returns a Dial for Options that gives up after the timeout.
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
