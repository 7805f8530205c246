package slots

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/peer/peertest"
	"fennelshunt.example/fennelshunt/internal/rapidtest"
	"fennelshunt.example/fennelshunt/process/fleet"
	"fennelshunt.example/fennelshunt/process/fleet/fleettest"
	"fennelshunt.example/fennelshunt/process/ownership/ownershiptest"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/version/spec"
)

const (
	testService = "survey-desk"
	testLimit   = 5 * time.Second
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

// daemon is one incarnation of a daemon under test.
type daemon struct {
	*Manager
	ref       peer.Ref
	view      *fleettest.View
	directory *ownershiptest.Directory
	stop      context.CancelFunc
	crashed   atomic.Bool
	paused    atomic.Bool

	mu          sync.Mutex
	storeLostAt time.Time // when it was disconnected from the store; zero while it is connected
}

func (d *daemon) setDisconnected(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.storeLostAt = at
}

func (d *daemon) disconnectedAt() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.storeLostAt
}

// renewed returns the time of the daemon's last renewal of its store lease.
func (d *daemon) renewed() time.Time {
	if at := d.disconnectedAt(); !at.IsZero() {
		return at
	}
	return time.Now()
}

// cell is several daemons in one synctest bubble.
type cell struct {
	t         *testing.T
	net       *peertest.Network
	claims    *ownershiptest.Cell
	daemons   map[peer.MemberID]*daemon
	endpoints []plan.Endpoint
	seq       uint64
	instances *instances
	change    func(*Options)
}

func newCell(t *testing.T, seed uint64, daemons int) *cell {
	c := &cell{
		t: t, net: peertest.NewNetwork(seed), claims: ownershiptest.NewCell(),
		daemons: map[peer.MemberID]*daemon{}, instances: newInstances(t),
	}
	c.net.SetDelay(time.Millisecond)
	for i := range daemons {
		c.start(peer.Ref{ID: memberID(i), Incarnation: 1})
	}
	t.Cleanup(c.close)
	return c
}

func memberID(i int) peer.MemberID { return peer.MemberID(fmt.Sprintf("d%d", i)) }

func memberOf(ref peer.Ref) fleet.Member { return fleet.Member{Ref: ref, State: fleet.Alive} }

// start starts an incarnation of a daemon and makes it known to all others.
func (c *cell) start(ref peer.Ref) *daemon {
	caller, mux := c.net.Node(ref)
	d := &daemon{ref: ref, view: fleettest.NewView(memberOf(ref)), directory: c.claims.Directory(ref)}
	for _, o := range c.daemons {
		d.view.Set(memberOf(o.ref))
	}
	c.daemons[ref.ID] = d
	for _, o := range c.daemons {
		o.view.Set(memberOf(ref))
	}
	opts := Options{
		Self: ref, Caller: caller, Registrar: mux, Directory: d.directory, Members: d.view, Log: zerolog.Nop(),
		RequestLimit:    func(string) (time.Duration, bool) { return testLimit, true },
		LeaseRenewed:    d.renewed,
		CheckInvariants: true,
	}
	if c.change != nil {
		c.change(&opts)
	}
	d.Manager = New(opts)
	var ctx context.Context
	ctx, d.stop = context.WithCancel(c.t.Context())
	go func() { _ = d.Serve(ctx) }()
	if len(c.endpoints) > 0 {
		d.Apply(c.state())
	}
	return d
}

func (c *cell) close() {
	for _, d := range c.daemons {
		d.stop()
	}
}

// own makes the daemon the owner of the pool.
func (c *cell) own(d *daemon) {
	previous := c.claims.Claim(serviceResource(testService))
	g := c.claims.Set(serviceResource(testService), d.ref)
	if o := c.daemons[previous.Owner.ID]; o != nil && o.ref == previous.Owner && o.disconnectedAt().IsZero() {
		o.Lost(g.Resource, previous.Epoch)
	}
	d.Acquired(c.t.Context(), g)
}

func (c *cell) state() plan.State {
	return plan.State{Partition: "rack", Epoch: 1, Seq: c.seq, Endpoints: c.endpoints, EndpointsChanged: true}
}

// setEndpoints gives every daemon a list of n instances with the same number of slots.
func (c *cell) setEndpoints(n, slots int) {
	c.endpoints = nil
	for i := range n {
		c.endpoints = append(c.endpoints, endpoint(i, 0, slots))
	}
	c.publish()
}

func (c *cell) publish() {
	c.seq++
	for _, d := range c.daemons {
		d.Apply(c.state())
	}
}

func endpoint(i, attempt, slots int) plan.Endpoint {
	return plan.Endpoint{
		Service: testService, Task: spec.TaskID{Job: testService, Generation: 1, Index: i}, Attempt: attempt,
		Address: fmt.Sprintf("10.0.0.%d:%d", i, 1000+attempt), Slots: slots, Conns: 64,
	}
}

// instances counts the requests that run at each instance and asserts that they do not exceed
// its slots, over all daemons together.
type instances struct {
	t       *testing.T
	mu      sync.Mutex
	running map[instanceID]int
	started int
	most    int
}

func newInstances(t *testing.T) *instances {
	return &instances{t: t, running: map[instanceID]int{}}
}

func (u *instances) begin(e plan.Endpoint) {
	u.mu.Lock()
	defer u.mu.Unlock()
	id := instanceOf(&e)
	u.running[id]++
	u.started++
	u.most = max(u.most, u.running[id])
	if u.running[id] > e.Slots {
		u.t.Errorf("instance %s runs %d requests with %d slots", e.Address, u.running[id], e.Slots)
	}
}

func (u *instances) end(e plan.Endpoint) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running[instanceOf(&e)]--
}

// request takes a slot within wait and uses it for the service time.
func (c *cell) request(d *daemon, wait, service time.Duration) (time.Duration, error) {
	arrived := time.Now()
	ctx, cancel := context.WithTimeout(c.t.Context(), wait)
	defer cancel()
	s, err := d.Acquire(ctx, testService)
	if err != nil {
		return time.Since(arrived), err
	}
	waited := time.Since(arrived)
	c.instances.begin(s.Endpoint())
	time.Sleep(service)
	c.instances.end(s.Endpoint())
	s.Release(Ended) // the daemon may have failed by then, and nothing receives this
	return waited, nil
}

// arrival is one request of a fixed Poisson process with exponential service times.
type arrival struct {
	at, service time.Duration
	daemon      int
}

func poisson(seed uint64, n, daemons int, rate float64, mean time.Duration) []arrival {
	r := rand.New(rand.NewPCG(seed, 7))
	out := make([]arrival, n)
	at := 0.0
	for i := range out {
		at += r.ExpFloat64() / rate
		out[i] = arrival{
			at: time.Duration(at * float64(time.Second)), daemon: r.IntN(daemons),
			service: time.Duration(r.ExpFloat64() * float64(mean)),
		}
	}
	return out
}

// requireAllSlots asserts that every slot of the cell can be in use at the same time.
func (c *cell) requireAllSlots(d *daemon, total int) {
	c.t.Helper()
	var held []Slot
	ctx, cancel := context.WithTimeout(c.t.Context(), 5*time.Second)
	defer cancel()
	for range total {
		s, err := d.Acquire(ctx, testService)
		require.NoError(c.t, err, "after %d slots", len(held))
		held = append(held, s)
	}
	for _, s := range held {
		s.Release(Ended)
	}
}
