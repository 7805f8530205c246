package sched

import (
	"time"

	"fennelshunt.example/fennelshunt/version/spec"
)

// failureKey identifies asks that cannot be placed for the same reason until
// capacity is freed: the tasks of one generation of a job. Caching the failure per
// key avoids one full scan of the workers for each of, say, 50,000 queued tasks that
// do not fit.
type failureKey struct {
	job        string
	generation uint64
	size       spec.Resources
	class      spec.Class
	runTime    time.Duration
	preempt    bool
}

// failureKeyOf returns the key of an ask, or false if the ask differs from those of
// the other tasks of its job.
func failureKeyOf(a *Ask) (failureKey, bool) {
	key := failureKey{a.Task.Job, a.Task.Generation, a.Size, a.Class, a.RunTime, a.Preempt}
	return key, len(a.Avoid) == 0
}
