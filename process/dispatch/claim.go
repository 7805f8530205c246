package dispatch

import "fennelshunt.example/fennelshunt/connection/runner"

// Claims: entries that name another incarnation of a worker than the current one.
//
// An entry is written by the worker's next incarnation, late by an earlier one, or by another writer. What tells is the answer
// at the address that it names: of the incarnation that it claims, which is then the current one, whichever start time is
// higher; of another one, by which it is contradicted; or none. Until then the current incarnation is used as before, since it
// may be alive, and its runs are not taken for ended. A claim is a worker that has not answered: it gets no tasks, and
// no list has it.

// contested reports whether an entry names another incarnation than the current one of a worker that is known.
func (e *Engine) contested(id runner.WorkerID) bool {
	name, startTime := id.Incarnation()
	latest := e.latestStarts[name] // 0 also for a worker whose name is never used again
	if startTime == 0 || startTime == latest {
		return false
	}
	return startTime < latest || e.workers[runner.IncarnationID(name, latest)] != nil
}

// isContested reports whether the worker's entry has been replaced by a claim.
func (e *Engine) isContested(w *worker) bool {
	c := e.claims[w.ID.Name()]
	return c != nil && c != w && c.listed
}

// claim returns the worker of an entry that is contested.
func (e *Engine) claim(seen runner.Worker) *worker {
	name := seen.ID.Name()
	if c := e.claims[name]; c != nil && c.ID == seen.ID {
		return c
	}
	e.dropClaim(name, "its entry has been replaced")
	c := e.addWorker(seen)
	e.claims[name] = c
	e.stats.Claims++
	e.decide(Decision{What: "another incarnation is listed", Worker: c.ID, Why: "it is asked at " + seen.Address})
	return c
}

// laterSeen reports whether another incarnation of a worker than the one of a start time is known or claimed.
func (e *Engine) laterSeen(name string, startTime int64) bool {
	return e.latestStarts[name] != startTime || e.claims[name] != nil
}

// acceptClaim is called when the incarnation that an entry claims has answered. It becomes the current one, unless the
// current one may be alive at another address.
func (e *Engine) acceptClaim(w *worker) bool {
	name, startTime := w.ID.Incarnation()
	latest := e.latestStarts[name]
	current := e.workers[runner.IncarnationID(name, latest)]
	if current != nil && current.Address != w.Address && current.misses == 0 {
		w.nextRenew = e.now + probePause
		return false
	}
	delete(e.claims, name)
	e.latestStarts[name] = startTime
	w.newInEpoch = startTime > latest && (current == nil || current.fenced)
	if current != nil {
		e.follow(current, w)
	}
	return true
}

// claimContradicted handles the answer of another incarnation than the claimed one at the address of the claim.
func (e *Engine) claimContradicted(w *worker, id runner.WorkerID) {
	e.dropClaim(w.ID.Name(), "its entry is contradicted by "+string(id))
	if e.workers[id] == nil { // neither the current one nor the claimed one: it is asked as well
		seen := w.Worker
		seen.ID = id
		e.WorkerSeen(e.now, seen)
	}
}

// holdForClaim is called when the lease of a worker has certainly expired. Orders of an earlier epoch to it may still be carried
// out by an incarnation that is claimed and has not answered: what may run on the one may then run on the other.
func (e *Engine) holdForClaim(w *worker) bool {
	name, startTime := w.ID.Incarnation()
	c := e.claims[name]
	if c == nil || c == w || !w.inherited || e.latestStarts[name] != startTime {
		return false
	}
	delete(e.claims, name)
	_, e.latestStarts[name] = c.ID.Incarnation()
	e.follow(w, c)
	return true
}

// replaced is called when an entry of the current incarnation has taken the place of a claim. Its call may be on the way.
func (e *Engine) replaced(name string) {
	if c := e.claims[name]; c != nil {
		e.WorkerUnlisted(e.now, c.ID)
	}
}

// dropClaim removes the claim of a name, if there is one.
func (e *Engine) dropClaim(name, why string) {
	if c := e.claims[name]; c != nil {
		e.removeWorker(c, why, false)
	}
}

// forgetClaim makes a worker no claim any more, if it is one.
func (e *Engine) forgetClaim(w *worker) {
	if w != nil && e.claims[w.ID.Name()] == w {
		delete(e.claims, w.ID.Name())
	}
}
