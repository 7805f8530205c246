package epochworker

import (
	"time"

	"fennelshunt.example/fennelshunt/version/work"
)

// bound is a cap of an account, and when it stops counting; zero: it is in force.
type bound struct {
	cap   work.Resources
	until time.Time
}

// SetCap bounds what an account may have running from now on. A cap before it may be in
// force for lag longer, and the highest counts: those who start tasks learn of it late.
func (f *Fleet) SetCap(account string, limit work.Resources, lag time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.caps == nil {
		f.caps = map[string][]bound{}
	}
	all := f.caps[account]
	for i := range all {
		if all[i].until.IsZero() {
			all[i].until = time.Now().Add(lag)
		}
	}
	f.caps[account] = append(all, bound{cap: limit})
}

// checkQuota holds a start against the caps of its job's account.
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
		f.breaks("%s takes account %s to %+v, over its cap %+v", task, j.Account, held, most)
	}
}

// heldBy adds up what runs for an account.
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

// HeldBy returns what runs for an account.
func (f *Fleet) HeldBy(account string) work.Resources {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.heldBy(account)
}
