package jobs

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/peer/peertest"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/ownership"
	"fennelshunt.example/fennelshunt/process/ownership/ownershiptest"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/process/sched"
	"fennelshunt.example/fennelshunt/standin/kv"
	"fennelshunt.example/fennelshunt/version/spec"
)

// cell is a set of fake partitions, daemons with real shards, and a record of the
// tasks that ran. The state of its fake workers is authoritative.
type cell struct {
	t       testing.TB
	net     *peertest.Network
	claims  *ownershiptest.Cell
	store   *kv.Memory
	config  *fakeConfig
	shards  int
	latest  func(context.Context) (uint64, error) // LatestVersion of the daemons
	tuning  Tuning
	metrics *Metrics

	mu           sync.Mutex // guards all below
	rng          *rand.Rand
	workers      map[worker.ID]*fakeWorker
	partitions   map[string]*fakePartition
	daemons      []*daemon
	runs         map[spec.TaskID]*runRecord
	crashes      func(spec.TaskID) bool // tasks that crash their workers; nil: none
	held         map[string]spec.Resources
	quotas       map[string]spec.Resources
	problems     []string
	runTime      func(worker.Start) (time.Duration, worker.TaskState)
	incarnations uint64
	loseEvents   float64
	committed    func(p *fakePartition, result *plan.Result) // before the response is sent
}

// runRecord is what happened to a task according to the fake workers.
type runRecord struct {
	starts, running, succeeded int
	acked                      bool
	firstStart                 time.Time
}

type fakeConfig struct {
	mu      sync.Mutex
	current *spec.Config
	changed chan struct{}
}

func (c *fakeConfig) Current() *spec.Config {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

func (c *fakeConfig) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

func newCell(t testing.TB, seed uint64) *cell {
	return &cell{
		t: t, net: peertest.NewNetwork(seed), claims: ownershiptest.NewCell(), store: kv.NewSeeded(seed),
		config: &fakeConfig{current: &spec.Config{}, changed: make(chan struct{})},
		shards: 1, metrics: &Metrics{}, rng: rand.New(rand.NewPCG(seed, 1)),
		workers: map[worker.ID]*fakeWorker{}, partitions: map[string]*fakePartition{},
		runs: map[spec.TaskID]*runRecord{}, held: map[string]spec.Resources{}, quotas: map[string]spec.Resources{},
		runTime: func(s worker.Start) (time.Duration, worker.TaskState) { return s.RunTime.Std(), worker.Succeeded },
	}
}

// apply applies a configuration; jobs that did not change keep their
// generation.
func (c *cell) apply(teams []spec.Team, jobs ...spec.Job) {
	c.config.mu.Lock()
	defer c.config.mu.Unlock()
	old := c.config.current
	next := &spec.Config{Version: old.Version + 1, Teams: map[string]*spec.Team{}, Jobs: map[string]*spec.VersionedJob{}}
	c.mu.Lock()
	for i := range teams {
		next.Teams[teams[i].Name] = &teams[i]
		c.quotas[teams[i].Name] = teams[i].Quota
	}
	c.mu.Unlock()
	for _, j := range jobs {
		vj := &spec.VersionedJob{Job: j, Generation: next.Version, File: "f"}
		if was := old.Jobs[j.Name]; was != nil && fmt.Sprintf("%+v", was.Job) == fmt.Sprintf("%+v", j) {
			vj = was
		}
		next.Jobs[j.Name] = vj
	}
	c.config.current = next
	close(c.config.changed)
	c.config.changed = make(chan struct{})
}

// daemon is one incarnation of a daemon that may own shards.
type daemon struct {
	c             *cell
	ref           peer.Ref
	manager       *Manager
	cache         *sched.Cache
	cancel        context.CancelFunc
	dir           *ownershiptest.Directory
	snapshotReads atomic.Int64 // calls of snapshot
}

func (d *daemon) snapshot() *sched.Snapshot {
	d.snapshotReads.Add(1)
	return d.cache.Snapshot()
}

func (c *cell) startDaemon(ctx context.Context, id peer.MemberID) *daemon {
	c.mu.Lock()
	c.incarnations++
	ref := peer.Ref{ID: id, Incarnation: c.incarnations}
	c.mu.Unlock()
	caller, mux := c.net.Node(ref)
	ctx, cancel := context.WithCancel(ctx)
	d := &daemon{c: c, ref: ref, cache: sched.NewCache(), cancel: cancel, dir: c.claims.Directory(ref)}
	client := store.NewClient(c.store, store.Options{})
	d.manager = New(Options{
		Self: ref, Caller: caller, Registrar: mux, Directory: d.dir, Config: c.config,
		Snapshots: d.snapshot, Store: client.Role(store.RoleProgress),
		Partitions: c.partitionNames, Shards: c.shards, Log: zerolog.Nop(), Metrics: c.metrics, Tuning: c.tuning,
		LatestVersion: c.latest,
		Violation:     func(err error) { c.problem("%v", err) },
	})
	go func() { _ = d.manager.Serve(ctx) }()
	c.mu.Lock()
	c.daemons = append(c.daemons, d)
	c.publishLocked(true)
	c.mu.Unlock()
	return d
}

// own makes a daemon the owner of a shard.
func (d *daemon) own(shard int) {
	d.manager.Acquired(context.Background(), d.c.claims.Set(Resource(plan.Shard(shard)), d.ref))
}

// kill stops the daemon without a planned stop.
func (d *daemon) kill() {
	d.c.net.Stop(d.ref)
	d.cancel()
	d.c.mu.Lock()
	defer d.c.mu.Unlock()
	d.c.daemons = slices.DeleteFunc(d.c.daemons, func(o *daemon) bool { return o == d })
}

func (c *cell) problem(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.problemLocked(format, args...)
}

func (c *cell) problemLocked(format string, args ...any) {
	if len(c.problems) < 20 {
		c.problems = append(c.problems, fmt.Sprintf(format, args...))
	}
}

func (c *cell) partitionNames() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for name := range c.partitions {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// addRack adds a partition with workers and its own owner.
func (c *cell) addRack(ctx context.Context, name, zone string, workers int, size spec.Resources) {
	c.mu.Lock()
	for i := range workers {
		id := worker.ID(fmt.Sprintf("%s-w%d", name, i))
		c.workers[id] = &fakeWorker{id: id, partition: name, zone: zone, capacity: size, tasks: map[worker.Ref]*fakeTask{}}
	}
	c.mu.Unlock()
	c.startPartition(ctx, name)
}

// startPartition gives the partition a new owner.
func (c *cell) startPartition(ctx context.Context, name string) {
	c.mu.Lock()
	c.incarnations++
	ref := peer.Ref{ID: peer.MemberID("p-" + name), Incarnation: c.incarnations}
	old := c.partitions[name]
	c.mu.Unlock()
	if old != nil {
		old.cancel()
	}
	caller, mux := c.net.Node(ref)
	grant := c.claims.Set(ownership.Resource(ownership.PartitionPrefix+name), ref)
	ctx, cancel := context.WithCancel(ctx)
	p := &fakePartition{
		c: c, name: name, epoch: grant.Epoch, caller: caller, cancel: cancel,
		shards: map[plan.Shard]fenceState{}, reservations: map[string]*fakeReservation{}, wake: make(chan struct{}, 1),
	}
	p.register(mux)
	c.mu.Lock()
	c.partitions[name] = p
	p.takeOverLocked()
	c.publishLocked(true)
	c.mu.Unlock()
	go p.sendEvents(ctx)
}

// publishLocked updates the snapshots of all daemons.
func (c *cell) publishLocked(all bool) {
	for _, p := range c.partitions {
		if !p.changed && !all {
			continue
		}
		p.changed = false
		p.seq++
		s := p.stateLocked()
		for _, d := range c.daemons {
			d.cache.Apply(s)
		}
	}
}

// publish runs until ctx ends.
func (c *cell) publish(ctx context.Context, every time.Duration) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.mu.Lock()
			c.publishLocked(false)
			c.mu.Unlock()
		}
	}
}

// check fails the test on any recorded problem and on a violated invariant of a
// shard.
func (c *cell) check() {
	c.t.Helper()
	c.checkShards()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.problems) > 0 {
		c.t.Fatalf("%d problems, first: %v", len(c.problems), c.problems)
	}
}

func (c *cell) checkShards() {
	c.mu.Lock()
	daemons := slices.Clone(c.daemons)
	c.mu.Unlock()
	for _, d := range daemons {
		d.manager.mu.Lock()
		owned := d.manager.shards
		var shards []*shard
		for _, s := range owned {
			shards = append(shards, s.shard)
		}
		d.manager.mu.Unlock()
		for _, s := range shards {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_ = s.call(ctx, func(st *state) {
				if err := st.check(); err != nil {
					c.problem("%v", err)
				}
			})
			cancel()
		}
	}
}

// succeeded counts the tasks of a job that succeeded on the fake workers.
func (c *cell) succeeded(job string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for id, r := range c.runs {
		if id.Job == job && r.succeeded > 0 {
			n++
		}
	}
	return n
}

// startedTasks counts the tasks that started at least once on the fake workers.
func (c *cell) startedTasks() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.runs)
}

// startedOf reports whether any task of a generation started on the fake workers.
func (c *cell) startedOf(generation uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.runs {
		if id.Generation == generation {
			return true
		}
	}
	return false
}

func (c *cell) runningTasks(job string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for id, r := range c.runs {
		if id.Job == job {
			n += r.running
		}
	}
	return n
}

// await polls until the condition holds, and records a problem after the limit.
func (c *cell) await(limit time.Duration, what string, condition func() bool) {
	c.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return
		}
	}
	c.problem("not within %v: %s", limit, what)
}
