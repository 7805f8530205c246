package dispatch

import (
	"time"

	"fennelshunt.example/fennelshunt/process/quota"
	"fennelshunt.example/fennelshunt/version/work"
)

// Client accounts, and what they may have running.
//
// A run is charged to its job's account from the decision to start it until it is known
// to have ended, so a start without an answer, which may be carried out seconds later,
// counts all the while. What this epoch has not seen counts as well: see countUnseen.

// SetAccounts takes the accounts of the configuration in force; nil where it knows none.
// An account that it lists no more keeps the cap that it had: its jobs go on.
func (e *Engine) SetAccounts(now time.Duration, accounts *work.Accounts) {
	e.now = now
	e.accountsKnown = true
	for _, a := range accounts.All() {
		e.ledger.Account(a.Name).Set(a.Weight, sizeOf(a.Cap))
		e.fair.SetWeight(a.Name, a.Weight)
	}
	e.scheduled = false
}

// SetShares takes the shares of the accounts' caps that the parts of the cell may use.
func (e *Engine) SetShares(now time.Duration, shares quota.Shares) {
	e.now = now
	if shares.Version <= e.capShares {
		return
	}
	e.capShares = shares.Version
	e.ledger.SetShares(func(account string) int64 { return shares.Of(account, e.o.Part, e.o.Parts) })
	e.scheduled = false
}

// QuotaReport tells the owner of the shares what this part holds and wants of the
// accounts that are asked for, and of those of which work waits.
//
// No leader of an earlier epoch can act by older shares once every worker has answered
// this one: the workers refuse its orders. Nothing is started on those that are closed.
func (e *Engine) QuotaReport(asked []string) quota.Report {
	r := quota.Report{Part: e.o.Part, Epoch: e.o.Epoch, Uses: e.ledger.Uses(asked)}
	if e.unresolvedUncordoned == 0 {
		r.Obeyed = e.capShares
	}
	return r
}

// AccountRows returns the accounts as people are shown them.
func (e *Engine) AccountRows() []quota.Row {
	rows := e.ledger.Rows()
	for i := range rows {
		rows[i].Beyond = e.fair.Beyond(rows[i].Account)
	}
	return rows
}

// capsKnown reports whether it is known what accounts may have running here.
func (e *Engine) capsKnown() bool { return e.accountsKnown && (e.o.Parts <= 1 || e.capShares > 0) }

func sizeOf(r work.Resources) quota.Size {
	return quota.Size{MilliCPU: int64(r.CPU), MemoryMB: int64(r.Memory), Accelerators: int64(r.GPU)}
}

// charge is what a run of the step counts for its account: all that it asks for, also
// where it fills.
func (s *step) charge() quota.Size { return sizeOf(s.spec.Size) }

// startsTogether is how many of a step's tasks start at least, if any does.
func (s *step) startsTogether() int {
	if s.spec.Gang {
		return s.spec.Count
	}
	return 1
}

// withinQuota reports whether the step's account may have more of it running.
func (e *Engine) withinQuota(s *step) bool {
	return e.mayUse(s, s.charge().Times(s.startsTogether()))
}

// awaitsQuota notes that a step waits for nothing but its account's quota.
func (e *Engine) awaitsQuota(s *step) {
	s.job.account.Want(s.charge(), len(s.pending), s.startsTogether())
	e.keepFree(s)
	if s.overQuota {
		return
	}
	s.overQuota = true
	e.stats.OverQuota++
	e.decide(Decision{What: "waits for its account's quota", Task: s.id(), Why: s.job.spec.Account})
}

// book counts a run on its worker and for its account.
func (e *Engine) book(alloc *allocation) {
	alloc.w.take(alloc)
	alloc.s.job.account.Adopt(alloc.s.charge())
	e.noteUsage(alloc.s.job, alloc.s.charge())
}

// unbook frees what a run takes, once it is known not to run any more.
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

// untrackedRun is a run without a place that is being stopped.
type untrackedRun struct {
	task    work.TaskID
	account *quota.Account
	size    quota.Size
}

// chargeUntracked counts a run that is being stopped for its account until the next report
// of its worker. A job whose end was read from the store has no steps: what it still ran
// is in ending.
func (e *Engine) chargeUntracked(w *worker, task work.TaskID) {
	x := untrackedRun{task: task, account: e.ledger.Account("")}
	if j := e.jobs[task.Job]; j != nil {
		x.account, x.size = e.ledger.Account(j.spec.Account), j.sizeOf(task.Step)
	}
	x.account.Adopt(x.size)
	w.untracked = append(w.untracked, x)
}

// sizeOf returns what a task of a step counts for the job's account; nothing for a step
// that is not known.
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

// countUnseen counts for the accounts what an earlier epoch may have started, as long as
// workers have not told: the waiting tasks of jobs that it may have begun, at most as
// much as those workers hold, or, of closed ones, what they may run; and what was being
// stopped of jobs that had ended.
//
// What goes wrong without it: a leader is lost while an account is at its cap. Its
// successor sees the account's runs only as the workers answer, takes it to hold
// nothing, and starts its waiting work beside them.
func (e *Engine) countUnseen() {
	if e.unresolved == 0 && len(e.endedHeld) == 0 && !e.anyUnseen {
		return
	}
	unseen := map[*quota.Account]quota.Size{}
	if e.unresolved > 0 {
		e.countInherited(unseen)
		most, listed := e.unresolvedCapacity(), e.countListed()
		for a, size := range unseen {
			unseen[a] = size.Least(most.Add(listed[a]))
		}
	}
	if e.unresolved == 0 && !e.anyUntracked() {
		clear(e.endedHeld)
	}
	for a, size := range e.endedHeld {
		unseen[a] = unseen[a].Add(size)
	}
	e.ledger.Each(func(a *quota.Account) { a.SetUnseen(unseen[a]) })
	e.anyUnseen = len(unseen) > 0
}

// countInherited adds up, by account, the tasks that have no place and that an earlier
// epoch may have started, also those of jobs that have been cancelled since.
func (e *Engine) countInherited(unseen map[*quota.Account]quota.Size) {
	for _, j := range e.jobs {
		if !j.inherited {
			continue
		}
		for s := range j.steps() {
			if n := len(s.pending); n > 0 && s.ready() {
				unseen[j.account] = unseen[j.account].Add(s.charge().Times(n))
			}
		}
	}
}

// countListed adds up, by account, the tasks that closed workers may run.
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

// unresolvedCapacity is what the workers that have not answered this epoch, and of which
// it is not listed what they may run, hold. One that the directory does not list any more
// counts as the largest.
func (e *Engine) unresolvedCapacity() quota.Size {
	var all, largest quota.Size
	unlisted := 0
	for _, w := range e.workerList {
		size := sizeOf(w.Capacity)
		largest = largest.Most(size)
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

// noteEndedHeld remembers what a job that had ended was still running when that was
// written.
func (e *Engine) noteEndedHeld(p *work.Progress) {
	if p.Held == (work.Resources{}) {
		return
	}
	a := e.ledger.Account(p.Account)
	e.endedHeld[a] = e.endedHeld[a].Add(sizeOf(p.Held))
}

// held is what the runs of a job take for its account.
func (j *job) held() (sum work.Resources) {
	for s := range j.steps() {
		sum = sum.Add(s.spec.Size.Scale(s.live()))
	}
	return sum
}
