package dispatch

import (
	"time"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/version/work"
)

// Runs and completions of jobs that this leader has not heard of.
//
// A former leader goes on until a worker or the store rejects it, and starts what is submitted
// meanwhile. Its successor finds such runs at the workers before it hears of their jobs, because it
// has read the submissions before and follows them with a delay. That a job is not known
// therefore does not mean that nobody needs its runs: its completions are kept, and its runs go
// on, until the store has been asked for its submission. A job is started only after its
// submission is stored, so a read that is sent after the report finds it, unless it has ended and
// been forgotten.

// ReadJob asks to read the submission of a job from the store; the outcome goes to JobRead.
type ReadJob struct{ Job work.JobID }

func (ReadJob) effect() {}

const (
	// readJobPause is between reads of a submission that failed.
	readJobPause = 300 * time.Millisecond
	// absentFor is how long the result of a read that found no submission is used.
	absentFor = 10 * time.Second
)

// unheardJob is a job of which a worker reports runs or completions, and that is not known.
type unheardJob struct {
	completions []unheardCompletion
	reading     bool
	readAt      time.Duration // earliest time of the next read
	absentAt    time.Duration // when a read has found no submission, 0 for never
	undecoded   bool          // its submission cannot be decoded
	unread      []*unread     // of completions, as they are in the store or on their way, in the same order
	job         *job          // once it is known
	version     uint64        // of job, with the completions
}

type unheardCompletion struct {
	w          *worker
	completion runner.Completion
}

// stored reports whether the first n completions of the job may be acknowledged.
func (u *unheardJob) stored(n int) bool {
	return u.absentAt > 0 || u.job != nil && u.job.saved >= u.version || len(u.unread) >= n && u.unread[n-1].stored
}

// unheardOf returns the record of a job that is not known, and has its submission read.
func (e *Engine) unheardOf(id work.JobID) *unheardJob {
	u := e.unheard[id]
	if u == nil {
		u = &unheardJob{}
		e.unheard[id] = u
	}
	e.readUnheard(id, u)
	return u
}

func (e *Engine) readUnheard(id work.JobID, u *unheardJob) {
	if u.reading || u.absentAt > 0 || e.now < u.readAt {
		return
	}
	u.reading = true
	e.effects = append(e.effects, ReadJob{Job: id})
}

// keepCompletion keeps a completion of a job that is not known until the job is, or is known not
// to exist. It returns the job, and the number of its completions with this one.
func (e *Engine) keepCompletion(w *worker, c *runner.Completion) (*unheardJob, int) {
	e.stats.CompletionsUnheard++
	e.decide(Decision{What: "completion of a job not heard of", Task: c.Task, Run: c.Run, Worker: w.ID, Why: c.Outcome.String()})
	u := e.unheardOf(c.Task.Job)
	if u.absentAt == 0 {
		u.completions = append(u.completions, unheardCompletion{w, *c})
	}
	if u.undecoded {
		e.keepUnread(u)
	}
	return u, len(u.completions)
}

// JobRead handles the outcome of a ReadJob. found is false if the store has no submission of the job.
// The error is that of the read, or that the job cannot be decoded; the job is then read again, and in the second case its
// completions are stored as they are.
func (e *Engine) JobRead(now time.Duration, id work.JobID, entry store.Entry, found bool, err error) error {
	e.now = now
	u := e.unheard[id]
	if u == nil {
		return nil // it has been heard of meanwhile
	}
	u.reading, u.readAt = false, now+readJobPause
	switch {
	case err != nil:
		return err
	case found:
		err := e.submitted(id, entry)
		if err != nil {
			u.undecoded, u.readAt = true, now+readUndecodedPause
			e.keepUnread(u)
		}
		return err
	}
	u.absentAt, u.completions, u.unread = now, nil, nil
	e.dropUnread(func(x *unread) bool { return x.Task.Job == id })
	e.decide(Decision{What: "job does not exist", Task: work.TaskID{Job: id}, Why: "the store has no submission of it"})
	e.acknowledgeAll()
	return nil
}

// acknowledgeAll acknowledges the completions of every worker that may be.
func (e *Engine) acknowledgeAll() {
	for _, w := range e.workerList {
		e.acknowledge(w)
		e.renew(w)
	}
}

// hear handles what workers have reported of a job before it became known.
func (e *Engine) hear(j *job) {
	u := e.unheard[j.id]
	if u == nil {
		return
	}
	delete(e.unheard, j.id)
	for _, w := range e.workerList {
		e.adoptUnheard(w, j)
	}
	for i := range u.completions {
		e.takeCompletion(u.completions[i].w, &u.completions[i].completion)
	}
	for _, x := range u.unread {
		x.job, x.version = j, j.version
	}
	u.job, u.version, u.completions, u.unread = j, j.version, nil, nil
	e.acknowledgeAll()
}

// adoptUnheard takes over the runs of a job that a worker has reported before the job became known,
// as far as the job needs them.
func (e *Engine) adoptUnheard(w *worker, j *job) {
	var rows []runner.ActiveRun
	kept := w.untracked[:0]
	for _, x := range w.untracked {
		if x.unheard == nil || x.task.Job != j.id {
			kept = append(kept, x)
			continue
		}
		x.account.Refund(x.size)
		rows = append(rows, *x.unheard)
	}
	w.untracked = kept
	for i := range rows {
		e.handleUnexpected(w, &rows[i])
	}
}

// tickUnheard reads submissions again whose read has failed, and drops the results of old reads.
func (e *Engine) tickUnheard() {
	for id, u := range e.unheard {
		if u.absentAt > 0 && e.now-u.absentAt > absentFor {
			delete(e.unheard, id)
			continue
		}
		e.readUnheard(id, u)
	}
}
