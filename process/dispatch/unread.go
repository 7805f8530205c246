package dispatch

import (
	"fmt"
	"slices"
	"time"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/version/work"
)

// Completions of jobs whose submission this version cannot decode, as a newer one may have written it.
//
// A worker is told up to which number it may drop its completions, so that a single one that cannot be processed would keep back
// all later ones, until the worker lists no new ones any more. They are stored as the worker reported them; a leader that can
// decode the submission processes them when it loads its state.

const (
	// readUndecodedPause is between reads of a submission that could not be decoded: nobody but a later leader removes it.
	readUndecodedPause = time.Minute
	// maxUnread bounds the completions that are stored in this way, in one value of the store. Further ones wait with their worker.
	maxUnread = 2000
)

// unreadRecord lists the completions.
type unreadRecord struct {
	Completions []unreadCompletion `cbor:"1,keyasint"`
}

// unreadCompletion is a completion of a run on a worker.
type unreadCompletion struct {
	Worker     runner.WorkerID `cbor:"1,keyasint"`
	Task       work.TaskID     `cbor:"2,keyasint"`
	Run        uint64          `cbor:"3,keyasint"`
	Outcome    runner.Outcome  `cbor:"4,keyasint"`
	Checkpoint string          `cbor:"5,keyasint,omitempty"`
}

// unread is a completion that has to stay in the store until its job's progress has it.
type unread struct {
	unreadCompletion
	job     *job // once it is known
	version uint64
	stored  bool
}

// settled reports whether the completion is not needed any more.
func (x *unread) settled() bool { return x.job != nil && x.job.saved >= x.version }

// keepUnread has the completions of a job stored whose submission cannot be decoded.
func (e *Engine) keepUnread(u *unheardJob) {
	for ; len(u.unread) < len(u.completions) && len(e.unread) < maxUnread; e.unreadChanged = true {
		c := &u.completions[len(u.unread)]
		x := &unread{unreadCompletion: unreadCompletion{Worker: c.w.ID, Task: c.completion.Task, Run: c.completion.Run,
			Outcome: c.completion.Outcome, Checkpoint: c.completion.Checkpoint}}
		u.unread = append(u.unread, x)
		e.unread = append(e.unread, x)
	}
}

// dropUnread drops the completions of a job that does not exist, or whose progress has them.
func (e *Engine) dropUnread(drop func(x *unread) bool) {
	before := len(e.unread)
	e.unread = slices.DeleteFunc(e.unread, drop)
	e.unreadChanged = e.unreadChanged || len(e.unread) != before
}

// addUnread writes the list of the completions if it has changed.
func (e *Engine) addUnread(ws *writeSet, put func(key string, record any)) {
	if !e.unreadChanged {
		return
	}
	e.unreadChanged = false
	var r unreadRecord
	for _, x := range e.unread {
		r.Completions = append(r.Completions, x.unreadCompletion)
	}
	ws.unread = slices.Clone(e.unread)
	put(keyUnread, r)
}

// loadUnread restores the list, and processes the completions of jobs that are known.
func (e *Engine) loadUnread(entry store.Entry) error {
	var r unreadRecord
	if err := peer.Unmarshal(entry.Value, &r); err != nil {
		return fmt.Errorf("%s: %w", entry.Key, err)
	}
	for i := range r.Completions {
		x := &unread{unreadCompletion: r.Completions[i], stored: true}
		if e.jobs[x.Task.Job] == nil {
			u := e.unheardOf(x.Task.Job)
			u.completions = append(u.completions, unheardCompletion{e.workerOf(x), x.completion()})
			u.unread = append(u.unread, x)
		} else {
			e.processUnread(x)
		}
		e.unread = append(e.unread, x)
	}
	e.dropUnread((*unread).settled)
	return nil
}

// processUnread processes a completion whose job is known now.
func (e *Engine) processUnread(x *unread) {
	c := x.completion()
	x.job = e.jobs[x.Task.Job]
	e.takeCompletion(e.workerOf(x), &c)
	x.version = x.job.version
	e.decide(Decision{What: "completion of a job that could not be decoded", Task: x.Task, Run: x.Run, Worker: x.Worker, Why: x.Outcome.String()})
}

func (x *unread) completion() runner.Completion {
	return runner.Completion{Task: x.Task, Run: x.Run, Outcome: x.Outcome, Checkpoint: x.Checkpoint}
}

// workerOf returns the worker of a completion, or one that stands for it if it has ended.
func (e *Engine) workerOf(x *unread) *worker {
	if w := e.workers[x.Worker]; w != nil {
		return w
	}
	return &worker{Worker: runner.Worker{Ref: runner.Ref{ID: x.Worker}}, allocs: map[work.TaskID]*allocation{}}
}
