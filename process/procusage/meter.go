// Package procusage measures the resources that a daemon's process uses for
// control work: CPU time, memory, and network bytes by kind of remote side.
// Callers' requests are not control work: their connections are not counted,
// though CPU time and memory include them.
package procusage

import (
	"context"
	"net"
	"sync/atomic"
)

// Kind is the kind of remote side that control traffic is exchanged with.
type Kind string

// Kinds of control traffic.
const (
	Peers   Kind = "peers"   // other daemons, over QUIC
	Workers Kind = "workers" // worker agents
	Store   Kind = "store"
	VMList  Kind = "vm_list"
)

var kinds = []Kind{Peers, Workers, Store, VMList}

// Allowances in bytes for headers that are not visible to the process: IP and
// TCP with timestamps for each read and write, IP and UDP for each datagram.
const (
	tcpHeaders = 52
	udpHeaders = 28
)

// counter counts the bytes of one kind in both directions.
type counter struct{ sent, received atomic.Int64 }

// Meter counts the control traffic of one daemon. Its methods are safe for
// concurrent use.
type Meter struct{ counters map[Kind]*counter }

// NewMeter returns a Meter with all counters at 0.
func NewMeter() *Meter {
	m := &Meter{counters: make(map[Kind]*counter, len(kinds))}
	for _, k := range kinds {
		m.counters[k] = &counter{}
	}
	return m
}

// DialFunc opens a connection, as in http.Transport.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a DialFunc whose connections are counted under k.
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

// UDP returns a socket that counts the bytes that it sends to peers. Received
// bytes are not counted, because the QUIC library reads batches directly from
// the file descriptor. Summed over a fleet, the daemons receive what they send.
func (m *Meter) UDP(c *net.UDPConn) net.PacketConn {
	return &udpConn{UDPConn: c, c: m.counters[Peers]}
}

// udpConn keeps the methods by which the QUIC library detects a kernel socket,
// so that it uses batches and segmentation offload as with a plain UDPConn.
type udpConn struct {
	*net.UDPConn
	c *counter
}

// WriteMsgUDP sends a datagram, or several that the kernel segments, and counts
// the bytes with the headers of one datagram.
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
