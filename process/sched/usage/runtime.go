package usage

import (
	"time"

	"fennelshunt.example/fennelshunt/process/sched/snapshot"
	"fennelshunt.example/fennelshunt/version/spec"
)

// Expectations of run times.
const (
	// minRuns is how many runs are needed to trust them more than the
	// declared time.
	minRuns = 3
	// runPercentile of the runs, with runMargin, is the expected run time:
	// work that is let in before a waiting gang must end in time.
	runPercentile = 90
	runMargin     = 1.1
	// declaredFactor makes a cautious expectation of a declared time.
	declaredFactor = 3
	// minWork is the reported fraction from which progress is extrapolated.
	minWork = 0.05
	// overdueShare of its age is what a task that outlived every expectation
	// is still given.
	overdueShare = 0.5
	// minRemaining is the least that a running task is given.
	minRemaining = time.Second
	// unknownRunTime is assumed when nothing is declared or learned.
	unknownRunTime = time.Minute
)

// RunTime returns a cautious expectation of a job's run time; 0 when nothing is
// known.
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

// Remaining returns for how long a running task is expected to go on; false for
// an instance of a service, which runs without end. It has the signature of
// gang.Remaining once now is bound.
func (l *Learner) Remaining(t *snapshot.Task, now time.Time) (time.Duration, bool) {
	g := t.Group()
	if g.Kind == spec.Service {
		return 0, false
	}
	age := t.Age(now)
	if work := t.Work(); work >= minWork && work < 1 && age > 0 {
		return max(minRemaining, scaled(age, runMargin*(1-work)/work)), true
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
