package versions

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/peer/peertest"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/fleet"
	"fennelshunt.example/fennelshunt/process/fleet/fleettest"
	"fennelshunt.example/fennelshunt/standin/kv"
	"fennelshunt.example/fennelshunt/version/history"
	"fennelshunt.example/fennelshunt/version/spec"
)

// daemon is the part of a daemon that this package provides.
type daemon struct {
	id         peer.MemberID
	applier    *Applier
	replicator *Replicator
	view       *fleettest.View
	store      *meteredStore
	stop       context.CancelFunc
	stopped    chan struct{}
	// highest is the highest version that was seen in force.
	highest uint64
}

// cell is a fleet of daemons on one store.
type cell struct {
	t       require.TestingT
	kv      *kv.Memory
	net     *peertest.Network
	daemons []*daemon
	seed    uint64
}

func newCell(t require.TestingT, size int) *cell {
	c := &cell{t: t, kv: kv.NewSeeded(1), net: peertest.NewNetwork(1)}
	c.net.SetDelay(2 * time.Millisecond)
	for range size {
		c.add()
	}
	return c
}

func member(i int, incarnation uint64) fleet.Member {
	return fleet.Member{Ref: peer.Ref{ID: peer.MemberID(fmt.Sprintf("d%03d", i)), Incarnation: incarnation}, Zone: "gulberg-hall"}
}

// add starts one more daemon, known to all.
func (c *cell) add() *daemon {
	d := &daemon{}
	c.daemons = append(c.daemons, d)
	c.start(len(c.daemons)-1, 1)
	return d
}

// start starts an incarnation of daemon i, without any configuration.
func (c *cell) start(i int, incarnation uint64) {
	d := c.daemons[i]
	self := member(i, incarnation)
	var others []fleet.Member
	for j, other := range c.daemons {
		if j != i && other.view != nil {
			others = append(others, other.view.Self())
			other.view.Set(self)
		}
	}
	caller, mux := c.net.Node(self.Ref)
	c.daemons[i].store = &meteredStore{Store: c.kv}
	client := store.NewClient(c.daemons[i].store, store.Options{FleetSize: len(c.daemons)})
	handle := client.Role(store.RoleVersions)
	h := history.New(handle)
	c.seed++
	d.id, d.highest = self.ID, 0
	d.view = fleettest.NewView(self, others...)
	d.replicator = New(Options{Handle: handle, Caller: caller, Registrar: mux, Fleet: d.view, History: h, Seed: c.seed})
	d.applier = &Applier{History: h, Replicator: d.replicator}
	ctx, cancel := context.WithCancel(context.Background())
	d.stop, d.stopped = cancel, make(chan struct{})
	go func() {
		defer close(d.stopped)
		_ = d.replicator.Serve(ctx)
	}()
}

// replace crashes daemon i and starts a new incarnation of it.
func (c *cell) replace(i int) {
	d := c.daemons[i]
	self := d.view.Self()
	c.net.Stop(self.Ref)
	d.stop()
	<-d.stopped
	c.start(i, self.Incarnation+1)
}

func (c *cell) close() {
	for _, d := range c.daemons {
		d.stop()
		<-d.stopped
	}
}

// check asserts that no daemon reverted to an earlier version and none violated an
// invariant.
func (c *cell) check() {
	for _, d := range c.daemons {
		version := d.replicator.Current().Version
		require.GreaterOrEqual(c.t, version, d.highest, "%s reverted", d.id)
		require.Zero(c.t, d.replicator.metrics.invariant.Value())
		d.highest = version
	}
}

// behind counts the daemons that do not have version in force.
func (c *cell) behind(version uint64) int {
	n := 0
	for _, d := range c.daemons {
		if d.replicator.Current().Version < version {
			n++
		}
	}
	return n
}

func fileOf(name string, count int) *spec.File {
	return &spec.File{Name: name, Teams: []spec.Team{{Name: "team-" + name}}, Jobs: []spec.Job{{Name: name, Team: "team-" + name,
		Kind: spec.Batch, Count: count, Size: spec.Resources{MilliCPU: 100, MemoryMB: 100}}}}
}

// inBubble runs f with virtual time and the store up.
func inBubble(t *testing.T, size int, f func(c *cell)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, size)
		defer c.close()
		time.Sleep(3 * time.Second)
		f(c)
	})
}

func TestApplyIsInForceEverywhere(t *testing.T) {
	inBubble(t, 8, func(c *cell) {
		applied, err := c.daemons[0].applier.Apply(context.Background(), fileOf("a", 1), 0, history.By{Author: "x"})
		require.NoError(t, err)
		begun := time.Now()
		c.daemons[0].applier.Await(context.Background(), &applied)
		assert.Less(t, time.Since(begun), time.Second)
		assert.Empty(t, applied.Lagging)
		assert.Len(t, applied.Members, 8)
		assert.Zero(t, c.behind(1))
		c.check()
	})
}

// TestDaemonStartedDuringStoreOutageGetsConfigurationFromPeers guards against a daemon that is
// started while the store is down and serves no job at all, because its new incarnation gets the
// configuration from the store alone.
func TestDaemonStartedDuringStoreOutageGetsConfigurationFromPeers(t *testing.T) {
	inBubble(t, 8, func(c *cell) {
		for i := range 20 {
			_, err := c.daemons[0].applier.Apply(context.Background(), fileOf(fmt.Sprintf("f%d", i), i+1), uint64(i), history.By{Author: "x"})
			require.NoError(t, err)
		}
		time.Sleep(3 * time.Second)
		c.kv.SetFaults(kv.Faults{Down: true})
		c.replace(3)
		select {
		case <-c.daemons[3].replicator.Loaded():
			t.Fatal("loaded before any configuration was received")
		default:
		}
		time.Sleep(2 * time.Second)
		assert.Equal(t, uint64(20), c.daemons[3].replicator.Current().Version)
		assert.True(t, spec.SameContent(c.daemons[0].replicator.Current(), c.daemons[3].replicator.Current()))
		c.check()
	})
}

// TestAwaitIncludesMembersThatJoin guards against an apply that names a daemon as lagging, without a
// report, because it was not yet known to the daemon that applies when the wait began. Whether the
// daemon reports by itself in time depends on whom it exchanges versions with: hence the repetition.
func TestAwaitIncludesMembersThatJoin(t *testing.T) {
	for range 20 {
		inBubble(t, 2, func(c *cell) {
			applier, held := c.daemons[0].applier, c.daemons[1].view.Self().Ref
			c.net.Pause(held)
			applied, err := applier.Apply(context.Background(), fileOf("a", 1), 0, history.By{Author: "x"})
			require.NoError(t, err)
			awaited := make(chan struct{})
			go func() {
				defer close(awaited)
				applier.Await(context.Background(), &applied)
			}()
			time.Sleep(100 * time.Millisecond)
			c.add()
			c.net.Resume(held)
			<-awaited
			assert.Len(t, applied.Members, 3)
			assert.Empty(t, applied.Lagging)
		})
	}
}

// TestAwaitNamesTheLaggard guards against an apply that reports success everywhere although a
// daemon, cut off from the store and the peers, has the old file: the report would count members
// without any answer.
func TestAwaitNamesTheLaggard(t *testing.T) {
	inBubble(t, 4, func(c *cell) {
		paused := c.daemons[2].view.Self().Ref
		c.net.Pause(paused)
		c.daemons[2].stop()
		<-c.daemons[2].stopped
		applied, err := c.daemons[0].applier.Apply(context.Background(), fileOf("a", 1), 0, history.By{Author: "x"})
		require.NoError(t, err)
		begun := time.Now()
		c.daemons[0].applier.Await(context.Background(), &applied)
		assert.Equal(t, PropagationLimit, time.Since(begun).Round(time.Second))
		require.Len(t, applied.Lagging, 1)
		assert.Equal(t, paused.ID, applied.Lagging[0].Member)
		c.net.Resume(paused)
	})
}
