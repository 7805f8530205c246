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

// startOrRebind starts a step, if allowed on another worker: when the planned one has
// no capacity, and at random.
func (p *fakePartition) startOrRebind(r *plan.Plan, s plan.Step) plan.StepResult {
	moves := r.MayRebind && len(s.Victims) == 0
	result := plan.StepResult{Outcome: plan.NoCapacity}
	if !moves || p.c.rng.IntN(5) > 0 {
		result.Outcome = p.start(r.Author.Shard, &s)
	}
	if !moves || result.Outcome == plan.Accepted || result.Outcome == plan.Duplicate {
		return result
	}
	first := s.Worker
	for _, id := range p.workerIDs() {
		if id == first || slices.Contains(r.NoRebind, id) || slices.Contains(s.Avoid, id) {
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

// rebindReserved returns another worker for a step of a gang if the planned one has no
// capacity. Moving a step that fits could take the capacity that is planned for
// another step of a gang that just fits.
func (p *fakePartition) rebindReserved(r *plan.Reserve, s *plan.Step) worker.ID {
	takes := func(id worker.ID) bool {
		w := p.c.workers[id]
		return w != nil && !w.removed && !w.unreachable && s.Start.Size.Fits(p.free(w))
	}
	if !r.MayRebind || takes(s.Worker) {
		return ""
	}
	for _, id := range p.workerIDs() {
		if takes(id) && !slices.Contains(r.NoRebind, id) {
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

// TestLostAnswerOfAReboundStart guards against running a task twice. The owner of a
// rack starts a task on another worker than planned and crashes before its response
// arrives, and its successor cannot reach that worker. Not only the planned worker
// counts as one on which the task may run.
func TestLostAnswerOfAReboundStart(t *testing.T) {
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
		time.Sleep(15 * time.Second) // a second start of a running task would be recorded as a problem
		c.setUnreachable("r1-w0", false)
		c.await(2*time.Minute, "all done", func() bool { return d.tasks(ctx, "b")[TaskDone] == 30 })
	})
}

// TestReboundTaskIsRecordedWhereItRuns guards against ignoring the worker named in the
// response to a rebound start: explain would name a worker that does not run the task,
// and the planner would charge the wrong worker.
func TestReboundTaskIsRecordedWhereItRuns(t *testing.T) {
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

// TestExplainGivesTheReasonForAvoidingAWorker guards against explain reporting idle
// workers as full. The owner of a rack accepts no plans yet because its claim is newer
// than its last fence reply, and explain must give that reason.
func TestExplainGivesTheReasonForAvoidingAWorker(t *testing.T) {
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

// TestPlansNameTheWorkersKeptForAGang checks that plans list the workers whose capacity
// is withheld for a gang, because a partition owner that rebinds a step has no record of
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
		noRebind := map[string][]worker.ID{}
		c.await(10*time.Second, "kept", func() bool {
			_ = d.manager.shard(0).call(ctx, func(st *state) {
				for name, ids := range st.round.noRebind {
					noRebind[name] = ids
				}
			})
			return len(noRebind) > 0
		})
		for name, ids := range noRebind {
			for _, id := range ids {
				require.Equal(t, name, c.workers[id].partition)
			}
		}
		c.await(2*time.Minute, "gang done", func() bool { return c.succeeded("g") == 60 })
		require.Empty(t, d.withheldWorkersOf(ctx))
	})
}

// withheldWorkersOf returns the workers whose capacity shard 0 still withholds for a gang.
func (d *daemon) withheldWorkersOf(ctx context.Context) (noRebind map[string][]worker.ID) {
	_ = d.manager.shard(0).call(ctx, func(st *state) { noRebind = st.round.noRebind })
	return noRebind
}
