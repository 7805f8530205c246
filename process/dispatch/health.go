package dispatch

import (
	"slices"
	"time"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/version/work"
)

// Health of workers, judged by how runs end there.
//
// Some workers fail all that they start, and so take more than their share of the starts;
// others fail a third of it, which makes a gang with three members there fail more often than
// not. Of the jobs themselves, one in thirty fails wherever it runs.
const (
	// quarantineFailures is how many runs of different jobs in a row must fail before a worker
	// is quarantined: with one failure in fifty as the normal rate, two in a row are one in
	// 2,500.
	quarantineFailures = 2
	quarantineMin      = 2 * time.Second
	quarantineMax      = 12 * time.Second
	// gangProbation is for how long after a quarantine a gang leaves the worker to other work
	// although it cannot run without such workers: longer than a call for advice, so that work
	// that waits gets there first.
	gangProbation = time.Second
	// gangProbationMax is the same for a gang that the other workers could run.
	gangProbationMax = quarantineMax
	// provenAfter is how long a run on a worker on probation makes progress until the worker
	// gets more work beside it: some runs are not done for hours.
	provenAfter = quarantineMax
	// suspicionFail is added for a failed run, suspicionDone is subtracted for one that is
	// done, and at suspicionLimit the worker is quarantined. The first two are the logarithms
	// of how much likelier a failed run, or one that is done, is on a worker that fails two
	// runs in five than on one that fails one in twenty. The limit is the logarithm of 150:
	// one healthy worker in 150 reaches it.
	suspicionFail  = 2.0
	suspicionDone  = 0.5
	suspicionLimit = 5.0
)

// health is the state of a worker as judged by its runs.
type health struct {
	failJobs         []work.JobID  // jobs whose runs failed here since the last run that was done
	suspicion        float64       // rises with failed runs, falls with runs that are done
	quarantinedAt    time.Duration // when runs last had it quarantined
	quarantinedUntil time.Duration
	quarantine       time.Duration
	probation        bool // was quarantined; gets one new run at a time until one has gone well
	probationSince   time.Duration
}

// noteFailure records a failed run, and reports whether the worker is quarantined.
func (h *health) noteFailure(now time.Duration, id work.JobID) (quarantined bool) {
	if !slices.Contains(h.failJobs, id) {
		h.failJobs = append(h.failJobs, id)
		h.suspicion += suspicionFail
	}
	if len(h.failJobs) < quarantineFailures && h.suspicion < suspicionLimit && !h.probation {
		return false
	}
	h.quarantine = min(max(2*h.quarantine, quarantineMin), quarantineMax)
	h.quarantinedAt, h.quarantinedUntil = now, now+h.quarantine
	if !h.probation {
		h.probation, h.probationSince = true, now
	}
	h.failJobs = nil
	return true
}

// noteSuccess records a run that was done.
func (h *health) noteSuccess() {
	h.failJobs = nil
	h.probation = false
	h.suspicion = max(h.suspicion-suspicionDone, 0)
	if h.suspicion == 0 {
		h.quarantine = 0
	}
}

// gangsFrom returns when a gang may start on a worker on probation, unless other work ends the
// probation before that.
//
// One member that fails stops a whole gang, so that gangs leave such workers to other work. But
// where nothing else fits the worker, only a gang can end its probation.
func (s *step) gangsFrom(w *worker) time.Duration {
	if s.feasibleSound {
		return w.quarantinedUntil + gangProbationMax
	}
	return w.quarantinedUntil + gangProbation
}

// runProves counts a run as a success of its worker.
func (e *Engine) runProves(alloc *allocation, why string) {
	w := alloc.w
	if w.probation {
		e.decide(Decision{What: "worker's probation ends", Task: alloc.id(), Run: alloc.run, Worker: w.ID, Why: why, Age: e.now - w.probationSince})
	}
	w.noteSuccess()
}

// noteProgress ends the probation of a worker on which a run makes progress for long enough. Its
// suspicion stays, so that the next failure has it quarantined again.
func (e *Engine) noteProgress(alloc *allocation) {
	w := alloc.w
	if !w.probation || alloc.sent <= w.quarantinedAt || alloc.state != running || alloc.percentAt <= alloc.ackAt || e.now-alloc.ackAt < provenAfter {
		return
	}
	e.decide(Decision{What: "worker's probation ends", Task: alloc.id(), Run: alloc.run, Worker: w.ID, Why: "a run makes progress", Age: e.now - w.probationSince})
	w.probation = false
}

// weak is 1 for a worker that is slow or under suspicion, else 0.
func (w *worker) weak() int {
	if w.slow || w.suspicion > suspicionDone {
		return 1
	}
	return 0
}

// countsAgainst reports whether a failed run of the job counts against the worker: only if the
// job's first failed run was on that worker.
//
// Jobs that fail wherever they run make up most of the failures. If all of these counted, two
// such jobs would fail one after the other on a healthy worker a few times a second, and leave
// it idle for two seconds.
func (j *job) countsAgainst(id runner.WorkerID) bool {
	if j.firstFailedOn == "" {
		j.firstFailedOn = id
	}
	return j.firstFailedOn == id
}
