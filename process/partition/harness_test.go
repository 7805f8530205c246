package partition

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/peer/peertest"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/connection/vmlist"
	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/fleet"
	"fennelshunt.example/fennelshunt/process/fleet/fleettest"
	"fennelshunt.example/fennelshunt/process/ownership"
	"fennelshunt.example/fennelshunt/process/partition/agenttest"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/standin/kv"
	"fennelshunt.example/fennelshunt/version/spec"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.checks": shortChecks()} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// shortChecks returns the number of random runs: that of the command line, if
// set, else a small one.
func shortChecks() string {
	if f := flag.Lookup("rapid.checks"); f.Value.String() != f.DefValue {
		return f.Value.String()
	}
	return "20"
}

const (
	testZone      = "zone-a"
	testPartition = testZone + "-rack-0"
	testShard     = plan.Shard(1)
	// testRenewBound is shorter than the default, to shorten the tests.
	testRenewBound = ownership.DefaultStartBound + 20*time.Minute
)

var small = spec.Resources{MilliCPU: 1000, MemoryMB: 1000}

// cell is one or more racks of workers with the daemons that may own them.
type cell struct {
	t       testing.TB
	rack    *agenttest.Rack
	kv      *kv.Memory
	net     *peertest.Network
	vms     *vmList
	daemons []*daemon
	// daemonsMu guards daemons against the goroutine of the shard model. Only the
	// test's goroutine changes daemons; it reads them without the lock.
	daemonsMu      sync.Mutex
	earlierDaemons []*daemon // earlier incarnations
	workers        int
	racks          int
	author         *author
	ctx            context.Context
	cancel         context.CancelFunc
	jobs           atomic.Pointer[spec.Config]
	whole          bool // daemons also own the shards of the jobs

	mu                  sync.Mutex
	invariantViolations []string // reported by the owners of the jobs
}

// daemon is one incarnation of a daemon with what it needs to own partitions.
type daemon struct {
	c       *cell
	ref     peer.Ref
	view    *fleettest.View
	manager *ownership.Manager
	host    *Host
	racks   *Racks
	metrics *Metrics
	gate    *gate
	vms     *vmView
	stop    context.CancelFunc

	mu      sync.Mutex
	renewed time.Time
	frozen  bool
}

// vmList is a settable VM list.
type vmList struct {
	mu  sync.Mutex
	vms []vmlist.VM
}

func (l *vmList) List(context.Context) ([]vmlist.VM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.vms), nil
}

// vmView is one daemon's access to the VM list; while frozen, reads fail.
type vmView struct {
	list   *vmList
	frozen atomic.Bool
}

func (v *vmView) List(ctx context.Context) ([]vmlist.VM, error) {
	if v.frozen.Load() {
		return nil, errors.New("VM list unreachable")
	}
	return v.list.List(ctx)
}

func (l *vmList) add(vm vmlist.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms = append(l.vms, vm)
}

func (l *vmList) remove(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms = slices.DeleteFunc(l.vms, func(vm vmlist.VM) bool { return vm.Name == name })
}

type configSource struct{ c *atomic.Pointer[spec.Config] }

func (s configSource) Current() *spec.Config    { return s.c.Load() }
func (s configSource) Changed() <-chan struct{} { return nil }

func rackName(i int) string { return fmt.Sprintf("rack-%d", i) }

func workerID(i int) worker.ID { return worker.ID(fmt.Sprintf("worker-%d", i)) }

// newCell starts daemons and workers. Workers with odd numbers check epochs, the
// others check leases only.
func newCell(t testing.TB, daemons, workers, racks int, capacity spec.Resources) *cell {
	c := newWholeCell(t, daemons, workers, racks, capacity, spec.Config{Version: 1})
	c.author = newAuthor(c)
	return c
}

// newWholeCell is newCell without an author. If the configuration has jobs, the
// daemons also own their shards.
func newWholeCell(t testing.TB, daemons, workers, racks int, capacity spec.Resources, config spec.Config) *cell {
	ctx, cancel := context.WithCancel(t.Context())
	c := &cell{t: t, rack: agenttest.NewRack(), kv: kv.New(), net: peertest.NewNetwork(1), vms: &vmList{}, ctx: ctx, cancel: cancel, workers: workers, racks: racks,
		whole: len(config.Jobs) > 0}
	c.jobs.Store(&config)
	for i := range workers {
		id := workerID(i)
		c.rack.Add(id, capacity, i%2 == 1)
		c.vms.vms = append(c.vms.vms, vmlist.VM{
			Name: string(id), Role: vmlist.RoleWorker, Zone: testZone, Rack: rackName(i % racks), Address: string(id), Capacity: capacity,
		})
	}
	for i := range daemons {
		name := peer.MemberID(fmt.Sprintf("daemon-%d", i))
		c.vms.vms = append(c.vms.vms, vmlist.VM{Name: string(name), Role: vmlist.RoleEntry, Zone: testZone})
	}
	for i := range daemons {
		c.daemons = append(c.daemons, c.startDaemon(peer.Ref{ID: peer.MemberID(fmt.Sprintf("daemon-%d", i)), Incarnation: 1}))
	}
	return c
}

func (c *cell) startDaemon(ref peer.Ref) *daemon {
	d := &daemon{c: c, ref: ref, renewed: time.Now(), metrics: &Metrics{}}
	member := func(r peer.Ref) fleet.Member { return fleet.Member{Ref: r, Zone: testZone} }
	d.view = fleettest.NewView(member(ref))
	for _, other := range c.daemons {
		if other.ref.ID != ref.ID {
			d.view.Set(member(other.ref))
		}
		other.view.Set(member(ref))
	}
	caller, mux := c.net.Node(ref)
	d.vms = &vmView{list: c.vms}
	d.racks = NewRacks(d.vms, time.Second, zerolog.Nop())
	d.gate = &gate{Store: c.kv}
	d.manager = ownership.New(ownership.Options{
		View: d.view, Store: store.NewClient(d.gate, store.Options{}).Role(store.RoleClaims),
		LastRenewal: d.lastRenewal, RenewBound: testRenewBound, Log: zerolog.Nop(),
	})
	d.host = New(Options{
		Racks: d.racks, Dialer: c.rack.Dialer(d.key()), Directory: d.manager, Claims: d.manager,
		Caller: caller, Registrar: mux, View: d.view, Config: configSource{&c.jobs}, RenewBound: testRenewBound,
		ShardOf: func(string) plan.Shard { return testShard }, Log: zerolog.Nop(), Metrics: d.metrics,
	})
	d.manager.Register(ownership.PartitionPrefix, d.host, d.host.Resources)
	ctx, stop := context.WithCancel(c.ctx)
	d.stop = stop
	if c.whole {
		d.addJobs(ctx, caller, mux)
	}
	go func() { _ = d.racks.Serve(ctx) }()
	go func() { _ = d.manager.Serve(ctx) }()
	return d
}

// lastRenewal replaces the fleet's: the store lease counts as renewed at any time
// unless the renewal is frozen.
func (d *daemon) lastRenewal() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.frozen {
		d.renewed = time.Now()
	}
	return d.renewed
}

// key identifies this incarnation in calls to the workers.
func (d *daemon) key() string { return fmt.Sprintf("%s/%d", d.ref.ID, d.ref.Incarnation) }

func (d *daemon) freezeRenewal(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.frozen = on
	if on {
		d.renewed = time.Now()
	}
}

// kill ends a daemon without a planned stop.
func (d *daemon) kill() {
	d.c.net.Stop(d.ref)
	d.c.rack.Pause(d.key()) // calls in flight may arrive after Resume
	d.stop()
}

// reportFailed has all other daemons regard this incarnation as failed.
func (c *cell) reportFailed(d *daemon) {
	for _, other := range c.daemons {
		if other != d {
			other.view.SetEnded(d.ref)
		}
	}
}

// pause suspends a daemon between a check and its next send.
func (c *cell) pause(d *daemon) {
	c.net.Pause(d.ref)
	c.rack.Pause(d.key())
	d.gate.hold()
}

func (c *cell) resume(d *daemon) {
	d.gate.open()
	c.net.Resume(d.ref)
	c.rack.Resume(d.key())
}

// owner returns the daemon that runs the test partition's owner and holds the
// claim according to its own records, or nil.
func (c *cell) owner() *daemon {
	for _, d := range c.daemons {
		if _, err := d.host.owner(testPartition); err == nil {
			if claim, ok := d.manager.Owner(resourceOf(testPartition)); ok && claim.Owner == d.ref {
				return d
			}
		}
	}
	return nil
}

// eventually waits in virtual time.
func (c *cell) eventually(within time.Duration, what string, ok func() bool) time.Duration {
	c.t.Helper()
	began := time.Now()
	for !ok() {
		if time.Since(began) > within {
			require.FailNow(c.t, "not within "+within.String(), what)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

// ready waits until every worker of the partition is fenced and returns the
// owner.
func (c *cell) ready() *daemon {
	c.t.Helper()
	var d *daemon
	c.eventually(time.Minute, "partition ready", func() bool {
		if d = c.owner(); d == nil {
			return false
		}
		reply, err := c.author.fence(d)
		return err == nil && len(reply.Unaccounted) == 0 && c.acceptsPlans(d)
	})
	return d
}

// acceptsPlans reports whether the daemon's owner has read the shard epochs and
// the stored memo names its workers.
func (c *cell) acceptsPlans(d *daemon) bool {
	o, err := d.host.owner(testPartition)
	if err != nil {
		return false
	}
	read, err := call(c.ctx, o, func() bool { return o.shardEpochsRead && o.memoIsCurrent() })
	return err == nil && read
}

// inBubble runs a test in virtual time and then checks the invariants.
func inBubble(t *testing.T, daemons, workers int, capacity spec.Resources, f func(c *cell)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, daemons, workers, 1, capacity)
		defer c.shutDown()
		f(c)
		require.Empty(t, c.rack.Violations())
		for _, d := range c.daemons {
			require.Zero(t, d.metrics.DoubleRuns.Value())
		}
	})
}

// shutDown ends every goroutine, so that the synctest bubble can end.
func (c *cell) shutDown() {
	c.cancel()
	for _, d := range append(c.earlierDaemons, c.daemons...) {
		c.net.Stop(d.ref)
		d.gate.open()
		c.rack.Resume(d.key())
	}
	if c.author != nil {
		c.net.Stop(c.author.ref)
	}
	time.Sleep(time.Minute)
}

// replaceDaemon replaces a daemon by its next incarnation.
func (c *cell) replaceDaemon(i int, next *daemon) {
	c.daemonsMu.Lock()
	defer c.daemonsMu.Unlock()
	c.daemons[i] = next
}

// anyDaemon returns a random daemon, for goroutines other than the test's.
func (c *cell) anyDaemon(rng *rand.Rand) *daemon {
	c.daemonsMu.Lock()
	defer c.daemonsMu.Unlock()
	return c.daemons[rng.IntN(len(c.daemons))]
}
