package slots

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"fennelshunt.example/fennelshunt/connection/peer"
)

// hold acquires n slots at d and returns them.
func (c *cell) hold(d *daemon, n int) []Slot {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(c.t.Context(), 2*time.Second)
	defer cancel()
	var out []Slot
	for range n {
		s, err := d.Acquire(ctx, testService)
		require.NoError(c.t, err)
		out = append(out, s)
	}
	return out
}

// available returns how many slots d can acquire now; it releases them.
func (c *cell) available(d *daemon) int {
	var held []Slot
	for {
		ctx, cancel := context.WithTimeout(c.t.Context(), 300*time.Millisecond)
		s, err := d.Acquire(ctx, testService)
		cancel()
		if err != nil {
			break
		}
		held = append(held, s)
	}
	for _, s := range held {
		s.Release(Ended)
	}
	return len(held)
}

func TestFailedOwnersSlotsStayTaken(t *testing.T) {
	// An instance must not run more requests than it has slots when the pool's owner fails with
	// requests in progress, which continue at the instances, and a new owner grants slots: those
	// of the failed daemon must not count as free.
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 1, 3)
		defer c.close()
		c.setEndpoints(4, 8)
		c.own(c.daemons["d0"])
		time.Sleep(time.Second)
		c.hold(c.daemons["d0"], 20)
		c.crash("d0")
		c.own(c.daemons["d1"])
		time.Sleep(time.Second)
		require.LessOrEqual(t, c.available(c.daemons["d2"]), 12)
		time.Sleep(2*DefaultTTL + testLimit + 3*DefaultMargin)
		require.Equal(t, 32, c.available(c.daemons["d2"]))
	})
}

// crash stops a daemon without any notice to the others.
func (c *cell) crash(id peer.MemberID) {
	d := c.daemons[id]
	d.stop()
	c.net.Stop(d.ref)
	for _, o := range c.daemons {
		o.view.SetEnded(d.ref)
	}
}

func TestHandoverFreesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 1, 3)
		defer c.close()
		c.setEndpoints(4, 8)
		c.own(c.daemons["d0"])
		time.Sleep(time.Second)
		held := c.hold(c.daemons["d0"], 20)
		require.NoError(t, c.daemons["d0"].Releasing(t.Context(), serviceResource(testService)))
		c.claims.Release(serviceResource(testService))
		c.own(c.daemons["d1"])
		time.Sleep(time.Second)
		require.Equal(t, 12, c.available(c.daemons["d2"]))
		for _, s := range held {
			s.Release(Ended)
		}
		require.Equal(t, 32, c.available(c.daemons["d2"]))
	})
}

func TestOwnerCutOffWithoutMajorityStops(t *testing.T) {
	// Two pools must not grant the same slots. The owner and one holder are disconnected from
	// the store and from the other daemons, which take over the pool; the old owner must not
	// renew the holder's credits indefinitely.
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 1, 5)
		defer c.close()
		c.setEndpoints(4, 8)
		c.own(c.daemons["d0"])
		time.Sleep(time.Second)
		for _, disconnected := range []peer.MemberID{"d0", "d1"} {
			c.daemons[disconnected].setDisconnected(time.Now())
			c.daemons[disconnected].directory.Freeze()
			for _, o := range []peer.MemberID{"d2", "d3", "d4"} {
				c.net.Cut(disconnected, o)
				c.daemons[o].view.SetEnded(c.daemons[disconnected].ref)
			}
		}
		time.Sleep(10 * time.Second)
		c.own(c.daemons["d2"])
		time.Sleep(DefaultLeaseFresh + 2*DefaultTTL)
		require.Zero(t, c.available(c.daemons["d1"]), "no credit without a majority")
		time.Sleep(DefaultTTL + testLimit + 3*DefaultMargin)
		require.Equal(t, 32, c.available(c.daemons["d3"]))
	})
}

func TestStoreOutageWithAMajorityStopsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 1, 3)
		defer c.close()
		c.setEndpoints(4, 8)
		c.own(c.daemons["d0"])
		time.Sleep(time.Second)
		for _, d := range c.daemons {
			d.setDisconnected(time.Now())
			d.directory.Freeze()
		}
		time.Sleep(time.Hour)
		require.Equal(t, 32, c.available(c.daemons["d1"]))
		// At the limit of its authority the owner stops, and one TTL later every daemon.
		c.daemons["d0"].directory.SetAuthority(0, 0)
		time.Sleep(DefaultTTL + time.Second)
		require.Zero(t, c.available(c.daemons["d1"]))
	})
}

func TestLeavingEndpointGetsNothingAfterThreeSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 1, 6)
		defer c.close()
		c.setEndpoints(4, 8)
		c.own(c.daemons["d0"])
		time.Sleep(time.Second)
		c.net.SetLoss(0.2)
		leaving := c.endpoints[2].Address
		c.daemons["d4"].MarkLeaving(leaving)
		for _, s := range c.hold(c.daemons["d4"], 3) {
			require.NotEqual(t, leaving, s.Endpoint().Address)
			s.Release(Ended)
		}
		time.Sleep(3 * time.Second)
		c.net.SetLoss(0)
		for _, d := range c.daemons {
			for _, s := range c.hold(d, 6) {
				require.NotEqual(t, leaving, s.Endpoint().Address, "at %s", d.ref.ID)
				s.Release(Ended)
			}
		}
	})
}

// unhealthy is a Health that excludes one address.
type unhealthy string

func (s unhealthy) Usable(address string) bool { return address != string(s) }

func TestUnusableInstanceIsLeftToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 1, 2)
		defer c.close()
		c.endpoints = append(c.endpoints, endpoint(0, 0, 8), endpoint(1, 0, 8))
		c.change = func(o *Options) { o.Health = unhealthy(c.endpoints[0].Address) }
		d := c.start(peer.Ref{ID: "d9", Incarnation: 1})
		c.publish()
		c.own(c.daemons["d0"])
		time.Sleep(time.Second)
		require.Equal(t, 8, c.available(d))
		require.Equal(t, 16, c.available(c.daemons["d1"]))
	})
}

// TestOneDaemonIsACentralQueue compares the waiting times with those of a simple queue.
func TestOneDaemonIsACentralQueue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		slots := rapid.IntRange(1, 6).Draw(rt, "slots")
		n := rapid.IntRange(1, 60).Draw(rt, "arrivals")
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		arrivals := make([]arrival, n)
		at := time.Duration(0)
		for i := range arrivals {
			// Distinct times, because the order of simultaneous events is undefined.
			at += time.Duration(1+r.IntN(300)) * time.Millisecond
			arrivals[i] = arrival{at: at, service: time.Duration(r.IntN(1500))*time.Millisecond + time.Duration(i+1)*time.Microsecond}
		}
		reference := newQueue(2 * slots)
		var want, got []string
		for i, a := range arrivals {
			want = append(want, fmt.Sprint(i, reference.serve(a)))
		}
		synctest.Test(t, func(t *testing.T) {
			c := newCell(t, 1, 1)
			defer c.close()
			c.setEndpoints(2, slots)
			c.own(c.daemons["d0"])
			time.Sleep(time.Second)
			got = c.waitingTimes(arrivals)
		})
		slices.Sort(want)
		slices.Sort(got)
		require.Equal(rt, want, got)
	})
}

// waitingTimes runs the arrivals at d0 and returns each one's waiting time.
func (c *cell) waitingTimes(arrivals []arrival) []string {
	begin := time.Now()
	out := make(chan string, len(arrivals))
	for i, a := range arrivals {
		time.Sleep(time.Until(begin.Add(a.at)))
		go func() {
			waited, err := c.request(c.daemons["d0"], time.Hour, a.service)
			if err != nil {
				c.t.Errorf("request lost: %v", err)
			}
			out <- fmt.Sprint(i, waited)
		}()
	}
	var got []string
	for range arrivals {
		got = append(got, <-out)
	}
	return got
}
