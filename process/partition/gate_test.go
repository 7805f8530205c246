package partition

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/ownership"
)

// gate is one daemon's access to the store. While held, every call waits before
// it is sent, as in a suspended process; while cut, every call fails, as in an
// outage.
type gate struct {
	store.Store

	mu   sync.Mutex
	held chan struct{}
	cut  bool
}

func (g *gate) hold() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.held == nil {
		g.held = make(chan struct{})
	}
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.held != nil {
		close(g.held)
		g.held = nil
	}
}

func (g *gate) setCut(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut = on
}

func (g *gate) pass(ctx context.Context) error {
	g.mu.Lock()
	held, cut := g.held, g.cut
	g.mu.Unlock()
	if cut {
		return store.ErrUnavailable
	}
	if held == nil {
		return nil
	}
	select {
	case <-held:
		return nil
	case <-ctx.Done():
		return store.ErrUnavailable
	}
}

func (g *gate) Get(ctx context.Context, key string) (store.Entry, error) {
	if err := g.pass(ctx); err != nil {
		return store.Entry{}, err
	}
	return g.Store.Get(ctx, key)
}

func (g *gate) List(ctx context.Context, prefix string) ([]store.Entry, store.Revision, error) {
	if err := g.pass(ctx); err != nil {
		return nil, 0, err
	}
	return g.Store.List(ctx, prefix)
}

func (g *gate) Put(ctx context.Context, key string, value []byte, prev store.Revision, lease store.LeaseID) (store.Revision, error) {
	if err := g.pass(ctx); err != nil {
		return 0, err
	}
	return g.Store.Put(ctx, key, value, prev, lease)
}

func (g *gate) Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
	if err := g.pass(ctx); err != nil {
		return nil, 0, err
	}
	events, rev, err := g.Store.Watch(ctx, prefix, after, wait)
	if err == nil {
		err = g.pass(ctx) // a daemon held meanwhile must not receive the events
	}
	return events, rev, err
}

func encodeClaim(claim ownership.Claim) ([]byte, error) { return json.Marshal(claim) }

func claimsOf(c *cell) *store.Handle {
	return store.NewClient(c.kv, store.Options{}).Role(store.RoleClaims)
}

// putClaim writes a claim on behalf of another daemon.
func putClaim(c *cell, claim ownership.Claim) {
	data, err := encodeClaim(claim)
	require.NoError(c.t, err)
	_, err = claimsOf(c).Swap(c.ctx, "claims/"+string(claim.Resource), data, 0, 0)
	require.NoError(c.t, err)
}
