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

// ErrNoEntry means that no daemon takes requests.
var ErrNoEntry = errors.New("cell: no daemon is ready")

// Balancer stands in for the platform's: it asks each daemon at intervals whether it is
// ready, and gives each new connection to the next one that was. A daemon that does not
// answer in time is taken for what it last said; where none is ready, all are tried.
type Balancer struct {
	c    *Cell
	next atomic.Uint64

	mu    sync.Mutex
	ready map[*Entry]bool
}

// Balancer returns a balancer over the cell's daemons.
func (c *Cell) Balancer() *Balancer { return &Balancer{c: c, ready: map[*Entry]bool{}} }

// dial connects to the next ready daemon.
func (b *Balancer) dial(ctx context.Context, network, _ string) (net.Conn, error) {
	var d net.Dialer
	for _, e := range b.order(b.c.Entries()) {
		if conn, err := d.DialContext(ctx, network, e.CallerAddr()); err == nil {
			return conn, nil
		}
	}
	return nil, ErrNoEntry
}

// order returns the daemons that a connection tries, each once: from the next one on, the
// ready ones first.
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

// turns returns the order in which a connection tries n daemons: each once, from the next
// one on.
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
	// checkTimeout bounds one.
	checkTimeout = time.Second
	// callerConns is how many idle connections the callers keep together: each of them has
	// its own, which it uses again.
	callerConns = 4096
)

// checkClient asks for readiness; a balancer keeps such connections apart.
var checkClient = &http.Client{Timeout: checkTimeout}

// check asks a daemon whether it is ready; answered is false when it did not say in time.
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
	_, _ = io.Copy(io.Discard, res.Body) // so that the connection is kept
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK, true
}

// Transport returns a transport whose connections go through the balancer. The
// host of a request's URL is not used. When a daemon's readiness fails the idle
// connections are closed, as a balancer does: a request on a connection that
// its daemon closes in the same moment gets no answer, and nobody could tell
// whether it ran.
func (b *Balancer) Transport() *http.Transport {
	t := &http.Transport{DialContext: b.dial, MaxIdleConnsPerHost: callerConns, IdleConnTimeout: 10 * time.Second}
	go b.watch(b.c.ctx, t)
	return t
}

// watch checks each daemon at intervals, one beside the other.
func (b *Balancer) watch(ctx context.Context, t *http.Transport) {
	watched := map[*Entry]bool{}
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		for _, e := range b.c.Entries() {
			if !watched[e] {
				watched[e] = true
				go b.follow(ctx, e, t)
			}
		}
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
}

// follow checks one daemon until it has left the cell.
func (b *Balancer) follow(ctx context.Context, e *Entry, t *http.Transport) {
	for ctx.Err() == nil && slices.Contains(b.c.Entries(), e) {
		if ready, answered := check(ctx, e.CallerAddr()); answered {
			b.note(e, ready, t)
		}
		_ = sleep.For(ctx, checkInterval) // the loop ends with ctx
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.ready, e)
}

// note takes what a daemon has said, and closes the idle connections when it has just
// become unready.
func (b *Balancer) note(e *Entry, ready bool, t *http.Transport) {
	b.mu.Lock()
	before := b.ready[e]
	b.ready[e] = ready
	b.mu.Unlock()
	if before && !ready {
		t.CloseIdleConnections()
	}
}

// Apply applies a configuration file through the store, as an operator's tool
// without a daemon would.
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

// WaitPlaced waits until the platform runs at least instances service
// instances and has completed at least done tasks.
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
