package partition

import (
	"errors"
	"fmt"
	"time"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/process/sched/ledger"
	"fennelshunt.example/fennelshunt/version/spec"
)

// reservation holds capacity for the tasks of a gang.
type reservation struct {
	author  plan.Authorship
	expires time.Time
	steps   map[spec.TaskID]plan.Step
}

const (
	defaultReservationTTL = 5 * time.Second
	maxReservationTTL     = time.Minute
)

// holds reports whether the reservation is for this step on this worker.
func (r *reservation) holds(step *plan.Step) bool {
	held, ok := r.steps[step.Start.Task]
	return ok && held.Worker == step.Worker
}

// key returns the name under which the ledger records one reserved step.
func (r *reservation) key(id string, task spec.TaskID) string {
	return "reserved/" + id + "/" + task.String()
}

func refuseAll(n int, outcome plan.Outcome, reason string) []plan.StepResult {
	steps := make([]plan.StepResult, n)
	for i := range steps {
		steps[i] = plan.StepResult{Outcome: outcome, Reason: reason}
	}
	return steps
}

// admit checks the author of a proposal; a non-empty outcome refuses it.
func (o *owner) admit(a plan.Authorship, seq uint64) (plan.Outcome, string) {
	if !o.shardEpochsRead {
		return plan.NotFenced, "epochs of the shards are not read yet"
	}
	if !o.h.fences.admits(a.Shard, a.Epoch, seq) {
		o.h.o.Metrics.Stale.Add(1)
		return plan.Stale, fmt.Sprintf("shard %d: epoch %d is fenced by %d", a.Shard, a.Epoch, o.h.fences.epoch(a.Shard))
	}
	if o.releasing {
		return plan.NotOwner, "the partition is being handed over"
	}
	if start, _ := o.h.o.Directory.Authority(); start <= 0 {
		return plan.NotFenced, "the authority to start work has run out, the store is out of reach"
	}
	return "", ""
}

// commit checks a plan against the current ledger, step by step.
func (o *owner) commit(p plan.Plan) plan.Result {
	result := plan.Result{Epoch: o.claim.Epoch}
	if outcome, reason := o.admit(p.Author, p.Seq); outcome != "" {
		result.Steps = refuseAll(len(p.Steps), outcome, reason)
		return result
	}
	for i := range p.Steps {
		result.Steps = append(result.Steps, o.commitStep(&p, &p.Steps[i]))
	}
	o.countRefused(&result)
	return result
}

func (o *owner) countRefused(result *plan.Result) {
	for i := range result.Steps {
		if result.Steps[i].Outcome != plan.Accepted {
			o.h.o.Metrics.Refused.Add(1)
		}
	}
}

func (o *owner) commitStep(p *plan.Plan, step *plan.Step) plan.StepResult {
	t := newTask(p.Author.Shard, step)
	if o.isDuplicate(t.ref) {
		return reject(plan.Duplicate, "the task runs, starts or has a result here")
	}
	r := o.reservations[p.Reservation]
	gang := ""
	if r != nil && r.holds(step) {
		gang = step.Start.Task.Job
	}
	n, refused := o.usableNode(step, gang)
	if n != nil {
		if r != nil && p.Reservation != "" {
			o.useReserved(p.Reservation, r, step)
		}
		refused = o.reserveCapacity(n, t, step)
	}
	accepted := plan.StepResult{Outcome: plan.Accepted}
	if refused.Outcome != "" {
		if n = o.rebind(p, t, step); n == nil {
			return refused
		}
		accepted.Worker = n.id
	}
	n.tasks[t.ref] = t
	t.workerID = n.id
	o.live[t.ref.Task] = t
	o.limits.record(t)
	o.markTaskChanged(n, t)
	return accepted
}

func newTask(shard plan.Shard, step *plan.Step) *task {
	t := &task{
		ref:           worker.Ref{Task: step.Start.Task, Attempt: step.Start.Attempt},
		start:         step.Start,
		class:         step.Class,
		team:          step.Team,
		nonIdempotent: step.NonIdempotent,
		shard:         shard,
		accepted:      time.Now(),
	}
	t.enter(queued)
	return t
}

// isDuplicate reports whether starting ref could run the task a second time.
func (o *owner) isDuplicate(ref worker.Ref) bool {
	if o.live[ref.Task] != nil {
		return true
	}
	held := o.results[ref.Task]
	return held != nil && held.ref.Attempt >= ref.Attempt
}

// usableNode returns the step's worker, or a refusal if it cannot take the step, which is of a
// gang with a reservation or of none.
func (o *owner) usableNode(step *plan.Step, gang string) (*node, plan.StepResult) {
	n := o.nodes[step.Worker]
	if n == nil {
		return nil, reject(plan.NoWorker, "worker is not in this partition")
	}
	if refused := o.ineligible(n, step, gang); refused.Outcome != "" {
		return nil, refused
	}
	return n, plan.StepResult{}
}

// ineligible refuses a step at a worker for any reason but its free capacity.
func (o *owner) ineligible(n *node, step *plan.Step, gang string) plan.StepResult {
	if !n.everFenced {
		return reject(plan.NotFenced, n.unusable())
	}
	if !o.inMemo[n.id] {
		return reject(plan.NotFenced, notInMemo)
	}
	if reason := n.unusableFor(gang); reason != "" {
		return reject(plan.NoWorker, reason)
	}
	if reason := o.violates(n, step); reason != "" {
		return reject(plan.NoCapacity, reason)
	}
	return plan.StepResult{}
}

// notInMemo is the reason against a worker that the stored memo does not name yet.
const notInMemo = "worker is not written down in the store yet"

// violates checks the constraints that depend on what else runs on the worker.
func (o *owner) violates(n *node, step *plan.Step) string {
	limit := step.Constraints.MaxPerWorker
	if limit <= 0 {
		return ""
	}
	if same := n.tasksOf(step.Start.Task.Job); same >= limit {
		return fmt.Sprintf("%d tasks of the job run on the worker, at most %d may", same, limit)
	}
	return ""
}

// tasksOf counts the tasks of a job, of any generation, that may run now or
// later.
func (n *node) tasksOf(job string) int {
	same := 0
	for _, t := range n.tasks {
		if t.live() && t.ref.Task.Job == job {
			same++
		}
	}
	return same
}

// reserveCapacity reserves the task's capacity. If victims must stop first, it
// reserves what is free now and the rest as they stop.
func (o *owner) reserveCapacity(n *node, t *task, step *plan.Step) plan.StepResult {
	size := t.start.Size
	if reason := n.overshoot.refuses(n, size); reason != "" {
		return reject(plan.NoCapacity, reason)
	}
	err := o.ledger.Reserve(n.id, t.holder(), size)
	if err == nil {
		return plan.StepResult{}
	}
	if !errors.Is(err, ledger.ErrNoCapacity) || len(step.Victims) == 0 {
		return reject(plan.NoCapacity, err.Error())
	}
	return o.preempt(n, t, step.Victims)
}

// useReserved frees the capacity reserved for a step. The step takes it in the
// same run of the control loop, so no other step can.
func (o *owner) useReserved(id string, r *reservation, step *plan.Step) {
	reserved, ok := r.steps[step.Start.Task]
	if !ok || reserved.Worker != step.Worker {
		return
	}
	o.ledger.Free(step.Worker, r.key(id, step.Start.Task))
	delete(r.steps, step.Start.Task)
	if len(r.steps) == 0 {
		delete(o.reservations, id)
	}
}

// reserve reserves capacity for all steps or for none. It never waits, so two
// gangs cannot deadlock.
func (o *owner) reserve(req plan.Reserve) plan.Result {
	result := plan.Result{Epoch: o.claim.Epoch}
	if outcome, reason := o.admit(req.Author, req.Seq); outcome != "" {
		result.Steps = refuseAll(len(req.Steps), outcome, reason)
		return result
	}
	o.dropReservation(req.Reservation)
	ttl := min(time.Duration(req.TTLMillis)*time.Millisecond, maxReservationTTL)
	if ttl <= 0 {
		ttl = defaultReservationTTL
	}
	r := &reservation{author: req.Author, expires: time.Now().Add(ttl), steps: make(map[spec.TaskID]plan.Step)}
	o.reservations[req.Reservation] = r
	failed := false
	for i := range req.Steps {
		s := o.reserveStep(&req, r, &req.Steps[i])
		failed = failed || s.Outcome != plan.Accepted
		result.Steps = append(result.Steps, s)
	}
	if !failed {
		return result
	}
	o.dropReservation(req.Reservation)
	for i := range result.Steps {
		if result.Steps[i].Outcome == plan.Accepted {
			result.Steps[i] = reject(plan.NoCapacity, "another task of the reservation does not fit")
		}
	}
	o.countRefused(&result)
	return result
}

func (o *owner) reserveStep(req *plan.Reserve, r *reservation, step *plan.Step) plan.StepResult {
	if o.isDuplicate(worker.Ref{Task: step.Start.Task, Attempt: step.Start.Attempt}) {
		return reject(plan.Duplicate, "the task runs, starts or has a result here")
	}
	n, refused := o.usableNode(step, "")
	if n != nil {
		refused = o.reserveOn(n, req.Reservation, r, step)
	}
	if refused.Outcome == "" {
		return plan.StepResult{Outcome: plan.Accepted}
	}
	if !req.MayRebind {
		return refused
	}
	if n = o.alternative(step, req.NoRebind); n == nil || o.reserveOn(n, req.Reservation, r, step).Outcome != "" {
		return refused
	}
	o.h.o.Metrics.Rebound.Add(1)
	return plan.StepResult{Outcome: plan.Accepted, Worker: n.id}
}

// reserveOn reserves a step's capacity on a worker.
func (o *owner) reserveOn(n *node, id string, r *reservation, step *plan.Step) plan.StepResult {
	if err := o.ledger.Reserve(n.id, r.key(id, step.Start.Task), step.Start.Size); err != nil {
		return reject(plan.NoCapacity, err.Error())
	}
	held := *step
	held.Worker = n.id
	r.steps[step.Start.Task] = held
	o.markChanged(n)
	return plan.StepResult{}
}

// release frees a reservation at the request of its author.
func (o *owner) release(req plan.ReleaseReservation) error {
	r := o.reservations[req.Reservation]
	if r != nil && r.author.Shard == req.Author.Shard && r.author.Epoch <= req.Author.Epoch {
		o.dropReservation(req.Reservation)
	}
	return nil
}

// dropReservation frees the capacity that the reservation still holds.
func (o *owner) dropReservation(id string) {
	r := o.reservations[id]
	if r == nil {
		return
	}
	for task, step := range r.steps {
		o.ledger.Free(step.Worker, r.key(id, task))
		if n := o.nodes[step.Worker]; n != nil {
			o.markChanged(n)
		}
	}
	delete(o.reservations, id)
}

func (o *owner) expireReservations(now time.Time) {
	for id, r := range o.reservations {
		if now.After(r.expires) {
			o.dropReservation(id)
		}
	}
}
