package jobs

import (
	"fmt"
	"math/rand/v2"
	"time"

	"fennelshunt.example/fennelshunt/process/jobs/queue"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/process/quota"
	"fennelshunt.example/fennelshunt/process/sched"
	"fennelshunt.example/fennelshunt/version/spec"
)

// gangTry is one try to reserve room for all tasks of a gang. It holds nothing
// while it waits: a reservation that one partition refuses releases the others.
type gangTry struct {
	job         *job
	reservation string
	attempts    []*attempt
	// unready counts attempts whose intent is not durable yet, unanswered the
	// reservations without an answer.
	unready, unanswered int
	failed              bool
	reason              string
	// asked are the partitions that may hold a reservation.
	asked []*partition
}

// serveGang tries to place all unfinished tasks of a gang at once and reports
// whether reservations are asked for.
func (st *state) serveGang(e *queue.Entry[*job], now time.Time) bool {
	j := e.Value
	remaining := j.spec.Count - j.record.FinishedCount()
	if len(j.live) > 0 || int(j.ready.GetCardinality()) < remaining || int(j.durableLimit) < j.spec.Count {
		st.queue.Remove(e) // queued again when the last task is ready
		return false
	}
	if now.Before(j.nextTry) {
		st.round.active.SkipShape(e)
		return false
	}
	if st.resized(e, now) || !st.fitsQuota(e, j.size.Times(int64(remaining))) {
		return false
	}
	asks := st.gangAsks(j)
	d := st.round.planner.PlaceGang(asks)
	if !d.Placed {
		if d.Infeasible == "" {
			st.offerGang(j, asks, now)
		}
		st.refuseJob(e, d.Rejections, d.Infeasible)
		return false
	}
	st.reserveGang(j, asks, &d, now)
	st.round.active.Served(j.spec.Team)
	return true
}

func (st *state) gangAsks(j *job) []sched.Ask {
	asks := make([]sched.Ask, 0, j.ready.GetCardinality())
	for _, index := range j.ready.ToArray() {
		asks = append(asks, st.ask(j, index, st.attemptNumber(j, index)))
	}
	return asks
}

func (st *state) reserveGang(j *job, asks []sched.Ask, d *sched.GangDecision, now time.Time) {
	try := &gangTry{job: j, unready: len(asks)}
	try.reservation = fmt.Sprintf("%s/%d/%d", j.key.Job, st.shard.claim.Epoch, st.shard.seq.Add(1))
	j.gang = try
	for i := range asks {
		try.attempts = append(try.attempts, &attempt{
			job: j, index: uint32(asks[i].Task.Index), number: asks[i].Attempt, phase: reserving,
			partition: d.Decisions[i].Partition, worker: d.Decisions[i].Worker, victims: d.Decisions[i].Victims,
			size: asks[i].Size, decided: now, waitingSince: j.readySince(uint32(asks[i].Task.Index)),
			reservation: try.reservation,
		})
	}
	for i, a := range try.attempts {
		st.round.planner.Assume(asks[i], d.Decisions[i])
		if err := st.account(j).Charge(quota.Size(a.size)); err != nil {
			st.violated("quota checked and then exceeded: %v", err)
		}
		st.makeLive(a)
	}
	for _, a := range try.attempts {
		st.queueStart(a)
	}
}

// gangReady notes that an attempt of a try waits for no write; with the last
// one the reservations are asked for.
func (st *state) gangReady(a *attempt) {
	a.phase = reserving
	try := a.job.gang
	if try == nil || try.failed {
		return
	}
	if try.unready--; try.unready == 0 {
		st.askReservations(try)
	}
}

func (st *state) askReservations(try *gangTry) {
	groups := map[*partition][]*attempt{}
	for _, a := range try.attempts {
		p := st.partition(a.partition)
		if !st.usable(p) {
			st.abortTry(try, "owner of the workers not reachable")
			return
		}
		groups[p] = append(groups[p], a)
	}
	try.unanswered = len(groups)
	for p, attempts := range groups {
		try.asked = append(try.asked, p)
		st.askReservation(try, p, attempts)
	}
}

func (st *state) askReservation(try *gangTry, p *partition, attempts []*attempt) {
	request := plan.Reserve{
		Partition: p.name, Author: st.author(), Reservation: try.reservation, Seq: st.shard.seq.Add(1),
		TTLMillis: st.o.Tuning.GangReservationTTL.Milliseconds(), Steps: make([]plan.Step, len(attempts)),
		MayRebind: true, Kept: st.keptWorkers(try.job, p),
	}
	for i, a := range attempts {
		request.Steps[i] = step(a)
	}
	result := new(plan.Result)
	st.callOwner(p.owner, plan.MethodReserve, &request, result, func(st *state, err error) {
		try.unanswered--
		if err != nil {
			try.fail("owner of the workers not reachable")
		}
		for i := range result.Steps {
			if result.Steps[i].Outcome != plan.Accepted {
				try.fail(reasonOf(&result.Steps[i]))
			} else if i < len(attempts) && try.job.gang == try {
				st.setWorker(attempts[i], result.Steps[i].Worker)
			}
		}
		if try.unanswered == 0 {
			st.handleReservations(try)
		}
	})
}

func (t *gangTry) fail(reason string) {
	if !t.failed {
		t.failed, t.reason = true, reason
	}
}

// handleReservations starts the whole gang or gives every reservation back.
func (st *state) handleReservations(try *gangTry) {
	if try.job.gang != try {
		return
	}
	if try.failed {
		st.abortTry(try, try.reason)
		return
	}
	st.endProtection(try.job)
	try.job.gang, try.job.tries = nil, 0
	for _, a := range try.attempts {
		if try.job.live[a.index] == a {
			st.queueStep(a)
		}
	}
}

// abortTry gives all reservations back and tries again after a random pause. The
// pause shrinks with the age of the gang, so that of two gangs which keep
// refusing each other the older one soon comes first.
func (st *state) abortTry(try *gangTry, reason string) {
	j := try.job
	try.fail(reason)
	j.gang = nil
	for _, p := range try.asked {
		release := plan.ReleaseReservation{Partition: p.name, Author: st.author(), Reservation: try.reservation}
		// A release that is lost costs room until the reservation expires.
		st.callOwner(p.owner, plan.MethodRelease, &release, nil, func(*state, error) {})
	}
	j.tries++
	j.nextTry = time.Now().Add(st.gangPause(j))
	for _, a := range try.attempts {
		if j.live[a.index] == a {
			st.revertStart(a, reason)
		}
	}
	st.o.Metrics.GangRetries.Add(1)
}

// pauseHalvingAge is the age at which a gang's pauses are halved.
const pauseHalvingAge = 10 * time.Second

func (st *state) gangPause(j *job) time.Duration {
	age := float64(time.Since(j.arrived)) / float64(pauseHalvingAge)
	mean := float64(st.o.Tuning.GangRetry) * float64(min(j.tries, 8)) / (1 + age)
	return time.Duration(mean * (0.5 + rand.Float64()))
}

// failGang stops the rest of a gang after one of its tasks has ended without
// success: the others make no progress and only hold room.
func (st *state) failGang(j *job, reason string) {
	if j.spec.Kind != spec.Gang || j.failing {
		return
	}
	j.failing = true
	defer func() { j.failing = false }()
	if j.gang != nil {
		st.abortTry(j.gang, reason)
	}
	for _, a := range j.live {
		st.stop(a)
	}
	if !j.record.Failed.IsEmpty() && !j.cancelled {
		st.failRemaining(j)
	}
}

// failRemaining ends a gang of which a task has used up its retries.
func (st *state) failRemaining(j *job) {
	j.record.Failed.Or(j.ready)
	j.record.Failed.Or(j.delayed)
	j.ready.Clear()
	j.delayed.Clear()
	st.queue.Remove(j.entry)
	st.markDirty(j)
}
