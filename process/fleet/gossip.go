package fleet

import (
	"math/bits"
	"slices"

	"fennelshunt.example/fennelshunt/connection/peer"
)

// retransmit is the number of times that a delta is sent, as a multiple of the logarithm
// of the fleet's size. After that all members have it with high probability; the digest
// detects those that do not.
const retransmit = 3

// rumor is a member whose delta is being gossiped.
type rumor struct {
	id       peer.MemberID
	sent     int
	withInfo bool
}

// gossip chooses the deltas that are piggybacked on the next message.
type gossip struct {
	rumors map[peer.MemberID]*rumor
}

func newGossip() *gossip { return &gossip{rumors: make(map[peer.MemberID]*rumor)} }

// add starts, or restarts, gossiping the member's delta.
func (g *gossip) add(id peer.MemberID, withInfo bool) {
	old := g.rumors[id]
	g.rumors[id] = &rumor{id: id, withInfo: withInfo || old != nil && old.withInfo}
}

// take returns up to maxDeltas deltas, those sent least often first. If the receiver is
// suspected, its own delta comes first, so that it can refute the suspicion.
func (g *gossip) take(t *table, to peer.MemberID, size int) []delta {
	var deltas []delta
	if e := t.entries[to]; e != nil && e.suspect() && e.Ended == NotEnded {
		d := e.delta
		d.Info = nil
		deltas = append(deltas, d)
	}
	limit := retransmit * (bits.Len(uint(size)) + 1)
	for _, r := range g.least(maxDeltas - len(deltas)) {
		if e := t.entries[r.id]; e != nil {
			deltas = append(deltas, r.delta(e))
		}
		r.sent++
		if r.sent >= limit {
			delete(g.rumors, r.id)
		}
	}
	return deltas
}

func (r *rumor) delta(e *entry) delta {
	d := e.delta
	if !r.withInfo {
		d.Info = nil
	}
	return d
}

func (g *gossip) least(n int) []*rumor {
	all := make([]*rumor, 0, len(g.rumors))
	for _, r := range g.rumors {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *rumor) int {
		if a.sent != b.sent {
			return a.sent - b.sent
		}
		return compareIDs(a.id, b.id)
	})
	return all[:min(n, len(all))]
}
