package jobs

import (
	"time"

	"fennelshunt.example/fennelshunt/process/jobs/queue"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/process/quota"
	"fennelshunt.example/fennelshunt/version/spec"
)

// otherShards is what is known of the teams of other shards that have work
// waiting for room.
type otherShards struct {
	interval time.Duration
	shards   map[plan.Shard]otherShard
	// unserved holds the teams of this shard of which a task found no room,
	// and when that was last so.
	unserved map[string]time.Time
	// level is the weighted share up to which every waiting team of the cell
	// can get; waiting is false when no team waits elsewhere.
	level   float64
	waiting bool
	// yielding holds since when a team leaves room to others.
	yielding map[string]time.Time
}

type otherShard struct {
	epoch uint64
	seen  time.Time
	teams []TeamTotal
}

func newOtherShards(interval time.Duration) otherShards {
	return otherShards{
		interval: interval, shards: map[plan.Shard]otherShard{}, unserved: map[string]time.Time{}, yielding: map[string]time.Time{},
	}
}

// totalsExpiry is after how many intervals totals that are not repeated count
// no more.
const totalsExpiry = 3

// yieldLimit is how long a team leaves room to the teams of other shards; what
// is still free then is of no use to them and is taken.
const yieldLimit = time.Second

// applyTotals takes the message of another shard.
func (st *state) applyTotals(t *Totals, now time.Time) {
	o := &st.others
	if t.Epoch < o.shards[t.Shard].epoch {
		return
	}
	o.shards[t.Shard] = otherShard{epoch: t.Epoch, seen: now, teams: t.Teams}
	if t.Gang != nil {
		since := now.Add(-time.Duration(t.Gang.WaitingMillis) * time.Millisecond)
		st.offerShadow(&gangShadow{need: *t.Gang, since: since, lastSeen: now}, now)
	}
	st.round.dirty = true
}

// rank works out the level: what is not held by teams without waiting work is
// divided among the waiting ones by weight. The level depends on weights more
// than on what others hold, so it bears information of some seconds ago; teams
// that compared their shares directly all held back on old news at once.
func (o *otherShards) rank(now time.Time, accounts *quota.Ledger, used spec.Resources) {
	weights, held := 0, 0.0
	count := func(team spec.Resources, weight int) {
		weights += max(weight, 1)
		held += accounts.ShareOf(quota.Size(team), 1)
	}
	for _, shard := range o.shards {
		if now.Sub(shard.seen) <= totalsExpiry*o.interval {
			for _, team := range shard.teams {
				count(team.Held, team.Weight)
			}
		}
	}
	o.waiting = weights > 0
	for team, at := range o.unserved {
		if now.Sub(at) <= o.interval {
			a := accounts.Account(team)
			count(spec.Resources(a.Held()), int(a.Weight()))
		}
	}
	if o.waiting {
		others := max(0, accounts.ShareOf(quota.Size(used), 1)-held)
		o.level = max(0, 1-others) / float64(weights)
	}
}

// totals returns what the other shards should know: the teams that have found
// no room lately.
func (st *state) totals(now time.Time) Totals {
	t := Totals{Shard: st.shard.number, Epoch: st.shard.claim.Epoch}
	for team, at := range st.others.unserved {
		if now.Sub(at) > st.others.interval {
			delete(st.others.unserved, team)
			continue
		}
		a := st.accounts.Account(team)
		t.Teams = append(t.Teams, TeamTotal{Team: team, Weight: int(a.Weight()), Held: spec.Resources(a.Held())})
	}
	if s := st.round.protected; s != nil && s.own != nil {
		need := s.need
		need.WaitingMillis = now.Sub(s.since).Milliseconds()
		t.Gang = &need
	}
	return t
}

// yields reports whether a team leaves room that it could use to teams of other
// shards, because it holds more than its part. Urgent work and services do not
// yield.
func (st *state) yields(e *queue.Entry[*job], now time.Time) bool {
	j, o := e.Value, &st.others
	if !o.waiting || j.class.Rank() >= spec.High.Rank() || st.accounts.Share(st.account(j)) <= o.level {
		delete(o.yielding, j.spec.Team)
		return false
	}
	since, ok := o.yielding[j.spec.Team]
	if !ok {
		o.yielding[j.spec.Team] = now
	} else if now.Sub(since) > yieldLimit {
		return false
	}
	j.wait, j.rejections = "the team holds more than its part while others wait for room", nil
	o.unserved[j.spec.Team] = now
	st.round.active.SkipTeam(j.spec.Team)
	return true
}
