package dispatch

import (
	"time"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/process/quota"
	"fennelshunt.example/fennelshunt/version/work"
)

// Client accounts and their caps on running work.
//
// A run is charged to its job's account from the decision to start it until it is known to
// have ended. A start without an answer is charged all that time, because it may still be
// carried out seconds later. Runs that earlier epochs may have started and that no worker has
// reported yet are charged as well: see countUnconfirmed.

// SetAccounts takes the accounts of the configuration in force; nil if it has none. An account
// that is no longer listed keeps its last cap, since its jobs go on.
func (e *Engine) SetAccounts(now time.Duration, accounts *work.Accounts) {
	e.now = now
	e.accountsKnown = true
	for _, a := range accounts.All() {
		e.ledger.Account(a.Name).Configure(a.Weight, sizeOf(a.Cap))
		e.fair.SetWeight(a.Name, a.Weight)
	}
	e.scheduled = false
}

// SetShares takes the shares of the accounts' caps that each shard of the cell may use.
func (e *Engine) SetShares(now time.Duration, shares quota.Shares) {
	e.now = now
	if shares.Version <= e.capShares {
		return
	}
	e.capShares = shares.Version
	e.ledger.SetShares(func(account string) int64 { return shares.Of(account, e.o.Shard, e.o.Shards) })
	e.scheduled = false
}

// QuotaReport returns this shard's usage and waiting work, of the given accounts and of those
// with waiting work.
//
// Report.Applied is set only once every worker has answered this epoch, because workers then reject
// orders of earlier leaders, which may still act by older shares. Cordoned workers are not
// waited for: nothing is started on them.
func (e *Engine) QuotaReport(asked []string) quota.Report {
	r := quota.Report{Shard: e.o.Shard, Epoch: e.o.Epoch, Usages: e.ledger.Usages(asked)}
	if e.unresolvedUncordoned == 0 {
		r.Applied = e.capShares
	}
	return r
}

// AccountRows returns the accounts as they are shown to users.
func (e *Engine) AccountRows() []quota.Row {
	rows := e.ledger.Rows()
	for i := range rows {
		rows[i].OverEntitlement = e.fair.OverEntitlement(rows[i].Account)
	}
	return rows
}

// capsKnown reports whether the accounts and this shard's shares of their caps have been
// received.
func (e *Engine) capsKnown() bool { return e.accountsKnown && (e.o.Shards <= 1 || e.capShares > 0) }

func sizeOf(r work.Resources) quota.Size {
	return quota.Size{MilliCPU: int64(r.CPU), MemoryMB: int64(r.Memory), Accelerators: int64(r.GPU)}
}

// charge is what a run of the step counts for its account: its full declared size, also for
// best-effort work, which books no processors on its worker.
func (s *step) charge() quota.Size { return sizeOf(s.spec.Size) }

// startsTogether is the smallest number of the step's tasks that can start: all of a gang's,
// else one.
func (s *step) startsTogether() int {
	if s.spec.Gang {
		return s.spec.Count
	}
	return 1
}

// withinQuota reports whether the quota of the step's account allows a start of the step now.
func (e *Engine) withinQuota(s *step) bool {
	return e.mayUse(s, s.charge().Times(s.startsTogether()))
}

// awaitsQuota records that a step waits for nothing but its account's quota.
func (e *Engine) awaitsQuota(s *step) {
	s.job.account.AddWaiting(s.charge(), len(s.pending), s.startsTogether())
	e.keepFree(s)
	if s.overQuota {
		return
	}
	s.overQuota = true
	e.stats.OverQuota++
	e.decide(Decision{What: "step waits for its account's quota", Task: s.id(), Why: s.job.spec.Account})
}

// book charges a run to its worker and its account.
func (e *Engine) book(alloc *allocation) {
	alloc.w.take(alloc)
	alloc.s.job.account.Adopt(alloc.s.charge())
	e.noteUsage(alloc.s.job, alloc.s.charge())
	e.forecast.started(e, alloc.s)
}

// unbook releases what a run uses, once it is known not to run any more.
func (e *Engine) unbook(alloc *allocation) {
	if !alloc.w.drop(alloc) {
		return
	}
	a := alloc.s.job.account
	a.Refund(alloc.s.charge())
	e.fair.Used(a.Name, e.now, (e.now-alloc.sent).Seconds()*float64(alloc.s.spec.Size.CPU)/1000)
	e.noteUsage(alloc.s.job, quota.Size{}.Sub(alloc.s.charge()))
	if a.Held().Negative() {
		e.violate("refund of more than an account holds: "+a.Name, alloc.id(), alloc.w.ID)
	}
}

// untrackedRun is a run that has no allocation and is being stopped, or whose job is not known.
type untrackedRun struct {
	task    work.TaskID
	account *quota.Account
	size    quota.Size
	unheard *runner.ActiveRun // as reported, if its job is not known
}

// chargeUntracked charges an untracked run to its account until the next report of its worker.
// A job whose final state was read from the store has no steps; what it was still running is
// in endedHeld.
func (e *Engine) chargeUntracked(w *worker, r *runner.ActiveRun) {
	x := untrackedRun{task: r.Task, account: e.ledger.Account("")}
	if j := e.jobs[r.Task.Job]; j != nil {
		x.account, x.size = e.ledger.Account(j.spec.Account), j.sizeOf(r.Task.Step)
	} else {
		x.unheard = r
	}
	x.account.Adopt(x.size)
	w.untracked = append(w.untracked, x)
}

// sizeOf returns what a task of a step counts for the job's account; nothing for an unknown
// step.
func (j *job) sizeOf(step int) quota.Size {
	switch {
	case step >= 0 && step < len(j.spec.Steps):
		return sizeOf(j.spec.Steps[step].Size)
	case step >= 0 && step < len(j.sizes):
		return j.sizes[step]
	}
	return quota.Size{}
}

func (w *worker) refundUntracked() {
	for _, x := range w.untracked {
		x.account.Refund(x.size)
	}
	w.untracked = w.untracked[:0]
}

// countUnconfirmed charges the accounts for what an earlier epoch may have started, as long as
// workers have not answered. These are the waiting tasks of jobs that it may have started,
// bounded by the capacity of those workers or, for cordoned ones, by the tasks listed for
// them; and the runs that were being stopped of jobs that had ended.
//
// Otherwise, if a leader fails while an account is at its cap, its successor sees the
// account's runs only as the workers answer, assumes that the account uses nothing, and starts
// its waiting work beside them.
func (e *Engine) countUnconfirmed() {
	if e.unresolved == 0 && len(e.endedHeld) == 0 && !e.anyUnconfirmed && !e.orders.AnyOpen() {
		return
	}
	sums := map[*quota.Account]quota.Size{}
	if e.unresolved > 0 {
		e.countInherited(sums)
		most, listed := e.unresolvedCapacity(), e.countListed()
		for a, size := range sums {
			sums[a] = size.Min(most.Add(listed[a]))
		}
	}
	if e.unresolved == 0 && !e.anyUntracked() {
		clear(e.endedHeld)
	}
	e.countOpen(sums)
	for a, size := range e.endedHeld {
		sums[a] = sums[a].Add(size)
	}
	e.ledger.Each(func(a *quota.Account) { a.SetUnconfirmed(sums[a]) })
	e.anyUnconfirmed = len(sums) > 0
}

// countInherited adds up, by account, the tasks that have no allocation and that an earlier
// epoch may have started, including those of jobs cancelled since.
func (e *Engine) countInherited(sums map[*quota.Account]quota.Size) {
	for _, j := range e.jobs {
		if !j.inherited {
			continue
		}
		for s := range j.steps() {
			if n := len(s.pending); n > 0 && s.ready() {
				sums[j.account] = sums[j.account].Add(s.charge().Times(n))
			}
		}
	}
}

// countListed adds up, by account, the tasks that cordoned workers may run.
func (e *Engine) countListed() map[*quota.Account]quota.Size {
	listed := map[*quota.Account]quota.Size{}
	for task := range e.mayRun {
		if j := e.jobs[task.Job]; j != nil {
			a := e.ledger.Account(j.spec.Account)
			listed[a] = listed[a].Add(j.sizeOf(task.Step))
		}
	}
	return listed
}

// unresolvedCapacity is the capacity of the workers that have not answered this epoch and for
// which the store does not list what they may run. One that the directory no longer lists
// counts as large as the largest.
func (e *Engine) unresolvedCapacity() quota.Size {
	var all, largest quota.Size
	unlisted := 0
	for _, w := range e.workerList {
		if !w.mayBeUsed() {
			continue
		}
		size := sizeOf(w.Capacity)
		largest = largest.Max(size)
		switch {
		case !w.inherited, w.cordoned && !w.unlisted:
		case w.Capacity == (work.Resources{}):
			unlisted++
		default:
			all = all.Add(size)
		}
	}
	return all.Add(largest.Times(unlisted))
}

func (e *Engine) anyUntracked() bool {
	for _, w := range e.workerList {
		if len(w.untracked) > 0 {
			return true
		}
	}
	return false
}

// noteEndedHeld records what an ended job was still running when its end was written.
func (e *Engine) noteEndedHeld(p *work.Progress) {
	if p.InUse == (work.Resources{}) {
		return
	}
	a := e.ledger.Account(p.Account)
	e.endedHeld[a] = e.endedHeld[a].Add(sizeOf(p.InUse))
}

// held is what the runs of a job use of its account's cap.
func (j *job) held() (sum work.Resources) {
	for s := range j.steps() {
		sum = sum.Add(s.spec.Size.Scale(s.live()))
	}
	return sum
}
