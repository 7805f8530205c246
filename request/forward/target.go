package forward

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"fennelshunt.example/fennelshunt/internal/tcpsocket"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/version/spec"
)

// targetKey identifies one attempt of a service's task at one address, so that a
// connection to an earlier task at the same address is never used for a later one.
type targetKey struct {
	address string
	task    spec.TaskID
	attempt int
}

func keyOf(e plan.Endpoint) targetKey {
	return targetKey{address: e.Address, task: e.Task, attempt: e.Attempt}
}

// target holds this daemon's connections to one endpoint.
type target struct {
	scheme    string
	dialer    *net.Dialer
	transport *http.Transport
	idleShare int
	mu        sync.Mutex
	open      int // connections being dialed or open
	sending   int // attempts in progress
	changed   chan struct{}
	used      time.Time
}

func newTarget(o *Options, share int) *target {
	t := &target{
		scheme:    "http",
		dialer:    &net.Dialer{Timeout: o.DialTimeout, KeepAlive: o.KeepAlive},
		idleShare: share,
		changed:   make(chan struct{}),
		used:      time.Now(),
	}
	t.transport = &http.Transport{
		TLSClientConfig:        o.TLS,
		DialContext:            t.dial,
		DisableCompression:     true,
		DisableKeepAlives:      share == 0,
		MaxIdleConns:           0,
		MaxIdleConnsPerHost:    share,
		IdleConnTimeout:        o.IdleTimeout,
		MaxResponseHeaderBytes: o.MaxAnswerHeader,
		WriteBufferSize:        transportBufferSize,
		ReadBufferSize:         transportBufferSize,
	}
	if o.TLS != nil {
		t.scheme = "https"
	}
	return t
}

// dial opens a connection within the daemon's share: the number of open
// connections never exceeds the attempts in progress, each of which holds a
// slot, plus the idle share. The Transport alone would exceed that, because a
// request that finds an idle connection leaves its own dial running.
func (t *target) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if err := t.reserve(ctx); err != nil {
		return nil, err
	}
	c, err := t.dialer.DialContext(ctx, network, address)
	if err != nil {
		t.connClosed()
		return nil, fmt.Errorf("forward: %w", err)
	}
	return &conn{Conn: c, target: t, secure: t.scheme == "https", socket: tcpsocket.Of(c)}, nil
}

func (t *target) reserve(ctx context.Context) error {
	for {
		t.mu.Lock()
		if t.open < t.sending+t.idleShare {
			t.open++
			t.mu.Unlock()
			return nil
		}
		changed := t.changed
		t.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return fmt.Errorf("forward: wait for a connection: %w", ctx.Err())
		}
	}
}

func (t *target) connClosed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open--
	t.notifyLocked()
}

// notifyLocked wakes the dials that are waiting in the reserve method. They wait only while the
// daemon's share is used up, so begin calls it only in that case.
func (t *target) notifyLocked() {
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *target) begin() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sending++
	if t.open >= t.sending+t.idleShare-1 && t.open > 0 {
		t.notifyLocked()
	}
}

func (t *target) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sending--
	t.used = time.Now()
}

func (t *target) idleSince() (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.used, t.sending == 0
}
