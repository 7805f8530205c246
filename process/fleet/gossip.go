package fleet

import (
	"math/bits"
	"slices"

	"fennelshunt.example/fennelshunt/connection/peer"
)

// retransmit scales how often a delta is passed on: this many times the
// logarithm of the fleet, after which all know it with high probability. The
// digest finds those who don't.
const retransmit = 3

// rumor is one member whose delta still has to be passed on.
type rumor struct {
	id       peer.MemberID
	sent     int
	withInfo bool
}

// gossip chooses the deltas that ride on the next message.
type gossip struct {
	rumors map[peer.MemberID]*rumor
}

func newGossip() *gossip { return &gossip{rumors: make(map[peer.MemberID]*rumor)} }

// add starts passing on the member's delta, from the beginning if it already
// was.
func (g *gossip) add(id peer.MemberID, withInfo bool) {
	old := g.rumors[id]
	g.rumors[id] = &rumor{id: id, withInfo: withInfo || old != nil && old.withInfo}
}

// take returns up to maxDeltas deltas, the least passed on first. A delta
// about the receiver goes first when it is suspected: it must learn of that to
// refute it.
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
