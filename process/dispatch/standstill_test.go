package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/standin/epochworker"
	"fennelshunt.example/fennelshunt/standin/kv"
	"fennelshunt.example/fennelshunt/version/work"
)

// pause makes a daemon stand still: its calls are not sent, nor are their answers handled.
type pause struct {
	mu       sync.Mutex
	resumed  chan struct{}   // closed when the daemon runs again; nil: it has not stood still
	caughtUp chan struct{}   // closed when it has read the answers that have come in meanwhile
	first    runner.WorkerID // whose answers are read as soon as the daemon runs again
	far      map[runner.WorkerID]bool
	used     []runner.WorkerID // workers that it sent starts to
}

// wait returns once the daemon runs.
func (p *pause) wait() {
	p.mu.Lock()
	resumed := p.resumed
	p.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

// read returns once the daemon has read an answer of a worker, or of the store: "".
func (p *pause) read(from runner.WorkerID) {
	p.wait()
	p.mu.Lock()
	caughtUp := p.caughtUp
	first := from != "" && from == p.first
	p.mu.Unlock()
	if caughtUp != nil && !first {
		<-caughtUp
	}
}

// stop makes the daemon stand still for d. It takes the time lag after that to read all answers but
// those of one worker.
func (p *pause) stop(d, lag time.Duration, first runner.WorkerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	resumed, caughtUp := make(chan struct{}), make(chan struct{})
	p.resumed, p.caughtUp, p.first = resumed, caughtUp, first
	time.AfterFunc(d, func() { close(resumed) })
	time.AfterFunc(d+lag, func() { close(caughtUp) })
}

// cutOff makes workers unreachable for the daemon, and all others reachable.
func (p *pause) cutOff(ids ...runner.WorkerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.far = map[runner.WorkerID]bool{}
	for _, id := range ids {
		p.far[id] = true
	}
}

// firstUsed returns the worker that the daemon sent its first start to.
func (p *pause) firstUsed(t *testing.T) runner.WorkerID {
	p.mu.Lock()
	defer p.mu.Unlock()
	require.NotEmpty(t, p.used)
	return p.used[0]
}

// reach returns an error at the end of ctx if the daemon does not reach the worker.
func (p *pause) reach(ctx context.Context, to runner.Ref) error {
	p.wait()
	p.mu.Lock()
	far := p.far[to.ID]
	p.mu.Unlock()
	if !far {
		return nil
	}
	<-ctx.Done()
	return fmt.Errorf("%w: %w", runner.ErrUnknown, ctx.Err())
}

type pausedRunner struct {
	runner.Runner
	p *pause
}

func (r pausedRunner) Start(ctx context.Context, to runner.Ref, s runner.Start) (time.Duration, error) {
	if err := r.p.reach(ctx, to); err != nil {
		return 0, err
	}
	defer r.p.read(to.ID)
	r.p.mu.Lock()
	r.p.used = append(r.p.used, to.ID)
	r.p.mu.Unlock()
	return r.Runner.Start(ctx, to, s)
}

func (r pausedRunner) Stop(ctx context.Context, to runner.Ref, task work.TaskID, run, epoch uint64) error {
	if err := r.p.reach(ctx, to); err != nil {
		return err
	}
	defer r.p.read(to.ID)
	return r.Runner.Stop(ctx, to, task, run, epoch)
}

func (r pausedRunner) Renew(ctx context.Context, to runner.Ref, n runner.Renewal) (runner.Report, error) {
	if err := r.p.reach(ctx, to); err != nil {
		return runner.Report{}, err
	}
	defer r.p.read(to.ID)
	return r.Runner.Renew(ctx, to, n)
}

type pausedStore struct {
	store.Transactor
	p *pause
}

func (s pausedStore) Get(ctx context.Context, key string) (store.Entry, error) {
	s.p.wait()
	defer s.p.read("")
	return s.Transactor.Get(ctx, key)
}

func (s pausedStore) List(ctx context.Context, prefix string) ([]store.Entry, store.Revision, error) {
	s.p.wait()
	defer s.p.read("")
	return s.Transactor.List(ctx, prefix)
}

func (s pausedStore) Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
	s.p.wait()
	defer s.p.read("")
	return s.Transactor.Watch(ctx, prefix, after, wait)
}

func (s pausedStore) RenewLease(ctx context.Context, id store.LeaseID) error {
	s.p.wait()
	defer s.p.read("")
	return s.Transactor.RenewLease(ctx, id)
}

func (s pausedStore) Commit(ctx context.Context, t store.Txn) (store.Revision, error) {
	s.p.wait()
	defer s.p.read("")
	return s.Transactor.Commit(ctx, t)
}

// newPausedCell returns a cell of daemons that can stand still.
func newPausedCell(t *testing.T, seed uint64, workers, daemons int, behave func(*rand.Rand, work.TaskID) epochworker.Behaviour) *cell {
	c := newTestCell(t, seed, workers, 0, behave)
	c.pauses = map[string]*pause{}
	for i := range daemons {
		name := fmt.Sprintf("d-%d", i)
		c.pauses[name] = &pause{far: map[runner.WorkerID]bool{}}
		c.nodes = append(c.nodes, c.startNode(name))
	}
	return c
}

// leaderPause returns the host that leads, and the pause of its daemon.
func (c *cell) leaderPause() (*Host, *pause) {
	for _, n := range c.nodes {
		if h := n.host.Load(); h != nil {
			return h, c.pauses[n.name]
		}
	}
	require.Fail(c.t, "no daemon leads")
	return nil, nil
}

func longTasks(n int) *work.Job {
	return &work.Job{Queue: work.Queue{Name: "q", Service: "s", Attempts: 4, Slack: 2}, Spec: "x",
		Steps: []work.Step{{Count: n, Size: work.Resources{CPU: 30000, Memory: 30000}, Estimate: time.Minute}}}
}

// playStandstill lets a leader stand still for a time, while its successor does not reach a worker
// that has runs of it, and checks that no task has a second run beside its first. lag is how long
// the leader takes to read the answers of all workers but that one. If idle is set, it stops while it
// waits for no answer of that worker.
func playStandstill(t *testing.T, stall, lag time.Duration, idle bool) {
	c := newPausedCell(t, 1, 8, 3, func(*rand.Rand, work.TaskID) epochworker.Behaviour {
		return epochworker.Behaviour{Takes: time.Minute}
	})
	time.Sleep(2 * time.Second)
	c.submit(longTasks(12))
	time.Sleep(2 * time.Second)
	h, former := c.leaderPause()
	near := former.firstUsed(t)
	for _, p := range c.pauses {
		if p != former {
			p.cutOff(near)
		}
	}
	for stopped := make(chan bool, 1); ; {
		h.post(func(e *Engine, _ time.Duration) {
			if idle && e.workers[near].renewing {
				stopped <- false
				return
			}
			former.stop(stall, lag, near)
			stopped <- true
			former.wait()
		})
		if <-stopped {
			break
		}
		time.Sleep(time.Millisecond)
	}
	c.submit(longTasks(2))
	time.Sleep(stall + 18*time.Second)
	require.Equal(t, 14, c.fleet.Running(), "every task runs, once")
	c.stop()
	require.Empty(t, c.fleet.Violations())
	require.Empty(t, c.broken)
}

// TestLeaderThatStoodStillDoesNotProlongLeases guards against a task that starts elsewhere while its
// run goes on at a worker that only the former leader reaches, which renews everything as soon as it
// runs again.
func TestLeaderThatStoodStillDoesNotProlongLeases(t *testing.T) {
	for _, stall := range []time.Duration{3 * time.Second, 4 * time.Second, 5 * time.Second} {
		t.Run(stall.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playStandstill(t, stall, 100*time.Millisecond, true) })
		})
	}
}

// TestLeaderThatIsSlowToReadRejectionsDoesNotProlongLeases guards against the same by a leader that is
// short of processor time after it stood still, and reads answers seconds late.
func TestLeaderThatIsSlowToReadRejectionsDoesNotProlongLeases(t *testing.T) {
	for _, lag := range []time.Duration{1500 * time.Millisecond, 3 * time.Second} {
		t.Run(lag.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playStandstill(t, 3*time.Second, lag, false) })
		})
	}
}

// rewriteEntries writes the workers' entries again, as workers do every second or two: a leader forgets
// those that it has not reached for long.
func (c *cell) rewriteEntries() {
	for _, id := range c.fleet.IDs() {
		c.fleet.Resize(id, work.Resources{CPU: 64000, Memory: 131072}, 0)
	}
}

// injectStandstill makes a daemon stand still, cuts off daemons from workers, or injects another fault.
func (c *cell) injectStandstill() {
	workers := c.fleet.IDs()
	switch n := c.nodes[c.rng.IntN(len(c.nodes))]; c.rng.IntN(4) {
	case 0:
		c.injectFaultOf(0, 2, 3, 5, 9)
	case 1:
		for _, n := range c.nodes {
			var far []runner.WorkerID
			for _, id := range workers {
				if c.rng.IntN(4) == 0 {
					far = append(far, id)
				}
			}
			c.pauses[n.name].cutOff(far...)
			time.AfterFunc(time.Duration(1000+c.rng.IntN(12000))*time.Millisecond, func() {
				c.pauses[n.name].cutOff()
				c.rewriteEntries()
			})
		}
	default:
		p := c.pauses[n.name]
		h := c.leader()
		if h != nil {
			for _, other := range c.nodes {
				if other.host.Load() == h {
					p = c.pauses[other.name]
				}
			}
		}
		p.stop(time.Duration(300+c.rng.IntN(6000))*time.Millisecond, time.Duration(c.rng.IntN(3000))*time.Millisecond, workers[c.rng.IntN(len(workers))])
		if h != nil {
			go h.post(func(*Engine, time.Duration) { p.wait() })
		}
	}
}

// TestLeadersThatStandStillUnderRandomFaults lets leaders stand still for seconds and read answers late,
// while daemons reach different workers and other faults are injected. No task may run twice, or again after
// its completion was acknowledged.
func TestLeadersThatStandStillUnderRandomFaults(t *testing.T) {
	overSeeds(t, 4, func(t *testing.T, seed uint64) {
		c := newPausedCell(t, seed, 16, 3, func(rng *rand.Rand, _ work.TaskID) epochworker.Behaviour {
			return epochworker.Behaviour{Takes: time.Duration(200+rng.IntN(12000)) * time.Millisecond, Fails: rng.Float64() < 0.05}
		})
		randomFaultsOf(t, c, func(rng *rand.Rand) *work.Job { return drawJob(rng, rng.IntN(2) == 0) }, (*cell).injectStandstill)
	})
}

// TestCalmLeaderAlwaysHasEvidence guards against leases and starts that wait for evidence in calm
// operation: right after a takeover, with and without work, and while the store answers slowly or is
// down for minutes.
func TestCalmLeaderAlwaysHasEvidence(t *testing.T) {
	for name, f := range map[string]kv.Faults{
		"fast store": {}, "slow store": {Delay: 300 * time.Millisecond}, "store down": {Down: true, FreezeLeases: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newTestCell(t, 1, 16, 3, usualBehaviour(0))
				time.Sleep(2 * time.Second)
				c.killLeader()
				time.Sleep(5 * time.Second)
				c.kv.SetFaults(f)
				for range 3 {
					time.Sleep(time.Minute) // without work
					if f.Down {
						continue
					}
					for range 50 {
						c.submit(drawJob(c.rng, true))
						time.Sleep(time.Duration(c.rng.IntN(200)) * time.Millisecond)
					}
				}
				st, err := query(t.Context(), c.leader(), func(e *Engine, _ time.Duration) Stats { return e.Stats() })
				require.NoError(t, err)
				if !f.Down {
					require.Positive(t, st.Starts)
					require.Zero(t, st.LeasesWithheld)
				}
				require.Zero(t, st.StartsHeld)
				t.Log("leases withheld:", st.LeasesWithheld)
				c.stop()
				require.Empty(t, c.fleet.Violations())
				require.Empty(t, c.broken)
			})
		})
	}
}
