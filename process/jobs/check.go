package jobs

import (
	"errors"
	"fmt"
	"time"

	"fennelshunt.example/fennelshunt/process/quota"
	"fennelshunt.example/fennelshunt/version/spec"
)

const (
	// checkInterval is the time between two checks of the whole state.
	checkInterval = 10 * time.Second
	// checkLimit is the number of jobs above which the check is skipped, as its
	// cost is proportional to their number.
	checkLimit = 20_000
)

// checkNow checks the whole state every checkInterval while the daemon runs.
func (st *state) checkNow(now time.Time) {
	if now.Sub(st.lastCheck) < checkInterval || len(st.jobs) > checkLimit {
		return
	}
	st.lastCheck = now
	if err := st.check(); err != nil {
		st.violated("%w", err)
	}
}

// check verifies the whole state and joins all violations. Its cost is
// proportional to the number of jobs and attempts.
func (st *state) check() error {
	var errs []error
	held := map[string]spec.Resources{}
	attempts := len(st.surplus)
	for _, j := range st.jobs {
		errs = append(errs, checkJob(j))
		attempts += len(j.live)
		for _, a := range j.live {
			held[j.spec.Team] = held[j.spec.Team].Add(a.size)
		}
	}
	for _, a := range st.surplus {
		held[a.job.spec.Team] = held[a.job.spec.Team].Add(a.size)
	}
	st.accounts.Each(func(a *quota.Account) {
		if counted := spec.Resources(a.Held()); counted != held[a.Name] {
			errs = append(errs, fmt.Errorf("team %q: account charged with %+v, attempts hold %+v", a.Name, counted, held[a.Name]))
		}
	})
	if n := st.learner.Reported(); n > attempts {
		errs = append(errs, fmt.Errorf("usage reports of %d attempts are kept, but only %d attempts have not ended", n, attempts))
	}
	return errors.Join(errs...)
}

// checkJob verifies that each task of a job is in exactly one state.
func checkJob(j *job) error {
	if j.cancelled {
		if !j.ready.IsEmpty() || !j.blocked.IsEmpty() || !j.delayed.IsEmpty() {
			return fmt.Errorf("job %v: cancelled but has waiting tasks", j.key)
		}
		return nil
	}
	sets := []struct {
		name string
		n    uint64
	}{
		{"ready", j.ready.GetCardinality()}, {"blocked", j.blocked.GetCardinality()},
		{"delayed", j.delayed.GetCardinality()}, {"live", uint64(len(j.live))},
		{"done", j.record.Done.GetCardinality()}, {"failed", j.record.Failed.GetCardinality()},
		{"unknown", j.record.Unknown.GetCardinality()},
	}
	total := uint64(0)
	for _, s := range sets {
		total += s.n
	}
	if total != uint64(j.spec.Count) {
		return fmt.Errorf("job %v: states cover %d tasks, %d are declared: %v", j.key, total, j.spec.Count, sets)
	}
	for index, a := range j.live {
		if a.index != index || a.job != j {
			return fmt.Errorf("job %v: live attempt of task %d is indexed as task %d", j.key, a.index, index)
		}
		if j.ready.Contains(index) || j.blocked.Contains(index) || j.delayed.Contains(index) || j.record.Finished(index) {
			return fmt.Errorf("job %v: task %d is live and also waiting or finished", j.key, index)
		}
	}
	if j.ready.Intersects(j.blocked) || j.ready.Intersects(j.delayed) || j.blocked.Intersects(j.delayed) {
		return fmt.Errorf("job %v: a task is in two waiting states", j.key)
	}
	return nil
}
