package fleet

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/standin/kv"
)

// replacementEvery corresponds to the specified rate of 3,100 replacements per day.
const replacementEvery = 28 * time.Second

// chaos runs a cell with overlapping faults.
type chaos struct {
	*cell
	rand         *rand.Rand
	ended        map[peer.Ref]bool // incarnations that stopped or were evicted
	mayBeEvicted map[peer.Ref]bool // incarnations that were suspended, which may be evicted
	paused       map[peer.MemberID]time.Time
	serial       int
	outage       time.Time // end of the store's outage
}

// pick chooses a daemon that is not suspended.
func (c *chaos) pick() (peer.MemberID, bool) {
	free := slices.DeleteFunc(sortedIDs(c.daemons), func(id peer.MemberID) bool {
		_, paused := c.paused[id]
		return paused
	})
	if len(free) == 0 {
		return "", false
	}
	return free[c.rand.IntN(len(free))], true
}

func sortedIDs(daemons map[peer.MemberID]*daemon) []peer.MemberID {
	return slices.Sorted(maps.Keys(daemons))
}

// replace ends a daemon, by a crash or by leaving, and starts one with the same or a new
// name.
func (c *chaos) replace() {
	id, ok := c.pick()
	if !ok {
		return
	}
	d := c.daemons[id]
	if c.rand.IntN(2) == 0 {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		_ = d.Drain(ctx) // fails if the daemon has just been evicted
		_ = d.Leave(ctx) // fails in a store outage
		cancel()
	}
	c.ended[c.crash(id)] = true
	if c.rand.IntN(2) == 0 {
		c.serial++
		id = peer.MemberID(fmt.Sprintf("n%04d", c.serial))
	}
	c.seeds = []string{string(sortedIDs(c.daemons)[0]), string(sortedIDs(c.daemons)[1])}
	c.start(id)
}

func (c *chaos) pauseOne(now time.Time) {
	if id, ok := c.pick(); ok && len(c.paused) < 2 {
		c.paused[id] = now.Add(time.Duration(1+c.rand.IntN(40)) * time.Second)
		c.mayBeEvicted[c.daemons[id].self] = true
		c.daemons[id].gate.setClosed(true)
		c.net.Pause(c.daemons[id].self)
	}
}

func (c *chaos) resume(now time.Time, all bool) {
	for id, until := range c.paused {
		if !all && now.Before(until) {
			continue
		}
		delete(c.paused, id)
		c.daemons[id].gate.setClosed(false)
		c.net.Resume(c.daemons[id].self)
	}
}

func (c *chaos) storeOutage(now time.Time) {
	if now.Before(c.outage) {
		return
	}
	c.outage = now.Add(time.Duration(10+c.rand.IntN(300)) * time.Second)
	c.mem.SetFaults(kv.Faults{Down: true})
}

// step performs the faults and checks of one second.
func (c *chaos) step(now time.Time) {
	if c.rand.Float64() < float64(time.Second)/float64(replacementEvery) {
		c.replace()
	}
	if c.rand.IntN(60) == 0 {
		c.pauseOne(now)
	}
	if c.rand.IntN(600) == 0 {
		c.storeOutage(now)
	}
	c.resume(now, false)
	if now.After(c.outage) {
		c.mem.SetFaults(kv.Faults{LoseAnswers: 0.05})
	}
	for _, d := range c.daemons {
		select {
		case err := <-d.done: // put back for restartEvicted
			d.done <- err
			c.ended[d.self] = true
		default:
		}
	}
	c.restartEvicted()
	c.check()
}

// check compares the views with the actual state: a daemon that runs and was never
// suspended must not be Ended in any view.
func (c *chaos) check() {
	for _, viewer := range c.daemons {
		for _, d := range c.daemons {
			cause, ended := viewer.EndCause(d.self)
			if ended && !c.mayBeEvicted[d.self] && !c.ended[d.self] {
				c.t.Fatalf("%s sees %v as ended (%s)", viewer.self.ID, d.self, cause)
			}
		}
		require.NotEmpty(c.t, viewer.Members())
	}
}

// TestRandomFaults guards against an ended incarnation that returns, a running one that is
// lost, and views that do not converge after faults, with replacements at the specified
// rate, suspended processes, store outages and lost responses together, and 5 % message
// loss. It covers the rules about incarnations, suspicion and expired leases.
func TestRandomFaults(t *testing.T) {
	duration, seeds := 20*time.Minute, uint64(3)
	switch {
	case os.Getenv("FENNEL_LONG") == "1":
		duration, seeds = 8*time.Hour, 6
	case testing.Short():
		duration, seeds = 10*time.Minute, 1
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runChaos(t, seed, duration) })
		})
	}
}

// differences describes the entries of all views that are wrong.
func (c *chaos) differences() string {
	var out strings.Builder
	for _, viewer := range c.daemons {
		for _, m := range viewer.Members() {
			d := c.daemons[m.ID]
			if d == nil || d.self != m.Ref || m.State != Alive {
				fmt.Fprintf(&out, "%s sees %v %s, running: %v\n", viewer.self.ID, m.Ref, m.State, d != nil)
			}
		}
		for id := range c.daemons {
			if m, ok := viewer.Lookup(id); !ok || m.State == Ended {
				fmt.Fprintf(&out, "%s does not see %s: %v %s\n", viewer.self.ID, id, m.Ref, m.State)
			}
		}
	}
	return out.String()
}

func runChaos(t *testing.T, seed uint64, duration time.Duration) {
	c := &chaos{
		cell:         newCell(t, seed),
		rand:         rand.New(rand.NewPCG(seed, 1)),
		ended:        make(map[peer.Ref]bool),
		mayBeEvicted: make(map[peer.Ref]bool),
		paused:       make(map[peer.MemberID]time.Time),
	}
	defer c.close()
	for _, id := range ids(10) {
		c.start(id)
	}
	c.within(20*time.Second, "start", c.converged)
	c.net.SetLoss(0.05)
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(time.Second) {
		c.step(time.Now())
	}
	c.resume(time.Now(), true)
	c.mem.SetFaults(kv.Faults{})
	for end := time.Now().Add(2 * time.Minute); !c.converged(); time.Sleep(50 * time.Millisecond) {
		c.restartEvicted()
		if time.Now().After(end) {
			c.t.Fatalf("no agreement after the faults:\n%s", c.differences())
		}
	}
	t.Logf("%d incarnations ended, %d were suspended", len(c.ended), len(c.mayBeEvicted))
}
