package jobs

import (
	"slices"
	"time"

	"fennelshunt.example/fennelshunt/process/jobs/progress"
	"fennelshunt.example/fennelshunt/process/quota"
	"fennelshunt.example/fennelshunt/version/spec"
)

// applyConfig reconciles the jobs with a configuration: it adds new jobs and
// cancels removed or changed ones. A configuration older than the current one is
// ignored.
func (st *state) applyConfig(config *spec.Config) {
	if config.Version < st.config.Version {
		return
	}
	st.config = config
	if config.Version > st.commit.version {
		st.markPending()
		st.commit.version = config.Version
	}
	st.applyTeams()
	for name, j := range st.current {
		declared := config.Jobs[name]
		if declared == nil || declared.Generation != j.key.Generation || !st.mine(declared.Team) {
			st.cancel(j)
		}
	}
	for _, declared := range st.newJobs() {
		st.addJob(declared)
	}
	st.dropRecords()
	st.chargeBlocked()
	st.rollServices()
	st.recheckAll()
	st.round.dirty = true
}

func (st *state) mine(team string) bool {
	return ShardOfTeam(team, st.o.Shards) == st.shard.number
}

func (st *state) applyTeams() {
	for name, team := range st.config.Teams {
		if st.mine(name) {
			st.accounts.Account(name).Configure(float64(team.Weight), quota.Size(team.Quota))
		}
	}
}

// account returns the account of a job's team.
func (st *state) account(j *job) *quota.Account { return st.accounts.Account(j.spec.Team) }

// removeUnusedTeams removes the accounts of teams that are no longer declared and
// hold nothing.
func (st *state) removeUnusedTeams() {
	st.accounts.Each(func(a *quota.Account) {
		if st.config.Teams[a.Name] == nil {
			st.accounts.Remove(a.Name)
		}
	})
}

// newJobs returns the declared jobs that are not in the state yet, oldest first,
// so that every owner numbers arrivals in the same order.
func (st *state) newJobs() []*spec.VersionedJob {
	var added []*spec.VersionedJob
	for name, declared := range st.config.Jobs {
		if st.current[name] == nil && st.mine(declared.Team) {
			added = append(added, declared)
		}
	}
	slices.SortFunc(added, func(a, b *spec.VersionedJob) int {
		if a.Generation != b.Generation {
			return int(int64(a.Generation) - int64(b.Generation))
		}
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return added
}

func (st *state) addJob(declared *spec.VersionedJob) {
	key := progress.Key{Job: declared.Name, Generation: declared.Generation}
	record, mayBeRunning := st.takeover.record(key)
	st.arrivals++
	j := newJob(declared, record, time.Now(), st.arrivals)
	st.jobs[key], st.current[declared.Name] = j, j
	st.learner.Declare(j.key.Job, declared.Size, declared.RunTime.Std())
	st.classifyTasks(j, mayBeRunning)
	st.raiseLimit(j)
	st.enqueue(j)
	if st.takeover.done && mayBeRunning {
		st.unblock(j)
	}
}

// dropRecords removes the progress of jobs that are no longer declared.
func (st *state) dropRecords() {
	for key := range st.takeover.records {
		st.markPending()
		st.commit.removed[key] = struct{}{}
	}
	clear(st.takeover.records)
}

// cancel cancels a job. Its waiting tasks are dropped without visiting them, and
// each live one is stopped. The instances of a service that is replaced by a new
// generation are stopped gradually by rollServices.
func (st *state) cancel(j *job) {
	st.markPending()
	st.commit.removed[j.key] = struct{}{}
	delete(st.commit.dirty, j)
	delete(st.current, j.key.Job)
	st.queue.Remove(j.entry)
	j.cancelled = true
	j.ready.Clear()
	j.blocked.Clear()
	j.delayed.Clear()
	clear(j.requeued)
	if st.replaced(j) {
		st.rolling[j.key.Job] = append(st.rolling[j.key.Job], j)
	} else {
		for _, a := range j.live {
			st.stop(a)
		}
	}
	if st.config.Jobs[j.key.Job] == nil {
		st.learner.Remove(j.key.Job)
	}
	st.o.Metrics.Cancelled.Add(1)
	st.afterEnd(j)
}

// replaced reports whether a service continues in a newer generation.
func (st *state) replaced(j *job) bool {
	declared := st.config.Jobs[j.key.Job]
	return j.service() && declared != nil && declared.Kind == spec.Service && st.mine(declared.Team)
}

// stopCancelled stops an adopted attempt of a cancelled job.
func (st *state) stopCancelled(a *attempt) {
	if slices.Contains(st.rolling[a.job.key.Job], a.job) {
		st.rollServices()
		return
	}
	st.stop(a)
}

// afterEnd updates a job after the end of an attempt: a cancelled job without
// live attempts is removed, and a gang without live attempts is queued again as a
// whole.
func (st *state) afterEnd(j *job) {
	if j.spec.Kind == spec.Gang && len(j.live) == 0 {
		st.enqueue(j)
	}
	if !j.cancelled || len(j.live) > 0 || st.jobs[j.key] != j {
		return
	}
	delete(st.jobs, j.key)
	oldJobs := slices.DeleteFunc(st.rolling[j.key.Job], func(o *job) bool { return o == j })
	if len(oldJobs) == 0 {
		delete(st.rolling, j.key.Job)
	} else {
		st.rolling[j.key.Job] = oldJobs
	}
	st.round.dirty = true
}

// rollServices continues the rolling replacement of services: an old instance is
// stopped as long as at least Count - MaxUnavailable instances run, and a new one
// starts when an old one has ended, so that there are never more than Count.
func (st *state) rollServices() {
	for name, oldJobs := range st.rolling {
		st.roll(st.current[name], slices.Clone(oldJobs))
	}
}

func (st *state) roll(current *job, oldJobs []*job) {
	if current == nil || !current.service() {
		for _, old := range oldJobs {
			for _, a := range old.live {
				st.stop(a)
			}
		}
		return
	}
	spare := st.runningInstances(current, oldJobs) - (current.spec.Count - maxUnavailable(current))
	for _, old := range oldJobs {
		for _, a := range old.live {
			switch {
			case a.stopping:
			case a.phase < running:
				st.stop(a)
			case spare > 0:
				st.stop(a)
				spare--
			}
		}
	}
}

func maxUnavailable(j *job) int {
	if j.spec.Service == nil {
		return 1
	}
	return max(j.spec.Service.MaxUnavailable, 1)
}

// runningInstances counts the running instances that were not asked to stop.
func (st *state) runningInstances(current *job, oldJobs []*job) int {
	n := 0
	for _, j := range append(oldJobs, current) {
		for _, a := range j.live {
			if a.phase == running && !a.stopping {
				n++
			}
		}
	}
	return n
}

// waitsForOldInstance reports whether a new instance may start only after an old
// one has ended.
func (st *state) waitsForOldInstance(j *job) bool {
	live := len(j.live)
	for _, old := range st.rolling[j.key.Job] {
		live += len(old.live)
	}
	return live >= j.spec.Count
}
