package fleet

import (
	"github.com/cespare/xxhash/v2"

	"fennelshunt.example/fennelshunt/connection/peer"
)

// rings is the number of pseudo-random orders of the members. In each a daemon
// probes its successor, so that every member is probed by as many others as it
// probes itself, whatever the size of the fleet, always by the same ones while
// the fleet does not change: their connections stay open, and deltas spread in
// a number of steps that grows with the logarithm of the fleet.
const rings = 6

func position(ring byte, id peer.MemberID) uint64 {
	h := xxhash.New()
	_, _ = h.Write([]byte{ring}) // a hash never fails
	_, _ = h.WriteString(string(id))
	return h.Sum64()
}

// successors returns the distinct members that self probes.
func successors(self peer.MemberID, ids []peer.MemberID) []peer.MemberID {
	var targets []peer.MemberID
	chosen := make(map[peer.MemberID]bool, rings)
	for ring := range byte(rings) {
		next, ok := successor(ring, self, ids)
		if ok && !chosen[next] {
			chosen[next] = true
			targets = append(targets, next)
		}
	}
	return targets
}

// successor returns the member that follows self in one ring: the smallest
// distance in hash space, wrapping around.
func successor(ring byte, self peer.MemberID, ids []peer.MemberID) (peer.MemberID, bool) {
	origin := position(ring, self)
	var best peer.MemberID
	var distance uint64
	found := false
	for _, id := range ids {
		if id == self {
			continue
		}
		d := position(ring, id) - origin
		if !found || d < distance || d == distance && id < best {
			best, distance, found = id, d, true
		}
	}
	return best, found
}
