package jobs

import (
	"time"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/sched/snapshot"
)

// refusalTTL is how long a worker is left alone after a refusal that the
// snapshot did not foresee.
const refusalTTL = 250 * time.Millisecond

// Reasons why the shard keeps off a worker that its snapshot calls usable, as
// explain tells them.
const (
	reasonRefused = "its owner refused a start a moment ago"
	reasonNoPlans = "its owner takes no plans now"
)

// recordRefusal leaves a worker alone until a newer snapshot is likely to show
// why its owner refused it.
func (st *state) recordRefusal(id worker.ID) {
	st.round.refused[id] = time.Now().Add(refusalTTL)
}

// blockUnusable keeps the decisions of this round off workers whose owner takes
// no plans now or has just refused one.
func (st *state) blockUnusable(now time.Time) {
	blocked := st.unusableWorkers(now)
	for id := range st.round.blocked {
		if _, ok := blocked[id]; !ok {
			st.round.planner.Unblock(id)
		}
	}
	for id, reason := range blocked {
		if st.round.blocked[id] != reason {
			st.round.planner.Block(id, reason)
		}
	}
	st.round.blocked = blocked
}

func (st *state) unusableWorkers(now time.Time) map[worker.ID]string {
	blocked := map[worker.ID]string{}
	for id, until := range st.round.refused {
		if now.After(until) {
			delete(st.round.refused, id)
		} else if w := st.round.snap.Lookup(id); w != nil && w.Unusable == "" {
			blocked[id] = reasonRefused
		}
	}
	if st.allUsable() {
		return blocked
	}
	st.round.snap.All(func(w *snapshot.Worker) bool {
		if p := st.partitions[w.Partition]; w.Unusable == "" && (p == nil || !st.usable(p)) {
			blocked[w.ID] = reasonNoPlans
		}
		return true
	})
	return blocked
}

func (st *state) allUsable() bool {
	for _, p := range st.partitions {
		if !st.usable(p) {
			return false
		}
	}
	return len(st.partitions) > 0
}
