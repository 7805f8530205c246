package dispatch

import (
	"math"
	"time"

	"fennelshunt.example/fennelshunt/process/quota"
)

// The order in which an account's own work uses its cap.
//
// It matters when an account submits more work, of several kinds, than its cap allows to run.
// If whatever comes first took what is free, long tasks of its least urgent queue would fill
// the cap; its quick jobs would wait seconds for one of them to end although workers are idle;
// and its gangs, which need a third of the cap at once, would wait until there is no more
// small work.
//
// There are two rules, both within one account, so that no other account gains or loses by
// them:
//   - turns: a gang that has waited for turnAfter, and that its account's cap blocks, keeps
//     the part of the cap that it needs free of the work after it. If gangs did so without
//     waiting for turnAfter first, the rule would cost more than it gains, because the cap is
//     half empty each time a gang waits for the last part of it;
//   - headroom, if Policy.QuotaHeadroom is set: work leaves some of the cap to the queues of
//     higher priority, as much as these used recently. It serves quick work better and long
//     work worse.
//
// The mean value over four days and two seeds is 0.753 with turns after turnAfter, 0.721
// with headroom and turns at once, 0.740 with headroom only, and 0.745 with neither rule.

// turnAfter is longer than a gang waits for capacity in a busy cell, and short relative to the
// wait that callers accept. Without the rule, a gang that needs most of its account's cap
// would start only once the account submits nothing else.
const turnAfter = 3 * time.Second

// headroomTime is the time constant of the decay of a queue's headroom, to about a third: the
// time between bursts of callers, and several times the length of quick jobs.
const headroomTime = 5 * time.Second

// usageKey identifies an account's work of one priority.
type usageKey struct {
	account  *quota.Account
	priority int
}

// usage is what an account runs at one priority.
type usage struct {
	held quota.Size
	// peak is the highest recent value of held, decaying since at.
	peak quota.Size
	at   time.Duration
}

// usageOf returns the usage of the job's account at the job's priority.
func (e *Engine) usageOf(j *job) *usage {
	key := usageKey{j.account, j.spec.Queue.Priority}
	u := e.usages[key]
	if u == nil {
		u = &usage{}
		e.usages[key] = u
		e.priorities[j.account] = insertSorted(e.priorities[j.account], key.priority)
	}
	return u
}

// noteUsage records a change of what the job's priority uses, if headroom is kept.
func (e *Engine) noteUsage(j *job, change quota.Size) {
	if e.o.Policy.QuotaHeadroom {
		e.usageOf(j).note(e.now, change)
	}
}

// insertSorted adds a number to a sorted list that does not have it.
func insertSorted(list []int, n int) []int {
	i := 0
	for i < len(list) && list[i] < n {
		i++
	}
	list = append(list, 0)
	copy(list[i+1:], list[i:])
	list[i] = n
	return list
}

// note records a change of what is used.
func (u *usage) note(now time.Duration, change quota.Size) {
	u.peak, u.at = u.peakAt(now), now
	u.held = u.held.Add(change)
	u.peak = u.peak.Max(u.held)
}

func (u *usage) peakAt(now time.Duration) quota.Size {
	left := math.Exp(-float64(now-u.at) / float64(headroomTime))
	return u.held.Max(quota.Size{MilliCPU: int64(float64(u.peak.MilliCPU) * left), MemoryMB: int64(float64(u.peak.MemoryMB) * left),
		Accelerators: int64(float64(u.peak.Accelerators) * left)})
}

// headroom is what a job's account keeps free for queues of higher priority than the job's.
func (e *Engine) headroom(j *job) (sum quota.Size) {
	for _, priority := range e.priorities[j.account] {
		if priority >= j.spec.Queue.Priority {
			break
		}
		u := e.usages[usageKey{j.account, priority}]
		sum = sum.Add(u.peakAt(e.now).Sub(u.held))
	}
	return sum
}

// mayUse reports whether the step's account may use size in addition to what it uses, given the
// part of the cap that it has to leave free for other work.
func (e *Engine) mayUse(s *step, size quota.Size) bool {
	a := s.job.account
	if !a.Fits(size) {
		return false
	}
	if a.Unlimited() {
		return true
	}
	spare := e.keptFree[a]
	if s.preemption.left() > 0 {
		spare = quota.Size{} // it was counted on when runs were stopped for the step
	}
	if e.o.Policy.QuotaHeadroom {
		spare = spare.Add(e.headroom(s.job))
	}
	return a.FitsWithSpare(size, spare)
}

// keepFree keeps the part of the cap that a gang has waited for long free of the work after
// it, in this round.
func (e *Engine) keepFree(s *step) {
	if e.o.Policy.NoQuotaTurns || !s.spec.Gang || e.now-s.openedAt < turnAfter {
		return
	}
	a := s.job.account
	e.keptFree[a] = e.keptFree[a].Max(s.charge().Times(s.startsTogether()))
}
