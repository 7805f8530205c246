package epochworker

import (
	"time"

	"fennelshunt.example/fennelshunt/version/work"
)

// timedLimit is a cap or capacity; starts that fit it are allowed until the given time. The
// zero time means that it is in force.
type timedLimit struct {
	cap   work.Resources
	until time.Time
}

// SetCap sets the cap of an account. For the duration lag, starts that fit an earlier cap
// are still allowed, since the leader may apply the new cap late.
func (f *Fleet) SetCap(account string, limit work.Resources, lag time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.caps == nil {
		f.caps = map[string][]timedLimit{}
	}
	all := f.caps[account]
	for i := range all {
		if all[i].until.IsZero() {
			all[i].until = time.Now().Add(lag)
		}
	}
	f.caps[account] = append(all, timedLimit{cap: limit})
}

// checkQuota checks the usage of the job's account after a start against its caps.
func (f *Fleet) checkQuota(task work.TaskID, j *work.Job) {
	var most work.Resources
	for _, b := range f.caps[j.Account] {
		if b.until.IsZero() || time.Now().Before(b.until) {
			most = work.Resources{CPU: max(most.CPU, b.cap.CPU), Memory: max(most.Memory, b.cap.Memory), GPU: max(most.GPU, b.cap.GPU)}
		}
	}
	if most == (work.Resources{}) {
		return
	}
	if held := f.heldBy(j.Account); !held.Fits(most) {
		f.violate("%s takes account %s to %+v, over its cap %+v", task, j.Account, held, most)
	}
}

// heldBy returns the resources of the running tasks of an account.
func (f *Fleet) heldBy(account string) (sum work.Resources) {
	for _, w := range f.workers {
		for _, r := range w.running {
			if j := f.jobs[r.task.Job]; j != nil && j.Account == account {
				sum = sum.Add(j.Steps[r.task.Step].Size)
			}
		}
	}
	return sum
}

// HeldBy returns the resources of the running tasks of an account.
func (f *Fleet) HeldBy(account string) work.Resources {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.heldBy(account)
}
