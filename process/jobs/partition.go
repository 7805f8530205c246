package jobs

import (
	"maps"
	"slices"
	"time"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/ownership"
	"fennelshunt.example/fennelshunt/process/plan"
)

// partition is the shard's view of a partition and its owner, with the outbox of
// what is to be sent there. At most one call of each kind is in flight, so that
// what arrives in the meantime is sent as one group.
type partition struct {
	name  string
	owner ownership.Claim
	known bool // the directory names an owner
	// fencedEpoch is the claim epoch of the owner that last replied to a fence
	// with its tasks. fencing is set while a fence is in flight, unconfirmed when
	// the partition's tasks are uncertain, for example after a lost response, so
	// that another fence is needed.
	fencedEpoch uint64
	fencing     bool
	unconfirmed bool
	nextFence   time.Time
	// unaccounted holds the workers on which any task may still run.
	unaccounted map[worker.ID]struct{}
	// ownerlessSince is the time since which the partition has had no owner.
	ownerlessSince time.Time

	planning, stopping, acking bool
	starts                     []*attempt
	stops                      map[plan.StopMode][]worker.Ref
	acks                       []worker.Ref
	ackAfter                   time.Time
}

// usable reports whether plans may be sent: the current owner has listed its
// tasks, no response is missing, and the owner's epoch is durable.
func (st *state) usable(p *partition) bool {
	return p.known && !p.fencing && !p.unconfirmed &&
		p.fencedEpoch == p.owner.Epoch && st.commit.durable[p.name] == p.owner.Epoch
}

func (st *state) partition(name string) *partition {
	p := st.partitions[name]
	if p == nil {
		p = &partition{name: name, stops: map[plan.StopMode][]worker.Ref{}, ownerlessSince: time.Now()}
		st.partitions[name] = p
		st.refreshOwner(p)
	}
	return p
}

func (st *state) refreshOwner(p *partition) {
	claim, ok := st.o.Directory.Owner(ownership.Resource(ownership.PartitionPrefix + p.name))
	if p.known && !ok {
		p.ownerlessSince = time.Now()
	}
	if ok && claim.Epoch < p.owner.Epoch {
		return
	}
	p.known = ok
	if ok && claim != p.owner {
		p.owner = claim
		p.nextFence = time.Time{}
		st.round.dirty = true
	}
}

// checkPartitions detects new partitions and owners, and fences them where
// needed.
func (st *state) checkPartitions() {
	for _, name := range st.o.Partitions() {
		st.partition(name)
	}
	for _, p := range st.partitions {
		st.refreshOwner(p)
	}
	st.updateLocalPartitions()
	st.removePartitions(time.Now())
	st.fenceAll(time.Now())
}

// fenceAll fences the partitions that need it.
func (st *state) fenceAll(now time.Time) {
	for _, p := range st.partitions {
		wanted := p.unconfirmed || p.fencedEpoch != p.owner.Epoch || len(p.unaccounted) > 0
		if wanted && p.known && !p.fencing && !p.planning && !now.Before(p.nextFence) {
			st.fence(p, now)
		}
	}
}

// fence asks a partition's owner to refuse all earlier plans and to list its
// tasks of this shard. No plan to the partition is in flight at the same time,
// since its response could not be ordered relative to the list.
func (st *state) fence(p *partition, now time.Time) {
	p.fencing = true
	p.nextFence = now.Add(st.o.Tuning.FenceRetryInterval)
	request := plan.Fence{
		Partition: p.name, Author: st.author(), MinSeq: st.shard.seq.Add(1), Jobs: st.jobNames(),
	}
	owner := p.owner
	reply := new(plan.FenceReply)
	st.callOwner(owner, plan.MethodFence, &request, reply, func(st *state, err error) {
		p.fencing = false
		if err == nil && owner == p.owner {
			st.applyFenceReply(p, owner, reply)
		}
	})
}

// jobNames lists the jobs that a partition may run tasks of, including cancelled
// ones that have not ended.
func (st *state) jobNames() []string {
	names := make(map[string]struct{}, len(st.jobs))
	for key, j := range st.jobs {
		if !j.finished() {
			names[key.Job] = struct{}{}
		}
	}
	for ref := range st.surplus {
		names[ref.Task.Job] = struct{}{}
	}
	return slices.Sorted(maps.Keys(names))
}

// callOwner makes a call in its own goroutine and runs done in the goroutine of
// the shard once the call has ended.
func (st *state) callOwner(to ownership.Claim, method peer.Method, request, reply any, done func(*state, error)) {
	st.calls++
	s, ctx, incarnation := st.shard, st.ctx, st.incarnation
	go func() {
		callCtx, cancel := contextWithTimeout(ctx, s.o.Tuning.CallTimeout)
		defer cancel()
		err := s.o.Caller.Call(callCtx, to.Owner, method, request, reply)
		s.post(ctx, incarnation, func(st *state) {
			st.calls--
			done(st, err)
		})
	}()
}

// applyFenceReply applies a partition's list of its tasks.
func (st *state) applyFenceReply(p *partition, owner ownership.Claim, reply *plan.FenceReply) {
	if owner.Epoch < st.commit.partitions[p.name] {
		return // a previous owner of the shard may have sent plans to a later owner of the partition
	}
	p.fencedEpoch, p.unconfirmed = owner.Epoch, false
	st.recordPartitionEpoch(p)
	p.unaccounted = make(map[worker.ID]struct{}, len(reply.Unaccounted))
	for _, id := range reply.Unaccounted {
		p.unaccounted[id] = struct{}{}
	}
	listed := make(map[worker.Ref]struct{}, len(reply.Tasks))
	for i := range reply.Tasks {
		ev := &reply.Tasks[i]
		listed[worker.Ref{Task: ev.Task, Attempt: ev.Attempt}] = struct{}{}
		st.applyEvent(p, ev, true)
	}
	st.endMissing(p, listed)
	if len(p.unaccounted) == 0 && !p.unconfirmed {
		// A list with tasks of a later configuration leaves the partition
		// unconfirmed: these tasks are not adopted, and would start again.
		st.markAccounted(p.name)
	}
	st.round.dirty = true
}

// recordPartitionEpoch schedules the write of the epoch of a partition's owner,
// which must be durable before plans are sent there.
func (st *state) recordPartitionEpoch(p *partition) {
	if st.commit.partitions[p.name] == p.owner.Epoch {
		return
	}
	st.markPending()
	st.commit.partitions[p.name] = p.owner.Epoch
	st.commit.partitionsDirty = true
}

// endMissing ends the attempts that the partition should hold but does not list.
// Its owner lists every task that runs, starts or has an unacknowledged result. A
// missing one does not run and never will, since the fence has raised the minimum
// plan sequence number.
func (st *state) endMissing(p *partition, listed map[worker.Ref]struct{}) {
	var missing []*attempt
	st.eachAttempt(func(a *attempt) {
		if a.partition != p.name || !a.phase.mayRun() {
			return
		}
		if p.mayRunUnseen(a) {
			return
		}
		if _, ok := listed[a.ref()]; !ok {
			missing = append(missing, a)
		}
	})
	for _, a := range missing {
		// Only the owner that got the plan can tell that the task never ran. If
		// another one replied, a worker may have started the task and crashed.
		notStarted := a.phase < starting && a.sentEpoch == p.owner.Epoch
		st.endAttempt(a, &plan.Event{Task: a.task(), Attempt: a.number, Worker: a.worker,
			Lost: !notStarted, NotStarted: notStarted, Message: "not held by the owner of the workers"})
	}
}

// mayRunUnseen reports whether an attempt may run on a worker that the
// partition's owner could not reach. If the response to a plan is lost together
// with the partition's owner, the attempt may have been rebound to any worker of
// the partition. Checking the planned worker alone could start the task a second
// time.
func (p *partition) mayRunUnseen(a *attempt) bool {
	if a.unplaced {
		return len(p.unaccounted) > 0
	}
	_, ok := p.unaccounted[a.worker]
	return ok
}

// eachAttempt calls f for every attempt that has not ended.
func (st *state) eachAttempt(f func(*attempt)) {
	for _, j := range st.jobs {
		for _, a := range j.live {
			f(a)
		}
	}
	for _, a := range st.surplus {
		f(a)
	}
}

// removePartitions removes partitions that are no longer listed and have had no
// owner for so long that every task lease has expired.
func (st *state) removePartitions(now time.Time) {
	listed := map[string]struct{}{}
	for _, name := range st.o.Partitions() {
		listed[name] = struct{}{}
	}
	for name, p := range st.partitions {
		if _, ok := listed[name]; ok || p.known || now.Sub(p.ownerlessSince) < st.o.Tuning.PartitionTimeout {
			continue
		}
		p.unaccounted = nil
		st.endMissing(p, nil)
		st.returnStarts(p)
		st.markAccounted(name)
		delete(st.partitions, name)
		if _, used := st.commit.partitions[name]; used {
			st.markPending()
			delete(st.commit.partitions, name)
			st.commit.partitionsDirty = true
		}
	}
}
