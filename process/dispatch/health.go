package dispatch

import (
	"slices"
	"time"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/version/work"
)

// Judging workers by how runs end there.
//
// Load pattern: some workers fail all that they start, and so take more than their share
// of it; others fail a third of it, which breaks a gang with three members there more often
// than not; and of the jobs themselves one in thirty fails wherever it runs.
const (
	// quarantineFailures is how many runs of different jobs in a row must fail before a
	// worker is set aside: with one failure in fifty as the normal share, two in
	// a row are one in 2,500.
	quarantineFailures = 2
	quarantineMin      = 2 * time.Second
	quarantineMax      = 12 * time.Second
	// suspicionFail is added for a failed run, suspicionDone taken for one that is done, and
	// suspicionAside sets a worker aside: the logarithms of how much likelier the one and
	// the other are where two runs in five fail than where one in twenty does, and of one in
	// 150 for a worker that is well.
	suspicionFail  = 2.0
	suspicionDone  = 0.5
	suspicionLimit = 5.0
)

// health is what is known of a worker by its runs.
type health struct {
	failJobs         []work.JobID // jobs whose runs failed here, none done since
	suspicion        float64      // grows with failed runs, and falls with those that are done
	quarantinedUntil time.Duration
	quarantine       time.Duration
	probation        bool // set aside before; one run at a time until one is done
}

// noteFailure judges the worker by a failed run, and reports whether it is set aside.
func (h *health) noteFailure(now time.Duration, id work.JobID) (quarantined bool) {
	if !slices.Contains(h.failJobs, id) {
		h.failJobs = append(h.failJobs, id)
		h.suspicion += suspicionFail
	}
	if len(h.failJobs) < quarantineFailures && h.suspicion < suspicionLimit && !h.probation {
		return false
	}
	h.quarantine = min(max(2*h.quarantine, quarantineMin), quarantineMax)
	h.quarantinedUntil = now + h.quarantine
	h.probation = true
	h.failJobs = nil
	return true
}

// noteSuccess judges the worker by a run that was done.
func (h *health) noteSuccess() {
	h.failJobs = nil
	h.probation = false
	h.suspicion = max(h.suspicion-suspicionDone, 0)
	if h.suspicion == 0 {
		h.quarantine = 0
	}
}

// weakSlowdown is how much slower than usual a worker counts as weak: three times the
// spread of healthy ones.
const weakSlowdown = 1.35

// weak is 1 for a worker that is slow or under suspicion, else 0.
func (w *worker) weak() int {
	if w.slowdown > weakSlowdown || w.suspicion > suspicionDone {
		return 1
	}
	return 0
}

// countsAgainst reports whether a failed run of the job speaks against the worker: not if a run
// of the job has failed on another one before.
//
// What goes wrong without it: jobs that fail wherever they run make up most of the failures,
// and a few times a second two of them meet on a worker that is well, which then stands
// empty for two seconds.
func (j *job) countsAgainst(id runner.WorkerID) bool {
	if j.firstFailedOn == "" {
		j.firstFailedOn = id
	}
	return j.firstFailedOn == id
}
