package jobs

import (
	"time"

	"fennelshunt.example/fennelshunt/process/jobs/queue"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/process/quota"
	"fennelshunt.example/fennelshunt/version/spec"
)

// otherShards holds the reported totals of the other shards' teams that have
// tasks waiting for capacity.
type otherShards struct {
	interval time.Duration
	shards   map[plan.Shard]otherShard
	// unserved holds the teams of this shard with a task that could not be
	// placed, and when that last happened.
	unserved map[string]time.Time
	// level is the weighted share that every waiting team of the cell can
	// reach; waiting is false when no team of another shard waits.
	level   float64
	waiting bool
	// yielding holds the time since which a team has left capacity to others.
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

// totalsExpiry is the number of intervals after which totals that are not
// repeated expire.
const totalsExpiry = 3

// yieldLimit is how long a team leaves free capacity to the teams of other
// shards. Capacity that is still free after that is of no use to them, and the
// team uses it.
const yieldLimit = time.Second

// applyTotals applies a message of another shard.
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

// rank computes the level: the capacity that is not held by teams without waiting
// tasks, divided among the waiting teams by weight. The level depends on weights
// more than on current usage, so information that is some seconds old is good
// enough. When teams compared their shares directly, all of them yielded at the
// same time because of outdated totals.
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

// totals returns the message to the other shards: the teams with tasks that could
// not be placed recently, and the protected gang if it belongs to this shard.
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

// yields reports whether a team leaves usable capacity to teams of other shards
// because it holds more than its fair share. Work of class High, the default of
// services, and above does not yield.
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
