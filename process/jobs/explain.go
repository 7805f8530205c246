package jobs

import (
	"maps"
	"slices"
	"time"

	"fennelshunt.example/fennelshunt/process/jobs/progress"
	"fennelshunt.example/fennelshunt/process/quota"
	"fennelshunt.example/fennelshunt/version/spec"
)

func (st *state) explain(request ExplainRequest) (Explanation, bool) {
	j := st.current[request.Job]
	if request.Generation != 0 {
		j = st.jobs[progress.Key{Job: request.Job, Generation: request.Generation}]
	}
	if j == nil || request.Index >= j.spec.Count {
		return Explanation{}, false
	}
	index := request.Index
	if index < 0 {
		index = j.nextWaiting()
	}
	e := Explanation{
		Task: spec.TaskID{Job: j.key.Job, Generation: j.key.Generation, Index: index},
		Team: j.spec.Team, Class: j.class, Failures: j.record.Failures(uint32(index)),
	}
	st.describe(j, uint32(index), &e)
	return e, true
}

// nextWaiting returns the index of the task that would start next, or 0.
func (j *job) nextWaiting() int {
	for _, set := range j.waitingSets() {
		if !set.IsEmpty() {
			return int(set.Minimum())
		}
	}
	return 0
}

func (st *state) describe(j *job, index uint32, e *Explanation) {
	if a := j.live[index]; a != nil {
		describeAttempt(a, e)
		return
	}
	e.State, e.Reason = j.stateOf(index)
	if e.State != TaskWaiting {
		return
	}
	e.Waited = time.Since(j.readySince(index))
	e.Reason, e.Infeasible = st.waitReason(j)
	e.Rejections = j.rejections
}

func describeAttempt(a *attempt, e *Explanation) {
	e.State = a.state()
	e.Worker, e.Partition, e.Attempt = a.worker, a.partition, a.number
	e.Waited = a.decided.Sub(a.waitingSince)
	e.Reason = phaseReasons[a.phase]
}

var phaseReasons = map[phase]string{
	intending: "waits until the intent to start it is durable",
	reserving: "waits for the reservations of its gang",
	unsent:    "waits for the owner of its worker to be reachable",
	sent:      "proposed to the owner of its worker",
	uncertain: "the answer of the owner of its worker was lost; asking again",
	starting:  "accepted, the worker has not reported it yet",
}

func (a *attempt) state() TaskState {
	switch {
	case a.stopping:
		return TaskStopping
	case a.phase == running:
		return TaskRunning
	default:
		return TaskStarting
	}
}

// stateOf returns the state of a task that is not live.
func (j *job) stateOf(index uint32) (TaskState, string) {
	switch {
	case j.record.Done.Contains(index):
		return TaskDone, ""
	case j.record.Failed.Contains(index):
		return TaskFailed, "retries used up"
	case j.record.Unknown.Contains(index):
		return TaskUnknown, "non-idempotent, and its outcome was lost with its worker"
	case j.blocked.Contains(index):
		return TaskBlocked, "a previous owner may have started it on a worker that could not be asked yet"
	case j.delayed.Contains(index):
		return TaskDelayed, "waits before its next attempt"
	case j.ready.Contains(index):
		return TaskWaiting, ""
	default:
		return TaskStopping, "its job is cancelled"
	}
}

// waitReason returns the reason why the job's ready tasks are not started.
func (st *state) waitReason(j *job) (reason string, infeasible bool) {
	switch {
	case j.infeasible != "":
		return j.infeasible, true
	case j.wait != "":
		return j.wait, false
	case len(j.rejections) > 0:
		return "no worker has room now", false
	case j.ready.Minimum() >= j.durableLimit:
		return "waits for a write of the progress", false
	case st.releasing:
		return "the shard is being handed over", false
	case !st.mayStart():
		return "this daemon's right to start work has run out; the store can not be reached", false
	default:
		return "waits for its turn", false
	}
}

func (st *state) status() Status {
	status := Status{
		Shard: st.shard.number, Epoch: st.shard.claim.Epoch,
		Unfenced: slices.Sorted(maps.Keys(st.takeover.waiting)),
	}
	for _, j := range st.jobs {
		status.Jobs = append(status.Jobs, st.jobStatus(j))
	}
	st.accounts.Each(func(a *quota.Account) {
		status.Teams = append(status.Teams, TeamStatus{
			Team: a.Name, Held: spec.Resources(a.Held()), Quota: spec.Resources(a.Cap()), Share: st.accounts.Share(a),
		})
	})
	slices.SortFunc(status.Jobs, func(a, b JobStatus) int {
		return compareJobs(a.Job, b.Job, a.Generation, b.Generation)
	})
	slices.SortFunc(status.Teams, func(a, b TeamStatus) int { return compareJobs(a.Team, b.Team, 0, 0) })
	return status
}

func compareJobs(a, b string, ga, gb uint64) int {
	switch {
	case a < b, a == b && ga < gb:
		return -1
	case a == b && ga == gb:
		return 0
	default:
		return 1
	}
}

func (st *state) jobStatus(j *job) JobStatus {
	s := JobStatus{
		Job: j.key.Job, Generation: j.key.Generation, Team: j.spec.Team, Kind: j.spec.Kind, Class: j.class,
		Count: j.spec.Count, Tasks: j.counts(), Cancelled: j.cancelled, Finished: j.finished(),
	}
	if !j.ready.IsEmpty() {
		s.Reason, s.Infeasible = st.waitReason(j)
	}
	return s
}

func (j *job) counts() map[TaskState]int {
	counts := map[TaskState]int{
		TaskWaiting: int(j.ready.GetCardinality()), TaskBlocked: int(j.blocked.GetCardinality()),
		TaskDelayed: int(j.delayed.GetCardinality()), TaskDone: int(j.record.Done.GetCardinality()),
		TaskFailed: int(j.record.Failed.GetCardinality()), TaskUnknown: int(j.record.Unknown.GetCardinality()),
	}
	for _, a := range j.live {
		counts[a.state()]++
	}
	maps.DeleteFunc(counts, func(_ TaskState, n int) bool { return n == 0 })
	return counts
}
