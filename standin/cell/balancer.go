package cell

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/version/history"
	"fennelshunt.example/fennelshunt/version/spec"
)

// ErrNoEntry means that no daemon takes requests.
var ErrNoEntry = errors.New("cell: no daemon is ready")

// Balancer stands in for the platform's: it gives each new connection to the
// next daemon whose readiness check passes.
type Balancer struct {
	c    *Cell
	next atomic.Uint64
}

// Balancer returns a balancer over the cell's daemons.
func (c *Cell) Balancer() *Balancer { return &Balancer{c: c} }

// dial connects to the next ready daemon.
func (b *Balancer) dial(ctx context.Context, network, _ string) (net.Conn, error) {
	entries := b.c.Entries()
	for _, i := range b.turns(len(entries)) {
		e := entries[i]
		if !ready(ctx, e.CallerAddr()) {
			continue
		}
		var d net.Dialer
		if conn, err := d.DialContext(ctx, network, e.CallerAddr()); err == nil {
			return conn, nil
		}
	}
	return nil, ErrNoEntry
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

// checkClient asks for readiness; a balancer keeps such connections apart.
var checkClient = &http.Client{Timeout: time.Second}

func ready(ctx context.Context, addr string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/readyz", nil)
	if err != nil {
		return false
	}
	res, err := checkClient.Do(r)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, res.Body) // so that the connection is kept
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// checkInterval is the time between two readiness checks of a daemon.
const checkInterval = 200 * time.Millisecond

// Transport returns a transport whose connections go through the balancer. The
// host of a request's URL is not used. When a daemon's readiness fails the idle
// connections are closed, as a balancer does: a request on a connection that
// its daemon closes in the same moment gets no answer, and nobody could tell
// whether it ran.
func (b *Balancer) Transport() *http.Transport {
	t := &http.Transport{DialContext: b.dial, MaxIdleConnsPerHost: 256, IdleConnTimeout: 10 * time.Second}
	go b.watch(b.c.ctx, t)
	return t
}

// watch closes the idle connections when a daemon stops being ready.
func (b *Balancer) watch(ctx context.Context, t *http.Transport) {
	was := map[*Entry]bool{}
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		for _, e := range b.c.Entries() {
			is := ready(ctx, e.CallerAddr())
			if was[e] && !is {
				t.CloseIdleConnections()
			}
			was[e] = is
		}
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
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
