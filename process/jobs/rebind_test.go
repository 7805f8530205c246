package jobs

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/process/sched"
	"fennelshunt.example/fennelshunt/version/spec"
)

// place starts a step, and where it may on another worker: when its own does
// not take it, and now and then for no reason.
func (p *fakePartition) place(r *plan.Plan, s plan.Step) plan.StepResult {
	moves := r.MayRebind && len(s.Victims) == 0
	result := plan.StepResult{Outcome: plan.NoRoom}
	if !moves || p.c.rng.IntN(5) > 0 {
		result.Outcome = p.start(r.Author.Shard, &s)
	}
	if !moves || result.Outcome == plan.Accepted || result.Outcome == plan.Duplicate {
		return result
	}
	first := s.Worker
	for _, id := range p.workerIDs() {
		if id == first || slices.Contains(r.Kept, id) || slices.Contains(s.Avoid, id) {
			continue
		}
		s.Worker = id
		if p.start(r.Author.Shard, &s) == plan.Accepted {
			return plan.StepResult{Outcome: plan.Accepted, Worker: id}
		}
	}
	s.Worker = first
	result.Outcome = p.start(r.Author.Shard, &s)
	return result
}

func (p *fakePartition) workerIDs() []worker.ID {
	var ids []worker.ID
	for id, w := range p.c.workers {
		if w.partition == p.name {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// rebindReserved finds another worker for a step of a gang whose own has no
// room, and returns it. Moving a step that fits would take the place that was
// planned for another one of a gang that just fits.
func (p *fakePartition) rebindReserved(r *plan.Reserve, s *plan.Step) worker.ID {
	takes := func(id worker.ID) bool {
		w := p.c.workers[id]
		return w != nil && !w.dead && !w.unreachable && s.Start.Size.Fits(p.free(w))
	}
	if !r.MayRebind || takes(s.Worker) {
		return ""
	}
	for _, id := range p.workerIDs() {
		if takes(id) && !slices.Contains(r.Kept, id) {
			s.Worker = id
			return id
		}
	}
	return ""
}

// inRack constrains a job to one rack, which in these tests is a partition.
func inRack(j spec.Job, rack string) spec.Job {
	j.Constraints.Racks = []string{rack}
	return j
}

func TestLostAnswerOfAReboundStart(t *testing.T) {
	// Symptom: a task runs twice.
	// Sequence: the owner of a rack starts a task on another worker than the
	// plan names and dies before its answer arrives; its successor can not
	// reach that worker.
	// Cause: only the worker named in the plan counted as where it may run.
	inCell(t, 1, func(ctx context.Context, c *cell) {
		moved := 0
		c.committed = func(_ *fakePartition, result *plan.Result) {
			c.net.Cut("p-r1", "d1")
			for i := range result.Steps {
				if result.Steps[i].Worker == "r1-w0" {
					moved++
				}
			}
		}
		c.apply(nil, inRack(batch("b", "a", 30, 20*time.Second), "r1"))
		d := c.startDaemon(ctx, "d1")
		d.own(0)
		c.await(10*time.Second, "all started", func() bool { return c.startedTasks() == 30 })
		require.Positive(t, moved)
		c.mu.Lock()
		c.committed = nil
		c.mu.Unlock()
		c.setUnreachable("r1-w0", true)
		c.startPartition(ctx, "r1")
		c.net.Heal("p-r1", "d1")
		time.Sleep(15 * time.Second) // a start beside a running task is a problem of the cell
		c.setUnreachable("r1-w0", false)
		c.await(2*time.Minute, "all done", func() bool { return d.tasks(ctx, "b")[TaskDone] == 30 })
	})
}

func TestReboundTaskIsKnownWhereItRuns(t *testing.T) {
	// Symptom: explain names a worker that does not run the task; the planner
	// counts it where it is not.
	// Sequence: a start is rebound.
	// Cause: the answer's worker was not taken.
	inCell(t, 1, func(ctx context.Context, c *cell) {
		c.apply(nil, inRack(batch("b", "a", 24, time.Hour), "r1"))
		d := c.startDaemon(ctx, "d1")
		d.own(0)
		c.await(10*time.Second, "all run", func() bool { return d.tasks(ctx, "b")[TaskRunning] == 24 })
		require.Positive(t, c.metrics.Rebound.Value())
		for i := range 24 {
			at := d.explain(ctx, "b", i).Worker
			c.mu.Lock()
			w, found := c.workers[at], false
			for ref := range w.tasks {
				found = found || ref.Task.Index == i
			}
			c.mu.Unlock()
			require.True(t, found, "task %d is not at %s", i, at)
		}
		c.await(5*time.Second, "the snapshot shows all", func() bool {
			waiting := 0
			_ = d.manager.shard(0).call(ctx, func(st *state) {
				st.round.planner.Rebase(st.o.Snapshots())
				waiting = st.round.planner.InFlight()
			})
			return waiting == 0
		})
	})
}

func TestExplainTellsWhyAWorkerIsLeftAlone(t *testing.T) {
	// Symptom: explain says that there is no room on workers that are idle.
	// Sequence: the owner of a rack takes no plans, because its claim is newer
	// than what it has listed.
	// Cause: such workers were counted as full.
	inCell(t, 1, func(ctx context.Context, c *cell) {
		d := c.startDaemon(ctx, "d1")
		d.own(0)
		time.Sleep(2 * time.Second)
		c.net.Cut("p-r1", "d1")
		c.startPartition(ctx, "r1")
		time.Sleep(2 * time.Second)
		c.apply(nil, inRack(batch("b", "a", 1, time.Second), "r1"))
		c.await(5*time.Second, "explained", func() bool {
			want := sched.Rejection{Reason: reasonNoPlans, Workers: 4}
			e, err := d.manager.Explain(ctx, spec.TaskID{Job: "b"})
			return err == nil && slices.Contains(e.Rejections, want)
		})
		c.net.Heal("p-r1", "d1")
		c.await(20*time.Second, "done", func() bool { return d.tasks(ctx, "b")[TaskDone] == 1 })
	})
}

// TestPlansNameTheWorkersKeptForAGang: an owner that rebinds does not know of
// the gang.
func TestPlansNameTheWorkersKeptForAGang(t *testing.T) {
	inCell(t, 1, func(ctx context.Context, c *cell) {
		d := c.startDaemon(ctx, "d1")
		d.own(0)
		gang := batch("g", "a", 60, 10*time.Second)
		gang.Kind = spec.Gang
		c.apply(nil, batch("b", "a", 60, 30*time.Second))
		c.await(10*time.Second, "busy", func() bool { return c.runningTasks("b") == 60 })
		c.apply(nil, batch("b", "a", 60, 30*time.Second), gang)
		kept := map[string][]worker.ID{}
		c.await(10*time.Second, "kept", func() bool {
			_ = d.manager.shard(0).call(ctx, func(st *state) {
				for name, ids := range st.round.kept {
					kept[name] = ids
				}
			})
			return len(kept) > 0
		})
		for name, ids := range kept {
			for _, id := range ids {
				require.Equal(t, name, c.workers[id].partition)
			}
		}
		c.await(2*time.Minute, "gang done", func() bool { return c.succeeded("g") == 60 })
		require.Empty(t, d.shardState(ctx))
	})
}

// shardState returns the workers that shard 0 still keeps for a gang.
func (d *daemon) shardState(ctx context.Context) (kept map[string][]worker.ID) {
	_ = d.manager.shard(0).call(ctx, func(st *state) { kept = st.round.kept })
	return kept
}
