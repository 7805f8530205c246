package quota

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestEvenSharesAreAllOfACap(t *testing.T) {
	for parts := 1; parts <= 60; parts++ {
		sum := int64(0)
		for part := range parts {
			sum += (&Shares{}).Of("t", part, parts)
		}
		require.EqualValues(t, FullShare, sum, "%d parts", parts)
	}
}

// settle lets every part obey and report until the shares move no more.
func settle(t *testing.T, parts int, shares *Shares, uses func(part int, share int64) Use) {
	t.Helper()
	b := Balancer{Parts: parts}
	for range 20 {
		for part := range parts {
			b.Take(Report{Part: part, Epoch: 1, Obeyed: shares.Version, Uses: []Use{uses(part, shares.Of("t", part, parts))}})
		}
		next, changed := b.Plan(*shares)
		if !changed {
			return
		}
		*shares = next
	}
}

func TestShareMovesToWhereWorkWaits(t *testing.T) {
	// Symptom: work of an account waits in one part for longer than three seconds, while
	//   the account has nine tenths of its cap unused.
	// Cause: an even split, of which each part has its own alone.
	shares := Shares{Version: FirstVersion}
	settle(t, 3, &shares, func(part int, share int64) Use {
		u := Use{Account: "t"}
		if part == 1 {
			u.Held = min(share, 9000)
			u.Wanted = 9000 - u.Held
		}
		return u
	})
	require.GreaterOrEqual(t, shares.Of("t", 1, 3), int64(9000))
}

func TestShareMakesRoomForTheLargestGang(t *testing.T) {
	// Symptom: a gang that takes most of its account's cap never starts.
	// Sequence: each of three parts has a third of the cap, and uses it all the time.
	shares := Shares{Version: FirstVersion}
	settle(t, 3, &shares, func(part int, share int64) Use {
		u := Use{Account: "t", Held: share, Wanted: 2000}
		if part == 2 {
			u = Use{Account: "t", Wanted: 8000, Largest: 8000}
		}
		return u
	})
	require.GreaterOrEqual(t, shares.Of("t", 2, 3), int64(8000))
}

func TestNothingMovesBeforeEveryPartHasToldWhatItObeys(t *testing.T) {
	b := Balancer{Parts: 2}
	wants := []Use{{Account: "t", Held: 5000, Wanted: 3000}}
	b.Take(Report{Part: 0, Epoch: 1, Obeyed: 4, Uses: wants})
	_, changed := b.Plan(Shares{Version: 4})
	require.False(t, changed, "part 1 has not told")
	b.Take(Report{Part: 1, Epoch: 3, Obeyed: 3, Uses: []Use{{Account: "t"}}})
	_, changed = b.Plan(Shares{Version: 4})
	require.False(t, changed, "part 1 may obey an older version")
	answer := b.Take(Report{Part: 1, Epoch: 3, Obeyed: 4})
	require.Equal(t, []string{"t"}, answer.Asked)
	_, changed = b.Plan(Shares{Version: 4})
	require.False(t, changed, "part 1 has not told of the account")
	b.Take(Report{Part: 1, Epoch: 2, Obeyed: 4, Uses: []Use{{Account: "t"}}})
	_, changed = b.Plan(Shares{Version: 4})
	require.False(t, changed, "told by an earlier leader of part 1")
	b.Take(Report{Part: 1, Epoch: 3, Obeyed: 4, Uses: []Use{{Account: "t", Held: 1000}}})
	next, changed := b.Plan(Shares{Version: 4})
	require.True(t, changed)
	require.EqualValues(t, 5, next.Version)
	require.EqualValues(t, 5000, next.Of("t", 0, 2), "what part 1 loses is not given away yet")
	require.Less(t, next.Of("t", 1, 2), int64(5000))
}

// leader is one leader of a part in the model: it acts by the version it has heard of.
type leader struct {
	part, epoch int
	obeys       int // version
	fenced      bool
}

// TestPartsStayWithinTheCapTogether plays parts whose leaders hear of versions late, are
// replaced and go on acting for a while, reports that arrive late or never, owners that
// are lost, and caps of one account: what all parts hold never exceeds the cap.
func TestPartsStayWithinTheCapTogether(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		parts := rapid.IntRange(2, 4).Draw(rt, "parts")
		versions := []Shares{{Version: FirstVersion}}
		b := Balancer{Parts: parts}
		held := make([]int64, parts)
		newest := make([]*leader, parts)
		var acting []*leader // those that can start work, earlier ones included
		var reports []Report // on their way
		for part := range newest {
			newest[part] = &leader{part: part, epoch: 1}
			acting = append(acting, newest[part])
		}
		moved := 0
		for range rapid.IntRange(1, 150).Draw(rt, "steps") {
			part := rapid.IntRange(0, parts-1).Draw(rt, "part")
			now := newest[part]
			switch rapid.IntRange(0, 9).Draw(rt, "what") {
			case 0, 1, 2: // somebody starts work
				l := acting[rapid.IntRange(0, len(acting)-1).Draw(rt, "who")]
				share := versions[l.obeys].Of("t", l.part, parts)
				if n := rapid.Int64Range(1, FullShare).Draw(rt, "n"); !l.fenced && held[l.part]+n <= share {
					held[l.part] += n
				}
			case 3:
				held[part] -= rapid.Int64Range(0, held[part]).Draw(rt, "ended")
			case 4:
				now.obeys = rapid.IntRange(now.obeys, len(versions)-1).Draw(rt, "hears")
			case 5, 6:
				r := Report{Part: part, Epoch: uint64(now.epoch), Uses: []Use{{Account: "t", Held: held[part],
					Wanted: rapid.Int64Range(0, FullShare).Draw(rt, "wanted"), Largest: rapid.Int64Range(0, FullShare).Draw(rt, "largest")}}}
				alone := true // every earlier leader of the part is fenced
				for _, l := range acting {
					alone = alone && (l == now || l.part != part || l.fenced)
				}
				if alone {
					r.Obeyed = versions[now.obeys].Version
				}
				reports = append(reports, r)
			case 7: // reports arrive, in any order
				if len(reports) > 0 {
					i := rapid.IntRange(0, len(reports)-1).Draw(rt, "report")
					b.Take(reports[i])
					reports = append(reports[:i], reports[i+1:]...)
				}
				next, changed := b.Plan(versions[len(versions)-1])
				if changed {
					versions = append(versions, next)
					moved++
				}
			case 8: // a part gets another leader, which reads the newest version
				newest[part] = &leader{part: part, epoch: now.epoch + 1, obeys: len(versions) - 1}
				acting = append(acting, newest[part])
			case 9:
				if rapid.Bool().Draw(rt, "owner") {
					b = Balancer{Parts: parts}
				}
				for _, l := range acting {
					l.fenced = l.fenced || l != newest[l.part]
				}
			}
			sum, shares := int64(0), int64(0)
			for p := range held {
				sum += held[p]
				shares += versions[len(versions)-1].Of("t", p, parts)
			}
			require.LessOrEqual(rt, sum, int64(FullShare), "held by all parts")
			require.LessOrEqual(rt, shares, int64(FullShare))
		}
		if moved > 0 {
			rt.Logf("moved %d times", moved)
		}
	})
}
