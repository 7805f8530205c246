package forward

import (
	"context"
	"crypto/tls"
	"sync"
	"time"

	"fennelshunt.example/fennelshunt/process/plan"
)

// Defaults of Options.
const (
	DefaultDialTimeout     = time.Second
	DefaultIdleTimeout     = 15 * time.Second
	DefaultKeepAlive       = 15 * time.Second
	DefaultMaxAnswerHeader = 64 << 10
	DefaultMemberMargin    = 2

	transportBufferSize = 8 << 10
	sweepInterval       = 30 * time.Second
)

// Options configure a Forwarder; zero values take the defaults.
type Options struct {
	// Members returns how many daemons share the endpoints' connections; nil
	// means one.
	Members func() int
	// MemberMargin multiplies Members, to allow for daemons that have joined but are
	// not in the member list yet, and for connections of crashed daemons that an
	// endpoint has not detected yet.
	MemberMargin int
	// DialTimeout is the timeout for opening a connection.
	DialTimeout time.Duration
	// IdleTimeout is the time after which an idle connection is closed. It must be
	// below the endpoints' own idle timeout.
	IdleTimeout time.Duration
	// KeepAlive is the interval of TCP keep-alive probes.
	KeepAlive time.Duration
	// TLS is the configuration for connections to endpoints; nil means plain TCP.
	TLS *tls.Config
	// MaxAnswerHeader bounds the size of an answer's header, in bytes.
	MaxAnswerHeader int64
}

func (o *Options) setDefaults() {
	if o.Members == nil {
		o.Members = func() int { return 1 }
	}
	if o.MemberMargin == 0 {
		o.MemberMargin = DefaultMemberMargin
	}
	if o.DialTimeout == 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	if o.KeepAlive == 0 {
		o.KeepAlive = DefaultKeepAlive
	}
	if o.MaxAnswerHeader == 0 {
		o.MaxAnswerHeader = DefaultMaxAnswerHeader
	}
}

// Forwarder sends requests to endpoints over pooled connections. It is safe for
// concurrent use.
type Forwarder struct {
	opts Options

	mu      sync.RWMutex
	targets map[targetKey]*target
}

// New returns a forwarder without connections.
func New(o Options) *Forwarder {
	o.setDefaults()
	return &Forwarder{opts: o, targets: map[targetKey]*target{}}
}

// IdleShare returns how many idle connections each daemon, of the given number of
// members, may keep to an endpoint: an even share of what the endpoint's
// connection limit leaves after one connection per slot, and at most one per
// slot. Each request in progress holds a slot, so idle and used connections of
// all daemons together stay within the limit.
func IdleShare(connections, slots, members int) int {
	if members < 1 {
		members = 1
	}
	return max(0, min(slots, (connections-slots)/members))
}

// target returns the endpoint's target. It replaces one whose idle share is no
// longer current.
func (f *Forwarder) target(e plan.Endpoint) *target {
	share := IdleShare(e.Conns, e.Slots, f.opts.Members()*f.opts.MemberMargin)
	k := keyOf(e)
	f.mu.RLock()
	t := f.targets[k]
	f.mu.RUnlock()
	if t != nil && t.idleShare == share {
		return t
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	t = f.targets[k]
	if t != nil && t.idleShare == share {
		return t
	}
	if t != nil {
		// The old transport's other connections are closed as their requests end.
		t.transport.CloseIdleConnections()
	}
	t = newTarget(&f.opts, share)
	f.targets[k] = t
	return t
}

// Serve removes endpoints that are no longer used, until ctx is done; then it
// closes the idle connections.
func (f *Forwarder) Serve(ctx context.Context) error {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			f.CloseIdle()
			return ctx.Err()
		case now := <-tick.C:
			f.sweep(now)
		}
	}
}

// CloseIdle closes all connections that no request uses.
func (f *Forwarder) CloseIdle() {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, t := range f.targets {
		t.transport.CloseIdleConnections()
	}
}

func (f *Forwarder) sweep(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for k, t := range f.targets {
		if used, idle := t.idleSince(); idle && now.Sub(used) > f.opts.IdleTimeout {
			t.transport.CloseIdleConnections()
			delete(f.targets, k)
		}
	}
}
