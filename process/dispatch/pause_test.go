package dispatch

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/lead"
	"fennelshunt.example/fennelshunt/standin/epochworker"
	"fennelshunt.example/fennelshunt/standin/kv"
	"fennelshunt.example/fennelshunt/version/work"
)

// pauseCell is a cell whose daemons stand still now and then. Its random numbers depend on the seed and on what
// they are for, not on the order of goroutines.
type pauseCell struct {
	*cell
	kind    pauseKind
	seed    uint64
	peers   *peerNodes
	began   time.Time
	gates   []*gate
	mu      sync.Mutex // of what follows
	accepts sync.WaitGroup
	started int // daemons
	terms   []term
	counts  map[point]int
	stats   Stats
}

// term is the start of a term.
type term struct {
	epoch uint64
	at    time.Time
	g     *gate // of its daemon
}

// pauseKind is a kind of cell.
type pauseKind struct {
	workers, daemons int
	restart          time.Duration // of workers after a crash; 0 for never
	sameName         bool
	keep             time.Duration // as in Bounds
	storeDelay       time.Duration
	pings            bool          // daemons notice that the leader fails before its lease has expired
	pause            time.Duration // mean time between submissions
	slow             int           // by what factor runs take longer than quick tasks do
}

func drawPauseKind(rng *rand.Rand) pauseKind {
	k := pauseKind{workers: 12 + rng.IntN(12), daemons: 3 + rng.IntN(3), keep: 10 * time.Minute, pings: rng.IntN(3) > 0,
		pause: time.Duration(20+rng.IntN(60)) * time.Millisecond, storeDelay: []time.Duration{0, 4 * time.Millisecond, 100 * time.Millisecond, 400 * time.Millisecond}[rng.IntN(4)]}
	if rng.IntN(3) > 0 {
		k.restart, k.sameName = time.Duration(500+rng.IntN(4000))*time.Millisecond, rng.IntN(3) > 0
	}
	if rng.IntN(3) == 0 {
		k.keep = 20 * time.Second
	}
	if k.slow = []int{1, 1, 4, 12}[rng.IntN(4)]; k.slow > 1 {
		k.pause *= time.Duration(k.slow) / 2 // what runs has to fit in
	}
	return k
}

// drawPause draws the length of a pause: any, or about as long as a member's lease, a watch, a worker's
// lease, or the time after which a successor takes a worker that it does not reach for dead.
func drawPause(rng *rand.Rand) time.Duration {
	around := []time.Duration{1100 * time.Millisecond, 2 * time.Second, 6 * time.Second, 8400 * time.Millisecond}
	switch i := rng.IntN(7); {
	case i < len(around):
		return time.Duration(float64(around[i]) * (0.85 + 0.3*rng.Float64()))
	case i == len(around):
		return time.Duration(10+rng.IntN(600)) * time.Millisecond
	case i == len(around)+1:
		return time.Duration(500+rng.IntN(4000)) * time.Millisecond
	}
	return time.Duration(10+rng.IntN(20_000)) * time.Millisecond
}

// points are those at which a pause begins.
var points = []point{"start", "start answered", "renewal", "renewal answered", "stop", "stop answered", "commit", "commit answered", "load", "load answered",
	"watch", "watch answered", "claimed", "ticked", "tick", "decision", "lease", "lease answered", "offer"}

func newPauseCell(t *testing.T, seed uint64, kind pauseKind) *pauseCell {
	c := &pauseCell{kind: kind, seed: seed, peers: &peerNodes{nodes: map[string]*peerNode{}}, counts: map[point]int{}}
	c.cell = newTestCell(t, seed, 0, 0, usualBehaviour(0))
	c.kv.SetFaults(kv.Faults{Delay: kind.storeDelay})
	c.began, c.advice.share = time.Now(), 0.9
	c.fleet = epochworker.New(epochworker.Options{Seed: seed, Lease: testLease, GangTimeout: 3 * time.Second, StopDelay: 200 * time.Millisecond, Delay: time.Millisecond,
		Attempts: 4, Restart: kind.restart, SameName: kind.sameName, EntryLag: time.Second, Work: c.behave})
	for i := range kind.workers {
		id := runner.WorkerID(fmt.Sprintf("w-%02d", i))
		if kind.sameName {
			id = runner.IncarnationID(string(id), 1)
		}
		c.addWorker(id, fmt.Sprintf("10.0.0.%d", i), fmt.Sprint("r", i/8))
	}
	for i := range kind.daemons {
		n, g := c.startGated(fmt.Sprintf("d-%d", i))
		c.nodes, c.gates = append(c.nodes, n), append(c.gates, g)
	}
	return c
}

// behave draws how a run behaves.
func (c *pauseCell) behave(task work.TaskID, run uint64, _ runner.WorkerID) epochworker.Behaviour {
	rng := rand.New(rand.NewPCG(c.seed^xxhash.Sum64String(task.String()), run))
	b := epochworker.Behaviour{Takes: time.Duration(50_000+rng.IntN(650_000)) * time.Microsecond, Fails: rng.IntN(50) == 0}
	if rng.IntN(6) == 0 {
		b.Takes *= 5
	}
	b.Takes *= time.Duration(c.kind.slow)
	return b
}

func (c *pauseCell) startGated(name string) (*node, *gate) {
	c.mu.Lock()
	c.started++
	g := newGate(name, c.seed+uint64(c.started))
	c.mu.Unlock()
	n := &node{name: name, done: make(chan struct{})}
	timeout := &store.AdaptiveTimeout{Min: 200 * time.Millisecond, Max: 1500 * time.Millisecond}
	var out io.Writer = io.Discard
	if os.Getenv("FENNEL_LOG") == "1" {
		out = os.Stdout
	}
	logTo := func(w io.Writer) zerolog.Logger {
		return zerolog.New(w).With().Str("daemon", name).Timestamp().Logger()
	}
	s := gatedStore{g, c.kv}
	g.onPause = func() {
		if h := n.host.Load(); h != nil {
			go h.post(func(*Engine, time.Duration) { g.wait() })
		}
	}
	o := lead.Options{Self: lead.Member{Name: name, Peer: name, Cores: 1}, Store: s, StoreTimeout: timeout, Log: logTo(out)}
	if c.kind.pings {
		o.Peers = gatedPeers{g, c.peers}
	}
	o.RunTerm = func(t *lead.Term) {
		c.mu.Lock()
		c.terms = append(c.terms, term{t.Epoch, time.Now(), g})
		c.mu.Unlock()
		g.pass("claimed", g.draw("claimed"))
		h := NewHost(HostOptions{Store: s, StoreTimeout: timeout, Runner: gatedRunner{g, c.fleet}, Directory: gatedDirectory{g, c.fleet}, View: n.elector.View(),
			Advise: c.advice.ask, Log: logTo(gatedLog{g, out}), Policy: c.policy,
			Accounts: func() (*work.Accounts, bool) {
				g.strike("tick")
				g.wait()
				return nil, true
			},
			Count: func(s Stats) {
				g.strike("ticked")
				g.wait()
				c.mu.Lock()
				defer c.mu.Unlock()
				c.stats.CompletionsUnheard = max(c.stats.CompletionsUnheard, s.CompletionsUnheard)
				c.stats.UntrackedRuns = max(c.stats.UntrackedRuns, s.UntrackedRuns)
			},
			Bounds: Bounds{Lease: testLease, MaxLease: testLease, Gang: 3 * time.Second, Keep: c.kind.keep},
			Violation: func(what string) {
				c.cell.mu.Lock()
				defer c.cell.mu.Unlock()
				c.broken = append(c.broken, what)
			}}, t)
		n.host.Store(h)
		h.Run()
		n.host.CompareAndSwap(h, nil)
	}
	n.elector = lead.New(o)
	n.elector.Register(c.peers.join(name, g))
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() {
		defer close(n.done)
		_ = n.elector.Run(ctx)
	}()
	return n, g
}

// restart kills a daemon and starts another one under its name.
func (c *pauseCell) restart(i int) {
	c.end(i)
	c.nodes[i], c.gates[i] = c.startGated(c.nodes[i].name)
}

func (c *pauseCell) end(i int) {
	c.gates[i].kill()
	c.nodes[i].cancel()
	<-c.nodes[i].done
	c.mu.Lock()
	defer c.mu.Unlock()
	for at, n := range c.gates[i].pauses {
		c.counts[at] += n
	}
}

func (c *pauseCell) stopAll() {
	c.accepts.Wait()
	for i := range c.nodes {
		c.end(i)
	}
	time.Sleep(5 * time.Second) // calls that are on their way
}

// awake returns the daemon with the highest epoch of those that run a term and don't stand still, or any.
func (c *pauseCell) awake() (found int) {
	epoch := uint64(0)
	for i, n := range c.nodes {
		h := n.host.Load()
		c.gates[i].mu.Lock()
		if h != nil && h.term.Epoch > epoch && c.gates[i].running() {
			found, epoch = i, h.term.Epoch
		}
		c.gates[i].mu.Unlock()
	}
	return found
}

// accept submits a job through a daemon: it writes the job with the epoch that it knows, and offers it to the
// daemon that it believes to lead, or to each that runs a term. It may stand still between any of these.
// The caller cancels it some time after it was accepted, if cancelAfter is above 0.
func (c *pauseCell) accept(j *work.Job, through int, toAll bool, cancelAfter time.Duration) {
	id := c.nextID()
	c.jobs[id] = j
	c.order = append(c.order, id)
	c.fleet.AddJob(id, j)
	n, g := c.nodes[through], c.gates[through]
	nodes, gates := slices.Clone(c.nodes), slices.Clone(c.gates)
	j.Accepted, j.Epoch = time.Now().UnixMilli(), n.elector.View().Epoch()
	value, err := work.EncodeJob(j)
	assert.NoError(c.t, err)
	entry := store.Entry{Key: KeySubmission(id), Value: value}
	c.accepts.Go(func() {
		g.pass("accept", g.draw("accept"))
		c.write(store.Txn{Checks: []store.Check{{Key: KeySubmission(id)}, {Key: KeyState(id)}}, Writes: []store.Write{{Key: KeySubmission(id), Value: value}}})
		if cancelAfter > 0 {
			c.accepts.Go(func() {
				time.Sleep(cancelAfter)
				c.cancelJob(id)
			})
		}
		g.pass("accept", g.draw("accept"))
		leader, _ := n.elector.View().Leader()
		for i, to := range nodes {
			if toAll || to.name == leader.Member.Name {
				c.accepts.Go(func() {
					gates[i].pass("offer", gates[i].draw("offer"))
					if h := to.host.Load(); h != nil && !gates[i].isKilled() {
						h.Offer(entry)
					}
				})
			}
		}
	})
}

// ask asks a daemon that runs a term for the state of a job, as a caller does.
func (c *pauseCell) ask(id work.JobID) {
	h := c.nodes[c.awake()].host.Load()
	if h == nil {
		return
	}
	c.accepts.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if view, ok, err := h.State(ctx, id); err == nil && ok && view.State == work.Completed {
			c.fleet.Completed(id)
		}
	})
}

// drawPauseJob draws a job: most have one step of quick tasks.
func drawPauseJob(rng *rand.Rand) *work.Job {
	switch rng.IntN(12) {
	case 0, 1:
		return drawJob(rng, rng.IntN(2) == 0)
	case 2:
		j := drawJob(rng, false)
		j.Repeat, j.StartAt, j.Interval = 2+rng.IntN(3), time.Now().Add(time.Duration(rng.IntN(3000))*time.Millisecond).UnixMilli(), time.Duration(1000+rng.IntN(3000))*time.Millisecond
		return j
	}
	return &work.Job{Queue: work.Queue{Name: "q", Service: "s", Priority: rng.IntN(3), Attempts: 4, Slack: 2, Allowance: time.Second}, Spec: "x",
		Steps: []work.Step{{Count: 1 + rng.IntN(3), Size: work.Resources{CPU: 500 + rng.IntN(1500), Memory: 500 + rng.IntN(1000)}, Estimate: 400 * time.Millisecond}}}
}

// disturb injects one pause or fault.
func (c *pauseCell) disturb() {
	rng := c.rng
	span := time.Duration(500+rng.IntN(6000)) * time.Millisecond
	later := func(f func()) { time.AfterFunc(span, f) }
	i := c.awake()
	if rng.IntN(4) == 0 {
		i = rng.IntN(len(c.nodes))
	}
	g := c.gates[i]
	locked := func(g *gate, f func()) {
		g.mu.Lock()
		defer g.mu.Unlock()
		f()
	}
	switch rng.IntN(19) {
	case 16, 17, 18:
		c.takeOver(i, span)
	case 0, 1, 2, 3, 4, 5:
		g.arm(armedPause{at: points[rng.IntN(len(points))], skip: rng.IntN(3), length: drawPause(rng)})
		if rng.IntN(2) == 0 { // its successor too, or it again
			next := armedPause{at: points[rng.IntN(len(points))], skip: rng.IntN(3), length: drawPause(rng)}
			time.AfterFunc(time.Duration(200+rng.IntN(4000))*time.Millisecond, func() {
				c.gates[c.awake()].arm(next)
			})
		}
	case 6:
		c.restart(i)
	case 7:
		c.kv.SetFaults(kv.Faults{LoseAnswers: 0.2, Delay: c.kind.storeDelay})
		later(func() { c.kv.SetFaults(kv.Faults{Delay: c.kind.storeDelay}) })
	case 8:
		f := kv.Faults{Delay: []time.Duration{4 * time.Millisecond, 100 * time.Millisecond, 400 * time.Millisecond}[rng.IntN(3)]}
		if rng.IntN(4) == 0 {
			f = kv.Faults{Down: true, FreezeLeases: rng.IntN(2) == 0}
		}
		c.kv.SetFaults(f)
		later(func() { c.kv.SetFaults(kv.Faults{Delay: c.kind.storeDelay}) })
	case 9:
		mode, delay := cutMode(rng.IntN(3)), time.Duration(50+rng.IntN(500))*time.Millisecond
		locked(g, func() { g.storeCut, g.storeDelay = mode, delay })
		later(func() { locked(g, func() { g.storeCut, g.storeDelay = notCut, 0 }) })
	case 10, 11: // some workers are not reached by this daemon, or by all but this one
		others := rng.IntN(3) == 0
		mode := cutMode(1 + rng.IntN(2))
		share := 0.1 + 0.5*rng.Float64()
		for k := range c.kind.workers {
			if rng.Float64() >= share {
				continue
			}
			address := fmt.Sprintf("10.0.0.%d", k)
			for x, g := range c.gates {
				if (x == i) != others {
					locked(g, func() { g.cut[address] = mode })
					later(func() { locked(g, func() { delete(g.cut, address) }) })
				}
			}
		}
	case 12:
		c.fleet.SetFaults(epochworker.Faults{Late: 0.1, LoseAnswers: 0.05})
		later(func() { c.fleet.SetFaults(epochworker.Faults{}) })
	case 13:
		if ids := c.fleet.IDs(); c.kind.restart > 0 || len(ids) > c.kind.workers/2 {
			c.fleet.Crash(ids[rng.IntN(len(ids))])
		}
	case 14:
		locked(g, func() { g.delayed = 0.02 + 0.1*rng.Float64() })
		later(func() { locked(g, func() { g.delayed = 0 }) })
	case 15:
		ids := c.fleet.IDs()
		id := ids[rng.IntN(len(ids))]
		c.fleet.SetDisconnected(id, true)
		later(func() { c.fleet.SetDisconnected(id, false) })
	}
}

// loadPoints are those of a takeover.
var loadPoints = []point{"claimed", "load", "load", "load answered", "load answered", "lease", "workers listed"}

// takeOver makes a daemon lose the leadership while it goes on, and its successor stand still before it calls
// the workers. The store may have been away for everyone: what was submitted meanwhile is then written as it comes back.
func (c *pauseCell) takeOver(i int, span time.Duration) {
	p := armedPause{at: loadPoints[c.rng.IntN(len(loadPoints))], skip: c.rng.IntN(2), length: time.Duration(10+c.rng.IntN(4000)) * time.Millisecond, only: true}
	others := func() {
		for k, g := range c.gates {
			if k != i {
				g.arm(p)
			}
		}
	}
	g := c.gates[i]
	switch mode := c.rng.IntN(5); mode {
	case 0:
		g.arm(armedPause{at: points[c.rng.IntN(len(points))], length: time.Duration(400+c.rng.IntN(1500)) * time.Millisecond})
	case 1, 2:
		g.mu.Lock()
		g.storeCut = cutMode(mode)
		g.mu.Unlock()
		time.AfterFunc(span, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.storeCut = notCut
		})
	default:
		c.kv.SetFaults(kv.Faults{Down: true})
		time.AfterFunc(min(span, 3*time.Second), func() {
			c.kv.SetFaults(kv.Faults{Delay: c.kind.storeDelay})
			others()
		})
		return
	}
	others()
}

// calm ends every fault and lets every daemon run.
func (c *pauseCell) calm() {
	c.kv.SetFaults(kv.Faults{Delay: c.kind.storeDelay})
	c.fleet.SetFaults(epochworker.Faults{})
	for _, g := range c.gates {
		g.mu.Lock()
		g.armed, g.storeCut, g.storeDelay, g.delayed = nil, notCut, 0, 0
		clear(g.cut)
		g.mu.Unlock()
	}
}

// run submits jobs for a time, under faults.
func (c *pauseCell) run(length time.Duration) {
	time.Sleep(3 * time.Second)
	end, next := time.Now().Add(length), time.Now().Add(time.Second)
	for time.Now().Before(end) {
		cancelAfter := time.Duration(0)
		if c.rng.IntN(15) == 0 {
			cancelAfter = time.Duration(1+c.rng.IntN(3000)) * time.Millisecond
		}
		c.accept(drawPauseJob(c.rng), c.rng.IntN(len(c.nodes)), c.rng.IntN(4) == 0, cancelAfter)
		c.ask(c.order[max(0, len(c.order)-1-c.rng.IntN(100))])
		time.Sleep(time.Duration(c.rng.Int64N(int64(2 * c.kind.pause))))
		if time.Now().After(next) {
			c.disturb()
			next = time.Now().Add(time.Duration(200+c.rng.IntN(2200)) * time.Millisecond)
		}
	}
	time.Sleep(7 * time.Second) // the last fault ends
	c.calm()
	time.Sleep(40 * time.Second)
}

// check checks that every job has ended, and what the workers and the engines have seen.
func (c *pauseCell) check() {
	c.kv.SetFaults(kv.Faults{})
	states, open := c.states()
	for range 15 {
		if len(open) == 0 {
			break
		}
		time.Sleep(10 * time.Second)
		states, open = c.states()
	}
	for _, id := range open {
		if h := c.nodes[c.awake()].host.Load(); assert.NotNil(c.t, h, "%s has not ended, and no daemon leads", id) {
			x, known, err := h.Explain(context.Background(), id)
			good := 0
			for _, w := range c.fleet.IDs() {
				if c.advice.isGood((work.TaskID{Job: id}).StepName(), w) {
					good++
				}
			}
			assert.Fail(c.t, "job has not ended", "%s, known %v, %v: %+v, steps %+v, %d good workers", id, known, err, x, c.jobs[id].Steps, good)
		}
	}
	for _, id := range c.order {
		if states[id] == work.Completed {
			assert.Empty(c.t, c.fleet.NotDone(id), "%s is shown as completed", id)
		}
	}
	assert.Zero(c.t, c.fleet.Running())
	c.stopAll()
	starts, _ := c.fleet.Counts()
	violations, counts := c.violations()
	c.t.Logf("seed %d %+v: %d jobs, %d starts, %d terms, %d completions unheard, pauses %v, violations %v", c.seed, c.kind, len(c.order), starts, len(c.terms), c.stats.CompletionsUnheard, c.counts, counts)
	assert.Empty(c.t, violations)
	assert.Empty(c.t, c.broken)
}

// touchWindow is how long a daemon must have run for rules with a time bound to hold for its orders.
const touchWindow = 3 * time.Second

// violations returns what the workers have seen, and counts it, by whether the newest leader started the run or a
// former one. A start that is too long after a cancellation, or after the job was shown as completed, counts only if the
// daemon that ordered it has not just stood still; two runs, or a run after an acknowledged completion, always count.
func (c *pauseCell) violations() (all []string, counts map[string]int) {
	counts = map[string]int{}
	for _, text := range c.fleet.Violations() {
		after, rest, _ := strings.Cut(text, ": ")
		at, err := time.ParseDuration(after)
		assert.NoError(c.t, err, "%s", text)
		run := uint64(0)
		if _, number, ok := strings.Cut(rest, " run "); ok {
			_, _ = fmt.Sscan(number, &run)
		}
		newest, what, disturbed := uint64(0), "other", false
		for _, x := range c.terms {
			if x.at.Sub(c.began) <= at {
				newest = max(newest, x.epoch)
			}
			disturbed = disturbed || (x.epoch == run>>runBits+1 && x.g.stoodStill(c.began.Add(at), touchWindow))
		}
		for _, w := range []string{"runs twice", "after its completion was acknowledged", "is acknowledged after", "after its cancellation", "shown as completed", "failures", "capacity"} {
			if strings.Contains(text, w) {
				what = w
			}
		}
		if disturbed && (what == "after its cancellation" || what == "shown as completed") {
			continue
		}
		if run>>runBits+1 < newest {
			what += ", by a former leader"
		}
		counts[what]++
		all = append(all, text)
	}
	return all, counts
}

// states returns the state of each job that is not forgotten, and those that have not ended.
func (c *pauseCell) states() (all map[work.JobID]work.State, open []work.JobID) {
	ctx := context.Background()
	list := func(prefix string) []store.Entry {
		entries, _, err := c.kv.List(ctx, prefix)
		assert.NoError(c.t, err)
		return entries
	}
	all = map[work.JobID]work.State{}
	found, _, bad := newest(list(PrefixState), list(PrefixBatches))
	assert.Empty(c.t, bad)
	for id, s := range found {
		all[id] = s.progress.State
	}
	submitted := map[string]bool{}
	for _, entry := range list(prefixIn) {
		submitted[entry.Key] = true
	}
	for _, id := range c.order {
		state, known := all[id]
		if forgotten := !known && !submitted[KeySubmission(id)] && c.kind.keep < time.Minute; !state.Final() && !forgotten {
			open = append(open, id)
		}
	}
	return all, open
}

// TestPausesAtEveryStep guards against tasks that run twice, or again after their completion was acknowledged,
// when daemons stand still at any step of a call or of the engine, answers that they have received
// are handled late, and others take over meanwhile.
func TestPausesAtEveryStep(t *testing.T) {
	overPauseSeeds(t, []uint64{44, 243, 314, 323}, func(t *testing.T, seed uint64) {
		c := newPauseCell(t, seed, drawPauseKind(rand.New(rand.NewPCG(seed, 17))))
		c.run(40 * time.Second)
		c.check()
	})
}

// overPauseSeeds runs a test in virtual time with the given seeds, many with FENNEL_LONG=1, or the one in FENNEL_SEED.
func overPauseSeeds(t *testing.T, usual []uint64, play func(t *testing.T, seed uint64)) {
	if first, seeds := seedsOfRun(t, 0); seeds > 0 {
		usual = nil
		for seed := range seeds {
			usual = append(usual, first+seed)
		}
	}
	for _, seed := range usual {
		t.Run(seedName(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { play(t, seed) })
		})
	}
}
