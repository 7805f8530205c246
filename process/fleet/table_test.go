package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"fennelshunt.example/fennelshunt/connection/peer"
)

func drawDelta(t *rapid.T) delta {
	d := delta{
		ID:          rapid.SampledFrom([]peer.MemberID{"a", "b", "c"}).Draw(t, "id"),
		Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
		Counter:     rapid.Uint32Range(0, 3).Draw(t, "counter"),
		Flags:       flags(rapid.IntRange(0, 3).Draw(t, "flags")),
		Ended:       Cause(rapid.SampledFrom([]int{0, 0, 0, 1, 3, 4}).Draw(t, "ended")),
	}
	if rapid.Bool().Draw(t, "info") {
		d.Info = &info{Zone: "z"}
	}
	return d
}

func merged(deltas []delta) *table {
	table := newTable()
	for _, d := range deltas {
		table.merge(d, time.Time{})
	}
	return table
}

func values(t *table) map[peer.MemberID]delta {
	all := make(map[peer.MemberID]delta)
	for id, e := range t.entries {
		all[id] = e.delta
	}
	return all
}

// Daemons receive deltas in different orders and some of them twice; they must end up with
// the same table and the same digest.
func TestMergeIgnoresOrderAndRepetition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		deltas := rapid.SliceOfN(rapid.Custom(drawDelta), 1, 12).Draw(t, "deltas")
		shuffled := rapid.Permutation(append(deltas, deltas...)).Draw(t, "shuffled")
		one, two := merged(deltas), merged(shuffled)
		require.Equal(t, values(one), values(two))
		require.Equal(t, one.digest, two.digest)
	})
}

// The incrementally updated digest equals that of the whole table, and the view never
// loses an incarnation or brings back an ended one.
func TestMergeKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newTable()
		before := newSnapshot(table, Member{})
		for range 20 {
			table.merge(drawDelta(t), time.Time{})
			var digest uint64
			for _, e := range table.entries {
				digest ^= e.digest()
			}
			require.Equal(t, digest, table.digest)
			after := newSnapshot(table, Member{})
			require.NoError(t, before.checkSuccession(after))
			before = after
		}
	})
}

func TestViolationsAreDetected(t *testing.T) {
	build := func(d delta) *snapshot { return newSnapshot(merged([]delta{d}), Member{}) }
	ended := build(delta{ID: "a", Incarnation: 2, Ended: LeaseExpired})
	require.ErrorContains(t, ended.checkSuccession(build(delta{ID: "a", Incarnation: 2})), "is back")
	require.ErrorContains(t, ended.checkSuccession(build(delta{ID: "a", Incarnation: 1})), "fell")
	alive := build(delta{ID: "a", Incarnation: 2})
	require.ErrorContains(t, alive.checkSuccession(build(delta{ID: "b", Incarnation: 1})), "vanished")
}

// Every member is probed by others, each member probes at most as many as there are rings,
// and the graph of probes is connected.
func TestRingsCoverTheFleet(t *testing.T) {
	for _, n := range []int{1, 2, 8, 40, 160} {
		members := ids(n)
		probed := make(map[peer.MemberID]int)
		next := make(map[peer.MemberID][]peer.MemberID)
		for _, id := range members {
			next[id] = successors(id, members)
			require.LessOrEqual(t, len(next[id]), rings)
			for _, target := range next[id] {
				require.NotEqual(t, id, target)
				probed[target]++
			}
		}
		reached := map[peer.MemberID]bool{members[0]: true}
		for queue := []peer.MemberID{members[0]}; len(queue) > 0; queue = queue[1:] {
			for _, id := range next[queue[0]] {
				if !reached[id] {
					reached[id] = true
					queue = append(queue, id)
				}
			}
		}
		require.Len(t, reached, n)
		if n > 1 {
			require.Len(t, probed, n)
		}
	}
}

func TestEndedHistoryIsBounded(t *testing.T) {
	table := newTable()
	start := time.Now()
	for i := range endedHistory + 10 {
		d := delta{ID: peer.MemberID(string(rune(i + 0x10000))), Incarnation: 1, Ended: Left}
		table.merge(d, start.Add(time.Duration(i)))
	}
	require.Len(t, table.expired(start), 10)
	require.Len(t, table.expired(start.Add(endedFor+time.Hour)), endedHistory+10)
}
