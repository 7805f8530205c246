// Package traffic counts the calls of a process by kind: how many, the bytes
// that they put on the wire and took from it, and the connections opened for
// them. What a daemon's link and processor are used for is read from it.
//
// Guarantees: counters only rise; counting never blocks a call on another one
// of the same kind for longer than an addition.
package traffic

import (
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
)

// Kind names calls that serve one purpose, for example renewals.
type Kind string

// maxKinds bounds the kinds, some of which come from other daemons; further ones
// are counted together under OtherKind.
const maxKinds = 64

// OtherKind holds the calls beyond maxKinds kinds.
const OtherKind Kind = "other"

// Counts of one kind. Sent and Received are bytes on the connection, headers
// included; Opened are connections opened for a call.
type Counts struct {
	Calls    uint64 `json:"calls"`
	Sent     uint64 `json:"sent_bytes"`
	Received uint64 `json:"received_bytes"`
	Opened   uint64 `json:"opened,omitempty"`
}

// Minus returns what was counted since an earlier reading.
func (c Counts) Minus(before Counts) Counts {
	return Counts{c.Calls - before.Calls, c.Sent - before.Sent, c.Received - before.Received, c.Opened - before.Opened}
}

// Plus returns the sum.
func (c Counts) Plus(d Counts) Counts {
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
	m.change(k, func(c *Counts) {
		c.Calls++
		c.Sent += uint64(max(sent, 0))
		c.Received += uint64(max(received, 0))
	})
}

// change changes the counters of a kind.
func (m *Meter) change(k Kind, f func(c *Counts)) {
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
	// kind, unless "", counts what goes over the connection as it goes; else the
	// bytes of a call are read off by Bytes.
	kind           Kind
	sent, received atomic.Int64
	closed         atomic.Bool
}

// Wrap counts a connection that was opened for calls of a kind, and its bytes.
func (m *Meter) Wrap(k Kind, c net.Conn) *Conn {
	if m == nil {
		m = &Meter{}
	}
	m.change(k, func(n *Counts) { n.Opened++ })
	m.open.Add(1)
	return &Conn{Conn: c, meter: m}
}

// WrapAll is Wrap for a connection that serves one kind only: each write counts as a
// call, with its bytes, as it is made.
func (m *Meter) WrapAll(k Kind, c net.Conn) *Conn {
	conn := m.Wrap(k, c)
	conn.kind = k
	return conn
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(int64(n))
	if c.kind != "" {
		c.meter.change(c.kind, func(k *Counts) { k.Received += uint64(max(n, 0)) })
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

// Bytes returns what the connection has carried so far.
func (c *Conn) Bytes() (sent, received int64) { return c.sent.Load(), c.received.Load() }
