package usage

import (
	"time"

	"fennelshunt.example/fennelshunt/process/sched/snapshot"
	"fennelshunt.example/fennelshunt/version/spec"
)

// Parameters of the run time estimate.
const (
	// minRuns is the number of successful runs that must be recorded before their
	// run times replace the declared one.
	minRuns = 3
	// runPercentile of the run times, multiplied by runMargin, is the expected run
	// time. It is a cautious estimate because work that is backfilled before a
	// waiting gang must end in time.
	runPercentile = 90
	runMargin     = 1.1
	// declaredFactor makes a declared run time a cautious estimate.
	declaredFactor = 3
	// minProgress is the least reported progress that is extrapolated.
	minProgress = 0.05
	// overdueShare is the fraction of its age that a task is expected to go on
	// running after it has exceeded the expected run time.
	overdueShare = 0.5
	// minRemaining is the least remaining time that is assumed for a running task.
	minRemaining = time.Second
	// unknownRunTime is assumed when no run time is declared or learned.
	unknownRunTime = time.Minute
)

// RunTime returns a cautious estimate of a job's run time; 0 if it is unknown.
func (l *Learner) RunTime(job string) time.Duration {
	h := l.jobs[job]
	switch {
	case h == nil:
		return 0
	case h.runs.len() >= minRuns:
		return scaled(time.Duration(h.runs.percentile(runPercentile)), runMargin)
	default:
		return declaredFactor * h.runTime
	}
}

// Remaining returns how much longer a running task is expected to run, or false
// for an instance of a service, which does not end. With now bound it can serve as
// a gang.Remaining.
func (l *Learner) Remaining(t *snapshot.Task, now time.Time) (time.Duration, bool) {
	g := t.Group()
	if g.Kind == spec.Service {
		return 0, false
	}
	age := t.Age(now)
	if progress := t.Progress(); progress >= minProgress && progress < 1 && age > 0 {
		return max(minRemaining, scaled(age, runMargin*(1-progress)/progress)), true
	}
	expected := l.RunTime(g.Job)
	if expected == 0 {
		expected = unknownRunTime
	}
	if age < expected {
		return max(minRemaining, expected-age), true
	}
	return max(minRemaining, scaled(age, overdueShare)), true
}

func scaled(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
