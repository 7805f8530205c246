package jobs

import (
	"time"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/sched/snapshot"
)

// refusalTTL is how long a worker is avoided after its owner refused a start
// that the snapshot showed as possible.
const refusalTTL = 250 * time.Millisecond

// Reasons shown by explain for avoiding a worker that is usable according to the
// snapshot.
const (
	reasonRefused = "its owner refused a start a moment ago"
	reasonNoPlans = "its owner takes no plans now"
)

// recordRefusal avoids a worker until a newer snapshot is likely to show why its
// owner refused the start.
func (st *state) recordRefusal(id worker.ID) {
	st.round.refused[id] = time.Now().Add(refusalTTL)
}

// blockUnusable excludes from this round the workers whose owner accepts no
// plans at the moment or has just refused a start.
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
