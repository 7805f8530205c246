package dispatch

import (
	"time"

	"fennelshunt.example/fennelshunt/process/loadshed"
	"fennelshunt.example/fennelshunt/process/quota"
)

// This file summarizes the engine's load, by which daemons refuse submissions; see package loadshed.

// forecast is the engine's part of admission control. It does not affect the order or the start of
// steps.
type forecast struct {
	loadshed.Forecast
	// from is when digests begin, 0 before the first call of LoadDigest.
	from   time.Duration
	next   time.Duration
	latest *loadshed.Digest
}

func classOf(s *step) loadshed.Class {
	return loadshed.Class{Priority: s.job.spec.Queue.Priority, Over: s.job.overEntitled}
}

// started records the start of a task.
func (f *forecast) started(e *Engine, s *step) {
	if !s.spec.LongRunning && !e.o.Policy.NoLoadShedding {
		f.Started(classOf(s), s.job.spec.Account, e.coreSeconds(s, 1))
	}
}

// coreSeconds is the expected work of n of the step's tasks.
func (e *Engine) coreSeconds(s *step, n int) float64 {
	return float64(n) * float64(s.spec.Size.CPU) / 1000 * e.estimate(s).Seconds()
}

// LoadDigest returns the summary of the load, at most loadshed.Period old; nil for loadshed.Settling
// after its first call and where admission control is off. Under Policy.FirstCome there is none, since the
// forecast assumes the other order. The result must not be changed.
func (e *Engine) LoadDigest(now time.Duration) *loadshed.Digest {
	f := &e.forecast
	switch {
	case e.o.Policy.NoLoadShedding || e.o.Policy.FirstCome:
		return nil
	case f.from == 0:
		f.from = now + loadshed.Settling
		return nil
	case now < f.from:
		return nil
	case now < f.next:
		return f.latest
	}
	e.now, f.next = now, now+loadshed.Period
	f.latest = f.Digest(now, e.o.Epoch, e.cellLoad())
	e.stats.Digests++
	if f.latest.Overloaded() {
		e.stats.DigestsOverloaded++
	}
	return f.latest
}

// cellLoad returns the state of the shard for a digest.
func (e *Engine) cellLoad() *loadshed.Cell {
	cell := &loadshed.Cell{Proxies: float64(len(e.proxyNames))}
	for _, w := range e.workerList {
		// Workers that do not answer at the moment count: the leader's link may be the reason. One that has never answered
		// may be an entry only.
		if !w.removed && w.mayBeUsed() && w.listed && !w.Draining {
			cell.Cores += float64(w.Capacity.CPU) / 1000
		}
	}
	waiting := map[string]bool{}
	for _, s := range e.ready {
		if x, ok := e.waitingLoad(s); ok {
			cell.Steps = append(cell.Steps, x)
			waiting[x.Account] = true
		}
	}
	e.ledger.Each(func(a *quota.Account) {
		if a.Name != "" && (waiting[a.Name] || a.Held() != (quota.Size{})) {
			cell.Accounts = append(cell.Accounts, loadshed.Account{Name: a.Name,
				Weight: e.fair.Weight(a.Name), Beyond: e.fair.Exceeds(a.Name, e.now)})
		}
	})
	return cell
}

// waitingLoad returns the load of a waiting step. It returns false for a step that delays no other
// because it cannot run on the workers or within its account's cap, or may be running already, and for
// a long-running one, whose run time is not known.
func (e *Engine) waitingLoad(s *step) (x loadshed.Step, ok bool) {
	switch {
	case !s.job.active() || len(s.pending) == 0 || s.spec.LongRunning || s.waitsFor == waitTakeover:
		return x, false
	case s.spec.Gang && e.now < s.feasibleUntil && !s.feasible:
		return x, false
	case !s.job.account.CanEverFit(s.charge().Times(s.startsTogether())):
		return x, false
	}
	n := len(s.pending)
	x = loadshed.Step{Class: classOf(s), Account: s.job.spec.Account, Left: s.occurrence.due - e.now, Work: e.coreSeconds(s, n),
		AwaitsAdvice: s.waitsFor == waitAdvice || s.waitsFor == waitProxy, AwaitsQuota: s.waitsFor == waitQuota}
	switch e.lateRank(s) % rankOverEntitled {
	case rankInTime:
		x.Rank = loadshed.InTime
	case rankLate:
		x.Rank = loadshed.Late
	default:
		x.Rank = loadshed.TooLate
	}
	if a := s.job.spec.Queue.Advice; a != nil && (s.advice == nil || (!s.advice.usable(e.now) && s.advice.inFlight == 0)) {
		x.Proxy = s.callCost(n).Seconds()
	}
	x.Quota = e.quotaSeconds(s, n)
	return x, true
}

// quotaSeconds is how long the cap of the step's account takes to run n of its tasks, if the account
// runs nothing else.
func (e *Engine) quotaSeconds(s *step, n int) float64 {
	size, limit := s.charge(), s.job.account.Cap()
	share := 0.0
	for _, d := range [...][2]int64{
		{size.MilliCPU, limit.MilliCPU}, {size.MemoryMB, limit.MemoryMB}, {size.Accelerators, limit.Accelerators}} {
		if d[1] > 0 {
			share = max(share, float64(d[0])/float64(d[1]))
		}
	}
	return share * float64(n) * e.estimate(s).Seconds()
}

// datedDigest is a digest with the time at which it was made.
type datedDigest struct {
	digest *loadshed.Digest
	at     time.Duration
}

// updateDigest makes the engine's newest digest available to Digest.
func (h *Host) updateDigest() {
	before, now := h.digest.Load(), h.now()
	d := h.engine.LoadDigest(now)
	if d != nil && (before == nil || before.digest != d) {
		h.digest.Store(&datedDigest{d, now})
	}
}

// Digest returns the newest summary of the load; nil if there is none that is recent enough to be
// used.
func (h *Host) Digest() *loadshed.Digest {
	x := h.digest.Load()
	if x == nil || h.term.Context().Err() != nil {
		return nil
	}
	d := *x.digest
	if d.Age = h.now() - x.at; d.Age > loadshed.MaxAge {
		return nil
	}
	return &d
}
