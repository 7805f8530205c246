package jobs

import (
	"time"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/sched"
	"fennelshunt.example/fennelshunt/process/sched/snapshot"
	"fennelshunt.example/fennelshunt/version/spec"
)

// GangNeed describes a waiting gang, or a waiting batch task with Count 1, to the
// other shards. All shards keep capacity free for the one that takes precedence
// in the cell: by class, then gangs before single tasks, then by waiting time.
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

// gangShadow is a waiting gang, or a waiting batch task as a gang of one, that
// capacity may be kept free for. The time at which planShadow expects it to fit
// is the shadow time of backfill scheduling.
type gangShadow struct {
	need GangNeed
	own  *job // nil for a gang of another shard
	// since is the time since which it has waited; see before.
	since    time.Time
	planned  time.Time // when planShadow last ran for it
	lastSeen time.Time // when it was last proposed
}

const (
	// replanInterval is the time between two plans for the protected gang.
	replanInterval = time.Second
	// needExpiry is the time after which a need that is not repeated is dropped.
	needExpiry = 10 * time.Second
)

// offerGang proposes for protection a gang of this shard that could not be
// placed. Capacity is kept free for the gang that takes precedence (see before),
// since otherwise small tasks would take all capacity as it is freed and a large
// gang would never start. Protecting one gang at a time is enough for each to
// start eventually, and costs small tasks no more than the capacity of that gang.
func (st *state) offerGang(j *job, asks []sched.Ask, now time.Time) {
	need := GangNeed{
		Job: j.key.Job, Generation: j.key.Generation, Size: asks[0].Size, Constraints: j.spec.Constraints,
		Class: j.class, Team: j.spec.Team, Count: len(asks), WaitingMillis: now.Sub(j.arrived).Milliseconds(),
	}
	st.offerShadow(&gangShadow{need: need, own: j, since: j.arrived, lastSeen: now}, now)
}

// protectAfter is how long a single task waits before capacity is kept free for
// it.
const protectAfter = 5 * time.Second

// offerTask proposes for protection a batch task that has waited for at least
// protectAfter. Otherwise smaller tasks could take all capacity as it is freed
// and a large task would never start. Gangs take precedence over single tasks, as
// they are harder to place.
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

// endProtection ends the protection of a job that has been placed.
func (st *state) endProtection(j *job) {
	if s := st.round.protected; s != nil && s.own == j {
		st.round.protected = nil
		st.setProtected(nil)
	}
}

// offerShadow protects a waiting gang if it takes precedence over the protected
// one, or updates it if it is the protected one.
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

// before reports whether a gang takes precedence over another one: by class, then
// gangs before single tasks, then by waiting time.
func (s *gangShadow) before(o *gangShadow) bool {
	if s.need.Class.Rank() != o.need.Class.Rank() {
		return s.need.Class.Rank() > o.need.Class.Rank()
	}
	if single := s.need.Count == 1; single != (o.need.Count == 1) {
		return !single
	}
	return s.since.Before(o.since)
}

// refreshProtection updates or drops the protection at the start of a round.
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

// planShadow finds the earliest time at which the protected gang fits, and
// withholds the capacity of the workers that it would use then.
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

// withheldWorkers lists the workers of a partition that the tasks of a job must
// not be rebound to: those with protected capacity, unless the job itself is
// protected.
func (st *state) withheldWorkers(j *job, p *partition) []worker.ID {
	if s := st.round.protected; s != nil && s.own == j {
		return nil
	}
	return st.round.noRebind[p.name]
}

// setProtected makes the planner of this shard withhold the capacity of the
// shadow's workers from other tasks, and excludes these workers from rebinding
// by partition owners. With nil, nothing is withheld.
func (st *state) setProtected(shadow *sched.Shadow) {
	st.round.planner.Protect(shadow)
	st.round.noRebind = nil
	if shadow == nil {
		return
	}
	st.round.noRebind = map[string][]worker.ID{}
	for _, id := range shadow.IDs() {
		if w := st.round.planner.View().Lookup(id); w != nil {
			st.round.noRebind[w.Partition] = append(st.round.noRebind[w.Partition], id)
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
