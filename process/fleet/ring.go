package fleet

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"fennelshunt.example/fennelshunt/connection/peer"
)

// rings is the number of pseudo-random orders of the members. In each of them a daemon
// probes its successor. So, whatever the size of the fleet, every member is probed by as
// many others as it probes itself, and by the same ones while the fleet does not change:
// their connections stay open, and deltas spread in a number of steps that grows with the
// logarithm of the fleet's size.
const rings = 6

func position(ring byte, id peer.MemberID) uint64 {
	h := xxhash.New()
	_, _ = h.Write([]byte{ring}) // a hash never fails
	_, _ = h.WriteString(string(id))
	return h.Sum64()
}

// successors returns the distinct members that self probes.
func successors(self peer.MemberID, ids []peer.MemberID) []peer.MemberID {
	return neighbours(self, ids, func(own, other uint64) uint64 { return other - own })
}

// predecessors returns the distinct members that probe self.
func predecessors(self peer.MemberID, ids []peer.MemberID) []peer.MemberID {
	return neighbours(self, ids, func(own, other uint64) uint64 { return own - other })
}

// neighbours returns the nearest member in each ring, by the given distance, which wraps
// around.
func neighbours(self peer.MemberID, ids []peer.MemberID, distance func(own, other uint64) uint64) []peer.MemberID {
	var found []peer.MemberID
	for ring := range byte(rings) {
		if id, ok := nearest(ring, self, ids, distance); ok && !slices.Contains(found, id) {
			found = append(found, id)
		}
	}
	return found
}

func nearest(ring byte, self peer.MemberID, ids []peer.MemberID, distance func(own, other uint64) uint64) (peer.MemberID, bool) {
	own := position(ring, self)
	var best peer.MemberID
	var shortest uint64
	found := false
	for _, id := range ids {
		if id == self {
			continue
		}
		d := distance(own, position(ring, id))
		if !found || d < shortest || d == shortest && id < best {
			best, shortest, found = id, d, true
		}
	}
	return best, found
}
