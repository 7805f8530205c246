package outage

import (
	"cmp"
	"slices"
	"time"
)

// TargetResult is what became of a forward.
type TargetResult int

// Results of a forward.
const (
	// TargetAccepted means that the job is in the store.
	TargetAccepted TargetResult = iota
	// TargetFails means that the store does not answer the target either.
	TargetFails
	// TargetDeclined means that the store answers the target, which did not write the job for
	// another reason.
	TargetDeclined
	// TargetUnreached means that the target did not get the job.
	TargetUnreached
	// TargetSilent means that the target may have written the job.
	TargetSilent
)

// Targets returns at most MaxTargets of the candidates, in the order in which to forward to them:
// the one that accepted last, then the leader, which has reached the store recently, then the
// others in the given order. Those that failed to write a job within the last targetPause are left
// out.
func (t *Tracker) Targets(now time.Time, candidates []string, leader string) []string {
	order := func(name string) int {
		switch {
		case name == t.preferred && now.Sub(t.preferredAt) < preferredFor:
			return 0
		case name == leader:
			return 1
		}
		return 2
	}
	chosen := slices.DeleteFunc(slices.Clone(candidates), func(name string) bool {
		failed, known := t.failedTargets[name]
		return known && now.Sub(failed) < targetPause
	})
	slices.SortStableFunc(chosen, func(a, b string) int { return cmp.Compare(order(a), order(b)) })
	return chosen[:min(len(chosen), MaxTargets)]
}

// EndedTarget records the result of one target.
func (t *Tracker) EndedTarget(now time.Time, name string, r TargetResult) {
	switch r {
	case TargetAccepted:
		delete(t.failedTargets, name)
		t.preferred, t.preferredAt = name, now
		t.otherAnsweredAt = now
		t.counts.Forwarded++
		return
	case TargetDeclined:
		t.otherAnsweredAt = now
	case TargetFails, TargetUnreached, TargetSilent:
		if t.preferred == name {
			t.preferred = ""
		}
	}
	if len(t.failedTargets) >= maxFailedTargets {
		for other, failed := range t.failedTargets {
			if now.Sub(failed) >= targetPause {
				delete(t.failedTargets, other)
			}
		}
	}
	if len(t.failedTargets) < maxFailedTargets {
		t.failedTargets[name] = now
	}
}

// EndedForward records whether any target of a submission accepted it. After failuresBeforePause
// submissions that none accepted, nothing is forwarded for forwardPause.
func (t *Tracker) EndedForward(now time.Time, accepted bool) {
	if accepted {
		t.failedForwards = 0
		return
	}
	if t.failedForwards++; t.failedForwards >= failuresBeforePause {
		t.pausedUntil = now.Add(forwardPause)
	}
}

// Ready reports whether callers should use this daemon. It is false only while the store fails,
// nothing was accepted through this daemon for unreadyAfter although it was tried, and another
// daemon said within that time that the store answers it. A daemon that gets no submissions learns
// nothing from others, so it is ready again after that time.
func (t *Tracker) Ready(now time.Time) bool {
	if t.since.IsZero() || now.Sub(t.since) < unreadyAfter {
		return true
	}
	refuses := t.refusedSince.After(t.acceptedAt) && now.Sub(t.refusedSince) >= unreadyAfter
	othersDoBetter := !t.otherAnsweredAt.IsZero() && now.Sub(t.otherAnsweredAt) < unreadyAfter
	return !refuses || !othersDoBetter
}
