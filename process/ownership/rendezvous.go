package ownership

import (
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"fennelshunt.example/fennelshunt/connection/peer"
)

// Bounded load: no member is assigned more than loadFactor times the average
// number of resources of a prefix, and never less than minLoad.
const (
	loadFactor = 1.25
	minLoad    = 2
)

// score is the rendezvous weight of a member for a resource.
func score(r Resource, id peer.MemberID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(r))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(id))
	return d.Sum64()
}

// ranking returns the members ordered by their weight for r, the heaviest
// first.
func ranking(r Resource, members []peer.MemberID) []peer.MemberID {
	type weighted struct {
		id     peer.MemberID
		weight uint64
	}
	list := make([]weighted, 0, len(members))
	for _, id := range members {
		list = append(list, weighted{id, score(r, id)})
	}
	slices.SortFunc(list, func(a, b weighted) int {
		if a.weight != b.weight {
			if a.weight > b.weight {
				return -1
			}
			return 1
		}
		return strings.Compare(string(a.id), string(b.id))
	})
	order := make([]peer.MemberID, len(list))
	for i, w := range list {
		order[i] = w.id
	}
	return order
}

// loadCap is the most resources that one of members daemons is assigned.
func loadCap(resources, members int) int {
	if members == 0 {
		return 0
	}
	return max(minLoad, int(math.Ceil(loadFactor*float64(resources)/float64(members))))
}

// Assign says who should own each resource: rendezvous hashing with bounded
// load. The result depends only on the sets of resources and members, not on
// their order or on who owns what now, so daemons with the same view agree
// without talking, and a member that goes and comes back gets the same
// resources again.
func Assign(resources []Resource, members []peer.MemberID) map[Resource]peer.MemberID {
	assigned := make(map[Resource]peer.MemberID, len(resources))
	if len(members) == 0 {
		return assigned
	}
	sorted := slices.Clone(resources)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	limit := loadCap(len(sorted), len(members))
	load := make(map[peer.MemberID]int, len(members))
	for _, r := range sorted {
		for _, id := range ranking(r, members) {
			if load[id] < limit {
				assigned[r] = id
				load[id]++
				break
			}
		}
	}
	return assigned
}
