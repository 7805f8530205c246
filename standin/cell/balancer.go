package cell

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/internal/sleep"
	"fennelshunt.example/fennelshunt/version/history"
	"fennelshunt.example/fennelshunt/version/spec"
)

// ErrNoEntry means that no daemon accepted a connection.
var ErrNoEntry = errors.New("cell: no daemon is ready")

// Balancer is a stand-in for the platform's load balancer. It checks the readiness of each
// daemon at intervals and distributes new connections over the ready ones in turn. A daemon
// whose check times out keeps its last state; if no daemon is ready, all are tried.
type Balancer struct {
	c    *Cell
	next atomic.Uint64

	mu    sync.Mutex
	ready map[*Entry]bool
}

// Balancer returns a balancer over the cell's daemons.
func (c *Cell) Balancer() *Balancer { return &Balancer{c: c, ready: map[*Entry]bool{}} }

// dial connects to the first daemon in order that accepts the connection.
func (b *Balancer) dial(ctx context.Context, network, _ string) (net.Conn, error) {
	var d net.Dialer
	for _, e := range b.order(b.c.Entries()) {
		if conn, err := d.DialContext(ctx, network, e.CallerAddr()); err == nil {
			return conn, nil
		}
	}
	return nil, ErrNoEntry
}

// order returns the daemons in the order in which a connection tries them, each once:
// round robin, the ready ones first.
func (b *Balancer) order(entries []*Entry) []*Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ready, others []*Entry
	for _, i := range b.turns(len(entries)) {
		if e := entries[i]; b.ready[e] {
			ready = append(ready, e)
		} else {
			others = append(others, e)
		}
	}
	return append(ready, others...)
}

// turns returns the round-robin order of n daemons for one connection: each index once.
func (b *Balancer) turns(n int) []int {
	first := int(b.next.Add(1) % uint64(max(n, 1)))
	all := make([]int, n)
	for i := range all {
		all[i] = (first + i) % n
	}
	return all
}

const (
	// checkInterval is the time between two readiness checks of a daemon.
	checkInterval = 200 * time.Millisecond
	// checkTimeout bounds one readiness check.
	checkTimeout = time.Second
	// callerConns bounds the idle connections of all callers together; each caller keeps
	// one to reuse.
	callerConns = 4096
)

// checkClient sends readiness checks, on connections separate from those of callers.
var checkClient = &http.Client{Timeout: checkTimeout}

// check reports whether a daemon is ready; answered is false if the check timed out.
func check(ctx context.Context, addr string) (ready, answered bool) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/readyz", nil)
	if err != nil {
		return false, true
	}
	res, err := checkClient.Do(r)
	if err != nil {
		var slow net.Error
		return false, !errors.As(err, &slow) || !slow.Timeout()
	}
	_, _ = io.Copy(io.Discard, res.Body) // drained so that the connection is reused
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK, true
}

// Transport returns a transport whose connections go through the balancer. The
// host of a request's URL is not used. When a daemon stops being ready, the idle
// connections are closed, as a real balancer does: a request sent while the daemon
// closes its connection would get no response, and it would be unknown whether the
// request ran.
func (b *Balancer) Transport() *http.Transport {
	t := &http.Transport{DialContext: b.dial, MaxIdleConnsPerHost: callerConns, IdleConnTimeout: 10 * time.Second}
	go b.watch(b.c.ctx, t)
	return t
}

// watch runs the readiness checks of all daemons in parallel.
func (b *Balancer) watch(ctx context.Context, t *http.Transport) {
	watched := map[*Entry]bool{}
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		for _, e := range b.c.Entries() {
			if !watched[e] {
				watched[e] = true
				go b.checkLoop(ctx, e, t)
			}
		}
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
}

// checkLoop checks one daemon at intervals until it has left the cell.
func (b *Balancer) checkLoop(ctx context.Context, e *Entry, t *http.Transport) {
	for ctx.Err() == nil && slices.Contains(b.c.Entries(), e) {
		if ready, answered := check(ctx, e.CallerAddr()); answered {
			b.setReady(e, ready, t)
		}
		_ = sleep.For(ctx, checkInterval) // the loop ends with ctx
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.ready, e)
}

// setReady records the result of a check, and closes the idle connections if the daemon has
// just become unready.
func (b *Balancer) setReady(e *Entry, ready bool, t *http.Transport) {
	b.mu.Lock()
	before := b.ready[e]
	b.ready[e] = ready
	b.mu.Unlock()
	if before && !ready {
		t.CloseIdleConnections()
	}
}

// Apply applies a configuration file by writing to the store directly, without a
// daemon, and returns its version.
func (c *Cell) Apply(ctx context.Context, file *spec.File) (uint64, error) {
	client := store.NewClient(store.NewHTTP(c.Platform.StoreURL, nil), store.Options{})
	h := history.New(client.Role(store.RoleVersions))
	current, err := h.Current(ctx)
	if err != nil {
		return 0, fmt.Errorf("cell: apply: %w", err)
	}
	res, err := h.Apply(ctx, file, current.Version, "demo")
	if err != nil {
		return 0, fmt.Errorf("cell: apply: %w", err)
	}
	return res.Version, nil
}

// WaitPlaced waits until the platform has launched at least the given number of
// service instances and at least done tasks have succeeded.
func (c *Cell) WaitPlaced(ctx context.Context, instances, done int) error {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		r := c.Platform.Recorder.Report()
		if len(c.Platform.Launched()) >= instances && r.Succeeded >= done {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("cell: %d of %d instances, %d of %d tasks done: %w",
				len(c.Platform.Launched()), instances, r.Succeeded, done, ctx.Err())
		case <-tick.C:
		}
	}
}
