package dispatch

import (
	"slices"
	"time"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/version/work"
)

// WorkerSeen handles a worker's entry in the directory.
func (e *Engine) WorkerSeen(now time.Duration, seen runner.Worker) {
	e.now = now
	seen.ID = e.incarnationOf(seen.ID)
	w := e.workers[seen.ID]
	switch {
	case e.contested(seen.ID):
		w = e.claim(seen)
	default:
		e.replaced(seen.ID.Name())
		latest, known := e.latestStarts[seen.ID.Name()]
		_, _ = e.noteIncarnation(seen.ID)
		if w == nil {
			w = e.addWorker(seen)
			_, startTime := seen.ID.Incarnation()
			w.newInEpoch = known && startTime > latest
		}
	}
	if w.keepsAddress() {
		seen.Address = w.Address
	}
	w.Worker, w.listed = seen, true
	w.rack = rackOf(seen.Labels)
	e.labelSpeed(w)
	e.noteNotice(w)
	e.scheduled = false
}

// keepsAddress reports whether the worker is called where it was, whatever its entry says: an incarnation does not move, and an
// answer of somebody else at another address tells nothing about what runs there.
func (w *worker) keepsAddress() bool {
	return w.Address != "" && w.mayBeUsed() && (w.misses == 0 || !w.idle())
}

// WorkersListed handles a listing of the whole directory.
func (e *Engine) WorkersListed(now time.Duration, workers []runner.Worker) {
	listed := make(map[runner.WorkerID]bool, len(workers))
	for i := range workers {
		e.WorkerSeen(now, workers[i])
		listed[e.incarnationOf(workers[i].ID)] = true
	}
	for _, w := range slices.Clone(e.workerList) {
		if w.listed && !listed[w.ID] && !e.isContested(w) {
			e.WorkerUnlisted(now, w.ID)
		}
	}
}

// rackOf returns the rack among a worker's labels: the last one. The first is the worker's kind.
func rackOf(labels []string) string {
	if len(labels) == 0 {
		return ""
	}
	return labels[len(labels)-1]
}

func (e *Engine) addWorker(seen runner.Worker) *worker {
	w := &worker{Worker: seen, allocs: map[work.TaskID]*allocation{}, nextRenew: e.now, index: e.workerCount}
	e.workerCount++
	e.workers[seen.ID] = w
	e.workerList = append(e.workerList, w)
	w.speed = e.speed.AddWorker("", "")
	return w
}

// WorkerUnlisted handles the removal of a worker's entry. The worker may still be running its
// tasks.
func (e *Engine) WorkerUnlisted(now time.Duration, id runner.WorkerID) {
	e.now = now
	w := e.workers[id]
	if w == nil {
		e.unlistedByName(now, id)
		return
	}
	w.listed = false
	w.nextRenew = now
	if w.misses > 0 && w.idle() {
		e.removeWorker(w, "not listed and not answering", true)
	}
}

// removeWorker drops a worker on which nothing runs any more. ended means that its incarnation
// has ended, as far as can be determined.
func (e *Engine) removeWorker(w *worker, why string, ended bool) {
	if w.removed {
		return
	}
	e.forgetClaim(w)
	e.decide(Decision{What: "worker removed", Worker: w.ID, Why: why, Age: e.now - w.answered})
	w.removed = true
	e.speed.RemoveWorker(w.speed)
	e.stats.WorkersGone++
	e.clearAllocs(w, why, ended)
	e.resolve(w)
	if ended {
		e.settleCrashes(w, true)
	}
	delete(e.workers, w.ID)
	e.orders.Gone(w.ID)
	e.workerList = slices.DeleteFunc(e.workerList, func(x *worker) bool { return x == w })
	e.fleetChanged = e.fleetChanged || w.recorded || w.voter.Pending
	e.cordonsChanged = e.cordonsChanged || w.cordoned // it may come back under the same id
	w.pendingAcks = nil
}

// clearAllocs releases every run on a worker on which nothing runs any more.
func (e *Engine) clearAllocs(w *worker, why string, ended bool) {
	w.refundUntracked()
	e.orders.ProlongLeases(w.ID.Name(), w.lateUntil)
	suspects := e.recordLosses(w, ended)
	for _, alloc := range sortedAllocs(w) {
		e.stats.Lost++
		e.stats.LostWithWorker++
		e.noteEvacuatedLate(alloc)
		e.decide(Decision{What: "run lost", Task: alloc.id(), Run: alloc.run, Worker: w.ID, Why: why, Age: e.now - alloc.sent})
		s := alloc.s
		if e.mayBeOnNext(alloc) {
			e.orders.Add(w.Ref, alloc.id(), alloc.run, e.now)
		}
		e.release(alloc)
		if s.spec.Gang && s.job.active() {
			e.stopGang(s, "a member was lost with its worker")
		}
	}
	for _, x := range suspects {
		e.failAtCrashLimit(x.Task)
	}
	if len(e.lateTasks()) > 0 {
		e.fleetChanged, e.cordonsChanged, e.ordersChanged = true, true, true
	}
}

// sortedAllocs returns the runs on a worker in a fixed order.
func sortedAllocs(w *worker) []*allocation {
	all := make([]*allocation, 0, len(w.allocs))
	for _, alloc := range w.allocs {
		all = append(all, alloc)
	}
	slices.SortFunc(all, func(a, b *allocation) int {
		if a.sent != b.sent {
			return int(a.sent - b.sent)
		}
		return a.index - b.index
	})
	return all
}

// leaseExpired handles a worker whose lease has certainly expired, so that nothing runs there
// any more. Its next incarnation may still carry out starts that were not answered.
func (e *Engine) leaseExpired(w *worker) {
	if e.holdUnanswered(w) || e.holdForClaim(w) {
		return
	}
	e.decide(Decision{What: "worker's lease expired", Worker: w.ID, Why: "no answer until the lease had expired", Age: e.now - w.answered})
	if !w.listed || !w.fenced {
		e.removeWorker(w, "its lease has expired and it does not answer", !w.listed)
		return
	}
	e.clearAllocs(w, "its lease has expired", false)
	e.resolve(w)
}
