package quota

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestEvenSharesAddUpToTheCap(t *testing.T) {
	for shards := 1; shards <= 60; shards++ {
		sum := int64(0)
		for shard := range shards {
			sum += (&Shares{}).Of("t", shard, shards)
		}
		require.EqualValues(t, FullShare, sum, "%d shards", shards)
	}
}

// settle lets every shard apply the shares and report until no share changes any more.
func settle(t *testing.T, shards int, shares *Shares, usage func(shard int, share int64) Usage) {
	t.Helper()
	b := Balancer{Shards: shards}
	for range 20 {
		for shard := range shards {
			b.AddReport(Report{Shard: shard, Epoch: 1, Applied: shares.Version, Usages: []Usage{usage(shard, shares.Of("t", shard, shards))}})
		}
		next, changed := b.Plan(*shares)
		if !changed {
			return
		}
		*shares = next
	}
}

func TestShareMovesToWhereWorkWaits(t *testing.T) {
	// Guards against a fixed even split of the cap: all work of the account is in one shard,
	// and waits there for longer than three seconds although nine tenths of the cap are
	// unused.
	shares := Shares{Version: FirstVersion}
	settle(t, 3, &shares, func(shard int, share int64) Usage {
		u := Usage{Account: "t"}
		if shard == 1 {
			u.Held = min(share, 9000)
			u.Waiting = 9000 - u.Held
		}
		return u
	})
	require.GreaterOrEqual(t, shares.Of("t", 1, 3), int64(9000))
}

func TestSharesLeaveEnoughForTheLargestGang(t *testing.T) {
	// Guards against a gang that needs most of its account's cap and never starts, because each
	// of three shards has a third of the cap and keeps it in use.
	shares := Shares{Version: FirstVersion}
	settle(t, 3, &shares, func(shard int, share int64) Usage {
		u := Usage{Account: "t", Held: share, Waiting: 2000}
		if shard == 2 {
			u = Usage{Account: "t", Waiting: 8000, Largest: 8000}
		}
		return u
	})
	require.GreaterOrEqual(t, shares.Of("t", 2, 3), int64(8000))
}

// TestShareIsNotLeftJustBelowWhatAGangNeeds guards against a gang that never starts beside an account
// that holds nothing, because its shard's share is less than one hundredth of the cap too small.
func TestShareIsNotLeftJustBelowWhatAGangNeeds(t *testing.T) {
	for name, overrides := range map[string][]int64{"the rest is free": {7486, 1250, 1250}, "others have the rest": {7460, 1270, 1270}} {
		t.Run(name, func(t *testing.T) {
			shares := Shares{Version: 4, Overrides: map[string][]int64{"t": overrides}}
			settle(t, 3, &shares, func(shard int, _ int64) Usage {
				if shard == 0 {
					return Usage{Account: "t", Waiting: 20_000, Largest: 7500}
				}
				return Usage{Account: "t", Waiting: 10_000, Largest: 3000}
			})
			require.GreaterOrEqual(t, shares.Of("t", 0, 3), int64(7500))
		})
	}
}

// TestWaitingWorkThatFitsTheCapStartsInTheEnd guards against work that waits for ever for a share
// although the cap has room for it, from any shares.
func TestWaitingWorkThatFitsTheCapStartsInTheEnd(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const shards = 3
		left, overrides, usages := int64(FullShare), make([]int64, shards), make([]Usage, shards)
		room := int64(FullShare)
		for shard := range shards {
			overrides[shard] = rapid.Int64Range(0, left).Draw(rt, "share")
			left -= overrides[shard]
			held := rapid.Int64Range(0, min(overrides[shard], room)).Draw(rt, "held")
			room -= held
			waiting := rapid.Int64Range(0, room).Draw(rt, "waiting")
			room -= waiting
			usages[shard] = Usage{Account: "t", Held: held, Waiting: waiting, Largest: rapid.Int64Range(0, waiting).Draw(rt, "largest")}
		}
		shares := Shares{Version: 4, Overrides: map[string][]int64{"t": overrides}}
		settle(t, shards, &shares, func(shard int, _ int64) Usage { return usages[shard] })
		for shard, u := range usages {
			if u.Largest > 0 && shares.Of("t", shard, shards) < u.Held+u.Largest {
				rt.Fatalf("shard %d has %d of the %d that it needs", shard, shares.Of("t", shard, shards), u.Held+u.Largest)
			}
		}
	})
}

func TestSharesMoveOnlyAfterEveryShardHasReported(t *testing.T) {
	b := Balancer{Shards: 2}
	usages := []Usage{{Account: "t", Held: 5000, Waiting: 3000}}
	b.AddReport(Report{Shard: 0, Epoch: 1, Applied: 4, Usages: usages})
	_, changed := b.Plan(Shares{Version: 4})
	require.False(t, changed, "shard 1 has not reported")
	b.AddReport(Report{Shard: 1, Epoch: 3, Applied: 3, Usages: []Usage{{Account: "t"}}})
	_, changed = b.Plan(Shares{Version: 4})
	require.False(t, changed, "shard 1 may apply an older version")
	reply := b.AddReport(Report{Shard: 1, Epoch: 3, Applied: 4})
	require.Equal(t, []string{"t"}, reply.Accounts)
	_, changed = b.Plan(Shares{Version: 4})
	require.False(t, changed, "shard 1 has not reported the account")
	b.AddReport(Report{Shard: 1, Epoch: 2, Applied: 4, Usages: []Usage{{Account: "t"}}})
	_, changed = b.Plan(Shares{Version: 4})
	require.False(t, changed, "reported by an earlier leader of shard 1")
	b.AddReport(Report{Shard: 1, Epoch: 3, Applied: 4, Usages: []Usage{{Account: "t", Held: 1000}}})
	next, changed := b.Plan(Shares{Version: 4})
	require.True(t, changed)
	require.EqualValues(t, 5, next.Version)
	require.EqualValues(t, 5000, next.Of("t", 0, 2), "what shard 1 loses is not assigned to others yet")
	require.Less(t, next.Of("t", 1, 2), int64(5000))
}

// leader is a leader of a shard in the model. It applies the newest version that it has
// received.
type leader struct {
	shard, epoch int
	version      int // index of the applied version
	fenced       bool
}

// TestShardsTogetherStayWithinTheCap models the cap of one account in a cell whose shard
// leaders receive versions late, or go on acting for a while after they have been replaced,
// whose reports arrive late or never, and whose owner of the shares fails. What all shards
// hold together must never exceed the cap.
func TestShardsTogetherStayWithinTheCap(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		shards := rapid.IntRange(2, 4).Draw(rt, "parts")
		versions := []Shares{{Version: FirstVersion}}
		b := Balancer{Shards: shards}
		held := make([]int64, shards)
		newest := make([]*leader, shards)
		var acting []*leader // leaders that can start work, earlier ones included
		var reports []Report // in flight
		for shard := range newest {
			newest[shard] = &leader{shard: shard, epoch: 1}
			acting = append(acting, newest[shard])
		}
		moved := 0
		for range rapid.IntRange(1, 150).Draw(rt, "steps") {
			shard := rapid.IntRange(0, shards-1).Draw(rt, "part")
			now := newest[shard]
			switch rapid.IntRange(0, 9).Draw(rt, "what") {
			case 0, 1, 2: // one of the leaders starts work
				l := acting[rapid.IntRange(0, len(acting)-1).Draw(rt, "who")]
				share := versions[l.version].Of("t", l.shard, shards)
				if n := rapid.Int64Range(1, FullShare).Draw(rt, "n"); !l.fenced && held[l.shard]+n <= share {
					held[l.shard] += n
				}
			case 3:
				held[shard] -= rapid.Int64Range(0, held[shard]).Draw(rt, "ended")
			case 4:
				now.version = rapid.IntRange(now.version, len(versions)-1).Draw(rt, "hears")
			case 5, 6:
				r := Report{Shard: shard, Epoch: uint64(now.epoch), Usages: []Usage{{Account: "t", Held: held[shard],
					Waiting: rapid.Int64Range(0, FullShare).Draw(rt, "wanted"), Largest: rapid.Int64Range(0, FullShare).Draw(rt, "largest")}}}
				alone := true // every earlier leader of the shard is fenced
				for _, l := range acting {
					alone = alone && (l == now || l.shard != shard || l.fenced)
				}
				if alone {
					r.Applied = versions[now.version].Version
				}
				reports = append(reports, r)
			case 7: // reports arrive, in any order
				if len(reports) > 0 {
					i := rapid.IntRange(0, len(reports)-1).Draw(rt, "report")
					b.AddReport(reports[i])
					reports = append(reports[:i], reports[i+1:]...)
				}
				next, changed := b.Plan(versions[len(versions)-1])
				if changed {
					versions = append(versions, next)
					moved++
				}
			case 8: // a shard gets another leader, which reads the newest version
				newest[shard] = &leader{shard: shard, epoch: now.epoch + 1, version: len(versions) - 1}
				acting = append(acting, newest[shard])
			case 9:
				if rapid.Bool().Draw(rt, "owner") {
					b = Balancer{Shards: shards}
				}
				for _, l := range acting {
					l.fenced = l.fenced || l != newest[l.shard]
				}
			}
			sum, shares := int64(0), int64(0)
			for p := range held {
				sum += held[p]
				shares += versions[len(versions)-1].Of("t", p, shards)
			}
			require.LessOrEqual(rt, sum, int64(FullShare), "held by all shards")
			require.LessOrEqual(rt, shares, int64(FullShare))
		}
		if moved > 0 {
			rt.Logf("shares changed %d times", moved)
		}
	})
}
