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

// hold takes n slots at d and returns them.
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

// takeable counts the slots that d can take now, and gives them back.
func (c *cell) takeable(d *daemon) int {
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

func TestDeadOwnersSlotsStayTaken(t *testing.T) {
	// Symptom: an instance runs more requests than it has slots.
	// Sequence: the pool's owner has requests under way and dies; they go on at
	// the instances; a new owner grants their slots.
	// Cause: a dead daemon's slots counted as free.
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
		require.LessOrEqual(t, c.takeable(c.daemons["d2"]), 12)
		time.Sleep(2*DefaultTTL + testLimit + 3*DefaultMargin)
		require.Equal(t, 32, c.takeable(c.daemons["d2"]))
	})
}

// crash ends a daemon without a word.
func (c *cell) crash(id peer.MemberID) {
	d := c.daemons[id]
	d.stop()
	c.net.Stop(d.ref)
	for _, o := range c.daemons {
		o.view.SetGone(d.ref)
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
		require.Equal(t, 12, c.takeable(c.daemons["d2"]))
		for _, s := range held {
			s.Release(Ended)
		}
		require.Equal(t, 32, c.takeable(c.daemons["d2"]))
	})
}

func TestOwnerCutOffWithoutMajorityStops(t *testing.T) {
	// Symptom: two pools grant the same slots.
	// Sequence: the owner and one holder are cut off from the store and from
	// the others, who take the pool over; the two go on.
	// Cause: the old owner renews the holder's credits for ever.
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 1, 5)
		defer c.close()
		c.setEndpoints(4, 8)
		c.own(c.daemons["d0"])
		time.Sleep(time.Second)
		for _, cut := range []peer.MemberID{"d0", "d1"} {
			c.daemons[cut].setCut(time.Now())
			c.daemons[cut].directory.Freeze()
			for _, o := range []peer.MemberID{"d2", "d3", "d4"} {
				c.net.Cut(cut, o)
				c.daemons[o].view.SetGone(c.daemons[cut].ref)
			}
		}
		time.Sleep(10 * time.Second)
		c.own(c.daemons["d2"])
		time.Sleep(DefaultLeaseFresh + 2*DefaultTTL)
		require.Zero(t, c.takeable(c.daemons["d1"]), "no credit without a majority")
		time.Sleep(DefaultTTL + testLimit + 3*DefaultMargin)
		require.Equal(t, 32, c.takeable(c.daemons["d3"]))
	})
}

func TestOutageOfTheStoreWithAMajorityGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 1, 3)
		defer c.close()
		c.setEndpoints(4, 8)
		c.own(c.daemons["d0"])
		time.Sleep(time.Second)
		for _, d := range c.daemons {
			d.setCut(time.Now())
			d.directory.Freeze()
		}
		time.Sleep(time.Hour)
		require.Equal(t, 32, c.takeable(c.daemons["d1"]))
		// After the bound on its authority the owner stops, and with it, one
		// time to live later, every daemon.
		c.daemons["d0"].directory.SetAuthority(0, 0)
		time.Sleep(DefaultTTL + time.Second)
		require.Zero(t, c.takeable(c.daemons["d1"]))
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

// sick is a Health that rules one address out.
type sick string

func (s sick) Usable(address string) bool { return address != string(s) }

func TestUnusableInstanceIsLeftToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 1, 2)
		defer c.close()
		c.endpoints = append(c.endpoints, endpoint(0, 0, 8), endpoint(1, 0, 8))
		c.change = func(o *Options) { o.Health = sick(c.endpoints[0].Address) }
		d := c.start(peer.Ref{ID: "d9", Incarnation: 1})
		c.publish()
		c.own(c.daemons["d0"])
		time.Sleep(time.Second)
		require.Equal(t, 8, c.takeable(d))
		require.Equal(t, 16, c.takeable(c.daemons["d1"]))
	})
}

// TestOneDaemonIsACentralQueue compares the starts with a naive queue.
func TestOneDaemonIsACentralQueue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		slots := rapid.IntRange(1, 6).Draw(rt, "slots")
		n := rapid.IntRange(1, 60).Draw(rt, "arrivals")
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		arrivals := make([]arrival, n)
		at := time.Duration(0)
		for i := range arrivals {
			// Distinct times: two events at one instant may go in any order.
			at += time.Duration(1+r.IntN(300)) * time.Millisecond
			arrivals[i] = arrival{at: at, service: time.Duration(r.IntN(1500))*time.Millisecond + time.Duration(i+1)*time.Microsecond}
		}
		naive := newQueue(2 * slots)
		var want, got []string
		for i, a := range arrivals {
			want = append(want, fmt.Sprint(i, naive.serve(a)))
		}
		synctest.Test(t, func(t *testing.T) {
			c := newCell(t, 1, 1)
			defer c.close()
			c.setEndpoints(2, slots)
			c.own(c.daemons["d0"])
			time.Sleep(time.Second)
			got = c.waitsOf(arrivals)
		})
		slices.Sort(want)
		slices.Sort(got)
		require.Equal(rt, want, got)
	})
}

// waitsOf runs the arrivals at d0 and returns each one's wait.
func (c *cell) waitsOf(arrivals []arrival) []string {
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
