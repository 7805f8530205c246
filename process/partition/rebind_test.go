package partition

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/process/sched/naive"
	"fennelshunt.example/fennelshunt/process/sched/snapshot"
	"fennelshunt.example/fennelshunt/version/spec"
)

// commitRebinding commits steps that may be rebound.
func (a *author) commitRebinding(d *daemon, noRebind []worker.ID, steps ...plan.Step) []plan.StepResult {
	a.seq++
	var result plan.Result
	require.NoError(a.c.t, a.call(d, plan.MethodCommit, plan.Plan{
		Partition: testPartition, Author: a.authorship(), Seq: a.seq, Steps: steps, MayRebind: true, NoRebind: noRebind,
	}, &result))
	return result.Steps
}

func TestStepMovesToAnotherWorkerOfTheRack(t *testing.T) {
	// Guards against refusing a third of the starts while the cell has free
	// capacity: several shards decide on one snapshot and choose the same worker,
	// or the worker fails between the snapshot and the plan. A step that did not
	// fit its named worker was refused.
	fullWorker := func(i int, id worker.ID) plan.Step {
		s := step(i, id)
		s.Start.Size = small.Times(4)
		return s
	}
	inBubble(t, 1, 3, large, func(c *cell) {
		d := c.ready()
		c.author.mustStart(d, fullWorker(0, workerID(0)))
		require.Equal(t, plan.NoCapacity, c.author.commit(d, fullWorker(1, workerID(0)))[0].Outcome, "not without MayRebind")
		r := c.author.commitRebinding(d, []worker.ID{workerID(1)}, fullWorker(1, workerID(0)))
		require.Equal(t, plan.StepResult{Outcome: plan.Accepted, Worker: workerID(2)}, r[0], "capacity withheld by the author is not used")
		c.eventually(5*time.Second, "runs there", func() bool {
			return c.author.received(func(e plan.Event) bool { return e.Task == taskID(1) && e.Worker == workerID(2) })
		})
		avoiding := fullWorker(2, workerID(0))
		avoiding.Avoid = []worker.ID{workerID(1)}
		require.Equal(t, plan.NoCapacity, c.author.commitRebinding(d, nil, avoiding)[0].Outcome, "not where it failed")
		c.rack.SetDown(workerID(0), true)
		c.eventually(10*time.Second, "unusable", func() bool { return c.workerState(d, workerID(0)).Unusable != "" })
		require.Equal(t, plan.StepResult{Outcome: plan.Accepted, Worker: workerID(1)}, c.author.commitRebinding(d, nil, step(3, workerID(0)))[0])
		require.Equal(t, plan.Duplicate, c.author.commitRebinding(d, nil, step(3, workerID(2)))[0].Outcome)
		c.rack.SetDown(workerID(0), false)
	})
}

// TestRebindAgainstNaive commits random steps while tasks end, and compares each
// result with that of the naive scheduler on the owner's state.
func TestRebindAgainstNaive(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			inBubble(t, 1, 5, spec.Resources{MilliCPU: 8000, MemoryMB: 8000}, func(c *cell) {
				d := c.ready()
				o, err := d.host.owner(testPartition)
				require.NoError(t, err)
				r := rand.New(rand.NewPCG(seed, 2))
				moved := 0
				for i := range 300 {
					s := randomStep(r, i)
					failed, err := call(c.ctx, o, func() error { return o.compareRebind(&s, c.author.authorship(), &moved) })
					require.NoError(t, err)
					require.NoError(t, failed, "step %d", i)
					if r.IntN(8) == 0 {
						time.Sleep(time.Duration(r.IntN(4)) * time.Second)
					}
				}
				require.Greater(t, moved, 30)
			})
		})
	}
}

func randomStep(r *rand.Rand, i int) plan.Step {
	s := step(i, workerID(r.IntN(5)))
	s.Start.Task.Job = fmt.Sprint("job-", r.IntN(3))
	s.Start.Size = spec.Resources{MilliCPU: 500 * (1 + r.Int64N(6)), MemoryMB: 500 * (1 + r.Int64N(6))}
	s.Start.RunTime = spec.Duration(time.Duration(1+r.IntN(5)) * time.Second)
	s.Constraints.MaxPerWorker = []int{0, 0, 2, 3}[r.IntN(4)]
	s.Constraints.Spread = []spec.Spread{"", spec.SpreadZone}[r.IntN(2)]
	return s
}

// compareRebind commits a step and returns an error if the result differs from
// that of the naive scheduler on the state before.
func (o *owner) compareRebind(s *plan.Step, author plan.Authorship, moved *int) error {
	states := o.stateSince(0).Workers
	plain, ask := naive.New(states), askOf(s)
	want := plan.StepResult{Outcome: plan.Accepted}
	if !plain.Fits(&ask, plain.Worker(s.Worker)) {
		want = searchRack(plain, ask, s.Worker)
	}
	got := o.commit(plan.Plan{Partition: testPartition, Author: author, Seq: 1 << 40, Steps: []plan.Step{*s}, MayRebind: true}).Steps[0]
	got.Reason = ""
	if got != want {
		return fmt.Errorf("step %+v on %+v: got %+v, want %+v", *s, states, got, want)
	}
	if got.Worker != "" {
		*moved++
	}
	for _, n := range o.nodes {
		if err := o.checkNode(n); err != nil {
			return err
		}
	}
	return nil
}

func searchRack(plain *naive.Scheduler, ask snapshot.Ask, first worker.ID) plan.StepResult {
	ask.Avoid = []worker.ID{first}
	place := plain.PlaceBatch
	if ask.Spreads() {
		place = plain.PlaceService
	}
	if id, ok := place(&ask); ok {
		return plan.StepResult{Outcome: plan.Accepted, Worker: id}
	}
	return plan.StepResult{Outcome: plan.NoCapacity}
}

func TestReservationMovesWithinTheRack(t *testing.T) {
	// Guards against a gang that releases all its reservations and waits although
	// its rack has free capacity for it: another task takes capacity that the
	// gang's snapshot showed as free, and a reservation that did not fit its named
	// worker was refused.
	inBubble(t, 1, 3, large, func(c *cell) {
		d := c.ready()
		big := func(i int, id worker.ID) plan.Step {
			s := step(i, id)
			s.Start.Size = small.Times(3)
			return s
		}
		c.author.mustStart(d, big(0, workerID(0)))
		c.author.seq++
		var r plan.Result
		require.NoError(t, c.author.call(d, plan.MethodReserve, plan.Reserve{
			Partition: testPartition, Author: c.author.authorship(), Seq: c.author.seq, Reservation: "g", TTLMillis: 3000,
			Steps: []plan.Step{big(1, workerID(0)), big(2, workerID(1))}, MayRebind: true,
		}, &r))
		moved := r.Steps[0].Worker
		require.Equal(t, plan.Accepted, r.Steps[0].Outcome)
		require.Contains(t, []worker.ID{workerID(1), workerID(2)}, moved)
		require.Equal(t, plan.Accepted, r.Steps[1].Outcome, "the step whose capacity was taken moves to another worker")
		require.Equal(t, small.Times(3), c.workerState(d, moved).Reserved)
		c.author.seq++
		var used plan.Result
		require.NoError(t, c.author.call(d, plan.MethodCommit, plan.Plan{
			Partition: testPartition, Author: c.author.authorship(), Seq: c.author.seq, Reservation: "g", Steps: []plan.Step{big(1, moved)},
		}, &used))
		require.Equal(t, []plan.StepResult{{Outcome: plan.Accepted}}, used.Steps)
	})
}
