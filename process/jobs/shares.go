package jobs

import (
	"time"

	"fennelshunt.example/fennelshunt/process/jobs/fairshare"
	"fennelshunt.example/fennelshunt/process/jobs/queue"
	"fennelshunt.example/fennelshunt/process/plan"
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
	// lowest is the lowest weighted share of a waiting team elsewhere;
	// waiting is false when there is none.
	lowest  float64
	waiting bool
}

type otherShard struct {
	epoch uint64
	seen  time.Time
	teams map[string]otherTeam
}

type otherTeam struct {
	TeamTotal
	// moved is when what the team holds last changed.
	moved time.Time
}

func newOtherShards(interval time.Duration) otherShards {
	return otherShards{
		interval: interval, shards: map[plan.Shard]otherShard{}, unserved: map[string]time.Time{},
	}
}

// Intervals of the exchange after which information counts no more: totals that
// were not repeated, and a team whose holdings did not move although others
// made way for it. The second keeps room from standing empty for a team that
// can not use it.
const (
	totalsExpiry = 3
	stalledAfter = 4
)

// takeTotal takes the message of another shard.
func (st *state) takeTotal(t *Totals, now time.Time) {
	o := &st.others
	old := o.shards[t.Shard]
	if t.Epoch < old.epoch {
		return
	}
	next := otherShard{epoch: t.Epoch, seen: now, teams: make(map[string]otherTeam, len(t.Teams))}
	for _, team := range t.Teams {
		moved := now
		if was, ok := old.teams[team.Team]; ok && was.Held == team.Held {
			moved = was.moved
		}
		next.teams[team.Team] = otherTeam{team, moved}
	}
	o.shards[t.Shard] = next
	if t.Gang != nil {
		since := now.Add(-time.Duration(t.Gang.WaitingMillis) * time.Millisecond)
		st.offerShadow(&gangShadow{need: *t.Gang, since: since, lastSeen: now}, now)
	}
	st.round.dirty = true
}

// rank finds the lowest share among the waiting teams elsewhere.
func (o *otherShards) rank(now time.Time, accounts *fairshare.Accounts) {
	o.waiting = false
	for _, shard := range o.shards {
		if now.Sub(shard.seen) > totalsExpiry*o.interval {
			continue
		}
		for _, team := range shard.teams {
			if now.Sub(team.moved) > stalledAfter*o.interval {
				continue
			}
			share := accounts.ShareOf(team.Held, team.Weight)
			if !o.waiting || share < o.lowest {
				o.lowest, o.waiting = share, true
			}
		}
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
		t.Teams = append(t.Teams, TeamTotal{Team: team, Weight: st.accounts.Weight(team), Held: st.accounts.Held(team)})
	}
	if s := st.round.protected; s != nil && s.own != nil {
		need := s.need
		need.WaitingMillis = now.Sub(s.since).Milliseconds()
		t.Gang = &need
	}
	return t
}

// yields reports whether a team has to leave room that comes free to a team of
// another shard with a lower share. Urgent work and services do not yield.
func (st *state) yields(e *queue.Entry[*job]) bool {
	j := e.Value
	if !st.others.waiting || j.class.Rank() >= spec.High.Rank() {
		return false
	}
	if st.accounts.Share(j.spec.Team) <= st.others.lowest {
		return false
	}
	j.wait, j.rejections = "a team with a lower share of the cell waits for room", nil
	st.others.unserved[j.spec.Team] = st.round.last
	st.round.active.SkipTeam(j.spec.Team)
	return true
}
