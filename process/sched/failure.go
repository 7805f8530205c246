package sched

import (
	"time"

	"fennelshunt.example/fennelshunt/version/spec"
)

// failure identifies asks that get the same answer while nothing is freed:
// the tasks of one generation of a job. Without it, a queue of 50,000 tasks
// that find no room would cost as many full scans.
type failure struct {
	job        string
	generation uint64
	size       spec.Resources
	class      spec.Class
	runTime    time.Duration
	preempt    bool
}

// failureOf returns an ask's key; false when the task is unlike its siblings.
func failureOf(a *Ask) (failure, bool) {
	key := failure{a.Task.Job, a.Task.Generation, a.Size, a.Class, a.RunTime, a.Preempt}
	return key, len(a.Avoid) == 0
}
