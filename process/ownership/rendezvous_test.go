package ownership

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"fennelshunt.example/fennelshunt/connection/peer"
)

func TestAssignIsBoundedAndDependsOnSetsOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var resources []Resource
		for i := range rapid.IntRange(1, 60).Draw(t, "resources") {
			resources = append(resources, Resource(fmt.Sprintf("shard/%d", i)))
		}
		var members []peer.MemberID
		for i := range rapid.IntRange(1, 12).Draw(t, "members") {
			members = append(members, peer.MemberID(fmt.Sprintf("daemon-%d", i)))
		}
		assigned := Assign(resources, members)
		require.Len(t, assigned, len(resources))
		load := make(map[peer.MemberID]int)
		for _, id := range assigned {
			load[id]++
			require.LessOrEqual(t, load[id], loadCap(len(resources), len(members)))
		}
		shuffled := rapid.Permutation(resources).Draw(t, "resources shuffled")
		others := rapid.Permutation(members).Draw(t, "members shuffled")
		require.Equal(t, assigned, Assign(shuffled, others))
		if len(members) == 1 {
			return
		}
		// A member that leaves and returns gets the same resources again, and few other
		// resources move when it leaves.
		without := Assign(resources, slices.Delete(slices.Clone(members), 0, 1))
		moved := 0
		for r, id := range assigned {
			if id != members[0] && without[r] != id {
				moved++
			}
		}
		require.LessOrEqual(t, moved, len(resources)/4+minLoad)
	})
}
