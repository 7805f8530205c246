package fleet

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/peer/peertest"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/internal/rapidtest"
	"fennelshunt.example/fennelshunt/standin/kv"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

// gate is one daemon's access to the store. While it is closed, calls wait, as in a
// suspended process or a network partition.
type gate struct {
	store.Store
	mu     sync.Mutex
	closed chan struct{}
}

func (g *gate) setClosed(closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case closed && g.closed == nil:
		g.closed = make(chan struct{})
	case !closed && g.closed != nil:
		close(g.closed)
		g.closed = nil
	}
}

func (g *gate) pass(ctx context.Context) error {
	g.mu.Lock()
	closed := g.closed
	g.mu.Unlock()
	if closed == nil {
		return nil
	}
	select {
	case <-closed:
		return nil
	case <-ctx.Done():
		return errors.Join(store.ErrUnavailable, ctx.Err())
	}
}

func (g *gate) RenewLease(ctx context.Context, id store.LeaseID) error {
	if err := g.pass(ctx); err != nil {
		return err
	}
	return g.Store.RenewLease(ctx, id)
}

func (g *gate) GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if err := g.pass(ctx); err != nil {
		return 0, err
	}
	return g.Store.GrantLease(ctx, ttl)
}

func (g *gate) Get(ctx context.Context, key string) (store.Entry, error) {
	if err := g.pass(ctx); err != nil {
		return store.Entry{}, err
	}
	return g.Store.Get(ctx, key)
}

// daemon is a running incarnation.
type daemon struct {
	*Fleet
	gate   *gate
	cancel context.CancelFunc
	done   chan error
}

// cell runs daemons inside a synctest bubble.
type cell struct {
	t       testing.TB
	net     *peertest.Network
	mem     *kv.Memory
	daemons map[peer.MemberID]*daemon
	seeds   []string
	tune    func(*Options)
}

func newCell(t testing.TB, seed uint64) *cell {
	net := peertest.NewNetwork(seed)
	net.SetDelay(1500 * time.Microsecond)
	return &cell{t: t, net: net, mem: kv.New(), daemons: make(map[peer.MemberID]*daemon)}
}

// start starts a new incarnation of the member.
func (c *cell) start(id peer.MemberID) *daemon { return c.startAbove(id, 0) }

func (c *cell) startAbove(id peer.MemberID, floor uint64) *daemon {
	g := &gate{Store: c.mem}
	handle := store.NewClient(g, store.Options{Log: zerolog.Nop()}).Role(store.RoleMembers)
	claimCtx, done := context.WithTimeout(context.Background(), 2*time.Second)
	claimed := ClaimIncarnation(claimCtx, handle, id, floor)
	done()
	caller, mux := c.net.Node(claimed.Ref)
	o := Options{
		Self:        Member{Zone: "z", PeerAddr: string(id), Protocol: 1},
		Incarnation: claimed,
		Store:       handle,
		Caller:      caller,
		Registrar:   mux,
		Seeds:       c.seeds,
		SeedCaller:  caller.(SeedCaller),
		Log:         zerolog.Nop(),
		OnViolation: func(err error) { c.t.Error(err) },
	}
	if c.tune != nil {
		c.tune(&o)
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &daemon{Fleet: New(o), gate: g, cancel: cancel, done: make(chan error, 1)}
	go func() { d.done <- d.Serve(ctx) }()
	c.daemons[id] = d
	return d
}

// crash ends an incarnation without Leave.
func (c *cell) crash(id peer.MemberID) peer.Ref {
	d := c.daemons[id]
	c.net.Stop(d.self)
	d.cancel()
	<-d.done
	delete(c.daemons, id)
	return d.self
}

// restartEvicted restarts evicted daemons, as their processes do, and returns how many.
func (c *cell) restartEvicted() int {
	restarted := 0
	for id, d := range c.daemons {
		select {
		case err := <-d.done:
			var evicted *EvictedError
			require.ErrorAs(c.t, err, &evicted)
			c.net.Stop(d.self)
			c.startAbove(id, evicted.Floor)
			restarted++
		default:
		}
	}
	return restarted
}

func (c *cell) close() {
	for _, d := range c.daemons {
		d.cancel()
		<-d.done
	}
	synctest.Wait()
}

// converged reports whether every daemon sees exactly the running ones, all Alive.
func (c *cell) converged() bool {
	for _, d := range c.daemons {
		members := d.Members()
		if len(members) != len(c.daemons) {
			return false
		}
		for _, m := range members {
			other := c.daemons[m.ID]
			if other == nil || other.self != m.Ref || m.State != Alive {
				return false
			}
		}
	}
	return true
}

// within polls the condition in virtual time and returns how long it took.
func (c *cell) within(limit time.Duration, what string, ok func() bool) time.Duration {
	c.t.Helper()
	const step = 50 * time.Millisecond
	start := time.Now()
	for !ok() {
		if time.Since(start) > limit {
			c.t.Fatalf("%s: not within %s", what, limit)
		}
		time.Sleep(step)
	}
	return time.Since(start)
}

func (c *cell) everyone(ok func(*daemon) bool) func() bool {
	return func() bool {
		for _, d := range c.daemons {
			if !ok(d) {
				return false
			}
		}
		return true
	}
}

func ids(n int) []peer.MemberID {
	all := make([]peer.MemberID, n)
	for i := range all {
		all[i] = peer.MemberID("d" + string(rune('a'+i/26)) + string(rune('a'+i%26)))
	}
	return all
}
