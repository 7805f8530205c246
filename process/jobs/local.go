package jobs

import (
	"fmt"
	"slices"
)

// updateLocalPartitions records the partitions that this daemon owns. Placement
// prefers them, so that shards of different daemons that decide at the same time
// seldom choose the same worker.
func (st *state) updateLocalPartitions() {
	var home []string
	for _, p := range st.partitions {
		if p.known && p.owner.Owner == st.o.Self {
			home = append(home, p.name)
		}
	}
	slices.Sort(home)
	if slices.Equal(home, st.round.localPartitions) {
		return
	}
	st.round.localPartitions = home
	st.preferLocalPartitions()
}

// preferLocalPartitions passes them to the planner, if it exists yet. The name
// gives each shard an order of its own for the partitions of other daemons.
func (st *state) preferLocalPartitions() {
	if st.round.planner != nil {
		st.round.planner.Prefer(fmt.Sprint("shard-", st.shard.number), st.round.localPartitions)
	}
}
