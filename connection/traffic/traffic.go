// Package traffic counts the calls of a process by kind: their number, the bytes
// sent and received, and the connections opened for them. The counters show what a
// daemon's network link and CPU are used for.
//
// Guarantees: counters never decrease; counting blocks a call only while another call
// is being counted or the counters are read.
package traffic

import (
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
)

// Kind is the name of a group of calls with one purpose, for example renewals.
type Kind string

// maxKinds bounds the number of kinds, since some names come from other daemons;
// further kinds are counted together under OtherKind.
const maxKinds = 64

// OtherKind counts the calls of kinds beyond maxKinds.
const OtherKind Kind = "other"

// Counts are the counters of one kind. Sent and Received are bytes on the
// connection, including headers; Opened is the number of connections opened.
type Counts struct {
	Calls    uint64 `json:"calls"`
	Sent     uint64 `json:"sent_bytes"`
	Received uint64 `json:"received_bytes"`
	Opened   uint64 `json:"opened,omitempty"`
}

// Sub returns the difference from an earlier reading.
func (c Counts) Sub(before Counts) Counts {
	return Counts{c.Calls - before.Calls, c.Sent - before.Sent, c.Received - before.Received, c.Opened - before.Opened}
}

// Add returns the sum.
func (c Counts) Add(d Counts) Counts {
	return Counts{c.Calls + d.Calls, c.Sent + d.Sent, c.Received + d.Received, c.Opened + d.Opened}
}

// Meter counts calls. The zero value is ready; a nil Meter counts nothing.
type Meter struct {
	mu    sync.Mutex
	kinds map[Kind]*Counts
	open  atomic.Int64
}

// Add counts one call and its bytes.
func (m *Meter) Add(k Kind, sent, received int64) {
	m.update(k, func(c *Counts) {
		c.Calls++
		c.Sent += uint64(max(sent, 0))
		c.Received += uint64(max(received, 0))
	})
}

// update updates the counters of a kind.
func (m *Meter) update(k Kind, f func(c *Counts)) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.kinds == nil {
		m.kinds = map[Kind]*Counts{}
	}
	if m.kinds[k] == nil && len(m.kinds) >= maxKinds {
		k = OtherKind
	}
	if m.kinds[k] == nil {
		m.kinds[k] = &Counts{}
	}
	f(m.kinds[k])
}

// Snapshot returns the counters by kind.
func (m *Meter) Snapshot() map[Kind]Counts {
	out := map[Kind]Counts{}
	if m == nil {
		return out
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for k, c := range m.kinds {
		out[k] = *c
	}
	return out
}

// Open returns the number of counted connections that are open.
func (m *Meter) Open() int64 {
	if m == nil {
		return 0
	}
	return m.open.Load()
}

// String implements expvar.Var.
func (m *Meter) String() string {
	data, err := json.Marshal(struct {
		Open  int64           `json:"open_connections"`
		Kinds map[Kind]Counts `json:"kinds"`
	}{m.Open(), m.Snapshot()})
	if err != nil {
		return "{}"
	}
	return string(data)
}

// Conn is a connection whose bytes are counted.
type Conn struct {
	net.Conn
	meter *Meter
	// kind, unless "", is the kind under which Read and Write count bytes as they are
	// transferred; otherwise the caller gets the bytes of a call from Bytes.
	kind           Kind
	sent, received atomic.Int64
	closed         atomic.Bool
}

// Wrap counts a connection that was opened for calls of a kind and returns one that
// counts its bytes.
func (m *Meter) Wrap(k Kind, c net.Conn) *Conn {
	if m == nil {
		m = &Meter{}
	}
	m.update(k, func(n *Counts) { n.Opened++ })
	m.open.Add(1)
	return &Conn{Conn: c, meter: m}
}

// WrapCounting is Wrap for a connection that is used for one kind only: each write counts
// as a call, and bytes are counted as they are transferred.
func (m *Meter) WrapCounting(k Kind, c net.Conn) *Conn {
	conn := m.Wrap(k, c)
	conn.kind = k
	return conn
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(int64(n))
	if c.kind != "" {
		c.meter.update(c.kind, func(k *Counts) { k.Received += uint64(max(n, 0)) })
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(int64(n))
	if c.kind != "" {
		c.meter.Add(c.kind, int64(n), 0)
	}
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	if !c.closed.Swap(true) {
		c.meter.open.Add(-1)
	}
	return c.Conn.Close()
}

// Bytes returns the number of bytes sent and received so far.
func (c *Conn) Bytes() (sent, received int64) { return c.sent.Load(), c.received.Load() }
