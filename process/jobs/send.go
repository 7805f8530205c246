package jobs

import (
	"context"
	"errors"
	"slices"
	"time"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/version/spec"
)

// unsentTimeout is how long an attempt waits for its partition to become usable
// before its task is placed again.
const unsentTimeout = time.Second

// maxTasksPerCall bounds the tasks of one Stop or Ack.
const maxTasksPerCall = 1024

func contextWithTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, d)
}

// queueStart puts an attempt into the outbox of its partition, or defers that
// until the intent of its non-idempotent task is durable. Without a durable
// intent, a new owner would not find out that the task may have run, and would
// start it again.
func (st *state) queueStart(a *attempt) {
	if st.needsWrite(a) {
		a.phase = intending
		st.markPending()
		st.commit.waiting = append(st.commit.waiting, a)
		return
	}
	if a.reservation != "" {
		st.gangReady(a)
		return
	}
	st.queueStep(a)
}

func (st *state) queueStep(a *attempt) {
	a.phase = unsent
	p := st.partition(a.partition)
	p.starts = append(p.starts, a)
}

func (st *state) needsWrite(a *attempt) bool {
	if !a.job.spec.NonIdempotent || a.job.durableIntent.Contains(a.index) {
		return false
	}
	a.job.record.Intent.Add(a.index)
	st.markDirty(a.job)
	return true
}

// send sends what is in the outboxes of the partitions that have an owner, unless
// a call of the same kind to the partition is in flight.
func (st *state) send(now time.Time) {
	st.fenceAll(now)
	for _, p := range st.partitions {
		if len(p.starts) > 0 {
			st.sendPlan(p, now)
		}
		if len(p.stops) > 0 && !p.stopping && p.known {
			st.sendStops(p)
		}
		if len(p.acks) > 0 && !p.acking && p.known && !now.Before(p.ackAfter) {
			st.sendAcks(p)
		}
	}
}

func (st *state) sendPlan(p *partition, now time.Time) {
	if p.planning {
		return
	}
	if !st.usable(p) || !st.mayStart() {
		if now.Sub(p.starts[0].decided) > unsentTimeout || st.releasing {
			st.returnStarts(p)
		}
		return
	}
	attempts := st.nextStarts(p)
	if len(attempts) == 0 {
		return
	}
	p.planning = true
	request := plan.Plan{
		Partition: p.name, Author: st.author(), Seq: st.shard.seq.Add(1),
		Reservation: attempts[0].reservation, Steps: make([]plan.Step, len(attempts)),
		MayRebind: attempts[0].reservation == "", NoRebind: st.round.noRebind[p.name],
	}
	for i, a := range attempts {
		request.Steps[i] = step(a)
		a.phase, a.sentEpoch = sent, p.owner.Epoch
		a.unplaced = request.MayRebind && len(a.victims) == 0
	}
	st.o.Metrics.Plans.Add(1)
	st.o.Metrics.Steps.Add(int64(len(attempts)))
	result := new(plan.Result)
	st.callOwner(p.owner, plan.MethodCommit, &request, result, func(st *state, err error) {
		p.planning = false
		st.handlePlanResult(p, attempts, result, err)
	})
}

// nextStarts removes the attempts of the next plan from the outbox, highest class
// first. A plan on a reservation contains only the attempts of that reservation.
func (st *state) nextStarts(p *partition) []*attempt {
	p.starts = slices.DeleteFunc(p.starts, func(a *attempt) bool { return a.job.live[a.index] != a })
	slices.SortStableFunc(p.starts, func(a, b *attempt) int { return b.job.class.Rank() - a.job.class.Rank() })
	if len(p.starts) == 0 {
		return nil
	}
	reservation := p.starts[0].reservation
	var group, rest []*attempt
	for _, a := range p.starts {
		if a.reservation == reservation && len(group) < st.o.Tuning.PlanSteps {
			group = append(group, a)
		} else {
			rest = append(rest, a)
		}
	}
	p.starts = rest
	return group
}

// returnStarts reverts the attempts that were never sent.
func (st *state) returnStarts(p *partition) {
	starts := p.starts
	p.starts = nil
	for _, a := range starts {
		if a.job.live[a.index] == a {
			st.revertStart(a, "owner of the workers not reachable")
		}
	}
}

func step(a *attempt) plan.Step {
	j := a.job
	s := plan.Step{
		Worker: a.worker, Class: j.class, Team: j.spec.Team, Victims: a.victims,
		Constraints: j.spec.Constraints, NonIdempotent: j.spec.NonIdempotent, Avoid: j.avoid[a.index],
		Start: worker.Start{
			Task: a.task(), Attempt: a.number, Kind: j.spec.Kind, Size: a.size,
			RunTime: j.spec.RunTime, Parameters: j.spec.Parameters, Checkpoint: !j.spec.NonIdempotent,
		},
	}
	if j.spec.Service != nil {
		s.Start.Service = j.key.Job
		s.Start.Slots, s.Start.Conns = j.spec.Service.Slots, j.spec.Service.Connections
	}
	return s
}

// handlePlanResult handles the response to a plan. If the call certainly did not
// run, its tasks become ready again. If that is uncertain, they stay live until
// the partition has listed its tasks in the reply to a fence with a higher
// sequence number.
func (st *state) handlePlanResult(p *partition, attempts []*attempt, result *plan.Result, err error) {
	switch {
	case err == nil && len(result.Steps) == len(attempts):
		for i, a := range attempts {
			st.handleStepResult(p, a, &result.Steps[i])
		}
	case notRun(err):
		for _, a := range attempts {
			if a.job.live[a.index] == a && a.phase == sent {
				st.revertStart(a, "owner of the workers not reachable")
			}
		}
		p.fencedEpoch = 0
	default:
		p.unconfirmed, p.nextFence = true, time.Time{}
		st.o.Metrics.LostAnswers.Add(1)
		for _, a := range attempts {
			if a.phase == sent {
				a.phase = uncertain
			}
		}
	}
	st.round.dirty = true
}

// notRun reports whether a call certainly did not run at the remote peer.
func notRun(err error) bool {
	return errors.Is(err, peer.ErrNotSent) || errors.Is(err, peer.ErrWrongIncarnation) || errors.Is(err, peer.ErrNoMethod)
}

func (st *state) handleStepResult(p *partition, a *attempt, r *plan.StepResult) {
	if a.job.live[a.index] != a {
		return // an event has ended the attempt already
	}
	switch r.Outcome {
	case plan.Accepted:
		st.setWorker(a, r.Worker)
		st.markAccepted(a)
	case plan.Duplicate:
		// The partition holds another attempt of the task, unknown to this owner.
		a.phase = uncertain
		p.unconfirmed, p.nextFence = true, time.Time{}
	case plan.NoWorker, plan.NoCapacity:
		st.recordRefusal(a.worker)
		st.revertStart(a, reasonOf(r))
	default: // Stale, NotOwner, NotFenced
		p.fencedEpoch = 0
		st.revertStart(a, reasonOf(r))
	}
}

func reasonOf(r *plan.StepResult) string {
	if r.Reason != "" {
		return r.Reason
	}
	return string(r.Outcome)
}

// setWorker records the worker that a task was started on, which differs from
// the planned one if the step was rebound.
func (st *state) setWorker(a *attempt, id worker.ID) {
	a.unplaced = false
	if id == "" || id == a.worker {
		return
	}
	a.worker = id
	st.o.Metrics.Rebound.Add(1)
	if st.round.planner != nil {
		st.round.planner.Move(a.ref(), id)
	}
}

func (st *state) markAccepted(a *attempt) {
	if a.phase < starting {
		a.phase = starting
	}
	st.o.Metrics.Started.Add(1)
	if a.stopping {
		st.sendStop(a, plan.StopNow)
	}
}

// revertStart makes a task ready again whose start certainly did not happen.
func (st *state) revertStart(a *attempt, reason string) {
	st.o.Metrics.Refused.Add(1)
	st.removeLive(a)
	st.failGang(a.job, reason)
	if !a.stopping {
		a.job.wait = reason
	}
	st.requeue(a)
	st.afterEnd(a.job)
}

// requeue makes a task ready again and keeps the time since which it waits.
func (st *state) requeue(a *attempt) {
	st.makeReady(a.job, a.index, time.Now())
	if _, ok := a.job.requeued[a.index]; ok {
		a.job.requeued[a.index] = a.waitingSince
	}
}

// stop requests the end of an attempt.
func (st *state) stop(a *attempt) {
	if a.stopping {
		return
	}
	a.stopping = true
	if !a.phase.mayRun() {
		st.revertStart(a, "cancelled")
		return
	}
	st.stopping[a] = struct{}{}
	if a.phase >= starting {
		st.sendStop(a, plan.StopNow)
	}
}

func (st *state) sendStop(a *attempt, mode plan.StopMode) {
	a.stopSent = time.Now()
	p := st.partition(a.partition)
	p.stops[mode] = append(p.stops[mode], a.ref())
}

// repeatStops resends stops that have had no visible effect.
func (st *state) repeatStops(now time.Time) {
	for a := range st.stopping {
		if a.phase >= starting && now.Sub(a.stopSent) > st.o.Tuning.StopResendInterval+st.o.Tuning.drainOf(a.job) {
			st.sendStop(a, plan.StopNow)
		}
	}
}

// drainOf is how long an instance may take to finish its requests.
func (t *Tuning) drainOf(j *job) time.Duration {
	if j.spec.Kind == spec.Service {
		return t.Drain
	}
	return 0
}

func (st *state) sendStops(p *partition) {
	for mode, refs := range p.stops {
		n := min(len(refs), maxTasksPerCall)
		request := plan.Stop{
			Partition: p.name, Author: st.author(), Tasks: refs[:n:n], Mode: mode,
			DrainMillis: st.o.Tuning.Drain.Milliseconds(),
		}
		if p.stops[mode] = refs[n:]; len(p.stops[mode]) == 0 {
			delete(p.stops, mode)
		}
		p.stopping = true
		// An error is ignored: repeatStops resends a lost stop.
		st.callOwner(p.owner, plan.MethodStop, &request, nil, func(_ *state, _ error) { p.stopping = false })
		return
	}
}

func (st *state) queueAck(partition string, ref worker.Ref) {
	p := st.partition(partition)
	p.acks = append(p.acks, ref)
}

func (st *state) sendAcks(p *partition) {
	n := min(len(p.acks), maxTasksPerCall)
	refs := p.acks[:n:n]
	p.acks = p.acks[n:]
	p.acking = true
	request := plan.Ack{Partition: p.name, Author: st.author(), Tasks: refs}
	st.callOwner(p.owner, plan.MethodAck, &request, nil, func(st *state, err error) {
		p.acking = false
		if err != nil && p.known {
			p.acks = append(p.acks, refs...)
			p.ackAfter = time.Now().Add(st.o.Tuning.FenceRetryInterval)
		}
	})
}
