package jobs

import (
	"time"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/jobs/progress"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/process/quota"
	"fennelshunt.example/fennelshunt/process/sched/snapshot"
	"fennelshunt.example/fennelshunt/version/spec"
)

// takeover tracks the tasks that a previous owner may have started, until every
// partition that it used has listed its tasks.
type takeover struct {
	records map[progress.Key]*progress.Job
	// waiting holds the partitions that have not accounted for all their
	// workers, with the minimum epoch of an owner whose list is valid.
	waiting map[string]uint64
	// failed holds the failures of blocked tasks that are counted already.
	failed map[worker.Ref]struct{}
	done   bool
}

func newTakeover(records []*progress.Job, head progress.Head) takeover {
	t := takeover{
		records: make(map[progress.Key]*progress.Job, len(records)),
		waiting: make(map[string]uint64, len(head.Partitions)),
		failed:  map[worker.Ref]struct{}{},
		done:    len(head.Partitions) == 0,
	}
	for _, j := range records {
		t.records[progress.Key{Job: j.Name, Generation: j.Generation}] = j
	}
	for name, epoch := range head.Partitions {
		t.waiting[name] = epoch
	}
	return t
}

// record returns the progress of a job and whether tasks may be running that
// this owner has not seen. That is possible for a job without a record, too: see
// initialStartLimit.
func (t *takeover) record(key progress.Key) (record *progress.Job, mayBeRunning bool) {
	if r := t.records[key]; r != nil {
		delete(t.records, key)
		return r, !t.done
	}
	return progress.NewJob(key.Job, key.Generation), !t.done
}

// classifyTasks puts each unfinished task of a new job into ready or blocked. Only
// tasks below the stored start limit may have been started by a previous owner.
func (st *state) classifyTasks(j *job, mayBeRunning bool) {
	j.ready.AddRange(0, uint64(j.spec.Count))
	j.ready.AndNot(j.record.Done)
	j.ready.AndNot(j.record.Failed)
	j.ready.AndNot(j.record.Unknown)
	if mayBeRunning {
		j.blocked.Or(j.ready)
		j.blocked.RemoveRange(uint64(j.record.StartLimit), maxTasks)
		j.ready.AndNot(j.blocked)
	}
}

// maxTasks is greater than every task index.
const maxTasks = 1 << 32

// markAccounted records that this owner has seen all tasks of a partition. After
// the last partition the takeover is complete and blocked tasks are released.
func (st *state) markAccounted(partition string) {
	if st.takeover.done {
		return
	}
	delete(st.takeover.waiting, partition)
	if len(st.takeover.waiting) > 0 {
		st.chargeBlocked()
		return
	}
	st.takeover.done = true
	st.o.Log.Info().Int("shard", int(st.shard.number)).Msg("shard takeover complete: every partition has listed its tasks or was removed")
	for _, j := range st.jobs {
		st.unblock(j)
		st.stopPartialGang(j)
	}
	clear(st.takeover.failed)
	st.chargeBlocked()
}

// endWhileBlocked handles the unsuccessful completion of an attempt of a blocked
// task. A later attempt may run on a worker that could not be reached yet; if this
// completion released the task, it would run twice. So the task stays blocked
// until the takeover is complete. A failure is counted once, since the partition
// reports it until it is acknowledged.
func (st *state) endWhileBlocked(p *partition, j *job, ev *plan.Event) {
	ref := worker.Ref{Task: ev.Task, Attempt: ev.Attempt}
	if _, counted := st.takeover.failed[ref]; !counted && ev.State == worker.Failed && !ev.Lost && !ev.NotStarted {
		st.takeover.failed[ref] = struct{}{}
		j.record.AddFailure(uint32(ev.Task.Index))
		st.markDirty(j)
	}
	st.ackDurable(j, p.name, ref)
}

// failBlocked marks the blocked tasks whose retries are used up as failed.
func (st *state) failBlocked(j *job) {
	for it := j.blocked.Clone().Iterator(); it.HasNext(); {
		index := it.Next()
		if j.service() || j.record.Failures(index) <= j.spec.Retries {
			continue
		}
		j.blocked.Remove(index)
		j.record.Failed.Add(index)
		j.record.ClearFailures(index)
		st.o.Metrics.Finished.Add(1)
		st.markDirty(j)
	}
}

// unblock makes the blocked tasks of a job ready, as no partition holds them. A
// non-idempotent task with an intent may have run on a worker that was lost since;
// it is not started again.
func (st *state) unblock(j *job) {
	if j.cancelled || j.blocked.IsEmpty() {
		return
	}
	if j.spec.NonIdempotent {
		unknown := j.blocked.Clone()
		unknown.And(j.durableIntent)
		j.record.Unknown.Or(unknown)
		j.blocked.AndNot(unknown)
		st.o.Metrics.Unknown.Add(int64(unknown.GetCardinality()))
		st.markDirty(j)
	}
	st.failBlocked(j)
	j.ready.Or(j.blocked)
	j.blocked.Clear()
	st.enqueue(j)
}

// stopPartialGang stops a gang of which only some tasks run, because the previous
// owner crashed between the starts in two partitions or a task has ended since.
// The running tasks would hold capacity and wait for the rest, which starts only
// when all tasks are ready. It also fails a gang of which a blocked task has used
// up its retries.
func (st *state) stopPartialGang(j *job) {
	if j.spec.Kind != spec.Gang || j.cancelled || j.gang != nil || j.ready.IsEmpty() {
		return
	}
	if len(j.live) > 0 || !j.record.Failed.IsEmpty() {
		st.failGang(j, "only a part of the gang was running at a takeover")
	}
}

// chargeBlocked charges to the quotas what blocked tasks may hold: the capacity of
// the unaccounted workers. The declared sizes are no bound, since a previous owner
// may have learned larger ones.
func (st *state) chargeBlocked() {
	blocked := map[string]spec.Resources{}
	for _, j := range st.current {
		declared := j.spec.Size.Times(learnedFactor * int64(j.blocked.GetCardinality()))
		blocked[j.spec.Team] = blocked[j.spec.Team].Add(declared)
	}
	limit, known := st.unaccountedCapacity()
	for team, size := range blocked {
		if known && !size.IsZero() {
			size = limit
		}
		st.accounts.Account(team).SetUnconfirmed(quota.Size(size))
	}
}

// learnedFactor is the assumed maximum ratio between learned and declared sizes,
// used where the capacity of the workers is not known. Declared sizes are off by
// up to a factor of three.
const learnedFactor = 3

// unaccountedCapacity returns the total capacity of the workers that may run
// tasks not seen by this owner; known is false when the snapshot lacks one of the
// partitions.
func (st *state) unaccountedCapacity() (total spec.Resources, known bool) {
	seen := map[string]bool{}
	st.o.Snapshots().All(func(w *snapshot.Worker) bool {
		if _, waits := st.takeover.waiting[w.Partition]; !waits {
			return true
		}
		seen[w.Partition] = true
		p := st.partitions[w.Partition]
		if p == nil || p.fencedEpoch == 0 {
			total = total.Add(w.Capacity)
		} else if _, ok := p.unaccounted[w.ID]; ok {
			total = total.Add(w.Capacity)
		}
		return true
	})
	return total, len(seen) == len(st.takeover.waiting)
}

// adoptJob returns a job for an attempt of an older generation of a service,
// which is replaced gradually; nil if the attempt belongs to no such service.
func (st *state) adoptJob(key progress.Key, ev *plan.Event) *job {
	current := st.current[key.Job]
	if current == nil || !current.service() || key.Generation >= current.key.Generation || ended(ev) {
		return nil
	}
	old := *current.spec
	old.Generation = key.Generation
	old.Count = max(old.Count, ev.Task.Index+1)
	j := newJob(&old, progress.NewJob(key.Job, key.Generation), time.Now(), 0)
	j.record.StartLimit = maxTasks - 1
	j.cancelled, j.adopted = true, true
	st.jobs[key] = j
	st.rolling[key.Job] = append(st.rolling[key.Job], j)
	return j
}
