package dispatch

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/advicebudget"
	"fennelshunt.example/fennelshunt/version/work"
)

// proxyWay is the time on the way to a proxy and back.
const proxyWay = 10 * time.Millisecond

// adviceCalls plays the advice service, which answers the calls of a daemon in turn. Each
// job is cancelled when its call has been answered.
type adviceCalls struct {
	h       *harness
	dead    map[string]bool // daemons that do not answer
	ends    map[string]time.Duration
	pending []pendingCall
	quick   []time.Duration // when quick calls were sent
	slow    []time.Duration
	most    map[string]int // calls in flight, by member
}

type pendingCall struct {
	AskAdvice
	slow bool
	at   time.Duration
}

// Slack of quick jobs that are in time, and of those that are late at once.
const (
	inTime = 200
	late   = 0.5
)

func quickJob(x work.JobID) bool { return x[0] == 'a' }

// busyCell returns an engine with idle workers, n steps that need slow calls and as many daemons.
func busyCell(t *testing.T, policy Policy, slow, daemons int) *adviceCalls {
	c := &adviceCalls{h: newHarness(t, 1, "w-a", "w-b"), dead: map[string]bool{}, ends: map[string]time.Duration{}, most: map[string]int{}}
	c.h.e.o.Policy = policy.complete()
	require.NoError(t, c.h.e.Load(0, Saved{}))
	c.h.step(50 * time.Millisecond)
	for _, id := range []runner.WorkerID{"w-a", "w-b"} {
		c.h.report(id, runner.Report{Clock: time.Second})
	}
	var names []string
	for i := range daemons {
		names = append(names, fmt.Sprintf("d-%02d", i))
	}
	c.h.e.Members(c.h.now, names)
	for i := range slow {
		require.NoError(t, c.h.e.Accepted(c.h.now, advised(t, work.JobID(fmt.Sprintf("b%015x", i)), "many", 2, 200, oneTask())))
	}
	return c
}

// submitQuick submits jobs with quick calls.
func (c *adviceCalls) submitQuick(n int, slack float64) {
	for range n {
		id := work.JobID(fmt.Sprintf("a%015x", len(c.h.e.jobs)))
		entry := changed(c.h.t, advised(c.h.t, id, "quick", 0, slack, oneTask()), func(j *work.Job) {
			j.Queue.Advice.Base = 15 * time.Millisecond
		})
		entry.Key = KeySubmission(id)
		require.NoError(c.h.t, c.h.e.Accepted(c.h.now, store.Entry{Key: entry.Key, Value: entry.Value}))
	}
}

// run plays the engine and the advice service for a time.
func (c *adviceCalls) run(d time.Duration) {
	h := c.h
	for until, tick := h.now+d, h.now; h.now < until; h.now += 5 * time.Millisecond {
		kept := c.pending[:0]
		for _, x := range c.pending {
			if x.at > h.now || c.dead[x.Member] {
				kept = append(kept, x)
				continue
			}
			h.e.Advised(h.now, x.Member, x.Step, nil, nil)
			require.NoError(h.t, h.e.Accepted(h.now, store.Entry{Key: KeyCancel(x.Step.Job)}))
		}
		c.pending = kept
		if h.now >= tick {
			h.e.Tick(h.now)
			tick += tickPeriod
		}
		for _, x := range h.e.Flush(h.now) {
			switch x := x.(type) {
			case AskAdvice:
				c.send(x)
			case SendCommit:
				h.e.Committed(h.now, x.Stream)
			case SendConfirm:
				h.e.Confirmed(h.now, nil)
			}
		}
	}
}

func (c *adviceCalls) send(x AskAdvice) {
	cost, now := 500*time.Millisecond, c.h.now
	if quickJob(x.Step.Job) {
		cost = 15 * time.Millisecond
		c.quick = append(c.quick, now)
	} else {
		c.slow = append(c.slow, now)
	}
	c.ends[x.Member] = max(now+proxyWay/2, c.ends[x.Member]) + cost
	c.pending = append(c.pending, pendingCall{x, !quickJob(x.Step.Job), c.ends[x.Member] + proxyWay/2})
	n, slow := 0, false
	for _, y := range c.pending {
		if y.Member == x.Member && !c.h.e.proxies[x.Member].gaveUpOn(y.Step) {
			n++
			slow = slow || y.slow
		}
	}
	require.LessOrEqual(c.h.t, n, 2)
	require.False(c.h.t, n > 1 && slow, "a slow call is the only one")
	c.most[x.Member] = max(c.most[x.Member], n)
}

// gaveUpOn reports whether no call for a step is in flight.
func (p *adviceProxy) gaveUpOn(id work.TaskID) bool {
	return !slices.ContainsFunc(p.calls, func(c adviceCall) bool { return c.s.id() == id })
}

// slowInFlight returns how many slow calls are in flight.
func (c *adviceCalls) slowInFlight() (n int) {
	for _, x := range c.pending {
		if x.slow {
			n++
		}
	}
	return n
}

// burst submits 800 quick jobs per second for two seconds; six proxies make some 240 calls per
// second. It returns how many slow calls were sent meanwhile.
func (c *adviceCalls) burst(slack float64) int {
	before := len(c.slow)
	for range 80 {
		c.submitQuick(20, slack)
		c.run(25 * time.Millisecond)
	}
	return len(c.slow) - before
}

func TestSlowCallsLeaveProxiesToABurstOfQuickSteps(t *testing.T) {
	// Guards against quick steps that wait for seconds, until they are late and come after the slow
	// calls of steps in time, which use 70 % of the proxies.
	sent := map[bool]int{}
	for _, off := range []bool{false, true} {
		c := busyCell(t, Policy{NoQuickProxies: off}, 400, 20)
		c.run(time.Second)
		require.Equal(t, 14, c.slowInFlight())
		require.Zero(t, c.h.e.Stats().SlowPostponed)
		slow := c.burst(late)
		sent[off] = len(c.quick)
		if off {
			require.Greater(t, slow, 50, "14 calls each 0.5 s")
			require.Zero(t, c.h.e.Stats().SlowPostponed)
			continue
		}
		require.LessOrEqual(t, slow, 35)
		require.GreaterOrEqual(t, slow, 15, "slow calls keep a quarter: 5 calls each 0.5 s")
		require.Positive(t, c.h.e.Stats().SlowPostponed)
		c.run(5 * time.Second)
		require.Len(t, c.quick, 1600)
		require.Equal(t, 14, c.slowInFlight(), "no quick step waits")
	}
	require.Greater(t, sent[false], 3*sent[true]/2)
}

func TestSlowCallsKeepAShareInABurstOfQuickSteps(t *testing.T) {
	// Guards against quick steps in time that take each proxy as soon as it is idle.
	c := busyCell(t, Policy{}, 400, 20)
	c.run(time.Second)
	require.GreaterOrEqual(t, c.burst(inTime), 15, "5 calls each 0.5 s")
}

func TestQuickStepsUseTheOnlyProxyBesideSlowOnes(t *testing.T) {
	// Guards against quick steps that starve in a cell or shard with a single daemon because each
	// time that it is idle it is kept for one of the slow steps that wait.
	for _, off := range []bool{true, false} {
		c := busyCell(t, Policy{NoQuickProxies: off}, 40, 1)
		c.run(time.Second)
		c.submitQuick(3, inTime)
		c.run(5 * time.Second)
		require.Len(t, c.quick, 3)
		c.run(5 * time.Second)
		require.GreaterOrEqual(t, len(c.slow), 10, "slow calls go on")
	}
}

func TestQuickStepsUseTheOnlyProxyBesideSlowOnesThatAreGuaranteedIt(t *testing.T) {
	// Guards against quick steps that starve in a cell or shard with a single daemon because many slow
	// steps have waited for long and are guaranteed the proxy in turn, and against slow steps that
	// starve because quick ones take it each time.
	for _, off := range []bool{true, false} {
		c := busyCell(t, Policy{NoQuickProxies: off}, 60, 1)
		c.run(8 * time.Second)
		c.submitQuick(3, inTime)
		c.run(2 * time.Second)
		require.Len(t, c.quick, 3)
		before := len(c.slow)
		for range 1000 {
			c.submitQuick(1, inTime)
			c.run(20 * time.Millisecond)
		}
		require.GreaterOrEqual(t, len(c.slow)-before, 3, "one in each 5 s")
	}
}

func TestQuickStepsThatFindAProxyChangeNothing(t *testing.T) {
	// Guards against slow calls that are held back though no quick step waits for a proxy.
	var slow [2][]time.Duration
	for i := range slow {
		c := busyCell(t, Policy{NoQuickProxies: i == 1}, 400, 20)
		for range 40 {
			c.submitQuick(3, inTime)
			c.run(50 * time.Millisecond)
		}
		require.Len(t, c.quick, 120)
		require.Zero(t, c.h.e.Stats().SecondCalls)
		require.Zero(t, c.h.e.Stats().SlowPostponed)
		slow[i] = c.slow
	}
	require.Equal(t, slow[1], slow[0])
}

func TestQuickCallsFollowEachOther(t *testing.T) {
	// Guards against proxies that are idle between two quick calls, on the way back and until the
	// leader's next round, while quick steps wait.
	answered := map[bool]int{}
	for _, off := range []bool{false, true} {
		c := busyCell(t, Policy{NoQuickProxies: off}, 0, 8)
		c.burst(inTime)
		answered[off] = len(c.quick)
		seconds := 0
		for _, most := range c.most {
			if most == 2 {
				seconds++
			}
		}
		if off {
			require.Zero(t, seconds)
			require.Zero(t, c.h.e.Stats().SecondCalls)
			continue
		}
		require.Equal(t, 8, seconds)
		require.Positive(t, c.h.e.Stats().SecondCalls)
		c.run(10 * time.Second)
		require.Len(t, c.quick, 1600)
	}
	require.Greater(t, answered[false], 13*answered[true]/10)
}

func TestSomeProxiesTakeNoSecondCall(t *testing.T) {
	// Guards against slow calls that are never sent because each proxy always has a quick one.
	c := busyCell(t, Policy{}, 0, 8)
	c.submitQuick(100, inTime)
	c.run(proxyWay)
	two := 0
	for _, proxy := range c.h.e.proxies {
		if len(proxy.calls) == 2 {
			two++
		}
	}
	require.Equal(t, 6, two, "all but a quarter")
}

// twoCalls returns a cell whose only proxy has two calls in flight.
func twoCalls(t *testing.T) (c *adviceCalls, first, second pendingCall) {
	c = busyCell(t, Policy{}, 0, 2)
	c.submitQuick(3, inTime)
	c.run(proxyWay)
	require.Len(t, c.pending, 3)
	second = c.pending[2]
	for _, x := range c.pending[:2] {
		if x.Member == second.Member {
			first = x
		}
	}
	require.NotEmpty(t, first.Member)
	return c, first, second
}

func TestSecondCallOfASlowProxyTimesOutAfterBothCosts(t *testing.T) {
	// Guards against a second call that is given up because the first one has taken long, and
	// against two timeouts of a dead proxy that pause it for twice as long.
	c, first, second := twoCalls(t)
	require.Equal(t, first.Timeout+15*time.Millisecond, second.Timeout)
	c.dead[first.Member] = true
	c.run(first.Timeout + second.Timeout)
	require.EqualValues(t, 2, c.h.e.Stats().AdviceFailed)
	proxy := c.h.e.proxies[first.Member]
	require.Empty(t, proxy.calls)
	var once advicebudget.Proxy
	once.Failed(c.h.now)
	require.True(t, once.Usable(c.h.now+700*time.Millisecond))
	require.True(t, proxy.state.Usable(c.h.now+700*time.Millisecond))
	require.Len(t, c.quick, 5, "both steps have asked again, through the other proxy")
	c.run(time.Second)
	require.Empty(t, c.h.e.ready, "every step has its answer")
}

func TestCallThatFailsAfterALateAnswerCounts(t *testing.T) {
	// Guards against a proxy without membership that stays one although a call has failed: two of its
	// calls are in flight, the first one is given up, is answered late, and then the second one fails.
	c, first, second := twoCalls(t)
	h, other := c.h, "d-00"
	if first.Member == other {
		other = "d-01"
	}
	proxy := h.e.proxies[first.Member]
	proxy.calls[0].until = h.now
	h.step(tickPeriod)
	require.Len(t, proxy.calls, 1, "the first call has been given up")
	h.e.Advised(h.now, first.Member, first.Step, nil, nil)
	h.e.Members(h.now, []string{other}, first.Member)
	require.Contains(t, h.e.proxyNames, first.Member, "it has answered")
	h.e.Advised(h.now, second.Member, second.Step, nil, context.DeadlineExceeded)
	require.NotContains(t, h.e.proxyNames, first.Member)
}

func TestAnswersOfAProxyAreAssignedToTheirCalls(t *testing.T) {
	// Guards against an answer that is taken for that of another call, if the first one comes
	// last or fails.
	for _, err := range []error{nil, context.DeadlineExceeded} {
		c, first, second := twoCalls(t)
		h := c.h
		h.effects = nil
		h.e.Advised(h.now, second.Member, second.Step, []runner.Ticket{{Worker: "w-a", Ticket: "second"}}, nil)
		h.e.Advised(h.now, first.Member, first.Step, []runner.Ticket{{Worker: "w-b", Ticket: "first"}}, err)
		require.Empty(t, h.e.proxies[first.Member].calls)
		h.step(2 * tickPeriod)
		tickets := map[work.TaskID]string{}
		for _, x := range h.starts() {
			tickets[x.Start.Task] = x.Start.Ticket
		}
		want := map[work.TaskID]string{second.Step: "second"}
		if err == nil {
			want[first.Step] = "first"
		}
		require.Equal(t, want, tickets)
	}
}

func TestGuaranteedProxyIsNotTakenByAnEarlierStep(t *testing.T) {
	// Guards against a step that has waited for long and whose proxy is taken in each round by a
	// step that comes before it, while most proxies are paused or busy with quick calls.
	for name, earlier := range map[string]func(c *adviceCalls){
		"slow calls": func(c *adviceCalls) {
			for i := range 3 {
				require.NoError(t, c.h.e.Accepted(c.h.now, advised(t, work.JobID(fmt.Sprintf("c%015x", i)), "many", 2, inTime, oneTask())))
			}
		},
		"quick calls": func(c *adviceCalls) { c.submitQuick(3, inTime) },
	} {
		t.Run(name, func(t *testing.T) {
			c := busyCell(t, Policy{}, 0, 0)
			for i := range 2 {
				require.NoError(t, c.h.e.Accepted(c.h.now, advised(t, work.JobID(fmt.Sprintf("b%015x", i)), "many", 2, late, oneTask())))
			}
			c.run(6 * time.Second)
			earlier(c)
			c.h.e.Members(c.h.now, []string{"d-1", "d-2", "d-3", "d-4", "d-5", "d-6", "d-7", "d-8"})
			for _, name := range c.h.e.proxyNames[1:] {
				c.h.e.proxies[name].state.Failed(c.h.now)
			}
			c.run(tickPeriod)
			require.Len(t, c.pending, 1)
			require.Equal(t, work.JobID("b000000000000000"), c.pending[0].Step.Job)
		})
	}
}
