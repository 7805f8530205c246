package partition

import (
	"context"
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/vmlist"
	"fennelshunt.example/fennelshunt/process/ownership"
	"fennelshunt.example/fennelshunt/process/partition/agenttest"
	"fennelshunt.example/fennelshunt/standin/kv"
)

// action is one fault or repair of a random run.
type action struct {
	Kind string
	A, B int
	Wait time.Duration
}

func (a action) String() string { return fmt.Sprintf("%s(%d,%d)+%s", a.Kind, a.A, a.B, a.Wait) }

var actionKinds = []string{
	"pause", "resume", "kill", "restart", "gone", "cutStore", "healStore", "cutWorker", "healWorker",
	"rebootWorker", "downWorker", "upWorker", "loss", "calm", "storeDown", "storeUp", "cutPeer", "healPeer",
	"shardTakeover", "shardDeaf", "leave", "nothing", "holdStore", "holdWorkers", "unlistWorker", "listWorker", "hideList", "showList",
}

func drawActions(t *rapid.T) []action {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) action {
		return action{
			Kind: rapid.SampledFrom(actionKinds).Draw(t, "kind"),
			A:    rapid.IntRange(0, 9).Draw(t, "a"),
			B:    rapid.IntRange(0, 9).Draw(t, "b"),
			Wait: time.Duration(rapid.SampledFrom([]int{0, 50, 700, 3000, 10000, 40000, 150000}).Draw(t, "wait")) * time.Millisecond,
		}
	}), 5, 40).Draw(t, "actions")
}

// randomRun is a cell under random faults.
type randomRun struct {
	*cell
	killed         map[peer.Ref]bool
	reportedFailed map[peer.Ref]bool
	shards         []*modelShard
	durable        *progress
	seed           uint64
}

func (r *randomRun) newShard() {
	epoch := uint64(len(r.shards) + 1)
	s := newModelShard(r.cell, epoch, r.durable, r.seed)
	claim := ownership.Claim{Resource: shardResource(testShard), Owner: s.ref, Epoch: epoch}
	if err := replaceClaim(r.cell, claim); err != nil && epoch > 1 {
		r.net.Stop(s.ref)
		return // the store is down: no process can take the shard over
	}
	r.shards = append(r.shards, s)
	go s.run()
}

// apply performs one action; an action that is not possible now is skipped.
func (r *randomRun) apply(a action) {
	d := r.daemons[a.A%len(r.daemons)]
	id := workerID(a.B % r.workers)
	other := r.daemons[a.B%len(r.daemons)]
	switch a.Kind {
	case "pause":
		r.pause(d)
	case "resume":
		if !r.killed[d.ref] {
			r.resume(d)
		}
	case "kill":
		r.kill(d)
	case "restart":
		r.kill(d)
		r.rack.Resume(d.key()) // calls in flight arrive
		r.restart(d)
	case "gone":
		if r.killed[d.ref] || a.B%2 == 0 {
			r.declareFailed(d)
		}
	case "cutStore":
		d.gate.setCut(true)
	case "healStore":
		d.gate.setCut(false)
	case "cutWorker":
		r.rack.Cut(d.key(), id, true)
	case "healWorker":
		r.rack.Cut(d.key(), id, false)
	case "rebootWorker":
		r.rack.Restart(id)
	case "downWorker":
		r.rack.SetDown(id, true)
	case "upWorker":
		r.rack.SetDown(id, false)
	case "loss":
		r.rack.SetFaults(agenttest.Faults{LoseCalls: 0.1, LoseAnswers: 0.2, MaxDelay: 3 * time.Second, Seed: r.seed})
		r.net.SetLoss(0.1)
		r.net.SetDelay(20 * time.Millisecond)
	case "calm":
		r.calm()
	case "storeDown":
		r.kv.SetFaults(kv.Faults{Down: true})
	case "storeUp":
		r.kv.SetFaults(kv.Faults{})
	case "cutPeer":
		r.net.Cut(d.ref.ID, other.ref.ID)
		if !r.whole {
			r.net.Cut(d.ref.ID, r.shards[len(r.shards)-1].ref.ID)
		}
	case "healPeer":
		r.net.Heal(d.ref.ID, other.ref.ID)
		if !r.whole {
			r.net.Heal(d.ref.ID, r.shards[len(r.shards)-1].ref.ID)
		}
	case "shardTakeover":
		if !r.whole && len(r.shards) < 4 {
			r.shards[len(r.shards)-1].staleClaims.Store(a.A%2 == 0)
			r.newShard()
		}
	case "shardDeaf":
		if !r.whole {
			r.shards[len(r.shards)-1].staleClaims.Store(a.A%2 == 0)
		}
	case "holdStore":
		d.gate.hold()
	case "holdWorkers":
		r.rack.Pause(d.key())
	case "unlistWorker":
		r.vms.remove(string(id))
	case "listWorker":
		r.listWorkers()
	case "hideList":
		d.vms.frozen.Store(true)
	case "showList":
		d.vms.frozen.Store(false)
	case "leave":
		go func() { _ = d.manager.Leave(r.ctx) }()
	}
}

func (r *randomRun) calm() {
	r.rack.SetFaults(agenttest.Faults{})
	r.net.SetLoss(0)
	r.net.SetDelay(0)
}

func (r *randomRun) kill(d *daemon) {
	if !r.killed[d.ref] {
		r.killed[d.ref] = true
		d.kill()
	}
}

func (r *randomRun) declareFailed(d *daemon) {
	d.freezeRenewal(true) // a member counts as failed only once its store lease has expired
	r.reportedFailed[d.ref] = true
	r.reportFailed(d)
}

// restart starts the next incarnation of a killed daemon.
func (r *randomRun) restart(d *daemon) {
	d.gate.open()
	for i, other := range r.daemons {
		if other != d {
			continue
		}
		next := r.startDaemon(peer.Ref{ID: d.ref.ID, Incarnation: d.ref.Incarnation + 1})
		r.replaceDaemon(i, next)
		r.earlierDaemons = append(r.earlierDaemons, d)
		for _, o := range r.daemons {
			for ref := range r.reportedFailed {
				if o.ref != ref {
					o.view.SetEnded(ref)
				}
			}
		}
	}
}

// repair ends every fault and restarts every daemon.
func (r *randomRun) repair() {
	r.calm()
	r.kv.SetFaults(kv.Faults{})
	r.listWorkers()
	for i := range r.workers {
		r.rack.SetDown(workerID(i), false)
	}
	if !r.whole {
		r.shards[len(r.shards)-1].staleClaims.Store(false)
	}
	for _, d := range r.daemons {
		r.kill(d)
		r.rack.Resume(d.key())
		r.restart(d)
	}
	for _, d := range r.daemons {
		for _, s := range r.shards {
			r.net.Heal(d.ref.ID, s.ref.ID)
		}
		for _, o := range r.daemons {
			r.net.Heal(d.ref.ID, o.ref.ID)
		}
	}
}

// runActions runs a cell under the actions and returns the violations found, or "".
func runActions(t *testing.T, actions []action, seed uint64) (fault string) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 3, 4, 2, large)
		r := &randomRun{cell: c, killed: make(map[peer.Ref]bool), reportedFailed: make(map[peer.Ref]bool), durable: &progress{done: make(map[int]bool)}, seed: seed}
		defer c.shutDown()
		r.newShard()
		time.Sleep(5 * time.Second)
		for _, a := range actions {
			r.apply(a)
			time.Sleep(a.Wait)
		}
		r.repair()
		deadline := time.Now().Add(time.Hour)
		for time.Now().Before(deadline) && r.durable.close() > 0 {
			time.Sleep(time.Second)
		}
		if v := c.rack.Violations(); len(v) > 0 {
			fault = strings.Join(v, "\n")
		} else if n := r.durable.close(); n > 0 {
			fault = fmt.Sprintf("%d tasks not finished an hour after the repair", n)
		}
		for _, s := range r.shards {
			s.cancel()
		}
	})
	return fault
}

// listWorkers adds workers that left the VM list to it again.
func (r *randomRun) listWorkers() {
	for i := range r.workers {
		id := string(workerID(i))
		r.vms.remove(id)
		r.vms.add(vmlist.VM{
			Name: id, Role: vmlist.RoleWorker, Zone: testZone, Rack: rackName(i % r.racks), Address: id, Capacity: large,
		})
	}
}

// TestRandomFaultsNeverRunATaskTwice exposes the real owners, claims and store
// client to random faults, single and combined. With FENNEL_LONG=1 it makes a
// hundred times as many runs.
func TestRandomFaultsNeverRunATaskTwice(t *testing.T) {
	rounds := 1
	if os.Getenv("FENNEL_LONG") != "" {
		rounds = 100
	}
	for range rounds {
		rapid.Check(t, func(rt *rapid.T) {
			actions := drawActions(rt)
			seed := rapid.Uint64().Draw(rt, "seed")
			if fault := runActions(t, actions, seed); fault != "" {
				rt.Fatalf("%v\n%s", actions, fault)
			}
		})
	}
}

func replaceClaim(c *cell, claim ownership.Claim) error {
	ctx, cancel := context.WithTimeout(c.ctx, time.Second)
	defer cancel()
	_, err := claimsOf(c).Update(ctx, "claims/"+string(claim.Resource), func([]byte, bool) ([]byte, error) {
		return encodeClaim(claim)
	})
	return err
}
