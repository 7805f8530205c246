package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/internal/sleep"
	"fennelshunt.example/fennelshunt/process/lead"
	"fennelshunt.example/fennelshunt/version/work"
)

// fakeWorkers answers the calls that one daemon makes to workers.
type fakeWorkers struct {
	mu           sync.Mutex
	starts       []runner.Start
	renews       int
	err          error // result of each call
	unresponsive bool  // calls are not answered
}

func (f *fakeWorkers) call(ctx context.Context, note func()) error {
	f.mu.Lock()
	note()
	err, unresponsive := f.err, f.unresponsive
	f.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return fmt.Errorf("%w: %w", runner.ErrUnknown, ctx.Err())
	}
	if waitErr := sleep.For(ctx, time.Millisecond); waitErr != nil {
		return fmt.Errorf("%w: %w", runner.ErrUnknown, waitErr)
	}
	return err
}

func (f *fakeWorkers) Start(ctx context.Context, _ runner.Ref, s runner.Start) (time.Duration, error) {
	return 7 * time.Second, f.call(ctx, func() { f.starts = append(f.starts, s) })
}

func (f *fakeWorkers) Stop(ctx context.Context, _ runner.Ref, _ work.TaskID, _, _ uint64) error {
	return f.call(ctx, func() {})
}

func (f *fakeWorkers) Renew(ctx context.Context, _ runner.Ref, _ runner.Renewal) (runner.Report, error) {
	err := f.call(ctx, func() { f.renews++ })
	return runner.Report{Clock: 9 * time.Second, Running: []runner.ActiveRun{{Task: work.TaskID{Job: "j", Index: 2}, Run: 3, Percent: 41}},
		Ended: []runner.Completion{{Number: 5, Task: work.TaskID{Job: "j"}, Run: 1, Outcome: runner.Failed, Checkpoint: "c"}}}, err
}

func (f *fakeWorkers) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeWorkers) started() []runner.Start {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts
}

// cell is a leader and relays on a network that counts bytes.
type cell struct {
	mu           sync.Mutex
	muxes        map[string]*peer.Mux
	workers      map[string]*fakeWorkers
	servers      map[string]*Server
	unresponsive map[string]bool // daemons that answer no calls
	sent         map[string]int  // bytes sent in a daemon's calls and answers
	members      []lead.Member
	orders       *Runner
	stats        Stats
	stored       string // spec of every job in the store
	cancel       context.CancelCauseFunc
}

const linkDelay = 2 * time.Millisecond

// testPeer calls the other daemons of the network on behalf of one.
type testPeer struct {
	c    *cell
	self string
}

func (p testPeer) CallAddr(ctx context.Context, addr string, method peer.Method, req, resp any) (peer.Ref, error) {
	data, err := peer.Marshal(req)
	if err != nil {
		return peer.Ref{}, err
	}
	p.c.mu.Lock()
	p.c.sent[p.self] += len(data)
	mux, unresponsive := p.c.muxes[addr], p.c.unresponsive[addr] || p.c.unresponsive[p.self]
	p.c.mu.Unlock()
	if unresponsive || sleep.For(ctx, linkDelay) != nil {
		<-ctx.Done()
		return peer.Ref{}, fmt.Errorf("%w: %w", peer.ErrUnknown, ctx.Err())
	}
	answer, err := mux.Dispatch(ctx, peer.Ref{}, method, data)
	if err != nil {
		return peer.Ref{}, err
	}
	p.c.mu.Lock()
	p.c.sent[addr] += len(answer)
	p.c.mu.Unlock()
	if resp == nil {
		return peer.Ref{}, nil
	}
	return peer.Ref{}, peer.Unmarshal(answer, resp)
}

// pipe is one end of a connection that counts bytes, delays writes by linkDelay, and
// drops what is sent by or to an unresponsive daemon.
type pipe struct {
	net.Conn
	c        *cell
	from, to string
}

// Write implements net.Conn.
func (p *pipe) Write(b []byte) (int, error) {
	p.c.mu.Lock()
	p.c.sent[p.from] += len(b)
	unresponsive := p.c.unresponsive[p.from] || p.c.unresponsive[p.to]
	p.c.mu.Unlock()
	time.Sleep(linkDelay)
	if unresponsive {
		return len(b), nil
	}
	return p.Conn.Write(b)
}

// dial opens a connection for orders.
func (c *cell) dial(ctx context.Context, addr string) (net.Conn, error) {
	c.mu.Lock()
	unresponsive := c.unresponsive[addr]
	c.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	near, far := net.Pipe()
	go c.servers[addr].ServeConn(&pipe{far, c, addr, "l"})
	return &pipe{near, c, "l", addr}, nil
}

// newCell returns a cell whose daemons have the given number of cores each. The leader is
// "l".
func newCell(t *testing.T, cores float64, names ...string) *cell {
	c := &cell{muxes: map[string]*peer.Mux{}, workers: map[string]*fakeWorkers{}, servers: map[string]*Server{}, unresponsive: map[string]bool{}, sent: map[string]int{}}
	ctx, cancel := context.WithCancelCause(t.Context())
	c.cancel = cancel
	for _, name := range append([]string{"l"}, names...) {
		c.members = append(c.members, lead.Member{Name: name, Peer: name, Cores: cores, Orders: name})
		c.muxes[name], c.workers[name] = peer.NewMux(), &fakeWorkers{}
		c.servers[name] = NewServer(c.workers[name], testPeer{c, name}, zerolog.Nop())
		c.servers[name].Register(c.muxes[name])
	}
	c.orders = New(ctx, Options{Direct: c.workers["l"], Dial: c.dial, Epoch: 4, Self: c.members[0], Log: zerolog.Nop(),
		Members: func() []lead.Member { return c.members },
		Spec: func(ctx context.Context, id work.JobID, owner string, digest uint64) (string, error) {
			if spec, err := c.servers["l"].Spec(ctx, id, owner, digest); err == nil {
				return spec, nil
			}
			return c.stored, nil
		}}, &c.stats)
	return c
}

// end ends the term and waits until all calls in flight have ended.
func (c *cell) end() {
	c.cancel(lead.ErrDeposed)
	time.Sleep(5 * time.Second)
}

func (c *cell) makeUnresponsive(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unresponsive[name] = true
}

func (c *cell) sentBy(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent[name]
}

func worker(i int) runner.Ref {
	return runner.Ref{ID: runner.WorkerID(fmt.Sprintf("w-%d", i)), Address: "10.0.0.1:80"}
}

// renewAll renews workers until relays are chosen for them.
func (c *cell) renewAll(t *testing.T, n int) {
	for range 2 {
		var wg sync.WaitGroup
		for i := range n {
			wg.Go(func() { _, _ = c.orders.Renew(bound(t, time.Second), worker(i), runner.Renewal{Epoch: 4}) })
		}
		wg.Wait()
		time.Sleep(choosePeriod)
	}
}

func bound(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

// startAll starts a task on each of the first n workers and returns the errors.
func (c *cell) startAll(t *testing.T, n int, s runner.Start) []error {
	errs := make([]error, n)
	var wg sync.WaitGroup
	for i := range n {
		x := s
		x.Task.Index = i
		wg.Go(func() { _, errs[i] = c.orders.Start(bound(t, 350*time.Millisecond), worker(i), x) })
	}
	wg.Wait()
	return errs
}

// carriedOut returns the error of a start, nil if the worker has the run, also if a relay may still have a copy of the order.
func carriedOut(err error) error {
	if errors.Is(err, runner.ErrCopyOpen) && !errors.Is(err, runner.ErrNotRun) {
		return nil
	}
	return err
}

// direct counts the starts that the leader made itself.
func (c *cell) direct() int { return len(c.workers["l"].started()) }

func TestSmallCellCallsItsWorkersDirectly(t *testing.T) {
	// Guards against two additional hops per start when the leader has the capacity to
	// call all workers itself.
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 0.4, "a", "b")
		c.renewAll(t, 48)
		for _, err := range c.startAll(t, 48, runner.Start{Task: work.TaskID{Job: "j"}, Run: 1, Spec: "x"}) {
			require.NoError(t, err)
		}
		require.Equal(t, 48, c.direct())
		require.False(t, c.orders.Relaying())
		c.end()
	})
}

func TestLeaderSendsNoSpecsAndFewBytes(t *testing.T) {
	// Guards against a leader that saturates its link when gangs start, misses pings, and
	// is replaced by a daemon with the same problem. It made each call itself and sent the
	// job's spec with each start: 1.2 KB per start, of which 150 bytes differ.
	synctest.Test(t, func(t *testing.T) {
		const workers = 80
		c := newCell(t, 0.1, "a", "b", "c", "home")
		c.servers["home"].CacheSpec("j", strings.Repeat("s", 4000))
		c.renewAll(t, workers)
		require.True(t, c.orders.Relaying())
		leader, owner := c.sentBy("l"), c.sentBy("home")
		errs := c.startAll(t, workers, runner.Start{Task: work.TaskID{Job: "j"}, Run: 1, AcceptedBy: "home", Epoch: 4})
		for _, err := range errs {
			require.NoError(t, err)
		}
		perStart := (c.sentBy("l") - leader) / workers
		t.Logf("%d bytes per start from the leader, %d from the job's owner", perStart, (c.sentBy("home")-owner)/workers)
		require.Less(t, perStart, 200)
		require.Less(t, c.sentBy("home")-owner, 4*4200+workers*60, "each relay asks once")
		require.Zero(t, c.direct())
		specs := 0
		for _, name := range []string{"a", "b", "c", "home"} {
			for _, s := range c.workers[name].started() {
				require.Len(t, s.Spec, 4000)
				require.EqualValues(t, 4, s.Epoch)
				specs++
			}
		}
		require.Equal(t, workers, specs)
		c.end()
	})
}

func TestRelayedReportIsComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 0.1, "a", "b", "c")
		c.renewAll(t, 60)
		r, err := c.orders.Renew(bound(t, time.Second), worker(1), runner.Renewal{Epoch: 4, Until: time.Second})
		require.NoError(t, err)
		want, _ := (&fakeWorkers{}).Renew(t.Context(), worker(1), runner.Renewal{})
		require.Equal(t, want, r)
		c.end()
	})
}

func TestLostRelayDelaysItsWorkersOnly(t *testing.T) {
	// Guards against workers that look dead, or whose starts fail, after their relay has
	// failed and until it is removed from the list of daemons.
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 0.1, "a", "b", "c", "d")
		c.servers["a"].CacheSpec("j", "spec")
		c.renewAll(t, 60)
		c.makeUnresponsive("b")
		began := time.Now()
		start := runner.Start{Task: work.TaskID{Job: "j"}, Run: 1, AcceptedBy: "a"}
		copies := int64(0)
		for _, err := range c.startAll(t, 60, start) {
			if errors.Is(err, runner.ErrCopyOpen) {
				copies++
			}
			require.NoError(t, carriedOut(err))
		}
		require.Less(t, time.Since(began), ordersTimeout+20*time.Millisecond)
		require.EqualValues(t, 1, c.stats.Down.Value())
		require.NotZero(t, c.stats.Again.Value())
		require.Equal(t, c.stats.Again.Value(), copies, "the relay may still have the first ones")
		before, again := c.direct(), time.Now()
		start.Run = 2
		for _, err := range c.startAll(t, 60, start) {
			require.NoError(t, err)
		}
		require.Less(t, time.Since(again), 50*time.Millisecond, "no call waits for the failed relay any more")
		require.Equal(t, before, c.direct(), "the others have taken its workers over")
		c.end()
	})
}

func TestWorkerThatARelayDoesNotReachIsCalledDirectly(t *testing.T) {
	// Guards against workers that look dead because their relay is cut off from them.
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 0.1, "a", "b", "c")
		c.renewAll(t, 60)
		for _, name := range []string{"a", "b", "c"} {
			c.workers[name].set(func() { c.workers[name].unresponsive = true })
		}
		_, err := c.orders.Renew(bound(t, 500*time.Millisecond), worker(3), runner.Renewal{Epoch: 4})
		require.ErrorIs(t, err, runner.ErrUnknown)
		_, err = c.orders.Renew(bound(t, 500*time.Millisecond), worker(3), runner.Renewal{Epoch: 4})
		require.NoError(t, err)
		c.end()
	})
}

func TestRefusalOfAnOrderGivenAgainLeavesTheFirstOpen(t *testing.T) {
	// Guards against a task that runs twice: the start through the relay was in flight
	// when the second one, issued directly, was refused for lack of capacity, so the task
	// was started on another worker as if it had certainly not run.
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 0.1, "a", "b", "c")
		c.renewAll(t, 60)
		for _, name := range []string{"a", "b", "c"} {
			c.makeUnresponsive(name)
		}
		c.workers["l"].set(func() { c.workers["l"].err = runner.ErrNoCapacity })
		_, err := c.orders.Start(bound(t, 350*time.Millisecond), worker(0), runner.Start{Task: work.TaskID{Job: "j"}, Run: 1, Spec: "x"})
		require.ErrorIs(t, err, runner.ErrUnknown)
		require.NotErrorIs(t, err, runner.ErrNotRun)
		c.end()
	})
}

// TestCopyThatALostRelayHasIsTold guards against an order that counts as settled by the answer to its second copy, while a relay
// still has the first one.
func TestCopyThatALostRelayHasIsTold(t *testing.T) {
	for name, answer := range map[string]error{"it runs": nil, "the run has ended": runner.ErrStaleRun} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCell(t, 0.1, "a", "b", "c")
				c.renewAll(t, 60)
				start := func() error {
					_, err := c.orders.Start(bound(t, 2*time.Second), worker(0), runner.Start{Task: work.TaskID{Job: "j"}, Run: 1, Spec: "x"})
					return err
				}
				require.NoError(t, start())
				for _, name := range []string{"a", "b", "c"} {
					c.makeUnresponsive(name)
				}
				c.workers["l"].set(func() { c.workers["l"].err = answer })
				err := start()
				require.ErrorIs(t, err, runner.ErrCopyOpen)
				require.Equal(t, answer != nil, errors.Is(err, runner.ErrStaleRun))
				require.NotErrorIs(t, err, runner.ErrUnknown)
				c.end()
			})
		})
	}
}

// TestSpecOfAForgottenJobIsNotHandedOut guards against tasks that are started with the spec of an earlier job under the same
// id, which daemons still have in memory after that job was forgotten and the id was used again.
func TestSpecOfAForgottenJobIsNotHandedOut(t *testing.T) {
	for name, n := range map[string]int{"relayed": 60, "direct": 1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCell(t, 0.1, "a", "b", "c", "home")
				c.renewAll(t, n)
				for _, name := range []string{"l", "a", "b", "c"} {
					c.servers[name].CacheSpec("j", "earlier")
				}
				c.servers["home"].CacheSpec("j", "later")
				for _, err := range c.startAll(t, n, runner.Start{Task: work.TaskID{Job: "j"}, Run: 1, AcceptedBy: "home", SpecDigest: work.DigestOf("later")}) {
					require.NoError(t, err)
				}
				for _, w := range c.workers {
					for _, s := range w.started() {
						require.Equal(t, "later", s.Spec)
					}
				}
				c.stored = "stored"
				c.servers["home"].CacheSpec("j", "later still") // a third job, and an order for the second one
				for _, err := range c.startAll(t, n, runner.Start{Task: work.TaskID{Job: "j"}, Run: 2, AcceptedBy: "home", SpecDigest: work.DigestOf("stored")}) {
					require.NoError(t, err)
				}
				for _, w := range c.workers {
					for _, s := range w.started() {
						if s.Run == 2 {
							require.Equal(t, "stored", s.Spec)
						}
					}
				}
				c.end()
			})
		})
	}
}

// TestOrderThatARelayMaySendLaterIsTold guards against a start whose age counts from the end of its call, while a relay that
// stands still has it and sends it later.
func TestOrderThatARelayMaySendLaterIsTold(t *testing.T) {
	for name, holds := range map[string]bool{"relays stand still": true, "the worker is silent": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCell(t, 0.1, "a", "b", "c")
				c.renewAll(t, 60)
				for _, name := range []string{"a", "b", "c"} {
					if holds {
						c.makeUnresponsive(name)
					}
					c.workers[name].set(func() { c.workers[name].unresponsive = true })
				}
				c.workers["l"].set(func() { c.workers["l"].unresponsive = true })
				_, err := c.orders.Start(bound(t, 350*time.Millisecond), worker(0), runner.Start{Task: work.TaskID{Job: "j"}, Run: 1, Spec: "x"})
				require.ErrorIs(t, err, runner.ErrUnknown)
				require.Equal(t, holds, errors.Is(err, runner.ErrMayBeSent), "%v", err)
				c.end()
			})
		})
	}
}

func TestRelayRefusesTheOrdersOfAnEpochThatIsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 0.1, "a", "b", "c")
		c.renewAll(t, 60)
		for _, name := range []string{"a", "b", "c"} {
			require.True(t, c.servers[name].acceptEpoch(0, 5))
		}
		errs := c.startAll(t, 60, runner.Start{Task: work.TaskID{Job: "j"}, Run: 1, Spec: "x", Epoch: 4})
		for _, err := range errs {
			require.ErrorIs(t, err, runner.ErrFenced)
		}
		require.Zero(t, c.direct())
		c.end()
	})
}

func TestLeaderSendsSpecOfALostAcceptingDaemonOnce(t *testing.T) {
	// Guards against a leader whose link is blocked for a third of a second, so that every
	// relay misses its timeout: a wide gang with a spec of 4 KB started, the accepting
	// daemon did not answer, and each of the gang's orders that a relay could not carry
	// out was issued again together with the spec.
	synctest.Test(t, func(t *testing.T) {
		const workers = 80
		c := newCell(t, 0.1, "a", "b", "c", "home")
		c.stored = strings.Repeat("s", 4000)
		c.members = c.members[:4] // the accepting daemon is not a relay
		c.renewAll(t, workers)
		c.makeUnresponsive("home")
		start := runner.Start{Task: work.TaskID{Job: "j"}, Run: 1, AcceptedBy: "home"}
		before := c.sentBy("l")
		c.startAll(t, workers, start) // may time out, and is issued again below
		for _, err := range c.startAll(t, workers, start) {
			require.NoError(t, err)
		}
		t.Logf("%d bytes from the leader", c.sentBy("l")-before)
		require.Less(t, c.sentBy("l")-before, 3*2*4100+4*workers*200)
		c.end()
	})
}

// Guards against losing, in a relayed answer, the runs that a worker's next incarnation
// reports.
func TestAnswerOfAnotherIncarnationIsComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 0.1, "l", "r-1", "r-2")
		defer c.end()
		c.renewAll(t, 300)
		before := c.stats.Direct.Value()
		want := &runner.IncarnationError{ID: runner.IncarnationID("w", 7), Report: runner.Report{Clock: 9 * time.Second,
			Running: []runner.ActiveRun{{Task: work.TaskID{Job: "j", Index: 2}, Run: 3, Percent: 41}},
			Ended:   []runner.Completion{{Number: 1, Task: work.TaskID{Job: "j"}, Run: 1, Outcome: runner.Failed, Checkpoint: "c"}}}}
		for _, w := range c.workers {
			w.set(func() { w.err = want })
		}
		_, err := c.orders.Renew(bound(t, time.Second), worker(1), runner.Renewal{Epoch: 1})
		require.ErrorIs(t, err, runner.ErrRestarted)
		var other *runner.IncarnationError
		require.ErrorAs(t, err, &other)
		require.Equal(t, want, other)
		require.Equal(t, before, c.stats.Direct.Value(), "through a relay")
	})
}

func TestEndOfATermEndsWaitingCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 0.1, "a", "b", "c")
		c.renewAll(t, 60)
		for _, name := range []string{"a", "b", "c"} {
			c.workers[name].set(func() { c.workers[name].unresponsive = true })
		}
		time.AfterFunc(50*time.Millisecond, func() { c.cancel(lead.ErrDeposed) })
		began := time.Now()
		_, err := c.orders.Renew(bound(t, 10*time.Second), worker(1), runner.Renewal{Epoch: 4})
		require.ErrorIs(t, err, runner.ErrUnknown)
		require.Less(t, time.Since(began), time.Second)
		time.Sleep(15 * time.Second)
	})
}

func TestWorkerErrorsKeepTheirKind(t *testing.T) {
	for _, want := range []error{runner.ErrUnknown, runner.ErrFenced, runner.ErrRestarted, runner.ErrStaleRun, runner.ErrLeaseExpired, runner.ErrNoCapacity,
		runner.ErrInvalidTicket, runner.ErrUnhealthy, runner.ErrNoConnection, runner.ErrBadOrder} {
		o := outcome{Code: codeOf(fmt.Errorf("call: %w", want)), Problem: "more"}
		require.ErrorIs(t, o.err(), want)
		require.Equal(t, errors.Is(want, runner.ErrNotRun), errors.Is(o.err(), runner.ErrNotRun), want.Error())
	}
	unknown := outcome{Code: 200}
	require.ErrorIs(t, unknown.err(), runner.ErrUnknown, "a code of a later version")
}

func TestRelaysSufficeAndAreStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 60).Draw(t, "daemons")
		workers := rapid.IntRange(0, 3000).Draw(t, "workers")
		self := lead.Member{Name: "l", Cores: rapid.SampledFrom([]float64{0.12, 0.2, 0.4, 0.8}).Draw(t, "cores")}
		members := []lead.Member{self}
		capacity := 0
		for i := range n {
			m := lead.Member{Name: fmt.Sprint("m", i), Orders: "o", Cores: rapid.SampledFrom([]float64{0, 0.12, 0.8}).Draw(t, "c"), LinkMbps: rapid.SampledFrom([]float64{0, 2, 200}).Draw(t, "l")}
			members = append(members, m)
			capacity += min(workerCapacity(m), maxPerRelay)
		}
		relays := choose(members, self, workers)
		sum := 0
		for _, m := range relays {
			require.NotEqual(t, "l", m.Name)
			require.NotZero(t, workerCapacity(m))
			sum += min(workerCapacity(m), maxPerRelay)
		}
		switch {
		case workers <= workerCapacity(self):
			require.Empty(t, relays)
		case capacity >= int(float64(workers)*spareRelays)+1:
			require.GreaterOrEqual(t, float64(sum), float64(workers)*spareRelays)
		default:
			require.GreaterOrEqual(t, sum, min(capacity, workers))
		}
		if len(relays) < 2 {
			return
		}
		// A worker's relay changes only if that relay is removed.
		best := func(out string) (name string) {
			var most uint64
			for _, m := range relays {
				if w := weight("w", m.Name); m.Name != out && (name == "" || w > most) {
					name, most = m.Name, w
				}
			}
			return name
		}
		mine := best("")
		for _, m := range relays {
			if m.Name != mine {
				require.Equal(t, mine, best(m.Name))
			}
		}
	})
}

func TestRelayThatStaysLostIsLeftAloneLonger(t *testing.T) {
	// Guards against orders that are lost every second on a relay that has failed
	// permanently.
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 0.1, "a", "b", "c", "d")
		c.servers["a"].CacheSpec("j", "spec")
		c.renewAll(t, 60)
		c.makeUnresponsive("b")
		for range 80 { // 20 s
			for _, err := range c.startAll(t, 60, runner.Start{Task: work.TaskID{Job: "j"}, Run: 1, AcceptedBy: "a"}) {
				require.NoError(t, carriedOut(err))
			}
			time.Sleep(250 * time.Millisecond)
		}
		require.LessOrEqual(t, c.stats.Down.Value(), int64(5), "after 1, 2, 4 and 8 s")
		c.end()
	})
}

// TestRelayIsTakenDownWhileAnOutcomeArrives guards against a data race, and a wrong time in the log,
// when an outcome of a relay arrives at the moment in which the relay is taken out of use. It
// fails under the race detector only.
func TestRelayIsTakenDownWhileAnOutcomeArrives(t *testing.T) {
	r := New(t.Context(), Options{Log: zerolog.New(io.Discard)}, &Stats{})
	for range 200 {
		c := &relayClient{conn: &orderConn{}}
		var both sync.WaitGroup
		both.Go(func() { r.takeDown(c, errLost) })
		both.Go(func() { _, _ = r.recordOutcome(c, "w", &outcome{}) })
		both.Wait()
	}
}

func TestSlowLeaderDoesNotTakeItsRelaysForLost(t *testing.T) {
	// Guards against taking relays out of use 600 times in a minute, after which the
	// leader, whose processor is saturated, makes every call itself: the answers of all
	// relays took longer than the timeout for a while, and each late answer counted
	// against its relay.
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 0.1, "a", "b", "c")
		c.servers["a"].CacheSpec("j", "spec")
		c.renewAll(t, 60)
		for _, name := range []string{"a", "b", "c"} {
			c.makeUnresponsive(name)
		}
		c.startAll(t, 60, runner.Start{Task: work.TaskID{Job: "j"}, Run: 1, AcceptedBy: "a"})
		require.Zero(t, c.stats.Down.Value())
		for range 10 { // the leader is cut off from all daemons
			c.startAll(t, 60, runner.Start{Task: work.TaskID{Job: "j"}, Run: 1, Spec: "x"})
		}
		require.EqualValues(t, 3, c.stats.Down.Value())
		for _, err := range c.startAll(t, 60, runner.Start{Task: work.TaskID{Job: "j"}, Run: 1, Spec: "x"}) {
			require.NoError(t, err, "the leader then calls the workers itself")
		}
		c.end()
	})
}
func TestNewLeaderCallsItsWorkersOverRelaysAtOnce(t *testing.T) {
	// Guards against a leader with a small link that misses pings right after the start of
	// its term, and is replaced by one with the same problem: it calls each of its workers
	// for the first time, and chose relays for the workers that it had called before.
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 0.1, "a", "b", "c", "d")
		var wg sync.WaitGroup
		for i := range 120 {
			wg.Go(func() { _, _ = c.orders.Renew(bound(t, time.Second), worker(i), runner.Renewal{Epoch: 4}) })
		}
		wg.Wait()
		require.LessOrEqual(t, c.stats.Direct.Value(), int64(64), "the leader's own capacity")
		require.GreaterOrEqual(t, c.stats.Relayed.Value(), int64(56))
		c.end()
	})
}
