package jobs

import (
	"time"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/jobs/queue"
	"fennelshunt.example/fennelshunt/process/quota"
	"fennelshunt.example/fennelshunt/process/sched"
	"fennelshunt.example/fennelshunt/process/sched/snapshot"
	"fennelshunt.example/fennelshunt/version/spec"
)

// roundState is the state of the current pass over the queue, and what decides
// when the next one starts.
type roundState struct {
	planner *sched.Planner
	snap    *sched.Snapshot
	active  *queue.Round[*job]
	// largest is the largest capacity of a usable VM in each dimension; used is
	// the total reserved on usable VMs.
	largest, used spec.Resources
	// protected is the waiting gang or task that capacity is kept free for.
	protected *gangShadow
	// wasted is the time spent in the last round on tasks that were not placed.
	wasted time.Duration
	// noWorkers is set when the last snapshot had no workers.
	noWorkers bool
	// dirty is set when something happened that may change a decision.
	dirty                       bool
	last, lastTick, lastRecheck time.Time
	// refused holds the workers whose owner recently refused a step, with the
	// time until which they are avoided.
	refused map[worker.ID]time.Time
	// blocked holds the workers that the planner must not use, with the reason.
	blocked map[worker.ID]string
	// localPartitions lists the partitions that this daemon owns, sorted.
	localPartitions []string
	// noRebind lists, by partition, the workers whose capacity is withheld for
	// protected.
	noRebind map[string][]worker.ID
}

// decide makes at most SliceLimit decisions.
func (st *state) decide(now time.Time) {
	if !st.mayStart() {
		st.round.active = nil
		return
	}
	if st.round.active == nil && !st.beginRound(now) {
		return
	}
	for range st.o.Tuning.SliceLimit {
		e, ok := st.round.active.Next()
		if !ok {
			st.round.active = nil
			return
		}
		started := time.Now()
		if !st.serve(e, now) {
			st.round.wasted += time.Since(started)
		}
		if st.round.active == nil {
			return
		}
	}
}

// mayStart reports whether this daemon may start new tasks now.
func (st *state) mayStart() bool {
	if st.releasing {
		return false
	}
	start, _ := st.o.Directory.Authority()
	return start > 0
}

func (st *state) beginRound(now time.Time) bool {
	snap := st.o.Snapshots()
	if !st.round.dirty && (st.queue.Empty() || snap == st.round.snap) || now.Before(st.nextRound()) {
		return false
	}
	st.round.last, st.round.wasted = now, 0
	// Without workers no decision can be made and the round stays due; starting
	// it again after RoundGap would keep a core busy.
	if st.round.noWorkers = snap.Len() == 0; st.round.noWorkers {
		return false
	}
	if st.round.planner == nil {
		st.round.planner = sched.NewPlanner(snap)
		st.preferLocalPartitions()
	} else {
		st.round.planner.Rebase(snap)
	}
	if snap != st.round.snap {
		st.round.snap = snap
		st.updateCapacity(snap)
	}
	st.blockUnusable(now)
	st.refreshProtection(now)
	st.others.rank(now, st.accounts, st.round.used)
	st.round.dirty = false
	st.round.active = st.queue.NewRound(spec.Low, func(team string) float64 { return st.accounts.Share(st.accounts.Account(team)) })
	return true
}

// wastedShare limits the CPU time of decisions that place nothing to about
// 1/wastedShare of a core: after a round that spent d on them, the next one
// begins at least wastedShare*d, but no later than RoundInterval, after its start.
// When many tasks wait and no capacity is freed, rounds become less frequent.
const wastedShare = 50

// nextRound returns when the next round may begin. Urgent tasks are not delayed.
func (st *state) nextRound() time.Time {
	gap := st.o.Tuning.RoundGap
	if st.round.noWorkers {
		gap = st.o.Tuning.RoundInterval
	} else if st.queue.Len(spec.Urgent) == 0 {
		gap = min(max(gap, wastedShare*st.round.wasted), st.o.Tuning.RoundInterval)
	}
	return st.round.last.Add(gap)
}

// restartRound makes the next slice start over with the highest class.
func (st *state) restartRound() {
	st.round.active = nil
	st.round.dirty = true
}

func (st *state) updateCapacity(snap *sched.Snapshot) {
	var total, largest, used spec.Resources
	snap.All(func(w *snapshot.Worker) bool {
		if w.Unusable == "" {
			total = total.Add(w.Capacity)
			largest = maxResources(largest, w.Capacity)
			used = used.Add(w.Reserved)
		}
		return true
	})
	st.accounts.SetCapacity(quota.Size(total))
	st.round.largest, st.round.used = largest, used
}

func maxResources(a, b spec.Resources) spec.Resources {
	return spec.Resources{
		MilliCPU: max(a.MilliCPU, b.MilliCPU), MemoryMB: max(a.MemoryMB, b.MemoryMB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

// resizeInterval is the minimum time between two updates of a job's learned size.
const resizeInterval = time.Second

// resized applies a newly learned size and reports whether this moved the job to
// another position in the queue.
func (st *state) resized(e *queue.Entry[*job], now time.Time) bool {
	j := e.Value
	if now.Sub(j.sizedAt) < resizeInterval {
		return false
	}
	j.sizedAt = now
	j.runTime = st.learner.RunTime(j.key.Job)
	size := st.learner.Size(j.key.Job, st.round.largest)
	if size == j.size || size.IsZero() {
		return false
	}
	j.size = size
	st.queue.Remove(e)
	e.Shape = j.shape()
	st.queue.Add(e)
	return true
}

// serve tries to start the next task of a job, or a whole gang, and reports
// whether it did.
func (st *state) serve(e *queue.Entry[*job], now time.Time) bool {
	j := e.Value
	if j.spec.Kind == spec.Gang {
		return st.serveGang(e, now)
	}
	index, ok := j.next()
	if !ok {
		st.queue.Remove(e)
		return false
	}
	if j.service() && st.waitsForOldInstance(j) {
		j.wait = "rolling replacement: waits for an old instance to end"
		st.round.active.SkipShape(e)
		return false
	}
	if st.resized(e, now) || !st.fitsQuota(e, j.size) || !st.withinStartRate(j, now) {
		return false
	}
	ask := st.ask(j, index, st.attemptNumber(j, index))
	d := st.round.planner.Place(ask)
	if !d.Placed() && len(ask.Avoid) > 0 {
		delete(j.avoid, index) // no other worker has capacity: retry on the avoided ones
		ask.Avoid = nil
		d = st.round.planner.Place(ask)
	}
	if !d.Placed() {
		if d.Infeasible == "" {
			st.offerTask(j, now)
		}
		delete(st.others.yielding, j.spec.Team)
		st.refuseJob(e, d.Rejections, d.Infeasible)
		return false
	}
	if st.yields(e, now) {
		return false
	}
	st.endProtection(j)
	st.assign(j, index, &ask, &d, now)
	st.round.active.Served(j.spec.Team)
	return true
}

// fitsQuota reports whether the team's quota has capacity for size. A size that
// exceeds the whole quota makes the job infeasible.
func (st *state) fitsQuota(e *queue.Entry[*job], size spec.Resources) bool {
	j := e.Value
	if !st.account(j).CanEverFit(quota.Size(size)) {
		st.refuseJob(e, nil, "larger than the quota of the team")
		return false
	}
	if !st.account(j).Fits(quota.Size(size)) {
		j.wait = "quota of the team is used up"
		j.rejections = nil
		st.round.active.SkipTeamShape(e)
		return false
	}
	return true
}

// withinStartRate reports whether a start is within the start rate of the shard.
// Work of class High, the default of services, and above is never limited: after
// the loss of a rack it starts first, and the rest follows at a rate that the
// partition owners can process.
func (st *state) withinStartRate(j *job, now time.Time) bool {
	if j.class.Rank() >= spec.High.Rank() || st.limiter.TokensAt(now) >= 1 {
		return true
	}
	j.wait = "starts are paced"
	st.restartRound()
	return false
}

// refuseJob records why a job's next task could not be placed and skips its
// shape for this round; an infeasible job leaves the queue.
func (st *state) refuseJob(e *queue.Entry[*job], rejections []sched.Rejection, infeasible string) {
	j := e.Value
	j.wait, j.rejections = "", rejections
	st.others.unserved[j.spec.Team] = st.round.last
	if infeasible == "" {
		st.round.active.SkipShape(e)
		return
	}
	if j.infeasible == "" {
		st.o.Log.Warn().Str("job", j.key.Job).Str("reason", infeasible).Msg("job can never run on the current workers or within its quota; it is checked again periodically")
	}
	j.infeasible = infeasible
	st.queue.Remove(e)
}

// recheckInfeasible queues infeasible jobs again, since workers may have joined
// or the quota may have been raised.
func (st *state) recheckInfeasible(now time.Time) {
	if now.Sub(st.round.lastRecheck) < recheckInterval {
		return
	}
	st.round.lastRecheck = now
	st.recheckAll()
}

func (st *state) recheckAll() {
	for _, j := range st.current {
		if j.infeasible != "" {
			st.enqueue(j)
		}
	}
}

// recheckInterval is the time between two attempts to place an infeasible job.
const recheckInterval = 5 * time.Second

// assign creates the attempt for a placement decision and queues its step.
func (st *state) assign(j *job, index uint32, ask *sched.Ask, d *sched.Decision, now time.Time) *attempt {
	a := &attempt{
		job: j, index: index, number: ask.Attempt, partition: d.Partition, worker: d.Worker,
		size: ask.Size, victims: d.Victims, decided: now, waitingSince: j.readySince(index),
	}
	st.limiter.AllowN(now, 1)
	st.round.planner.Assume(*ask, *d)
	if err := st.account(j).Charge(quota.Size(a.size)); err != nil {
		st.violated("charge exceeds the quota although it was checked: %v", err)
	}
	st.makeLive(a)
	j.wait, j.rejections, j.infeasible = "", nil, ""
	st.queueStart(a)
	return a
}

// makeLive moves a waiting task to the live ones.
func (st *state) makeLive(a *attempt) {
	j := a.job
	if j.live[a.index] != nil || j.record.Finished(a.index) {
		st.violated("task %s starts although it is live or finished", a.task())
	}
	j.ready.Remove(a.index)
	j.blocked.Remove(a.index)
	j.delayed.Remove(a.index)
	delete(j.requeued, a.index)
	j.live[a.index] = a
	if j.ready.IsEmpty() {
		st.queue.Remove(j.entry)
	}
	st.raiseLimit(j)
}

// readySince returns the time since which a task has been ready.
func (j *job) readySince(index uint32) time.Time {
	if at, ok := j.requeued[index]; ok {
		return at
	}
	return j.arrived
}

// makeReady puts a task that is not live back into the queue.
func (st *state) makeReady(j *job, index uint32, now time.Time) {
	j.blocked.Remove(index)
	j.delayed.Remove(index)
	if j.cancelled || j.record.Finished(index) {
		return
	}
	j.ready.Add(index)
	j.requeued[index] = now
	st.enqueue(j)
}

// enqueue queues a job that has a task to start.
func (st *state) enqueue(j *job) {
	if j.cancelled || j.ready.IsEmpty() || j.entry.Queued() {
		return
	}
	st.queue.Add(j.entry)
	st.round.dirty = true
	if j.class == spec.Urgent && st.round.active != nil {
		st.restartRound()
	}
}
