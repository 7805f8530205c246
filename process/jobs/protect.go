package jobs

import (
	"time"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/sched"
	"fennelshunt.example/fennelshunt/process/sched/snapshot"
	"fennelshunt.example/fennelshunt/version/spec"
)

// GangNeed describes a gang that waits for room, for the shards of other
// teams: they keep capacity for the one that waits longest in the cell.
type GangNeed struct {
	Job           string           `cbor:"1,keyasint"`
	Generation    uint64           `cbor:"2,keyasint"`
	Size          spec.Resources   `cbor:"3,keyasint"`
	Constraints   spec.Constraints `cbor:"4,keyasint,omitempty"`
	Class         spec.Class       `cbor:"5,keyasint"`
	Team          string           `cbor:"6,keyasint"`
	Count         int              `cbor:"7,keyasint"`
	WaitingMillis int64            `cbor:"8,keyasint"`
}

// gangShadow is the gang that capacity is kept for.
type gangShadow struct {
	need GangNeed
	own  *job // nil for a gang of another shard
	// since orders gangs: the one that waits longest is protected.
	since    time.Time
	planned  time.Time
	lastSeen time.Time
}

const (
	// replanInterval is the time between two plans for the protected gang.
	replanInterval = time.Second
	// needExpiry is after how long a need that is not repeated is dropped.
	needExpiry = 10 * time.Second
)

// offerGang notes a gang of this shard that found no room. The gang that
// waits longest has capacity kept for it: without that, small tasks would take
// each piece of room as it comes free and a large gang would never start. One
// gang at a time is enough for each to get its turn, and costs the small work
// no more than that gang's room.
func (st *state) offerGang(j *job, asks []sched.Ask, now time.Time) {
	need := GangNeed{
		Job: j.key.Job, Generation: j.key.Generation, Size: asks[0].Size, Constraints: j.spec.Constraints,
		Class: j.class, Team: j.spec.Team, Count: len(asks), WaitingMillis: now.Sub(j.arrived).Milliseconds(),
	}
	st.offerShadow(&gangShadow{need: need, own: j, since: j.arrived, lastSeen: now}, now)
}

// protectAfter is how long a single task waits before capacity is kept for it.
const protectAfter = 5 * time.Second

// offerTask notes a batch job of which a task has waited long. A task larger
// than what most others leave free would otherwise see each piece of room
// taken by smaller ones. Gangs come first: they need it more.
func (st *state) offerTask(j *job, now time.Time) {
	index, ok := j.next()
	if !ok {
		return
	}
	since := j.readySince(index)
	if j.spec.Kind != spec.Batch || now.Sub(since) < protectAfter {
		return
	}
	need := GangNeed{
		Job: j.key.Job, Generation: j.key.Generation, Size: j.size, Constraints: j.spec.Constraints,
		Class: j.class, Team: j.spec.Team, Count: 1,
	}
	st.offerShadow(&gangShadow{need: need, own: j, since: since, lastSeen: now}, now)
}

// endProtection ends the protection of a task that has started.
func (st *state) endProtection(j *job) {
	if s := st.round.protected; s != nil && s.own == j {
		st.round.protected = nil
		st.setProtected(nil)
	}
}

// offerShadow takes a waiting gang when it is the protected one or should be.
func (st *state) offerShadow(s *gangShadow, now time.Time) {
	old := st.round.protected
	if old != nil && old.need.Job == s.need.Job && old.need.Generation == s.need.Generation {
		old.lastSeen, old.need = now, s.need
		return
	}
	if old != nil && !s.before(old) {
		return
	}
	st.round.protected = s
	if st.round.planner != nil {
		st.planShadow(now)
	}
}

// before reports whether a gang is to be protected rather than another one.
func (s *gangShadow) before(o *gangShadow) bool {
	if s.need.Class.Rank() != o.need.Class.Rank() {
		return s.need.Class.Rank() > o.need.Class.Rank()
	}
	if single := s.need.Count == 1; single != (o.need.Count == 1) {
		return !single
	}
	return s.since.Before(o.since)
}

// refreshProtection keeps the protection up to date at the begin of a round.
func (st *state) refreshProtection(now time.Time) {
	s := st.round.protected
	if s == nil {
		return
	}
	ended := s.own != nil && (s.own.cancelled || s.own.infeasible != "")
	if ended || now.Sub(s.lastSeen) > needExpiry {
		st.round.protected = nil
		st.setProtected(nil)
		return
	}
	if now.Sub(s.planned) >= replanInterval {
		st.planShadow(now)
	}
}

// planShadow looks for the earliest time at which the protected gang fits.
func (st *state) planShadow(now time.Time) {
	s := st.round.protected
	s.planned = now
	asks := s.need.asks()
	st.setProtected(nil)
	shadow, ok := st.round.planner.PlanGang(asks, func(t *snapshot.Task) (time.Duration, bool) {
		return st.learner.Remaining(t, now)
	})
	if ok {
		st.setProtected(&shadow)
	}
}

// keptWorkers lists the workers of a partition that the tasks of a job must not be
// rebound to: those that keep room, unless it is for the job itself.
func (st *state) keptWorkers(j *job, p *partition) []worker.ID {
	if s := st.round.protected; s != nil && s.own == j {
		return nil
	}
	return st.round.kept[p.name]
}

// keep has capacity kept for a gang by the decisions of this shard, and its
// workers left alone by the owners that rebind; nil keeps none.
func (st *state) setProtected(shadow *sched.Shadow) {
	st.round.planner.Protect(shadow)
	st.round.kept = nil
	if shadow == nil {
		return
	}
	st.round.kept = map[string][]worker.ID{}
	for _, id := range shadow.IDs() {
		if w := st.round.planner.View().Lookup(id); w != nil {
			st.round.kept[w.Partition] = append(st.round.kept[w.Partition], id)
		}
	}
}

func (n *GangNeed) asks() []sched.Ask {
	asks := make([]sched.Ask, n.Count)
	for i := range asks {
		asks[i] = sched.Ask{
			Task: spec.TaskID{Job: n.Job, Generation: n.Generation, Index: i}, Team: n.Team,
			Kind: spec.Gang, Class: n.Class, Size: n.Size, Constraints: n.Constraints,
		}
	}
	return asks
}
