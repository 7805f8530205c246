package dispatch

import (
	"slices"
	"time"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/process/evacuation"
	"fennelshunt.example/fennelshunt/process/lead/evidence"
	"fennelshunt.example/fennelshunt/process/speed"
	"fennelshunt.example/fennelshunt/version/work"
)

// Timing of calls to workers.
const (
	// renewWait is how long the answer to a renewal may wait for a completion.
	renewWait = time.Second
	// renewGrace is how long after renewWait a renewal may be answered: a worker answers in a
	// few milliseconds, over a slow link in some tens.
	renewGrace = 500 * time.Millisecond
	// probePause is between renewals to a worker that did not answer.
	probePause = 150 * time.Millisecond
	// maxProbeDoublings bounds that pause at 1.2 s for a worker that has never answered.
	maxProbeDoublings = 3
	// evidencePause is between renewals that give no lease for want of evidence: short beside a lease,
	// and no load on a leader that most workers do not answer.
	evidencePause = 300 * time.Millisecond
	// renewPauseMin and renewPauseMax bound the pause between a report with completions and
	// the next renewal while these cannot be acknowledged yet, since the worker would answer
	// at once. Each report without a new completion doubles the pause. If the store answers in
	// 300 ms and the pause were 300 ms too, the next completion would be seen 150 ms late on
	// average.
	renewPauseMin = 80 * time.Millisecond
	renewPauseMax = 320 * time.Millisecond
	// ackFreshness is for how long after it was certainly there the worker's completions are
	// acknowledged: longer than any pause between renewals, shorter than a crashed worker
	// takes to be back under its name. Otherwise its next incarnation would take the count for
	// its own and drop as many of its completions, which no leader has received.
	ackFreshness = 500 * time.Millisecond
	// untrackedPause is between reports while untracked runs are being stopped.
	untrackedPause = 100 * time.Millisecond
	// clockBack is how far a worker's clock must have gone back to belong to another
	// incarnation: the clock is monotonic, and reports of one incarnation arrive in order.
	clockBack = time.Second
	// clockDrift is by what factor a worker's clock may run slower, with a margin.
	clockDrift = 1.03
	// driftMargin is added to times that were converted between clocks.
	driftMargin = 200 * time.Millisecond
	// killTime is how long a worker may take to end its runs once its lease has expired: ending them
	// takes as long as a stop, and timers fire late on a loaded VM.
	killTime = 500 * time.Millisecond
)

// refusalQuarantine is how long a worker is not used after it refused a start as unhealthy.
const refusalQuarantine = 500 * time.Millisecond

// pendingAck is a completion that may be acknowledged once its job's progress is in the store.
type pendingAck struct {
	number  int64
	task    work.TaskID
	job     *job // nil: it was not known
	version uint64
	unheard *unheardJob // instead of job
	place   int         // the number of its completions up to this one
}

// stored reports whether the completion may be acknowledged.
func (a *pendingAck) stored() bool {
	if a.unheard != nil {
		return a.unheard.stored(a.place)
	}
	return a.job.saved >= a.version
}

// worker is one incarnation of a worker.
type worker struct {
	runner.Worker
	index      int  // in the advice of steps
	listed     bool // its entry is in the directory
	recorded   bool // the list of workers in the store has it, and not as cordoned
	known      bool // the list has it, perhaps as cordoned: a successor knows of it, so that it may be given leases
	fenced     bool // it has answered this epoch, and so rejects earlier ones
	removed    bool // its incarnation has ended
	newInEpoch bool // it started in this epoch, so no earlier one has called it
	// cordoned: the list in the store says, or is about to say, that nothing is started here.
	cordoned bool
	// leaseTold: the list in the store says, or is about to say, until when its lease lasts at the latest, so that it is given
	// none.
	leaseTold bool
	// mayRun are the tasks that may run on a cordoned worker that an earlier epoch used and
	// that has not answered this one; unlisted: these tasks are not known.
	mayRun   []work.TaskID
	unlisted bool
	// lateOrders: it has ended, or follows one that has, and orders of an earlier epoch to that one may
	// still be carried out.
	lateOrders bool
	// ordersEnd is when the starts of mayRun by an earlier epoch can no longer be carried out, once nothing runs
	// on it any more; 0 before.
	ordersEnd time.Duration
	// unanswered are those of mayRun of which a start had no answer, unansweredEnd is when these starts can no
	// longer be carried out.
	unanswered    []work.TaskID
	unansweredEnd time.Duration
	// toldUnanswered: the stored list has starts on it that had no answer.
	toldUnanswered bool
	// inheritedSuspects are the runs that may have crashed it, as written by an earlier epoch.
	inheritedSuspects []suspectRun
	// inherited: an earlier epoch used it, and it has not answered this one with all its completions.
	inherited bool
	rack      string

	used   work.Resources
	allocs map[work.TaskID]*allocation

	clock      time.Duration // its own, as of clockAt
	clockAt    time.Duration
	leaseUntil time.Duration // latest lease end sent, on its clock
	// expiry is when everything on the worker has certainly ended unless its lease was renewed
	// since, in engine time.
	expiry time.Duration

	// lateUntil is until when an unanswered order that renews the lease may be carried out, by the next
	// incarnation if this one has ended.
	lateUntil time.Duration

	renewing  bool
	renewSent time.Duration
	nextRenew time.Duration
	answered  time.Duration // when the last report was handled
	presence  presence      // by its reports
	voter     evidence.Voter
	aliveAt   time.Duration // latest time at which it is known to have been running
	misses    int           // renewals in a row without an answer
	// recoveredAt is when it last answered again after a renewal without an answer, 0 for never.
	recoveredAt time.Duration

	// untracked are the runs of the last report that have no allocation and are being stopped:
	// the capacity they use is not booked, so nothing is started beside them.
	untracked []untrackedRun
	// fences are the stops of runs that orders to earlier incarnations may start here.
	fences []fence

	renewPause time.Duration // last pause while completions could not be acknowledged

	lastCompletion  int64 // highest completion number processed
	ackedCompletion int64 // highest completion number that may be acknowledged
	pendingAcks     []pendingAck

	health
	speed            *speed.Worker
	slow             bool // runs take much longer than on a typical worker
	reserved         []reservation
	gangReservations []gangReservation
	isolated         isolation
	departure        evacuation.Departure
}

// free returns the capacity that is not booked.
func (w *worker) free() work.Resources { return w.Capacity.Sub(w.used) }

// lasting is what tasks hold that last, and so never end by themselves.
func (w *worker) lasting() (sum work.Resources) {
	for _, alloc := range w.allocs {
		if alloc.s.spec.LongRunning && alloc.state != stopping {
			sum = sum.Add(alloc.need)
		}
	}
	return sum
}

// mayBeUsed reports whether something may run on the worker that a leader has started, or is about to. Before its first
// answer a worker is given neither a lease nor a start.
func (w *worker) mayBeUsed() bool { return w.fenced || w.inherited }

// idle reports whether it is known that nothing runs on the worker.
func (w *worker) idle() bool {
	return !w.inherited && len(w.allocs) == 0 && !slices.ContainsFunc(w.untracked, func(x untrackedRun) bool { return x.unheard != nil })
}

// overbooked reports whether more is booked than the worker's capacity, which may have shrunk
// since.
func (w *worker) overbooked() bool { return !work.Resources{}.Fits(w.free()) }

// usable reports whether new runs may be started on the worker.
func (w *worker) usable(now time.Duration) bool { return w.exclusion(now) == notExcluded }

// exclusion returns why no new run may be started on the worker.
func (w *worker) exclusion(now time.Duration) exclusion {
	switch {
	case w.removed || w.Draining:
		return excludedLeaving
	case w.cordoned:
		return excludedCordoned
	case w.misses > 0:
		return excludedSilent
	case !w.listed || !w.recorded || !w.fenced:
		return excludedUnknown
	case now < w.quarantinedUntil:
		return excludedQuarantine
	case len(w.untracked) > 0:
		return excludedUntracked
	case len(w.fences) > 0:
		return excludedFenced
	case w.probation && w.probes():
		return excludedProbe
	}
	return notExcluded
}

// out reports whether the worker gets no new runs for longer than a moment, whatever its health.
func (w *worker) out(now time.Duration) bool {
	switch w.exclusion(now) {
	case excludedUnknown, excludedLeaving, excludedCordoned, excludedSilent:
		return true
	}
	return false
}

// probes reports whether a run is there that has been started since the last quarantine, so that
// how it ends tells whether the worker still fails its runs.
func (w *worker) probes() bool {
	for _, alloc := range w.allocs {
		if alloc.sent > w.quarantinedAt {
			return true
		}
	}
	return false
}

// has reports whether the worker has every label.
func (w *worker) has(labels []string) bool {
	for _, l := range labels {
		if !slices.Contains(w.Labels, l) {
			return false
		}
	}
	return true
}

// clockNow estimates the worker's clock.
func (w *worker) clockNow(now time.Duration) time.Duration { return w.clock + now - w.clockAt }

// renewUntil returns the lease end to send now, on the worker's clock; 0 does not renew the
// lease.
//
// A worker that does not answer is called without renewing its lease: each call without an
// answer may still arrive and would postpone the time at which everything there has certainly
// ended, so the tasks of a crashed worker would never start elsewhere.
func (w *worker) renewUntil(now time.Duration, lease time.Duration) time.Duration {
	if !w.fenced || w.misses > 0 {
		return 0
	}
	until := w.clockNow(now) + lease
	if until > w.leaseUntil {
		w.leaseUntil = until
		w.expiry = max(w.expiry, now+leaseBound(lease))
	}
	return until
}

// leaseBound returns after how long a lease that a worker was given has certainly expired and its
// runs have ended, whatever its clock.
func leaseBound(lease time.Duration) time.Duration {
	return scale(lease, clockDrift) + driftMargin + killTime
}

func scale(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }

// take books a run's resources.
func (w *worker) take(alloc *allocation) {
	w.used = w.used.Add(alloc.need)
	w.allocs[alloc.id()] = alloc
}

// drop frees a run's resources; false if they are not booked.
func (w *worker) drop(alloc *allocation) bool {
	if w.allocs[alloc.id()] != alloc {
		return false
	}
	w.used = w.used.Sub(alloc.need)
	delete(w.allocs, alloc.id())
	return true
}
