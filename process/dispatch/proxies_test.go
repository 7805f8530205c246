package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/version/work"
)

// askedThrough makes the harness send a call for a new job of slow advice, and returns it.
func askedThrough(t *testing.T, h *harness, id work.JobID) AskAdvice {
	h.effects = nil
	require.NoError(t, h.e.Accepted(h.now, advised(t, id, "many", 2, 50, oneTask())))
	h.step(2 * tickPeriod)
	calls := sent[AskAdvice](h)
	require.Len(t, calls, 1)
	return calls[0]
}

// oneProxy returns a harness with an idle worker and a single proxy that has answered a call.
func oneProxy(t *testing.T, policy Policy) *harness {
	h := newHarness(t, 1, "w-a")
	h.e.o.Policy = policy.complete()
	require.NoError(t, h.e.Load(0, Saved{}))
	h.step(50 * time.Millisecond)
	h.report("w-a", runner.Report{Clock: time.Second})
	h.e.Members(h.now, []string{"d-1"})
	call := askedThrough(t, h, "00000000000000a1")
	h.now += 500 * time.Millisecond
	h.e.Advised(h.now, call.Member, call.Step, nil, nil)
	return h
}

func TestProxyThatLosesItsMembershipIsUsedWhileItAnswers(t *testing.T) {
	// Guards against proxies that are missing during a burst because the store rejects their
	// daemons, which the leader and the advice service reach.
	h := oneProxy(t, Policy{})
	h.e.Members(h.now, nil, "d-1")
	require.EqualValues(t, 1, h.e.Stats().UnregisteredProxies)
	call := askedThrough(t, h, "00000000000000a2")
	require.Equal(t, "d-1", call.Member)
	require.EqualValues(t, 1, h.e.Stats().UnregisteredCalls)

	h.e.Advised(h.now, "d-1", call.Step, nil, context.DeadlineExceeded)
	require.Empty(t, h.e.proxyNames, "a call has failed")
	h.e.Members(h.now, nil, "d-1")
	require.Empty(t, h.e.proxyNames, "it is not a member yet")
	h.e.Members(h.now, []string{"d-1"})
	require.Equal(t, []string{"d-1"}, h.e.proxyNames)
	require.Zero(t, h.e.Stats().UnregisteredProxies)
}

func TestProxyWithoutMembershipIsDroppedAfterABoundedTime(t *testing.T) {
	// Guards against a daemon that has been replaced and stays a proxy.
	h := oneProxy(t, Policy{})
	h.e.Members(h.now, nil, "d-1")
	h.step(time.Minute)
	require.Empty(t, h.e.proxyNames)
	require.Empty(t, h.e.proxies)
}

func TestEachProxyDroppedAfterABoundedTimeIsLogged(t *testing.T) {
	// Guards against proxies that disappear from the log's account when several expire at once.
	h := oneProxy(t, Policy{})
	h.e.Members(h.now, []string{"d-1", "d-2"})
	h.e.proxies["d-2"].state.Answered(h.now, 0, 0)
	var dropped []string
	h.e.o.Decide = func(d Decision) {
		if d.What == "advice proxy without membership is not used any more" {
			dropped = append(dropped, d.Why)
		}
	}
	h.e.Members(h.now, nil, "d-1", "d-2")
	h.step(time.Minute)
	require.Equal(t, []string{"d-1 has been without it for too long", "d-2 has been without it for too long"}, dropped)
}

func TestProxyWithoutMembershipThatDiesIsNotUsedAgain(t *testing.T) {
	// Guards against calls that are sent again and again through a daemon whose membership has
	// expired because it is dead: its call times out, and another proxy is used.
	h := oneProxy(t, Policy{})
	h.e.Members(h.now, []string{"d-2"}, "d-1")
	h.e.proxies["d-2"].state.Failed(h.now) // d-1 is the only one that may be called
	call := askedThrough(t, h, "00000000000000a2")
	require.Equal(t, "d-1", call.Member)
	h.step(call.Timeout + tickPeriod)
	require.Equal(t, []string{"d-2"}, h.e.proxyNames)
	require.NotContains(t, h.e.proxies, "d-1")
	h.step(5 * time.Second)
	for _, x := range sent[AskAdvice](h) {
		require.Equal(t, "d-2", x.Member)
	}
}

func TestProxyIsDroppedWithItsMembership(t *testing.T) {
	// Guards against calls through a daemon that has stopped as planned, through one that has not
	// answered, and through one whose last call has failed.
	for name, drop := range map[string]func(h *harness){
		"planned stop":  func(h *harness) { h.e.Members(h.now, nil) },
		"switch is off": func(h *harness) { h.e.Members(h.now, nil, "d-1") },
		"silent": func(h *harness) {
			h.step(time.Minute)
			h.e.Members(h.now, nil, "d-1")
		},
		"failed": func(h *harness) {
			h.e.proxies["d-1"].state.Failed(h.now)
			h.e.Members(h.now, nil, "d-1")
		},
		"never a proxy of this leader": func(h *harness) { h.e.Members(h.now, nil, "d-2") },
	} {
		t.Run(name, func(t *testing.T) {
			h := oneProxy(t, Policy{NoQuickProxies: name == "switch is off"})
			drop(h)
			require.Empty(t, h.e.proxyNames)
			require.Empty(t, h.e.proxies)
		})
	}
}

func TestCellUsesProxiesWhoseRecordsHaveExpired(t *testing.T) {
	// Guards against a leader that does not call daemons whose records have expired while they
	// answer, and that keeps calling them after a planned stop.
	for _, planned := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c := newTestCell(t, 1, 16, 3, usualBehaviour(0))
			time.Sleep(3 * time.Second)
			leader := c.leader()
			submit := func(d time.Duration) {
				for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
					c.submit(drawJob(c.rng, true))
				}
			}
			submit(2 * time.Second)
			for _, n := range c.nodes {
				if n.host.Load() == leader {
					continue
				}
				if planned {
					n.elector.Resign(t.Context())
				}
				n.cancel() // without a planned stop, its record expires
				<-n.done
			}
			submit(2 * time.Second) // the records expire after 1.1 s
			before := c.advice.askedOthers(c, leader)
			submit(3 * time.Second)
			if planned {
				require.Equal(t, before, c.advice.askedOthers(c, leader))
			} else {
				require.Greater(t, c.advice.askedOthers(c, leader), before)
			}
			time.Sleep(time.Minute)
			before = c.advice.askedOthers(c, leader)
			submit(time.Second)
			require.Equal(t, before, c.advice.askedOthers(c, leader), "they have been away for too long")
			time.Sleep(time.Minute)
			for _, id := range c.order {
				require.Equal(t, work.Completed, c.state(id), "%s", id)
			}
			c.stop()
			require.Empty(t, c.broken)
		})
	}
}

// askedOthers returns how many calls were made through other daemons than a leader's.
func (a *adviser) askedOthers(c *cell, leader *Host) (n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, node := range c.nodes {
		if node.host.Load() != leader {
			n += a.asked[node.name]
		}
	}
	return n
}
