package fleet

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/thejerf/suture/v4"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/vmlist"
	"fennelshunt.example/fennelshunt/standin/kv"
)

// inCell runs f in a bubble with n daemons that have converged.
func inCell(t *testing.T, n int, f func(t *testing.T, c *cell)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 7)
		for _, id := range ids(n) {
			c.start(id)
		}
		defer c.close()
		c.within(20*time.Second, "start", c.converged)
		f(t, c)
	})
}

// Guards against a dead daemon that keeps its partitions, and a running one that loses
// them, when one of eight daemons crashes: neither probes nor the store lease alone show
// that a daemon has failed.
func TestCrashIsSuspectedThenEnded(t *testing.T) {
	inCell(t, 8, func(t *testing.T, c *cell) {
		ref := c.crash("dac")
		suspected := c.within(8*time.Second, "suspect", c.everyone(func(d *daemon) bool {
			m, _ := d.Lookup("dac")
			return m.State == Suspect
		}))
		ended := c.within(30*time.Second, "gone", c.everyone(func(d *daemon) bool { return d.HasEnded(ref) }))
		t.Logf("suspected everywhere after %s, ended after %s more", suspected, ended)
		require.True(t, c.converged())
	})
}

// Guards against a store outage that ends every daemon's membership: the store is down for
// an hour and its leases expire; meanwhile one daemon is restarted and a new one joins
// through a seed; the store returns. An expired store lease alone must not count as a
// failed daemon.
func TestStoreOutageRemovesNobody(t *testing.T) {
	inCell(t, 6, func(t *testing.T, c *cell) {
		c.mem.SetFaults(kv.Faults{Down: true})
		time.Sleep(30 * time.Minute)
		require.True(t, c.converged())
		c.seeds = []string{"daa", "dab"}
		earlier := c.crash("dac")
		later := c.start("dac")
		require.Greater(t, later.self.Incarnation, earlier.Incarnation)
		c.start("dzz")
		c.within(20*time.Second, "join in the outage", c.converged)
		require.True(t, c.daemons["daa"].HasEnded(earlier))
		time.Sleep(30 * time.Minute)
		c.mem.SetFaults(kv.Faults{})
		for range 60 {
			time.Sleep(time.Second)
			require.True(t, c.converged())
		}
		require.Zero(t, c.restartEvicted())
		for _, d := range c.daemons {
			require.NotZero(t, d.StoreLease())
			require.Less(t, time.Since(d.LeaseRenewed()), 10*time.Second)
		}
	})
}

// Guards against the eviction of a daemon that is cut off from the store only: its lease
// expires, but its peers still reach it. Then it is cut off from its peers as well and
// later returns; after both it must not return as the same incarnation.
func TestExpiredLeaseAloneDoesNotEvict(t *testing.T) {
	inCell(t, 6, func(t *testing.T, c *cell) {
		d := c.daemons["dab"]
		d.gate.setClosed(true)
		time.Sleep(2 * time.Minute)
		require.True(t, c.converged())
		c.net.Pause(d.self)
		c.within(time.Minute, "gone", func() bool { return c.daemons["daa"].HasEnded(d.self) })
		cause, _ := c.daemons["daa"].EndCause(d.self)
		require.Equal(t, LeaseExpired, cause)
		c.net.Resume(d.self)
		d.gate.setClosed(false)
		c.within(time.Minute, "evicted", func() bool { return c.restartEvicted() == 1 })
		require.Equal(t, Ended, d.Self().State)
		require.ErrorIs(t, d.Drain(context.Background()), ErrStopped)
		c.within(time.Minute, "back in a later incarnation", c.converged)
	})
}

// Guards against the eviction of a working daemon that is cut off from all peers, but not
// from the store: failed probes alone must not count as a failed daemon.
func TestFailedProbesAloneDoNotEvict(t *testing.T) {
	inCell(t, 6, func(t *testing.T, c *cell) {
		d := c.daemons["dab"]
		c.net.Pause(d.self)
		time.Sleep(5 * time.Minute)
		m, ok := c.daemons["daa"].Lookup("dab")
		require.True(t, ok)
		require.Equal(t, Suspect, m.State)
		require.False(t, c.daemons["daa"].HasEnded(d.self))
		c.net.Resume(d.self)
		c.within(20*time.Second, "refuted", c.converged)
	})
}

// Guards against new work for a daemon whose VM is being removed, and a planned stop that
// waits for a lease to expire: the VM list marks one daemon as leaving, another one drains
// and leaves, and both changes must spread.
func TestLeaving(t *testing.T) {
	inCell(t, 8, func(t *testing.T, c *cell) {
		ctx := context.Background()
		vms := []vmlist.VM{{Name: "dab", Role: vmlist.RoleEntry, Leaving: true}}
		require.NoError(t, c.daemons["daa"].ObserveVMs(ctx, vms))
		took := c.within(3*time.Second, "leaving", c.everyone(func(d *daemon) bool {
			m, _ := d.Lookup("dab")
			return m.State == Leaving
		}))
		require.Equal(t, Leaving, c.daemons["dab"].Self().State)
		d := c.daemons["dac"]
		require.NoError(t, d.Drain(ctx))
		require.Equal(t, Leaving, d.Self().State)
		require.NoError(t, d.Leave(ctx))
		require.ErrorIs(t, <-d.done, suture.ErrDoNotRestart)
		require.Equal(t, Ended, d.Self().State)
		require.ErrorIs(t, d.Drain(ctx), ErrStopped)
		require.NoError(t, d.Leave(ctx))
		delete(c.daemons, "dac")
		ended := c.within(3*time.Second, "left", c.everyone(func(o *daemon) bool { return o.HasEnded(d.self) }))
		cause, _ := c.daemons["daa"].EndCause(d.self)
		require.Equal(t, Left, cause)
		t.Logf("leaving known everywhere after %s, left after %s", took, ended)
		next := c.start("dac")
		require.Greater(t, next.self.Incarnation, d.self.Incarnation)
		c.within(20*time.Second, "back", c.everyone(func(o *daemon) bool {
			m, ok := o.Lookup("dac")
			return ok && m.Ref == next.self && m.State == Alive
		}))
	})
}

// Guards against a daemon that remains a member although its VM was removed in a store
// outage, in which its end cannot be recorded: the VM leaves the list and the daemon does
// not respond.
func TestVMRemovedInOutage(t *testing.T) {
	inCell(t, 6, func(t *testing.T, c *cell) {
		ctx := context.Background()
		all := []vmlist.VM{{Name: "dab", Role: vmlist.RoleEntry}}
		require.NoError(t, c.daemons["daa"].ObserveVMs(ctx, all))
		c.mem.SetFaults(kv.Faults{Down: true})
		time.Sleep(time.Minute)
		ref := c.crash("dab")
		c.within(10*time.Second, "suspect", func() bool {
			m, _ := c.daemons["daa"].Lookup("dab")
			return m.State == Suspect
		})
		require.NoError(t, c.daemons["daa"].ObserveVMs(ctx, nil))
		require.False(t, c.daemons["daa"].HasEnded(ref))
		require.NoError(t, c.daemons["daa"].ObserveVMs(ctx, nil))
		c.within(3*time.Second, "gone", c.everyone(func(d *daemon) bool { return d.HasEnded(ref) }))
	})
}

// Guards against a restarted daemon that acts on messages for its earlier incarnation, which
// had the same address: a daemon is restarted twice in quick succession, with the store up.
func TestRestartIsAnotherIncarnation(t *testing.T) {
	inCell(t, 4, func(t *testing.T, c *cell) {
		first := c.crash("dab")
		second := c.start("dab").self
		c.crash("dab")
		third := c.start("dab").self
		require.Greater(t, second.Incarnation, first.Incarnation)
		require.Greater(t, third.Incarnation, second.Incarnation)
		c.within(20*time.Second, "third incarnation", c.converged)
		for _, ref := range []peer.Ref{first, second} {
			require.True(t, c.daemons["daa"].HasEnded(ref))
		}
		require.False(t, c.daemons["daa"].HasEnded(third))
	})
}

// Guards against the renewals of a large fleet exhausting the store's request budget: 130
// daemons start at once, each sees a small fleet when it gets its lease, and the lease kept
// the TTL for that size.
func TestLeaseGrowsWithTheFleet(t *testing.T) {
	inCell(t, 130, func(t *testing.T, c *cell) {
		fits := c.everyone(func(d *daemon) bool {
			return d.leaseTTL().Seconds() <= outgrownBy*d.register.current.Load().ttl.Seconds()
		})
		c.within(time.Minute, "leases replaced", fits)
		before := c.mem.Counts().Renew
		time.Sleep(time.Minute)
		require.Less(t, (c.mem.Counts().Renew-before)/60, 60)
		require.True(t, c.converged())
		for _, d := range c.daemons {
			require.EqualValues(t, 0, d.Stats().Evictions.Value())
		}
	})
}

// Guards against two processes that act as the same incarnation: in an outage a daemon
// takes an incarnation from the clock that another process of the same name has claimed in
// the store. The number alone does not distinguish them.
func TestSameIncarnationOfAnotherProcess(t *testing.T) {
	mine := Incarnation{Ref: peer.Ref{ID: "a", Incarnation: 5}, owner: "me"}
	theirs := Incarnation{Ref: mine.Ref, owner: "they"}
	record, err := theirs.confirm(nil, false)
	require.NoError(t, err)
	_, err = mine.confirm(record, true)
	var evicted *EvictedError
	require.ErrorAs(t, err, &evicted)
	require.EqualValues(t, 5, evicted.Floor)
	again, err := theirs.confirm(record, true)
	require.NoError(t, err)
	require.NotEqual(t, record, again, "a registration must make a concurrent swap fail")
}

// Guards against a crashed daemon that some members never suspect until it is Ended: a member
// refuted a suspicion, one daemon missed that and later suspects the member with the old
// counter, and members with the newer counter ignored the suspicion without an answer.
func TestOldSuspicionIsAnswered(t *testing.T) {
	f := New(Options{Self: Member{Ref: peer.Ref{ID: "me", Incarnation: 1}}, Registrar: peer.NewMux()})
	l := f.loop
	l.merge(delta{ID: "b", Incarnation: 1, Counter: 2, Info: &info{}}, true)
	l.gossip = newGossip()
	reply := make(chan ack, 1)
	old := delta{ID: "b", Incarnation: 1, Counter: 1, Flags: flagSuspect}
	pingReceived{from: peer.Ref{ID: "a", Incarnation: 1}, ping: ping{Deltas: []delta{old}}, ack: reply}.apply(l)
	var counters []uint32
	for _, d := range (<-reply).Deltas {
		if d.ID == "b" {
			counters = append(counters, d.Counter)
		}
	}
	require.Equal(t, []uint32{2}, counters)
}
