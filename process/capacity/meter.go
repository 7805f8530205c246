// Package capacity measures what a daemon's process spends on control work:
// processor time, memory, and bytes by the kind of the other side. Requests of
// callers are not control work; their connections are not counted.
package capacity

import (
	"context"
	"net"
	"sync/atomic"
)

// Kind tells whom control traffic is exchanged with.
type Kind string

// Kinds of control traffic.
const (
	Peers   Kind = "peers"   // other daemons, over QUIC
	Workers Kind = "workers" // agents of the workers
	Store   Kind = "store"
	VMList  Kind = "vm_list"
)

var kinds = []Kind{Peers, Workers, Store, VMList}

// Allowances for the headers that a program does not see, in bytes: IP and TCP
// with timestamps for each read and write, IP and UDP for each datagram.
const (
	tcpHeaders = 52
	udpHeaders = 28
)

// counter counts the bytes of one kind both ways.
type counter struct{ sent, received atomic.Int64 }

// Meter counts the control traffic of one daemon. Its methods are safe for
// concurrent use.
type Meter struct{ counters map[Kind]*counter }

// NewMeter returns a Meter that has counted nothing.
func NewMeter() *Meter {
	m := &Meter{counters: make(map[Kind]*counter, len(kinds))}
	for _, k := range kinds {
		m.counters[k] = &counter{}
	}
	return m
}

// DialFunc makes a connection, as in http.Transport.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a DialFunc whose connections are counted as the kind.
func (m *Meter) Dial(k Kind, d *net.Dialer) DialFunc {
	c := m.counters[k]
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &tcpConn{Conn: conn, c: c}, nil
	}
}

type tcpConn struct {
	net.Conn
	c *counter
}

// Read implements net.Conn.
func (t *tcpConn) Read(p []byte) (int, error) {
	n, err := t.Conn.Read(p)
	if n > 0 {
		t.c.received.Add(int64(n) + tcpHeaders)
	}
	return n, err
}

// Write implements net.Conn.
func (t *tcpConn) Write(p []byte) (int, error) {
	n, err := t.Conn.Write(p)
	if n > 0 {
		t.c.sent.Add(int64(n) + tcpHeaders)
	}
	return n, err
}

// UDP returns a socket that counts what it sends to peers. What it receives is
// not counted: the QUIC library reads batches from the descriptor itself. Over
// a fleet the daemons receive what they send.
func (m *Meter) UDP(c *net.UDPConn) net.PacketConn {
	return &udpConn{UDPConn: c, c: m.counters[Peers]}
}

// udpConn keeps the methods by which the QUIC library recognises a kernel
// socket, so that it uses batches and segmentation offload as without it.
type udpConn struct {
	*net.UDPConn
	c *counter
}

// WriteMsgUDP counts one datagram, or several that the kernel will cut.
func (u *udpConn) WriteMsgUDP(b, oob []byte, addr *net.UDPAddr) (n, oobn int, err error) {
	n, oobn, err = u.UDPConn.WriteMsgUDP(b, oob, addr)
	if err == nil {
		u.c.sent.Add(int64(n) + udpHeaders)
	}
	return n, oobn, err
}

// WriteTo implements net.PacketConn.
func (u *udpConn) WriteTo(b []byte, addr net.Addr) (int, error) {
	n, err := u.UDPConn.WriteTo(b, addr)
	if err == nil {
		u.c.sent.Add(int64(n) + udpHeaders)
	}
	return n, err
}
