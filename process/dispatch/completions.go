package dispatch

import (
	"fmt"
	"slices"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/version/work"
)

// Completions of runs: what they mean for their tasks, and when a worker may drop them.

// takeCompletions processes the completions that are new and returns their number.
func (e *Engine) takeCompletions(w *worker, completions []runner.Completion) int {
	n := 0
	slices.SortFunc(completions, func(a, b runner.Completion) int { return int(a.Number - b.Number) })
	for i := range completions {
		if completions[i].Number <= w.lastCompletion {
			continue
		}
		e.noteMissedCompletions(w, completions[i].Number)
		w.lastCompletion = completions[i].Number
		wait := pendingAck{number: completions[i].Number, task: completions[i].Task}
		if j := e.jobs[wait.task.Job]; j != nil {
			e.takeCompletion(w, &completions[i])
			wait.job, wait.version = j, j.version
		} else {
			wait.unheard, wait.place = e.keepCompletion(w, &completions[i])
		}
		w.pendingAcks = append(w.pendingAcks, wait)
		n++
	}
	e.acknowledge(w)
	return n
}

// noteMissedCompletions reports completions that a worker has dropped although this leader has
// not received them: the numbers of an incarnation are consecutive, and completions are listed
// until they are acknowledged. An incarnation that an earlier epoch has called may have
// dropped those that were acknowledged to that epoch.
func (e *Engine) noteMissedCompletions(w *worker, next int64) {
	if missed := next - w.lastCompletion - 1; missed > 0 && (w.lastCompletion > 0 || w.newInEpoch) {
		e.stats.CompletionsMissed += uint64(missed)
		e.decide(Decision{What: "completions dropped before they were received", Worker: w.ID, Why: fmt.Sprintf("%d before number %d", missed, next)})
	}
}

// takeCompletion processes one completion of a known job.
func (e *Engine) takeCompletion(w *worker, completion *runner.Completion) {
	alloc := w.allocs[completion.Task]
	if alloc != nil && alloc.run != completion.Run {
		alloc = nil
	}
	e.orders.Refused(w.Ref, completion.Task, completion.Run)
	j := e.jobs[completion.Task.Job]
	s := j.step(completion.Task)
	if s == nil {
		return // the occurrence may be done and pruned before that is stored
	}
	t := &s.tasks[completion.Task.Index]
	ours := alloc != nil && t.alloc == alloc
	e.endTrial(s, completion.Task.Index, completion.Run)
	if alloc != nil {
		e.noteStarted(alloc)
		e.unbook(alloc)
		e.scheduled = false
	}
	if ours {
		t.alloc = nil // before the completion is processed, which stops the task's other runs
	}
	if completion.Checkpoint != "" && s.spec.Checkpoints {
		s.keepCheckpoint(completion.Task.Index, completion.Checkpoint)
		if alloc != nil {
			alloc.noteSaved()
		}
	}
	switch completion.Outcome {
	case runner.Done:
		e.noteKeptEnd(alloc)
		e.taskDone(w, s, completion, alloc)
	case runner.Failed:
		e.taskFailed(w, s, completion, alloc)
	default:
		e.stats.Requeued++
		if alloc != nil && completion.Outcome == runner.Stopped {
			e.noteStopped(alloc)
		}
	}
	if ours {
		e.requeueEnded(s, completion.Task.Index)
	}
}

func (s *step) keepCheckpoint(i int, value string) {
	if !s.spec.Gang {
		s.tasks[i].checkpoint = value
		return
	}
	for k := range s.tasks {
		s.tasks[k].checkpoint = value // any member's checkpoint is valid for all, and all have the same one
	}
}

// requeueEnded makes a task whose run has ended eligible to start again, unless it is done.
func (e *Engine) requeueEnded(s *step, i int) {
	if s.spec.Gang && s.live() == 0 {
		s.gang.stopping = false
	}
	if s.tasks[i].done || !s.job.active() {
		return
	}
	s.requeue(i)
	e.open(s)
}

func (e *Engine) taskDone(w *worker, s *step, completion *runner.Completion, alloc *allocation) {
	j := s.job
	if alloc != nil {
		e.runProves(alloc, "a run is done")
		e.learnRunTime(alloc)
	}
	if s.tasks[completion.Task.Index].done || !j.active() {
		return
	}
	e.stats.Done++
	if s.spec.LongRunning {
		return // a long-running task starts again however it ended
	}
	e.finish(s, completion.Task.Index)
	if s.spec.Gang {
		for i := range s.tasks {
			e.finish(s, i)
		}
	}
	e.markDirty(j, false)
	if s.left > 0 {
		return
	}
	e.unreserve(s)
	for _, n := range s.next {
		e.open(n)
	}
	e.completeIfDone(j)
}

// finish marks a task done, and stops another run of it.
func (e *Engine) finish(s *step, i int) {
	s.finish(i)
	if alloc := s.tasks[i].alloc; alloc != nil && !s.spec.Gang && alloc.state != running {
		e.stop(alloc, "the task is done by another run")
	}
}

func (e *Engine) taskFailed(w *worker, s *step, completion *runner.Completion, alloc *allocation) {
	j, t := s.job, &s.tasks[completion.Task.Index]
	e.decide(Decision{What: "failed", Task: completion.Task, Run: completion.Run, Worker: w.ID})
	e.stats.Failed++
	if alloc != nil && alloc.serves() {
		return // a task that has served fails for a reason of its own, not because of its worker
	}
	if alloc != nil && j.countsAgainst(w.ID) && w.noteFailure(e.now, j.id) {
		e.stats.Quarantined++
		e.decide(Decision{What: "worker quarantined", Worker: w.ID, Why: "runs of different jobs failed there", Age: w.quarantine})
	}
	t.avoidWorker(w.ID, e.now)
	if t.done || !j.active() || s.spec.LongRunning {
		return
	}
	failed := &t.failed
	if s.spec.Gang {
		failed = &s.gang.failed
	}
	if slices.Contains(*failed, completion.Run) {
		return // counted before, by this epoch or an earlier one
	}
	*failed = append(*failed, completion.Run)
	e.markDirty(j, false)
	if len(*failed) >= j.spec.Queue.Attempts {
		e.end(j, work.Failed, "a task failed as often as its queue allows")
	}
}

// acknowledge raises the number up to which the worker may drop its completions.
func (e *Engine) acknowledge(w *worker) {
	if len(w.pendingAcks) > 0 {
		defer e.noteEmptied(w)
	}
	for len(w.pendingAcks) > 0 {
		a := w.pendingAcks[0]
		if !a.stored() {
			return
		}
		w.ackedCompletion = a.number
		w.pendingAcks = w.pendingAcks[1:]
	}
	if w.nextRenew > e.now && w.lastCompletion == w.ackedCompletion {
		w.nextRenew = e.now
	}
}
