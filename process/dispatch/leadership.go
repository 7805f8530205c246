package dispatch

import (
	"time"

	"fennelshunt.example/fennelshunt/process/lead/evidence"
)

// Leases are given, and tasks started, only with recent evidence that there is no successor. A leader
// that stood still for seconds otherwise renews and starts at every worker that it reaches as soon as
// it runs again, beyond the time after which its successor takes those workers' runs for ended.

// mayLease reports whether leases may be given now.
func (e *Engine) mayLease() bool { return e.evidence.Recent(e.now, e.voters) }

// voters yields the workers that may count towards a majority.
func (e *Engine) voters(yield func(*evidence.Voter) bool) {
	for _, w := range e.workerList {
		if !yield(&w.voter) {
			return
		}
	}
}

// votes reports whether the lists of workers have the worker, as one that may answer.
func (w *worker) votes() bool { return w.mayBeUsed() && (!w.cordoned || w.unlisted) }

// loadVoters counts the workers of the stored lists.
func (e *Engine) loadVoters() {
	n := 0
	for _, w := range e.workerList {
		if w.inherited && w.votes() {
			w.voter.Listed, w.voter.Pending = true, true
			n++
		}
	}
	e.evidence.Inherited(n)
}

// sendVoters counts the workers of the lists that are about to be sent to the store.
func (e *Engine) sendVoters() {
	n := 0
	for _, w := range e.workerList {
		if w.voter.Pending = w.votes(); w.voter.Pending {
			n++
		}
	}
	e.evidence.ListSent(n)
}

// inheritedLease is after how long what an earlier leader has started on a worker has certainly ended
// if that leader does not reach a majority of the workers any more, and the lists do not tell when its lease ends.
func (e *Engine) inheritedLease() time.Duration {
	return evidence.MaxAge + leaseBound(e.o.Bounds.MaxLease)
}

// noteReached is called when an inherited worker has answered, or another incarnation in its place.
func (e *Engine) noteReached(w *worker) {
	if !w.inherited || !w.voter.Listed || !e.evidence.Reached() {
		return
	}
	for _, other := range e.workerList {
		if other.inherited && !other.leaseTold {
			other.expiry = max(other.expiry, e.now+e.inheritedLease())
		}
	}
}

// noteAnswer records the answer to a worker's renewal as evidence. If the worker's clock has gone on
// for much longer than this leader's since the renewal that it answered last was sent, this leader's
// clock has stood still, and all evidence is older than it shows.
func (e *Engine) noteAnswer(w *worker, clock time.Duration) {
	if w.voter.Answered && w.clock > 0 && clock-w.clock > scale(e.now-w.voter.Asked, clockDrift)+driftMargin {
		e.decide(Decision{What: "the leader's clock stood still", Worker: w.ID, Age: clock - w.clock - (e.now - w.voter.Asked)})
		e.evidence.Void(e.now)
	}
	e.evidence.Answer(&w.voter, w.renewSent)
}

// confirmClaim reads the claim from the store if no write has confirmed it for a while.
func (e *Engine) confirmClaim() {
	if e.confirming || !e.evidence.Due(e.now) {
		return
	}
	e.confirming, e.confirmSent = true, e.now
	e.evidence.Asked(e.now)
	e.effects = append(e.effects, SendConfirm{})
}

// Confirmed handles the outcome of a SendConfirm.
func (e *Engine) Confirmed(now time.Duration, err error) {
	e.now = now
	e.confirming = false
	if err == nil {
		e.evidence.Confirmed(e.confirmSent)
	}
}

// sendHeldStarts sends the starts that had no recent evidence when they were decided.
func (e *Engine) sendHeldStarts() {
	if len(e.heldStarts) == 0 || !e.mayLease() {
		return
	}
	held := e.heldStarts
	e.heldStarts = nil
	for _, alloc := range held {
		e.sendHeld(alloc)
	}
}

// sendHeld sends a start that has waited, unless it has become pointless.
func (e *Engine) sendHeld(alloc *allocation) {
	w := alloc.w
	switch {
	case alloc.task().alloc != alloc || (alloc.state != starting && alloc.state != unconfirmed): // settled meanwhile
	case !w.Draining && !w.cordoned && w.misses == 0 && !w.overbooked() && !alloc.s.job.account.Over(alloc.s.charge()):
		e.sendStart(alloc)
	case alloc.tries == 0:
		e.release(alloc)
		e.memberNotStarted(alloc, errUnusable)
	default:
		e.stop(alloc, "no answer to the start, and it must not be sent again")
		e.memberNotStarted(alloc, errUnusable)
	}
}
