// Package advicebudget decides which waiting steps may use a proxy of the advice service, for how
// many calls and for how many names.
//
// Load: more steps need slow calls than there are proxies, and tickets expire within 2 s. Steps
// of small tasks fit every gap, so without a budget their calls occupy the proxies; a gang that
// finds capacity then finds no proxy, and waits until it is late.
//
// Guarantees, for the slow calls of one round of placement, provided that the caller sends no more
// of them than FreeForSlow:
//   - no more steps are guaranteed a proxy than are free for slow calls, and these are only a
//     part of all proxies, so quick calls find a proxy;
//   - while proxies are not scarce, the caller lets every step ask;
//   - no starvation: of the steps that can no longer be in time, the one that has waited longest is
//     guaranteed a proxy if it has waited for starvedAfter and no proxy has a call for such a step.
//     The same holds for the steps in time that are no gangs;
//   - the result depends on the arguments alone.
package advicebudget

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Shares of the proxies.
const (
	// slowShare of all proxies may have slow calls. The rest keeps quick calls from waiting
	// behind slow ones: with a share of 0.95, the credit of quick jobs is 0.81 instead of 0.93.
	slowShare = 0.7
	// othersShare of the slow proxies is for steps that are no gangs, while a gang that can be
	// in time waits.
	othersShare = 0.25
	// offerShare is the part of the slow proxies by which offers exceed the free proxies. A step
	// may find nothing to ask about, and its proxy would be idle until the next round (credit
	// 0.869 instead of 0.880 on the model).
	offerShare = 0.25
	// starvedAfter is how long a step waits before a proxy is kept for it: several times the
	// duration of a slow call. It is not 0 because a proxy kept for a step that finds nothing to
	// ask about is idle (credit 0.852 instead of 0.880 on the model if one is always kept).
	starvedAfter = 5 * time.Second
)

// Grant is what a step may do in a round.
type Grant uint8

// Grants.
const (
	Postponed  Grant = iota // it may not ask
	Offered                 // it may ask if a proxy is free that is not guaranteed to another step
	Guaranteed              // a proxy is kept for it
)

// Step is a step that waits and needs slow calls.
type Step struct {
	Gang bool
	// Ready: the step may ask now. A gang that may not ask yet still limits the proxies of steps
	// that are no gangs.
	Ready bool
	// Value is what is lost if the step is late, in the same unit for all steps, and Cost is how
	// long its next calls occupy a proxy.
	Value float64
	Cost  time.Duration
	// Slack is the time until its latest start with tickets that are requested now; below 0 it
	// cannot be in time.
	Slack time.Duration
	// Yields: the step comes after those of other accounts, like one that is late.
	Yields bool
	Waited time.Duration // since its last call or since it could start
}

// late reports whether the step comes after all steps that can be in time.
func (s *Step) late() bool { return s.Slack < 0 || s.Yields }

// hasSlack reports whether the step yields to gangs that can be in time.
func (s *Step) hasSlack(horizon time.Duration) bool { return !s.Gang && s.Slack > horizon }

// Proxies counts the proxies of a round.
type Proxies struct {
	All int
	// Idle are those that can be sent a call.
	Idle int
	// Gangs, Others and Late are those that are busy with a slow call: for a gang that can be in
	// time, for another step that can be in time, and for a step that cannot.
	Gangs, Others, Late int
	// Quick is how many of all proxies quick calls need, see QuickDemand; 0 if none has waited lately.
	Quick int
	// OneQuick and TwoQuick are those that have one quick call in flight and could take another one,
	// and those that have two.
	OneQuick, TwoQuick int
}

// SecondCalls is how many quick calls may be sent behind another one, if first quick calls are sent
// through the given number of idle proxies in the same round. leastSlowShare of the proxies takes no
// second call, so that some become idle and slow calls can be sent.
func (p Proxies) SecondCalls(first int) int {
	return max(0, min(p.OneQuick+first, p.All-p.share(leastSlowShare)-p.TwoQuick))
}

// Slow is how many proxies may have a slow call at a time: slowShare of all, less what quick
// calls need beyond the rest, but no less than leastSlowShare.
func (p Proxies) Slow() int {
	return max(min(p.share(slowShare), p.All-p.Quick), p.share(leastSlowShare))
}

func (p Proxies) share(of float64) int { return max(1, int(math.Floor(float64(p.All)*of))) }

// KeptFromQuick is how many idle proxies quick calls leave to the given number of steps that wait for a
// proxy for a slow call, so that these have leastSlowShare of all: while quick steps wait, they would
// take each proxy that becomes idle. One proxy at least is never kept: quick steps would starve where
// there is only one.
func (p Proxies) KeptFromQuick(slowWaiting int) int {
	if p.Quick == 0 {
		return 0
	}
	return max(0, min(p.Idle, slowWaiting, min(p.share(leastSlowShare), p.All-1)-p.BusyWithSlow()))
}

// GuaranteedFromQuick is how many of the guaranteed proxies quick calls leave, if the last slow call was
// sent the given time ago: all of them. The only proxy is left once in starvedAfter, since it would
// otherwise be guaranteed to one slow step after the other, and quick steps would starve.
func (p Proxies) GuaranteedFromQuick(guaranteed int, sinceSlow time.Duration) int {
	if p.All == 1 && sinceSlow < starvedAfter {
		return 0
	}
	return guaranteed
}

// BusyWithSlow is how many proxies have a slow call.
func (p Proxies) BusyWithSlow() int { return p.Gangs + p.Others + p.Late }

// FreeForSlow is how many more slow calls may be sent.
func (p Proxies) FreeForSlow() int {
	return max(0, min(p.Idle, p.Slow()-p.BusyWithSlow()))
}

// Scarce reports whether more steps could ask than proxies are free for slow calls.
func Scarce(steps []Step, p Proxies) bool {
	free := p.FreeForSlow()
	for i := range steps {
		if steps[i].Ready {
			free--
		}
		if free < 0 {
			return true
		}
	}
	return false
}

// Allot returns the grant of each step. It is to be called while proxies are scarce. The caller
// serves steps that can be in time before those that cannot.
//
// Steps that can be in time are ordered by the value per second of a proxy, discounted by the
// time until the latest start in units of the time that the calls of all waiting steps take
// ("apparent tardiness cost", a rule for minimizing weighted tardiness). Steps that are no gangs
// come after the gangs while their latest start is further away than that time.
func Allot(steps []Step, p Proxies) []Grant {
	grants := make([]Grant, len(steps))
	free, slow := p.FreeForSlow(), p.Slow()
	if free == 0 {
		return grants
	}
	horizon := drain(steps, slow)
	inTime, late := order(steps, horizon)
	guaranteed, others := 0, p.Others
	guarantee := func(all []int, kind func(i int) bool) bool {
		longest := -1
		for _, i := range all {
			if kind(i) && (longest < 0 || steps[i].Waited > steps[longest].Waited) {
				longest = i
			}
		}
		if longest < 0 || steps[longest].Waited < starvedAfter || guaranteed == free {
			return false
		}
		grants[longest] = Guaranteed
		guaranteed++
		return true
	}
	if p.Late == 0 {
		guarantee(late, func(int) bool { return true })
	}
	if p.Others == 0 && guarantee(inTime, func(i int) bool { return !steps[i].Gang }) {
		others++
	}
	maxOthers := slow
	if slices.ContainsFunc(steps, func(s Step) bool { return s.Gang && !s.late() }) {
		maxOthers = max(1, int(othersShare*float64(slow)))
	}
	offers := free - guaranteed + int(offerShare*float64(slow))
	for _, i := range inTime {
		if offers == 0 {
			break
		}
		if grants[i] != Postponed || (steps[i].hasSlack(horizon) && others >= maxOthers) {
			continue
		}
		if !steps[i].Gang {
			others++
		}
		grants[i] = Offered
		offers--
	}
	// The caller serves steps that are late after the others, so offers to them take no proxy
	// from these. Without such offers the credit of gangs on the model is 0.759 instead of 0.803.
	for _, i := range late {
		if free > guaranteed && grants[i] == Postponed {
			grants[i] = Offered
		}
	}
	return grants
}

// order returns the indices of the steps that may ask now, those that can be in time and the others,
// each in the order in which they are served.
func order(steps []Step, horizon time.Duration) (inTime, late []int) {
	score := make([]float64, len(steps))
	for i := range steps {
		s := &steps[i]
		switch {
		case !s.Ready:
		case s.late():
			late = append(late, i)
		default:
			score[i] = s.Value / max(s.Cost.Seconds(), 0.001) * math.Exp(-float64(s.Slack)/float64(horizon))
			inTime = append(inTime, i)
		}
	}
	slices.SortStableFunc(inTime, func(x, y int) int {
		if a, b := steps[x].hasSlack(horizon), steps[y].hasSlack(horizon); a != b {
			if a {
				return 1
			}
			return -1
		}
		return cmp.Compare(score[y], score[x])
	})
	slices.SortStableFunc(late, func(x, y int) int { return cmp.Compare(steps[y].Waited, steps[x].Waited) })
	return inTime, late
}

// minHorizon is the least horizon of the discount: about the duration of a slow call.
const minHorizon = time.Second

// drain returns how long the slow proxies take for a call of each of the steps.
func drain(steps []Step, slow int) time.Duration {
	sum := time.Duration(0)
	for i := range steps {
		sum += steps[i].Cost
	}
	return max(sum/time.Duration(slow), minHorizon)
}

// minRest is the least number of names in the last of several calls. The base cost of a call for
// fewer names exceeds the cost of its names.
const minRest = 30

// Names returns how many of n workers to name in calls of at most perCall names each: all, or
// only those of whole calls if few would be left for the last one.
func Names(n, perCall int) int {
	if rest := n % perCall; n > perCall && rest < minRest {
		return n - rest
	}
	return n
}
