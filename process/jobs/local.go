package jobs

import (
	"fmt"
	"slices"
)

// updateLocalPartitions records the partitions that this daemon owns. Placement
// prefers them, so that shards of different daemons that decide at the same time
// seldom choose the same worker.
func (st *state) updateLocalPartitions() {
	var local []string
	for _, p := range st.partitions {
		if p.known && p.owner.Owner == st.o.Self {
			local = append(local, p.name)
		}
	}
	slices.Sort(local)
	if slices.Equal(local, st.round.localPartitions) {
		return
	}
	st.round.localPartitions = local
	st.preferLocalPartitions()
}

// preferLocalPartitions passes the local partitions to the planner, if there is
// one yet. The name gives each shard an order of its own for the partitions of
// other daemons.
func (st *state) preferLocalPartitions() {
	if st.round.planner != nil {
		st.round.planner.Prefer(fmt.Sprint("shard-", st.shard.number), st.round.localPartitions)
	}
}
