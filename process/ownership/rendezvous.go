package ownership

import (
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"fennelshunt.example/fennelshunt/connection/peer"
)

// Bounded load: a member is assigned at most loadFactor times the average number of
// resources of a prefix; this limit is never below minLoad.
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

// ranking returns the members by descending weight for r.
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

// loadCap returns the maximum number of resources that a member is assigned.
func loadCap(resources, members int) int {
	if members == 0 {
		return 0
	}
	return max(minLoad, int(math.Ceil(loadFactor*float64(resources)/float64(members))))
}

// Assign returns the assigned owner of each resource, by rendezvous hashing with
// bounded load. The result depends only on the sets of resources and members, not on
// their order or on the current owners. Daemons with the same view therefore agree
// without communication, and a member that leaves and returns gets the same resources
// again.
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
