package dispatch

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/version/work"
)

// renew sends the next renewal when it is due.
func (e *Engine) renew(w *worker) {
	if w.renewing || e.now < w.nextRenew || !w.kept {
		return
	}
	r := runner.Renewal{Epoch: e.o.Epoch, Until: w.renewUntil(e.now, e.o.Bounds.Lease)}
	if w.misses == 0 && e.now-w.answered <= sureOfLife {
		r.Acknowledge = w.ack
	}
	if w.fenced && w.misses == 0 && !w.unacknowledged() && !w.stopsAnswered() && len(w.strays) == 0 {
		r.Wait = renewWait
	}
	w.renewing, w.renewSent = true, e.now
	e.out = append(e.out, SendRenew{To: w.Ref, Renewal: r, Timeout: r.Wait + renewGrace})
}

// unacknowledged reports whether the worker holds ends that the store does not
// yet: a renewal that waits would be answered at once.
func (w *worker) unacknowledged() bool { return w.seen > w.ack }

// stopsAnswered reports whether a report is awaited to free a stopped run.
func (w *worker) stopsAnswered() bool {
	for _, p := range w.places {
		if p.state == stopping && p.stopped > 0 {
			return true
		}
	}
	return false
}

// Renewed takes the outcome of a SendRenew.
func (e *Engine) Renewed(now time.Duration, id runner.WorkerID, report runner.Report, err error) {
	e.now = now
	w := e.workers[id]
	if w == nil {
		return
	}
	w.renewing = false
	if err != nil {
		e.notRenewed(w, err)
		return
	}
	if w.fenced && report.Clock > 0 && report.Clock < w.clock-clockBack { // 0: not told
		e.decide(Decision{What: "answer of another life", Worker: w.ID, Why: fmt.Sprintf("its clock went from %v back to %v", w.clock, report.Clock)})
		e.workerGone(w, "its clock went back", true)
		return
	}
	if w.misses > 0 {
		e.decide(Decision{What: "worker answers again", Worker: w.ID, Age: now - w.answered})
		e.scheduled = false
	}
	w.misses, w.answered = 0, now
	w.noteHeard(now)
	w.clock, w.clockAt = report.Clock, now
	if !w.fenced {
		e.resolve(w)
		w.fenced = true
		e.scheduled = false
		e.takeOutliving(w)
	}
	e.reopen(w)
	ends := e.takeEnds(w, report.Ended)
	e.takeRunning(w, report.Running, len(report.Ended) < runner.MaxEnds)
	e.settleCrashes(w, false)
	w.nextRenew = now
	switch {
	case len(w.strays) > 0, ends == 0 && w.stopsAnswered():
		w.nextRenew = now + strayPause // a stop takes a while; look again soon
	case w.unacknowledged():
		w.renewPause = nextPause(w.renewPause, ends > 0)
		w.nextRenew = now + w.renewPause
	}
}

// nextPause returns the pause before the next look at a worker whose ends can not
// be acknowledged yet.
func nextPause(last time.Duration, news bool) time.Duration {
	if news {
		return renewPauseMin
	}
	return min(max(2*last, renewPauseMin), renewPauseMax)
}

func (e *Engine) notRenewed(w *worker, err error) {
	var other *runner.OtherLife
	switch {
	case errors.Is(err, runner.ErrFenced):
		e.deposed = true
		return
	case errors.As(err, &other):
		e.otherLife(w, other)
		return
	case errors.Is(err, runner.ErrGone):
		e.workerGone(w, "another life answers at its address", true)
		return
	}
	if w.misses == 0 {
		e.decide(Decision{What: "worker does not answer", Worker: w.ID, Why: err.Error(), Age: e.now - w.answered})
	}
	w.misses++
	w.nextRenew = e.now + probePause
	if !w.listed && len(w.places) == 0 && w.fenced {
		e.workerGone(w, "not listed and not answering", true)
	}
}

// takeEnds processes the ends that are new and returns their number.
func (e *Engine) takeEnds(w *worker, ends []runner.End) int {
	n := 0
	slices.SortFunc(ends, func(a, b runner.End) int { return int(a.Number - b.Number) })
	for i := range ends {
		if ends[i].Number <= w.seen {
			continue
		}
		e.noteMissedEnds(w, ends[i].Number)
		w.seen = ends[i].Number
		j := e.takeEnd(w, &ends[i])
		wait := ackWait{number: ends[i].Number, task: ends[i].Task, job: j}
		if j != nil {
			wait.version = j.version
		}
		w.waiting = append(w.waiting, wait)
		n++
	}
	e.acknowledge(w)
	return n
}

// noteMissedEnds tells of ends that a worker has forgotten though nobody here has heard of
// them: the numbers of a life follow each other, and ends are listed until they are
// acknowledged. A life that an earlier epoch has called may have forgotten those it heard of.
func (e *Engine) noteMissedEnds(w *worker, next int64) {
	if missed := next - w.seen - 1; missed > 0 && (w.seen > 0 || w.fresh) {
		e.stats.EndsMissed += uint64(missed)
		e.decide(Decision{What: "ends were forgotten unheard", Worker: w.ID, Why: fmt.Sprintf("%d before number %d", missed, next)})
	}
}

// takeEnd processes one end and returns the job whose progress has to be in
// the store before the end is acknowledged, if any.
func (e *Engine) takeEnd(w *worker, end *runner.End) *job {
	p := w.places[end.Task]
	if p != nil && p.run != end.Run {
		p = nil
	}
	j := e.jobs[end.Task.Job]
	s := j.step(end.Task)
	if s == nil {
		return j // an occurrence that is done waits for the store as well
	}
	t := &s.tasks[end.Task.Index]
	ours := p != nil && t.place == p
	e.endTrial(s, end.Task.Index, end.Run)
	if p != nil {
		e.begin(p)
		e.unbook(p)
		e.scheduled = false
	}
	if ours {
		t.place = nil // before the end is judged, which stops what the task still runs
	}
	if end.Checkpoint != "" && s.spec.Checkpoints {
		s.keepCheckpoint(end.Task.Index, end.Checkpoint)
	}
	switch end.How {
	case runner.Done:
		e.taskDone(w, s, end, p)
	case runner.Failed:
		e.taskFailed(w, s, end, p)
	default:
		e.stats.Back++
	}
	if ours {
		e.back(s, end.Task.Index)
	}
	return j
}

func (s *step) keepCheckpoint(i int, value string) {
	if !s.spec.Gang {
		s.tasks[i].checkpoint = value
		return
	}
	for k := range s.tasks {
		s.tasks[k].checkpoint = value // any member's is valid for all, and all carry the same
	}
}

// back lets a task whose run ended start again, unless it is done.
func (e *Engine) back(s *step, i int) {
	if s.spec.Gang && s.live() == 0 {
		s.gang.breaking = false
	}
	if s.tasks[i].done || !s.job.active() {
		return
	}
	s.requeue(i)
	e.open(s)
}

func (e *Engine) taskDone(w *worker, s *step, end *runner.End, p *place) {
	j := s.job
	if p != nil {
		w.noteDone()
		e.learnPace(w, s, p)
	}
	if s.tasks[end.Task.Index].done || !j.active() {
		return
	}
	e.stats.Done++
	if s.spec.Lasting {
		return // it is to start again, however it ended
	}
	e.finish(s, end.Task.Index)
	if s.spec.Gang {
		for i := range s.tasks {
			e.finish(s, i)
		}
	}
	e.mark(j, false)
	if s.left > 0 {
		return
	}
	e.unreserve(s)
	for _, n := range s.next {
		e.open(n)
	}
	e.settle(j)
}

// finish marks a task done, and stops another run of it.
func (e *Engine) finish(s *step, i int) {
	s.finish(i)
	if p := s.tasks[i].place; p != nil && !s.spec.Gang && p.state != running {
		e.stop(p, "the task is done by another run")
	}
}

func (e *Engine) taskFailed(w *worker, s *step, end *runner.End, p *place) {
	j, t := s.job, &s.tasks[end.Task.Index]
	e.decide(Decision{What: "failed", Task: end.Task, Run: end.Run, Worker: w.ID})
	e.stats.Failed++
	if p != nil && p.serves() {
		return // a task that had come to work fails by its own doing
	}
	if p != nil && j.blames(w.ID) && w.noteFail(e.now, j.id) {
		e.stats.Aside++
		e.decide(Decision{What: "worker set aside", Worker: w.ID, Why: "runs of different jobs failed there", Age: w.asideFor})
	}
	t.shun(w.ID, e.now)
	if t.done || !j.active() || s.spec.Lasting {
		return
	}
	failed := &t.failed
	if s.spec.Gang {
		failed = &s.gang.failed
	}
	if slices.Contains(*failed, end.Run) {
		return // counted before, by this epoch or an earlier one
	}
	*failed = append(*failed, end.Run)
	e.mark(j, false)
	if len(*failed) >= j.spec.Queue.Attempts {
		e.end(j, work.Failed, "a task failed as often as its queue allows")
	}
}

// takeRunning compares what a worker says it runs with what it should run.
// complete tells that the report left no end out.
func (e *Engine) takeRunning(w *worker, rows []runner.Live, complete bool) {
	w.refundStrays()
	present := make(map[work.TaskID]uint64, len(rows))
	for i := range rows {
		r := &rows[i]
		present[r.Task] = r.Run
		if p := w.places[r.Task]; p != nil && p.run == r.Run {
			e.confirm(p)
			e.takeRow(p, r)
			continue
		}
		e.unexpected(w, r)
	}
	for _, p := range places(w) {
		if run, ok := present[p.id()]; !ok || run != p.run {
			e.absent(w, p, complete)
		}
	}
}

func (e *Engine) takeRow(p *place, r *runner.Live) {
	p.missing, p.listed = 0, true
	e.noteSound(p)
	if r.Checkpoint != "" && p.s.spec.Checkpoints {
		p.s.keepCheckpoint(p.index, r.Checkpoint)
	}
	if r.Percent > p.percent {
		if p.firstAt == 0 {
			p.firstAt, p.firstPct = e.now, r.Percent
		}
		before := p.percent
		p.percent, p.percentAt = r.Percent, e.now
		p.noteServing(before)
	}
}

// unexpected deals with a run that this engine has not started, or has given
// up: one of an earlier epoch is taken over if its task needs it, any other is
// stopped.
func (e *Engine) unexpected(w *worker, r *runner.Live) {
	j := e.jobs[r.Task.Job]
	s := j.step(r.Task)
	if s != nil && j.active() && r.Run <= e.nextRun(0) && e.adopt(w, s, r) {
		return
	}
	e.stats.Orphans++
	e.decide(Decision{What: "stop unexpected run", Task: r.Task, Run: r.Run, Worker: w.ID})
	e.chargeStray(w, r.Task)
	e.out = append(e.out, SendStop{To: w.Ref, Task: r.Task, Run: r.Run})
}

// adopt takes over a run of an earlier epoch.
func (e *Engine) adopt(w *worker, s *step, r *runner.Live) bool {
	t := &s.tasks[r.Task.Index]
	if t.done || t.place != nil || s.gang.breaking || (s.spec.Gang && s.gang.run > r.Run) {
		return false
	}
	if s.spec.Gang && s.gang.run < r.Run {
		if s.live() > 0 {
			return false // members of two runs: let the first end, then start anew
		}
		s.gang.run = r.Run
	}
	e.stats.Adopted++
	p := &place{w: w, s: s, index: r.Task.Index, run: r.Run, need: s.spec.Need(), sent: e.now, tries: 1, state: running, begun: e.now, percentAt: e.now}
	t.place = p
	s.unqueue(p.index)
	e.book(p)
	s.job.begun = true
	e.takeRow(p, r)
	e.decide(Decision{What: "adopted", Task: r.Task, Run: r.Run, Worker: w.ID})
	return true
}

// absent deals with a run that a report does not list.
func (e *Engine) absent(w *worker, p *place, complete bool) {
	switch {
	case p.state == stopping && p.stopped > 0 && p.stopped < w.renewSent && complete:
		// Neither running nor ended, and the worker refuses it from now on.
		e.release(p)
	case p.state == running && p.begun < w.renewSent && complete:
		if p.missing == 0 {
			p.missing = e.now
			return
		}
		e.decide(Decision{What: "run lost", Task: p.id(), Run: p.run, Worker: w.ID, Why: "neither running nor ended"})
		e.stats.Lost++
		e.release(p)
	}
}

// acknowledge raises the number of ends that the worker may forget.
func (e *Engine) acknowledge(w *worker) {
	for len(w.waiting) > 0 {
		a := w.waiting[0]
		if a.job != nil && a.job.saved < a.version {
			return
		}
		w.ack = a.number
		w.waiting = w.waiting[1:]
	}
	if w.nextRenew > e.now && w.seen == w.ack {
		w.nextRenew = e.now
	}
}
