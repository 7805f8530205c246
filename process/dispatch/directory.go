package dispatch

import (
	"slices"
	"time"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/version/work"
)

// WorkerSeen takes a worker's entry in the directory.
func (e *Engine) WorkerSeen(now time.Duration, seen runner.Worker) {
	e.now = now
	seen.ID = e.lifeOf(seen.ID)
	over, next := e.noteBirth(seen.ID)
	if over {
		return // an entry of an earlier life, which came late
	}
	w := e.workers[seen.ID]
	if w == nil {
		w = e.addWorker(seen)
		w.fresh = next
	}
	if w.gone {
		return
	}
	w.Worker, w.listed = seen, true
	w.rack = rackOf(seen.Labels)
	if !w.kept {
		e.fleetNew = true
	}
	e.scheduled = false
}

// WorkersListed takes the directory as a whole.
func (e *Engine) WorkersListed(now time.Duration, workers []runner.Worker) {
	listed := make(map[runner.WorkerID]bool, len(workers))
	for i := range workers {
		e.WorkerSeen(now, workers[i])
		listed[e.lifeOf(workers[i].ID)] = true
	}
	for _, w := range slices.Clone(e.order) {
		if w.listed && !listed[w.ID] {
			e.WorkerUnlisted(now, w.ID)
		}
	}
}

// rackOf returns the rack among a worker's labels: the last one, the first
// being its kind.
func rackOf(labels []string) string {
	if len(labels) == 0 {
		return ""
	}
	return labels[len(labels)-1]
}

func (e *Engine) addWorker(seen runner.Worker) *worker {
	w := &worker{Worker: seen, places: map[work.TaskID]*place{}, pace: 1, nextRenew: e.now, slot: e.slots}
	e.slots++
	e.workers[seen.ID] = w
	e.order = append(e.order, w)
	return w
}

// WorkerUnlisted takes the end of a worker's entry. The worker may still run
// what it has.
func (e *Engine) WorkerUnlisted(now time.Duration, id runner.WorkerID) {
	e.now = now
	w := e.workers[id]
	if w == nil {
		e.unlistedName(now, id)
		return
	}
	w.listed = false
	w.nextRenew = now
	if w.misses > 0 && len(w.places) == 0 && w.fenced {
		e.workerGone(w, "not listed and not answering", true)
	}
}

// workerGone gives a worker up: nothing of it runs any more. ended tells that its life is
// over, as far as can be known.
func (e *Engine) workerGone(w *worker, why string, ended bool) {
	if w.gone {
		return
	}
	e.decide(Decision{What: "worker gone", Worker: w.ID, Why: why, Age: e.now - w.answered})
	w.gone = true
	e.stats.Gone++
	e.clearPlaces(w, why, ended)
	e.resolve(w)
	if ended {
		e.settleCrashes(w, true)
	}
	delete(e.workers, w.ID)
	e.order = slices.DeleteFunc(e.order, func(x *worker) bool { return x == w })
	e.fleetNew = e.fleetNew || w.kept
	w.waiting = nil
}

// clearPlaces frees every run on a worker on which nothing runs any more.
func (e *Engine) clearPlaces(w *worker, why string, ended bool) {
	w.refundStrays()
	suspects := e.blame(w, ended)
	for _, p := range places(w) {
		e.stats.Lost++
		e.stats.LostWithWorker++
		e.decide(Decision{What: "run lost", Task: p.id(), Run: p.run, Worker: w.ID, Why: why, Age: e.now - p.sent})
		s := p.s
		if ended && e.mayOutlive(p) {
			e.outlive(w, p)
		} else {
			e.release(p)
		}
		if s.spec.Gang && s.job.active() {
			e.breakGang(s, "a member was lost with its worker")
		}
	}
	for _, x := range suspects {
		e.judge(x.Task)
	}
}

// places returns the runs on a worker in a fixed order.
func places(w *worker) []*place {
	all := make([]*place, 0, len(w.places))
	for _, p := range w.places {
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b *place) int {
		if a.sent != b.sent {
			return int(a.sent - b.sent)
		}
		return a.index - b.index
	})
	return all
}

// lapsed is called when everything on a worker must have ended with its lease.
func (e *Engine) lapsed(w *worker) {
	e.decide(Decision{What: "lease lapsed", Worker: w.ID, Why: "no answer until the lease had run out", Age: e.now - w.answered})
	if !w.listed || !w.fenced {
		e.workerGone(w, "its lease has run out and it does not answer", !w.listed)
		return
	}
	e.clearPlaces(w, "its lease has run out", false)
}
