package cellsim

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/dispatch"
	"fennelshunt.example/fennelshunt/version/work"
)

// worker is a model of a worker.
type worker struct {
	entry    runner.Worker // in the directory
	slowdown float64       // factor on the drawn run times of tasks
	crashed  bool          // permanently

	used           work.Resources
	runs           map[work.TaskID]*run
	completions    []runner.Completion // completions that are not acknowledged
	number         int64
	pendingRenewal func() // responds to the waiting renewal; nil if none waits
	slow,
	failing bool
}

// run is one run of a task on a worker.
type run struct {
	w       *worker
	task    work.TaskID
	number  uint64
	job     *job
	spec    *work.Step
	runTime time.Duration // run time of the whole task on this worker
	saved   float64       // share of the task done in earlier runs
	began   time.Duration // -1 while it waits for its gang
	ended   bool
}

type gangKey struct {
	task work.TaskID // with index 0
	run  uint64
}

// gangRun is one run of a gang.
type gangRun struct {
	members []*run
	began   bool
}

func (s *sim) addWorkers() {
	for i := range s.o.Workers {
		id := runner.WorkerID(fmt.Sprintf("w-%04d", i))
		w := &worker{slowdown: 0.9 + 0.2*s.rng.Float64(), runs: map[work.TaskID]*run{}, entry: runner.Worker{
			Ref: runner.Ref{ID: id, Address: string(id)}, Service: service, Labels: []string{"a", fmt.Sprint("r", i/12)},
			Capacity: work.Resources{CPU: workerCores * 1000, Memory: 128 << 10}}}
		s.workers[id] = w
		s.order = append(s.order, w)
	}
	p := &s.o.Pattern
	first, mixed := 0, rand.New(rand.NewPCG(s.o.Seed, 9)).Perm(len(s.order)) // each rack has every kind
	for _, k := range p.Kinds {
		next := min(first+int(math.Round(k.Share*float64(len(s.order)))), len(s.order))
		for _, i := range mixed[first:next] {
			w := s.order[i]
			w.slowdown /= k.Speed
			w.entry.Labels[0] = k.Label
		}
		first = next
	}
	for _, at := range p.LeaveAt {
		s.at(settle+at, s.giveNotice)
	}
	if p.WorkerFaults.Until > 0 {
		s.at(settle+p.WorkerFaults.From, s.injectFaults)
		s.at(settle+p.WorkerFaults.Until, s.clearFaults)
	}
}

const (
	// noticeDelay is how long it takes until the leader sees a changed entry of a worker.
	noticeDelay = 50 * time.Millisecond
	// maxExtra is the longest time that a worker stays beyond its notice.
	maxExtra = 100 * time.Millisecond
)

// giveNotice makes the Pattern's share of the workers give notice and leave.
func (s *sim) giveNotice() {
	p := &s.o.Pattern
	for _, i := range s.rng.Perm(len(s.order))[:int(p.Leaving*float64(len(s.order)))] {
		w := s.order[i]
		if w.crashed || w.entry.Draining {
			continue
		}
		w.entry.Draining, w.entry.Notice = true, runner.Notice{Known: true, Remaining: p.Notice, Clock: s.now}
		s.after(noticeDelay, func() { s.seen(w) })
		s.after(p.Notice+time.Duration(s.rng.Int64N(int64(maxExtra))), func() { s.endWorker(w, noticeDelay) })
	}
}

func (s *sim) seen(w *worker) {
	if s.engine != nil {
		s.engine.WorkerSeen(s.now, w.entry)
	}
}

// injectFaults makes the Pattern's shares of the workers crash, fail tasks or slow down.
func (s *sim) injectFaults() {
	order := slices.Clone(s.order)
	s.rng.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	p := &s.o.Pattern
	n := float64(len(order))
	crashed, failing, slow := int(p.Crashed*n), int(p.Failing*n), int(p.Slow*n)
	for i, w := range order[:min(crashed+failing+slow, len(order))] {
		switch {
		case i < crashed:
			s.crash(w)
		case i < crashed+failing:
			w.failing = true
		default:
			w.slow = true
		}
	}
}

func (s *sim) clearFaults() {
	for _, w := range s.order {
		w.failing, w.slow = false, false
	}
}

func (s *sim) crash(w *worker) { s.endWorker(w, 4500*time.Millisecond) }

// endWorker ends a worker and everything on it. Its entry is removed some time later.
func (s *sim) endWorker(w *worker, unlisted time.Duration) {
	if w.crashed {
		return
	}
	w.crashed = true
	for _, r := range sorted(w.runs) {
		s.loseRun(r)
	}
	w.pendingRenewal = nil
	s.after(unlisted, func() {
		if s.engine != nil {
			s.engine.WorkerUnlisted(s.now, w.entry.ID)
		}
	})
}

// sorted returns runs in a fixed order, so that a run is reproducible from its seed.
func sorted(runs map[work.TaskID]*run) []*run {
	all := make([]*run, 0, len(runs))
	for _, r := range runs {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.task.Job, b.task.Job), a.task.Step-b.task.Step, a.task.Index-b.task.Index)
	})
	return all
}

func sortEntries(all []store.Entry) {
	slices.SortFunc(all, func(a, b store.Entry) int { return cmp.Compare(a.Key, b.Key) })
}

// chance returns a number from 0 to 1 that is fixed for a step and a worker.
func chance(step work.TaskID, w runner.WorkerID) float64 {
	step.Index = 0
	return float64(xxhash.Sum64String(step.String()+string(w))>>11) / (1 << 53)
}

// callTimeout is how long a call to a crashed worker takes to fail.
const callTimeout = 500 * time.Millisecond

func (s *sim) sendStart(x dispatch.SendStart, reply func(time.Duration, func())) {
	w := s.workers[x.To.ID]
	if w.crashed {
		reply(callTimeout, func() { s.engine.Started(s.now, x.To.ID, x.Start.Task, x.Start.Run, runner.ErrUnknown) })
		return
	}
	s.after(hop, func() {
		if !w.crashed {
			s.start(w, &x.Start)
		}
	})
	reply(2*hop, func() { s.engine.Started(s.now, x.To.ID, x.Start.Task, x.Start.Run, nil) })
}

func (s *sim) start(w *worker, x *runner.Start) {
	if w.runs[x.Task] != nil {
		return
	}
	j := s.jobs[x.Task.Job]
	spec := &j.spec.Steps[x.Task.Step]
	r := &run{w: w, task: x.Task, number: x.Run, job: j, spec: spec, began: -1}
	slowdown := w.slowdown
	if w.slow {
		slowdown *= slowFactor
	}
	r.runTime = time.Duration(float64(j.runTimes[x.Task.Step][x.Task.Index]) * slowdown)
	if s.o.Pattern.Long > 0 && s.rng.Float64() < s.o.Pattern.Long {
		r.runTime *= longFactor
	}
	if x.Checkpoint != "" {
		r.saved, _ = strconv.ParseFloat(x.Checkpoint, 64) // an invalid checkpoint counts as 0
	}
	w.runs[x.Task] = r
	w.used = w.used.Add(spec.Need())
	if !spec.Gang {
		s.begin(r, r.remaining())
		return
	}
	key := gangOf(r)
	g := s.gangs[key]
	if g == nil {
		g = &gangRun{}
		s.gangs[key] = g
		s.after(gangWait, func() { s.expireGang(key) })
	}
	g.members = append(g.members, r)
	if len(g.members) < spec.Count {
		return
	}
	g.began = true
	longest := time.Duration(0)
	for _, m := range g.members {
		longest = max(longest, m.remaining())
	}
	for _, m := range g.members {
		s.begin(m, longest)
	}
}

func gangOf(r *run) gangKey {
	task := r.task
	task.Index = 0
	return gangKey{task, r.number}
}

// remaining is the remaining run time at the start of a run.
func (r *run) remaining() time.Duration {
	d := time.Duration(float64(r.runTime) * (1 - r.saved))
	if r.saved > 0 {
		d += restore
	}
	return d
}

// begin draws the time and the result of a run's completion.
func (s *sim) begin(r *run, d time.Duration) {
	r.began = s.now
	fails := r.w.failing || r.job.poisoned || s.rng.Float64() < s.o.Classes[r.job.class].FailureRate
	outcome := runner.Done
	if fails {
		outcome = runner.Failed
		d = time.Duration(float64(d) * s.rng.Float64())
	}
	s.after(d, func() {
		if !r.ended {
			s.end(r, outcome)
		}
	})
}

// end ends a run, and with it the other members of its gang.
func (s *sim) end(r *run, outcome runner.Outcome) {
	s.endOne(r, outcome)
	if !r.spec.Gang {
		return
	}
	key := gangOf(r)
	g := s.gangs[key]
	delete(s.gangs, key)
	if g == nil {
		return
	}
	others := runner.GangBroken
	if outcome == runner.Done {
		others = runner.Done
	}
	for _, m := range g.members {
		if !m.ended {
			s.endOne(m, others)
		}
	}
}

// expireGang ends the started members of a gang that is not complete after gangWait.
func (s *sim) expireGang(key gangKey) {
	g := s.gangs[key]
	if g == nil || g.began {
		return
	}
	delete(s.gangs, key)
	for _, m := range g.members {
		if !m.ended {
			s.endOne(m, runner.GangIncomplete)
		}
	}
}

func (s *sim) endOne(r *run, outcome runner.Outcome) {
	w := r.w
	s.release(r, outcome == runner.Done || r.spec.Checkpoints)
	w.number++
	e := runner.Completion{Number: w.number, Task: r.task, Run: r.number, Outcome: outcome}
	if r.spec.Checkpoints && outcome != runner.Done {
		e.Checkpoint = strconv.FormatFloat(r.progress(s.now), 'f', 4, 64)
	}
	w.completions = append(w.completions, e)
	if w.pendingRenewal != nil {
		respond := w.pendingRenewal
		w.pendingRenewal = nil
		respond()
	}
}

// release frees the resources of a run; its work counts as wasted unless kept is true.
func (s *sim) release(r *run, kept bool) {
	r.ended = true
	r.w.used = r.w.used.Sub(r.spec.Need())
	delete(r.w.runs, r.task)
	cores := float64(r.spec.Size.CPU) / 1000
	if r.began < 0 {
		return
	}
	spent := cores * (s.now - r.began).Seconds()
	s.result.Spent += spent
	if !kept {
		s.result.Wasted += spent
	}
}

// loseRun ends a run on a crashed worker, and the other members of its gang.
func (s *sim) loseRun(r *run) {
	s.release(r, false)
	if !r.spec.Gang {
		return
	}
	key := gangOf(r)
	if g := s.gangs[key]; g != nil {
		delete(s.gangs, key)
		for _, m := range g.members {
			if !m.ended && !m.w.crashed {
				s.endOne(m, runner.GangBroken)
			}
		}
	}
}

// progress returns the share of a run's task that is done.
func (r *run) progress(now time.Duration) float64 {
	if r.began < 0 || r.runTime <= 0 {
		return r.saved
	}
	return min(r.saved+float64(now-r.began)/float64(r.runTime), 1)
}

func (s *sim) sendStop(x dispatch.SendStop, reply func(time.Duration, func())) {
	w := s.workers[x.To.ID]
	if w.crashed {
		reply(callTimeout, func() { s.engine.StopAnswered(s.now, x.To.ID, x.Task, x.Run, runner.ErrUnknown) })
		return
	}
	if r := w.runs[x.Task]; r != nil && r.number == x.Run {
		s.after(hop+time.Duration(s.rng.Int64N(int64(maxStop))), func() {
			if !r.ended {
				s.end(r, runner.Stopped)
			}
		})
	}
	reply(2*hop, func() { s.engine.StopAnswered(s.now, x.To.ID, x.Task, x.Run, nil) })
}

func (s *sim) sendRenew(x dispatch.SendRenew, reply func(time.Duration, func())) {
	w := s.workers[x.To.ID]
	if w.crashed {
		reply(callTimeout, func() { s.engine.Renewed(s.now, x.To.ID, runner.Report{}, runner.ErrUnknown) })
		return
	}
	w.completions = slices.DeleteFunc(w.completions, func(e runner.Completion) bool { return e.Number <= x.Renewal.Acknowledge })
	responded := false
	respond := func() {
		if responded {
			return
		}
		responded = true
		report := w.report(s.now)
		reply(hop, func() { s.engine.Renewed(s.now, x.To.ID, report, nil) })
	}
	if x.Renewal.Wait == 0 || len(w.completions) > 0 {
		s.after(hop, respond)
		return
	}
	w.pendingRenewal = respond
	s.after(x.Renewal.Wait, respond)
}

func (w *worker) report(now time.Duration) runner.Report {
	r := runner.Report{Clock: now, Ended: slices.Clone(w.completions)}
	for _, x := range sorted(w.runs) {
		r.Running = append(r.Running, runner.ActiveRun{Task: x.task, Run: x.number, Percent: 100 * x.progress(now)})
	}
	return r
}
