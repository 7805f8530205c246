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

// gangTry is one try to reserve capacity for all tasks of a gang, with an attempt
// for each task. It never holds capacity while it waits for more: if one partition
// refuses its reservation, the others are released.
type gangTry struct {
	job         *job
	reservation string
	attempts    []*attempt
	// unready counts the attempts whose intent is not durable yet, unanswered
	// the reservation calls in flight.
	unready, unanswered int
	failed              bool
	reason              string
	// requested holds the partitions that may have reserved capacity.
	requested []*partition
}

// serveGang tries to place all unfinished tasks of a gang at once and reports
// whether it has started to reserve capacity for them.
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
			st.violated("charge exceeds the quota although it was checked: %v", err)
		}
		st.makeLive(a)
	}
	for _, a := range try.attempts {
		st.queueStart(a)
	}
}

// gangReady records that an attempt needs no write before it may be sent. After
// the last attempt of the gang it requests the reservations.
func (st *state) gangReady(a *attempt) {
	a.phase = reserving
	try := a.job.gang
	if try == nil || try.failed {
		return
	}
	if try.unready--; try.unready == 0 {
		st.requestReservations(try)
	}
}

func (st *state) requestReservations(try *gangTry) {
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
		try.requested = append(try.requested, p)
		st.requestReservation(try, p, attempts)
	}
}

func (st *state) requestReservation(try *gangTry, p *partition, attempts []*attempt) {
	request := plan.Reserve{
		Partition: p.name, Author: st.author(), Reservation: try.reservation, Seq: st.shard.seq.Add(1),
		TTLMillis: st.o.Tuning.GangReservationTTL.Milliseconds(), Steps: make([]plan.Step, len(attempts)),
		MayRebind: true, NoRebind: st.withheldWorkers(try.job, p),
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

// handleReservations starts the whole gang, or releases all reservations if one
// was refused.
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

// abortTry releases all reservations and schedules the next try after a random
// delay. The delay decreases with the age of the gang, so that of two
// gangs that repeatedly block each other the older one soon succeeds.
func (st *state) abortTry(try *gangTry, reason string) {
	j := try.job
	try.fail(reason)
	j.gang = nil
	for _, p := range try.requested {
		release := plan.ReleaseReservation{Partition: p.name, Author: st.author(), Reservation: try.reservation}
		// If the release is lost, the capacity is reserved until its TTL expires.
		st.callOwner(p.owner, plan.MethodRelease, &release, nil, func(*state, error) {})
	}
	j.tries++
	j.nextTry = time.Now().Add(st.gangRetryDelay(j))
	for _, a := range try.attempts {
		if j.live[a.index] == a {
			st.revertStart(a, reason)
		}
	}
	st.o.Metrics.GangRetries.Add(1)
}

// delayHalvingAge is the age at which a gang's retry delay is halved.
const delayHalvingAge = 10 * time.Second

// gangRetryDelay returns a random delay whose mean grows from GangRetry with each
// failed try, up to eight times GangRetry, and decreases with the gang's age.
func (st *state) gangRetryDelay(j *job) time.Duration {
	age := float64(time.Since(j.arrived)) / float64(delayHalvingAge)
	mean := float64(st.o.Tuning.GangRetry) * float64(min(j.tries, 8)) / (1 + age)
	return time.Duration(mean * (0.5 + rand.Float64()))
}

// failGang stops the remaining tasks of a gang after one of them has ended
// without success: they would hold capacity without making progress.
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

// failRemaining fails the waiting tasks of a gang of which a task has used up
// its retries.
func (st *state) failRemaining(j *job) {
	j.record.Failed.Or(j.ready)
	j.record.Failed.Or(j.delayed)
	j.ready.Clear()
	j.delayed.Clear()
	st.queue.Remove(j.entry)
	st.markDirty(j)
}
