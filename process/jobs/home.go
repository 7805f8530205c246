package jobs

import (
	"fmt"
	"slices"
)

// findHome notes the partitions that this daemon owns. Decisions go there
// first: shards of different daemons that decide at the same time then seldom
// want the same worker.
func (st *state) findHome() {
	var home []string
	for _, p := range st.partitions {
		if p.known && p.owner.Owner == st.o.Self {
			home = append(home, p.name)
		}
	}
	slices.Sort(home)
	if slices.Equal(home, st.round.home) {
		return
	}
	st.round.home = home
	st.preferHome()
}

// preferHome tells the planner, if there is one yet. The name gives each shard
// an order of its own for the partitions of other daemons.
func (st *state) preferHome() {
	if st.round.planner != nil {
		st.round.planner.Prefer(fmt.Sprint("shard-", st.shard.number), st.round.home)
	}
}
