package jobs

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/standin/kv"
	"fennelshunt.example/fennelshunt/version/spec"
)

// fault is one injected fault or the end of one.
type fault struct {
	Kind string
	Arg  int
	Wait time.Duration // before the next one
}

// faultCell is a cell with the daemon that owns the shard and a previous owner that
// has not noticed the takeover.
type faultCell struct {
	*cell
	ctx          context.Context
	owner, stale *daemon
	jobs         []spec.Job
	teams        []spec.Team
	serial       int
	removed      int // workers
}

var faultKinds = map[string]func(w *faultCell, arg int){
	"owner dies": func(w *faultCell, _ int) {
		w.owner.kill()
		w.newOwner()
	},
	"owner is paused, taken over and resumes": func(w *faultCell, _ int) {
		w.killStale()
		old := w.owner
		w.net.Pause(old.ref)
		old.dir.Freeze()
		w.newOwner()
		w.stale = old
	},
	"owner is taken over and does not notice": func(w *faultCell, _ int) {
		w.killStale()
		old := w.owner
		old.dir.Freeze()
		w.newOwner()
		w.stale = old
	},
	"paused owner resumes": func(w *faultCell, _ int) {
		if w.stale != nil {
			w.net.Resume(w.stale.ref)
		}
	},
	"late owner sees new claims": func(w *faultCell, _ int) {
		if w.stale != nil {
			w.net.Resume(w.stale.ref)
			w.stale.dir.Thaw()
		}
	},
	"hand over": func(w *faultCell, _ int) {
		ctx, cancel := context.WithTimeout(w.ctx, 5*time.Second)
		defer cancel()
		_ = w.owner.manager.Releasing(ctx, Resource(0))
		w.owner.kill()
		w.newOwner()
	},
	"shard panics": func(w *faultCell, _ int) {
		if s := w.owner.manager.shard(0); s != nil {
			s.post(w.ctx, 0, func(*state) { panic("injected by the test") })
		}
	},
	"partition owner dies": func(w *faultCell, arg int) {
		names := w.partitionNames()
		w.startPartition(w.ctx, names[arg%len(names)])
	},
	"worker dies": func(w *faultCell, arg int) {
		if w.removed < 4 {
			w.removed++
			w.killWorker(w.workerAt(arg))
		}
	},
	"worker can not be reached": func(w *faultCell, arg int) { w.setUnreachable(w.workerAt(arg), true) },
	"workers reached again":     func(w *faultCell, _ int) { w.makeAllReachable() },
	"messages are lost":         func(w *faultCell, arg int) { w.net.SetLoss(float64(arg%30) / 100) },
	"messages are slow":         func(w *faultCell, arg int) { w.net.SetDelay(time.Duration(arg%2500) * time.Millisecond) },
	"network heals":             func(w *faultCell, _ int) { w.net.SetLoss(0); w.net.SetDelay(time.Millisecond) },
	"events are lost": func(w *faultCell, arg int) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.loseEvents = float64(arg%80) / 100
	},
	"store is down":       func(w *faultCell, _ int) { w.store.SetFaults(kv.Faults{Down: true}) },
	"store loses answers": func(w *faultCell, arg int) { w.store.SetFaults(kv.Faults{LoseAnswers: float64(arg%60) / 100}) },
	"store is slow": func(w *faultCell, arg int) {
		w.store.SetFaults(kv.Faults{Delay: time.Duration(arg%3000) * time.Millisecond, DelayChance: 0.5})
	},
	"store heals":   func(w *faultCell, _ int) { w.store.SetFaults(kv.Faults{}) },
	"job cancelled": func(w *faultCell, arg int) { w.cancelJob(arg) },
	"job added":     func(w *faultCell, arg int) { w.addJob(arg) },
	"job changed":   func(w *faultCell, arg int) { w.changeJob(arg) },
}

func (w *faultCell) newOwner() {
	w.serial++
	w.owner = w.startDaemon(w.ctx, peer.MemberID(fmt.Sprintf("d%d", w.serial)))
	w.owner.own(0)
}

func (w *faultCell) killStale() {
	if w.stale != nil {
		w.stale.kill()
		w.stale = nil
	}
}

func (w *faultCell) workerAt(arg int) worker.ID {
	w.mu.Lock()
	defer w.mu.Unlock()
	var ids []worker.ID
	for id, wk := range w.workers {
		if !wk.removed {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids[arg%len(ids)]
}

func (c *cell) setUnreachable(id worker.ID, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	w.unreachable = on
	c.partitions[w.partition].markChanged()
}

func (c *cell) makeAllReachable() {
	for _, id := range c.workerIDs() {
		c.setUnreachable(id, false)
	}
}

func (c *cell) workerIDs() []worker.ID {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []worker.ID
	for id := range c.workers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (w *faultCell) cancelJob(arg int) {
	if len(w.jobs) > 2 {
		at := arg % len(w.jobs)
		w.jobs = slices.Delete(w.jobs, at, at+1)
		w.apply(w.teams, w.jobs...)
	}
}

func (w *faultCell) addJob(arg int) {
	w.serial++
	j := batch(fmt.Sprintf("j%d", w.serial), []string{"a", "b", "q"}[arg%3], 10+arg%90, time.Duration(200+arg%2000)*time.Millisecond)
	switch arg % 5 {
	case 0:
		j.NonIdempotent, j.Retries = true, 0
	case 1:
		j.Kind, j.Count = spec.Gang, 2+arg%10
	case 2:
		j.Class = spec.Urgent
	case 3:
		j.Team, j.Kind, j.Count, j.Service = "a", spec.Service, 1+arg%6, &spec.ServiceSettings{Slots: 8, Connections: 64}
	}
	w.jobs = append(w.jobs, j)
	w.apply(w.teams, w.jobs...)
}

func (w *faultCell) changeJob(arg int) {
	if len(w.jobs) > 0 {
		at := arg % len(w.jobs)
		w.jobs[at].Parameters = map[string]string{"v": fmt.Sprint(arg)}
		w.apply(w.teams, w.jobs...)
	}
}

// heal ends every fault and waits until all declared work is done.
func (w *faultCell) heal() {
	w.killStale()
	faultKinds["network heals"](w, 0)
	faultKinds["store heals"](w, 0)
	faultKinds["events are lost"](w, 0)
	w.makeAllReachable()
	w.await(10*time.Minute, "all work done after the faults", func() bool {
		for _, j := range w.jobs {
			if !w.jobDone(j) {
				return false
			}
		}
		return true
	})
	if len(w.problems) > 0 {
		status, err := w.owner.manager.Status(w.ctx, plan.Shard(0))
		w.problem("status %+v %v", status, err)
	}
}

func (w *faultCell) jobDone(j spec.Job) bool {
	if j.Kind == spec.Service {
		return w.runningTasks(j.Name) == j.Count
	}
	status, err := w.owner.manager.Status(w.ctx, plan.Shard(0))
	if err != nil {
		return false
	}
	for _, s := range status.Jobs {
		if s.Job == j.Name && !s.Cancelled {
			return s.Finished && (j.NonIdempotent || s.Tasks[TaskDone] == j.Count)
		}
	}
	return false
}

// runFaults runs a sequence of faults in virtual time and returns the problems.
func runFaults(t *testing.T, seed uint64, faults []fault) (problems []string) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); synctest.Wait() }()
		c := newCell(t, seed)
		c.net.SetDelay(time.Millisecond)
		for _, rack := range []string{"r1", "r2", "r3"} {
			c.addRack(ctx, rack, "z-"+rack, 4, core.Times(8))
		}
		go c.publish(ctx, 20*time.Millisecond)
		w := &faultCell{cell: c, ctx: ctx, teams: []spec.Team{{Name: "q", Quota: core.Times(12)}, {Name: "b", Weight: 2}}}
		defer func() { problems = c.problems }()
		w.newOwner()
		for i := range 6 {
			w.addJob(int(seed)*7 + i*31)
		}
		for _, f := range faults {
			faultKinds[f.Kind](w, f.Arg)
			time.Sleep(f.Wait)
			if len(c.problems) > 0 {
				return
			}
		}
		w.heal()
		c.checkShards()
	})
	return problems
}

// TestFaultsAloneTogetherAndTwice searches for double runs, reruns of finished tasks,
// exceeded quotas and lost work under random sequences of faults.
func TestFaultsAloneTogetherAndTwice(t *testing.T) {
	if os.Getenv("FENNEL_LONG") != "" {
		_ = flag.Set("rapid.checks", "3000")
	} else {
		_ = flag.Set("rapid.checks", "25")
	}
	var kinds []string
	for kind := range faultKinds {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	one := rapid.Custom(func(rt *rapid.T) fault {
		return fault{
			Kind: rapid.SampledFrom(kinds).Draw(rt, "kind"),
			Arg:  rapid.IntRange(0, 9999).Draw(rt, "arg"),
			Wait: time.Duration(rapid.IntRange(0, 4000).Draw(rt, "wait ms")) * time.Millisecond,
		}
	})
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64Range(1, 1000).Draw(rt, "seed")
		faults := rapid.SliceOfN(one, 1, 25).Draw(rt, "faults")
		if problems := runFaults(t, seed, faults); len(problems) > 0 {
			rt.Fatalf("%d problems: %v", len(problems), problems)
		}
	})
}
