package dispatch

import (
	"slices"
	"time"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/version/work"
)

// Times of calls to workers.
const (
	// renewWait is how long a renewal's answer may wait for an end.
	renewWait = time.Second
	// renewGrace is how long after its wait a renewal may be answered: a worker
	// answers in a few milliseconds, over a slow link in some tens.
	renewGrace = 500 * time.Millisecond
	// probePause is between renewals to a worker that did not answer.
	probePause = 150 * time.Millisecond
	// renewPauseMin and renewPauseMax bound the pause between a report with ends
	// and the next renewal while these can not be acknowledged yet, since the
	// worker would answer at once. Each report without a new end doubles it.
	//
	// Load pattern: a store that answers in 300 ms. With a pause of 300 ms the next
	// end on the worker was seen 150 ms late in the mean.
	renewPauseMin = 80 * time.Millisecond
	renewPauseMax = 320 * time.Millisecond
	// ackFreshness is how long after its answer a worker is taken to live on, as far as its
	// count of ends goes: longer than any pause between renewals, shorter than a crashed
	// worker takes to be back under its name. What goes wrong without it: the next life
	// forgets as many of its own ends, of which nobody has heard.
	ackFreshness = 500 * time.Millisecond
	// untrackedPause is between reports while runs are being stopped.
	untrackedPause = 100 * time.Millisecond
	// clockBack is how far a worker's clock must have gone back to be another life's: it is
	// steady, and reports of a life come one after the other.
	clockBack = time.Second
	// clockDrift is how much slower a worker's clock may be, with a reserve.
	clockDrift = 1.03
	// driftMargin is added to bounds that were converted between clocks.
	driftMargin = 200 * time.Millisecond
)

// refusalQuarantine is the pause after a worker refused as not healthy.
const refusalQuarantine = 500 * time.Millisecond

// pendingAck is an end that may be acknowledged once its job's progress is in the
// store.
type pendingAck struct {
	number  int64
	task    work.TaskID
	job     *job // nil: nothing to wait for
	version uint64
}

// worker is one life of a worker.
type worker struct {
	runner.Worker
	index      int  // its place in what steps know of workers
	listed     bool // its entry is in the directory
	recorded   bool // the store knows that it is used
	fenced     bool // it has answered this epoch
	removed    bool // its life is over
	newInEpoch bool // it began in this epoch, so that no other has called it
	// cordoned: the list of workers in the store says, or is about to say, that
	// nothing is started here.
	cordoned bool
	// mayRun are the tasks that may run there, of a closed worker that an earlier epoch
	// used and that has not answered this one; unlisted: they are not known.
	mayRun   []work.TaskID
	unlisted bool
	// inheritedSuspects may have crashed it, as an earlier epoch wrote.
	inheritedSuspects []suspectRun
	// inherited: an earlier epoch used it, and it has not answered this one.
	inherited bool
	rack      string

	used   work.Resources
	allocs map[work.TaskID]*allocation

	clock      time.Duration // its own, at the time clockAt
	clockAt    time.Duration
	leaseUntil time.Duration // the latest lease end sent, on its clock
	// expiry is when everything on it has ended for sure unless it was renewed
	// since, in engine time.
	expiry time.Duration

	renewing  bool
	renewSent time.Duration
	nextRenew time.Duration
	answered  time.Duration // when the last report came
	aliveAt   time.Duration // the latest time at which it is known to have lived
	misses    int           // renewals in a row without an answer

	// untracked are the runs of the last report that are being stopped without a place:
	// the room they take is not booked, so nothing starts beside them.
	untracked []untrackedRun

	renewPause time.Duration // the last one while ends could not be acknowledged

	lastCompletion  int64 // the highest end processed
	ackedCompletion int64 // the highest end that may be acknowledged
	pendingAcks     []pendingAck

	health
	// slowdown is how fast it works against estimates, decaying; 1 is as estimated.
	slowdown         float64
	reserved         []reservation
	gangReservations []gangReservation
	isolated         isolation
}

// free returns what is not taken.
func (w *worker) free() work.Resources { return w.Capacity.Sub(w.used) }

// over reports whether more is booked on the worker than it has room for: it has become
// smaller since.
func (w *worker) over() bool { return !work.Resources{}.Fits(w.free()) }

// usable reports whether new runs may be started on the worker.
func (w *worker) usable(now time.Duration) bool {
	switch {
	case w.removed || !w.listed || !w.recorded || !w.fenced || w.Draining || w.cordoned:
		return false
	case w.misses > 0 || now < w.quarantinedUntil:
		return false
	case len(w.untracked) > 0, w.probation && len(w.allocs) > 0:
		return false
	}
	return true
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

// renewUntil returns the lease end to send now, on the worker's clock; 0 renews
// nothing.
//
// A worker that does not answer is only asked, not renewed. What goes wrong
// otherwise: each call without an answer may still arrive, so the time at which
// everything there has ended for sure moves on with each, and the tasks of a
// worker that has crashed never start elsewhere.
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

// leaseBound returns after how long a lease that a worker has been given has run out for sure, by
// whatever clock it has.
func leaseBound(lease time.Duration) time.Duration { return scale(lease, clockDrift) + driftMargin }

func scale(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }

// take books a run's resources.
func (w *worker) take(alloc *allocation) {
	w.used = w.used.Add(alloc.need)
	w.allocs[alloc.id()] = alloc
}

// drop frees a run's resources, unless they are free.
func (w *worker) drop(alloc *allocation) bool {
	if w.allocs[alloc.id()] != alloc {
		return false
	}
	w.used = w.used.Sub(alloc.need)
	delete(w.allocs, alloc.id())
	return true
}
