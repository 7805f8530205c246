package jobs

import (
	"time"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/crash"
	"fennelshunt.example/fennelshunt/process/jobs/progress"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/process/quota"
	"fennelshunt.example/fennelshunt/version/spec"
)

// applyEvents applies the events reported by a partition. Events of an owner
// with an older epoch than the newest known one are dropped, since its report
// that a worker is lost has no authority once another daemon owns the worker.
// The new owner reports again whatever is still true.
//
// It returns false when the sender has to repeat the events later. While a fence
// reply is in flight, a completion that overtook it would be undone by the older
// list in the reply, and the ended task would count as live for ever.
func (st *state) applyEvents(events *plan.Events) bool {
	p := st.partition(events.Partition)
	if events.Epoch < p.owner.Epoch || events.Epoch < p.fencedEpoch {
		return true
	}
	if p.fencing || p.fencedEpoch != events.Epoch {
		return false
	}
	for i := range events.Events {
		st.applyEvent(p, &events.Events[i], false)
	}
	st.round.dirty = true
	return true
}

// applyEvent applies one event. It may arrive twice, before the response to its
// plan, after a later event, or for an attempt of a previous owner. Only an event
// from a fence reply (listed) can make an attempt live: a delayed report of a
// running task may be about an attempt that has ended since.
func (st *state) applyEvent(p *partition, ev *plan.Event, listed bool) {
	ref := worker.Ref{Task: ev.Task, Attempt: ev.Attempt}
	if a := st.surplus[ref]; a != nil {
		st.applySurplusEvent(p, a, ev)
		return
	}
	key := progress.Key{Job: ev.Task.Job, Generation: ev.Task.Generation}
	if key.Generation > st.config.Version {
		// It was started under a later configuration; the partition is fenced
		// again until that configuration has arrived here.
		p.unconfirmed = true
		return
	}
	if st.ofAnotherShard(key) {
		return
	}
	j := st.jobs[key]
	if j == nil && listed {
		j = st.adoptJob(key, ev)
	}
	if j == nil && (listed || ended(ev)) {
		st.discardAttempt(p, nil, ev)
	}
	if j == nil {
		return
	}
	a := j.live[uint32(ev.Task.Index)]
	switch {
	case a != nil && a.number == ev.Attempt:
		st.applyLiveEvent(p, a, ev)
	case ended(ev):
		st.applyOldResult(p, j, a, ev)
	case !listed:
		// It has ended here already, or the next fence reply will list it.
	case a == nil && !j.record.Finished(uint32(ev.Task.Index)) && ev.Task.Index < j.spec.Count:
		st.adopt(p, j, ev)
	default:
		st.discardAttempt(p, j, ev)
	}
}

// ofAnotherShard reports whether a job is declared for another shard. A partition
// owner that does not have the job's configuration yet assigns its tasks to shard
// 0, which must neither stop them nor acknowledge their results. Their own shard
// requests them by the name of the job when it fences the partition.
func (st *state) ofAnotherShard(key progress.Key) bool {
	declared := st.config.Jobs[key.Job]
	return declared != nil && declared.Generation == key.Generation && !st.mine(declared.Team)
}

// ended reports whether the attempt certainly no longer runs.
func ended(ev *plan.Event) bool { return ev.Lost || ev.NotStarted || ev.State.Ended() }

// applyLiveEvent applies an event of the task's live attempt.
func (st *state) applyLiveEvent(p *partition, a *attempt, ev *plan.Event) {
	if ev.Worker != "" {
		st.setWorker(a, ev.Worker)
	}
	if ended(ev) {
		st.endAttempt(a, ev)
		return
	}
	st.learner.Observe(a.ref(), ev.Usage)
	if a.partition != p.name {
		st.violated("task %s attempt %d runs in partition %s but was sent to %s", a.task(), a.number, p.name, a.partition)
		a.partition = p.name
	}
	if a.phase < running && (ev.State == worker.Running || ev.State == worker.Throttled) {
		a.phase = running
		st.o.Metrics.observeWait(a.job.class, time.Since(a.waitingSince))
		a.decided = time.Now()
	}
	if a.stopping && a.stopSent.IsZero() {
		st.sendStop(a, plan.StopNow)
	}
}

// adopt makes an attempt of a previous owner live.
func (st *state) adopt(p *partition, j *job, ev *plan.Event) {
	a := st.attemptOf(p, j, ev)
	st.account(j).Adopt(quota.Size(a.size))
	st.makeLive(a)
	if j.record.StartLimit <= a.index {
		st.violated("task %s runs above the durable limit %d", a.task(), j.record.StartLimit)
	}
	st.o.Metrics.Adopted.Add(1)
	if j.cancelled {
		st.stopCancelled(a)
	}
}

func (st *state) attemptOf(p *partition, j *job, ev *plan.Event) *attempt {
	reached := starting
	if ev.State == worker.Running || ev.State == worker.Throttled {
		reached = running
	}
	return &attempt{
		job: j, index: uint32(ev.Task.Index), number: ev.Attempt, phase: reached,
		partition: p.name, worker: ev.Worker, size: st.sizeOf(j, ev),
		decided: time.Now(), waitingSince: time.Now(),
	}
}

// sizeOf returns the size that an adopted attempt reserves according to the
// snapshot, or the declared size.
func (st *state) sizeOf(j *job, ev *plan.Event) spec.Resources {
	if snap := st.o.Snapshots(); snap != nil {
		if w := snap.Lookup(ev.Worker); w != nil {
			if at := w.Find(worker.Ref{Task: ev.Task, Attempt: ev.Attempt}); at >= 0 {
				return w.Tasks[at].Size()
			}
		}
	}
	return j.spec.Size
}

// discardAttempt stops an attempt that must not run, because its task is
// finished, has another live attempt or belongs to no job; if the attempt has
// ended, it acknowledges the result.
func (st *state) discardAttempt(p *partition, j *job, ev *plan.Event) {
	ref := worker.Ref{Task: ev.Task, Attempt: ev.Attempt}
	if ended(ev) {
		st.queueAck(p.name, ref)
		return
	}
	if j != nil && j.live[uint32(ev.Task.Index)] != nil {
		st.violated("task %s runs twice: attempt %d beside %d", ev.Task, ev.Attempt, j.live[uint32(ev.Task.Index)].number)
	}
	if j == nil {
		j = newJob(&spec.VersionedJob{Job: spec.Job{Name: ev.Task.Job}, Generation: ev.Task.Generation},
			progress.NewJob(ev.Task.Job, ev.Task.Generation), time.Now(), 0)
		j.cancelled = true
	}
	a := st.attemptOf(p, j, ev)
	a.stopping = true
	st.account(j).Adopt(quota.Size(a.size))
	st.surplus[ref] = a
	st.stopping[a] = struct{}{}
	st.sendStop(a, plan.StopNow)
}

func (st *state) applySurplusEvent(p *partition, a *attempt, ev *plan.Event) {
	if !ended(ev) {
		return
	}
	st.removeSurplus(a)
	st.queueAck(p.name, a.ref())
}

// makeSurplus stops a live attempt whose task has succeeded in another attempt.
func (st *state) makeSurplus(a *attempt) {
	delete(a.job.live, a.index)
	if !a.phase.mayRun() {
		a.job.live[a.index] = a
		st.removeLive(a)
		return
	}
	st.surplus[a.ref()] = a
	a.stopping = true
	st.stopping[a] = struct{}{}
	st.sendStop(a, plan.StopNow)
}

func (st *state) removeSurplus(a *attempt) {
	delete(st.surplus, a.ref())
	delete(st.stopping, a)
	st.learner.Ended(a.ref(), 0, false) // it may have been reported while live
	st.account(a.job).Refund(quota.Size(a.size))
	if st.round.planner != nil {
		st.round.planner.Forget(a.ref())
	}
}

// applyOldResult applies the completion of an attempt that is not live here: it
// is a repeated report, or the attempt was started by a previous owner. A task
// that has succeeded is done whichever attempt it was.
func (st *state) applyOldResult(p *partition, j *job, live *attempt, ev *plan.Event) {
	index := uint32(ev.Task.Index)
	if ev.Task.Index >= j.spec.Count || j.record.Finished(index) || j.cancelled || j.service() {
		st.ackDurable(j, p.name, worker.Ref{Task: ev.Task, Attempt: ev.Attempt})
		return
	}
	succeeded := ev.State == worker.Succeeded && !ev.Lost && !ev.NotStarted
	if !succeeded && !j.blocked.Contains(index) {
		// Recorded as ended already; the sender has not received the response.
		st.queueAck(p.name, worker.Ref{Task: ev.Task, Attempt: ev.Attempt})
		return
	}
	if j.blocked.Contains(index) && (!succeeded && !j.spec.NonIdempotent || ev.NotStarted) {
		st.endWhileBlocked(p, j, ev)
		return
	}
	if live != nil {
		// The worker had been declared lost and reports the result after all.
		st.makeSurplus(live)
	}
	a := st.attemptOf(p, j, ev)
	st.account(j).Adopt(quota.Size(a.size))
	st.makeLive(a)
	st.endAttempt(a, ev)
}

// endAttempt applies the confirmed completion of an attempt.
func (st *state) endAttempt(a *attempt, ev *plan.Event) {
	if st.surplus[a.ref()] == a {
		st.removeSurplus(a)
		return
	}
	j := a.job
	st.learner.Ended(a.ref(), time.Since(a.decided), ev.State == worker.Succeeded && !ev.Lost)
	st.removeLive(a)
	st.consume(a)
	switch {
	case j.cancelled || j.service():
		st.queueAck(a.partition, a.ref())
		st.instanceEnded(a, ev)
	case ev.NotStarted:
		st.requeue(a)
		st.failGang(j, "start refused: "+ev.Message)
	case ev.State == worker.Succeeded && !ev.Lost:
		j.consecutiveFailures = 0
		st.finish(j, a, j.record.Done.Add)
	default:
		st.handleUnsuccessful(a, ev)
	}
	st.afterEnd(j)
}

// removeLive removes an attempt from the live ones and refunds its charge.
func (st *state) removeLive(a *attempt) {
	delete(a.job.live, a.index)
	delete(st.stopping, a)
	st.account(a.job).Refund(quota.Size(a.size))
	if st.round.planner != nil {
		st.round.planner.Forget(a.ref())
	}
	st.round.dirty = true
}

// finish records a task's final outcome, which is acknowledged once durable.
func (st *state) finish(j *job, a *attempt, mark func(uint32)) {
	mark(a.index)
	j.record.ClearFailures(a.index)
	delete(j.avoid, a.index)
	delete(j.restarts, a.index)
	st.o.Metrics.Finished.Add(1)
	st.markDirty(j)
	st.ackDurable(j, a.partition, a.ref())
}

// ackDurable acknowledges a result after the next write, which contains it. An
// earlier acknowledgement would let the worker drop a result that a new owner of
// this shard still needs.
func (st *state) ackDurable(j *job, partition string, ref worker.Ref) {
	if j.cancelled || j.service() {
		st.queueAck(partition, ref)
		return
	}
	st.markPending()
	st.commit.acks = append(st.commit.acks, ackRef{partition, ref})
}

// handleUnsuccessful handles the completion of an attempt that did not succeed.
func (st *state) handleUnsuccessful(a *attempt, ev *plan.Event) {
	j := a.job
	switch {
	case j.spec.NonIdempotent:
		st.endNonIdempotent(a, ev)
	case ev.Lost:
		st.o.Metrics.Lost.Add(1)
		st.handleLoss(a, ev)
	case ev.State == worker.Failed:
		st.handleFailure(a)
	default: // stopped: preempted, or its worker is leaving
		st.ackDurable(j, a.partition, a.ref())
		st.makeReady(j, a.index, time.Now())
	}
	st.failGang(j, "a task of the gang ended early")
}

// endNonIdempotent records the final outcome of a task that must not start
// again: failed if the worker reported so, otherwise unknown, as it may have run.
func (st *state) endNonIdempotent(a *attempt, ev *plan.Event) {
	if ev.State == worker.Failed && !ev.Lost {
		st.finish(a.job, a, a.job.record.Failed.Add)
		return
	}
	st.finish(a.job, a, a.job.record.Unknown.Add)
}

// handleFailure counts a failure and starts the task again after a delay, until
// its retries are used up.
func (st *state) handleFailure(a *attempt) {
	j := a.job
	st.o.Metrics.Failed.Add(1)
	failures := j.record.AddFailure(a.index)
	j.consecutiveFailures++
	if failures > j.spec.Retries {
		st.finish(j, a, j.record.Failed.Add)
		return
	}
	st.avoid(a)
	st.markDirty(j)
	st.ackDurable(j, a.partition, a.ref())
	st.delay(j, a.index, st.o.Tuning.retryDelay(max(failures, j.consecutiveFailures/failuresPerStep)))
}

// avoidLimit is the number of workers that a task avoids at most.
const avoidLimit = 3

// avoid excludes the worker of a failed attempt from the task's next ones, since
// the worker may be the cause of the failure.
func (st *state) avoid(a *attempt) {
	avoided := append(a.job.avoid[a.index], a.worker)
	if len(avoided) > avoidLimit {
		avoided = avoided[1:]
	}
	a.job.avoid[a.index] = avoided
}

// failuresPerStep is the number of consecutive failures of a job, without a
// success of any of its tasks, that lengthens the backoff of its tasks by one
// step.
const failuresPerStep = 16

// handleLoss starts a task again that was lost with its worker, unless it is
// found to crash its workers.
func (st *state) handleLoss(a *attempt, ev *plan.Event) {
	if !ev.Suspect {
		st.requeueLost(a)
		return
	}
	j := a.job
	losses, sole := j.record.AddLoss(a.index, ev.Sole)
	st.markDirty(j)
	if crash.LimitReached(losses, sole) {
		st.o.Metrics.CrashedWorkers.Add(1)
		st.o.Log.Warn().Stringer("task", a.task()).Int("workers", losses).Int("sole", sole).Msg("task failed permanently: its workers crashed repeatedly after its start")
		st.finish(j, a, j.record.Failed.Add)
		return
	}
	st.avoid(a)
	st.delay(j, a.index, st.o.Tuning.retryDelay(losses))
}

// requeueLost starts a task again whose worker was lost. After the loss of a
// rack, batch work below class High is requeued over a few seconds (LossSpread),
// so that services, gangs and urgent work, which are requeued at once, find the
// partition owners idle.
func (st *state) requeueLost(a *attempt) {
	if a.job.class.Rank() >= spec.High.Rank() || a.job.spec.Kind == spec.Gang {
		st.makeReady(a.job, a.index, time.Now())
		return
	}
	st.delay(a.job, a.index, spread(st.o.Tuning.LossSpread))
}

// instanceEnded starts an instance of a service again: at once after a loss or
// preemption, with exponential backoff when it failed or may have crashed its
// worker.
func (st *state) instanceEnded(a *attempt, ev *plan.Event) {
	j := a.job
	if j.cancelled {
		return
	}
	if (ev.State != worker.Failed || ev.Lost || ev.NotStarted) && !ev.Suspect {
		st.makeReady(j, a.index, time.Now())
		return
	}
	if time.Since(a.decided) > st.o.Tuning.RetryLast {
		j.record.ClearFailures(a.index)
	}
	st.delay(j, a.index, st.o.Tuning.retryDelay(j.record.AddFailure(a.index)))
}
