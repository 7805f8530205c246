package jobs

import (
	"context"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/version/spec"
)

// fakeWorker is a VM. Its tasks keep running when the owner of its partition changes.
type fakeWorker struct {
	id              worker.ID
	partition, zone string
	capacity        spec.Resources
	tasks           map[worker.Ref]*fakeTask
	removed         bool
	unreachable     bool // by partition owners: neither fenced nor listed
}

// fakeTask is a task that runs or whose result is not acknowledged.
type fakeTask struct {
	step   plan.Step
	shard  plan.Shard
	event  plan.Event
	sent   bool // the current state was delivered
	timer  *time.Timer
	worker *fakeWorker
}

func (t *fakeTask) ended() bool { return ended(&t.event) }

type fenceState struct{ epoch, minSeq uint64 }

type fakeReservation struct {
	shard   plan.Shard
	steps   []plan.Step
	expires time.Time
}

// fakePartition is an owner of a partition, which is a rack here.
type fakePartition struct {
	c            *cell
	name         string
	epoch, seq   uint64
	caller       peer.Caller
	cancel       context.CancelFunc
	changed      bool
	shards       map[plan.Shard]fenceState
	reservations map[string]*fakeReservation
	wake         chan struct{}
}

func handle[T any](p *fakePartition, mux peer.Registrar, method peer.Method, f func(*T) any) {
	mux.Handle(method, func(_ context.Context, _ peer.Ref, payload []byte) (any, error) {
		req := new(T)
		if err := cbor.Unmarshal(payload, req); err != nil {
			return nil, err
		}
		p.c.mu.Lock()
		defer p.c.mu.Unlock()
		return f(req), nil
	})
}

func (p *fakePartition) register(mux peer.Registrar) {
	handle(p, mux, plan.MethodCommit, func(r *plan.Plan) any { return p.commit(r) })
	handle(p, mux, plan.MethodReserve, func(r *plan.Reserve) any { return p.reserve(r) })
	handle(p, mux, plan.MethodRelease, func(r *plan.ReleaseReservation) any {
		delete(p.reservations, r.Reservation)
		return nil
	})
	handle(p, mux, plan.MethodStop, func(r *plan.Stop) any { p.stop(r); return nil })
	handle(p, mux, plan.MethodAck, func(r *plan.Ack) any { p.ack(r); return nil })
	handle(p, mux, plan.MethodFence, func(r *plan.Fence) any { return p.fence(r) })
}

// owner reports whether this is still the partition's owner. An old owner still
// responds, like one that has not noticed its replacement, but refuses all plans, as
// the workers would refuse its starts.
func (p *fakePartition) owner() bool { return p.c.partitions[p.name] == p }

func (p *fakePartition) admit(author plan.Authorship, seq uint64) plan.Outcome {
	seen := p.shards[author.Shard]
	switch {
	case !p.owner():
		return plan.NotOwner
	case author.Epoch < seen.epoch, author.Epoch == seen.epoch && seq < seen.minSeq:
		return plan.Stale
	case author.Epoch > seen.epoch:
		p.shards[author.Shard] = fenceState{epoch: author.Epoch}
	}
	return plan.Accepted
}

func (p *fakePartition) all(n int, o plan.Outcome) *plan.Result {
	r := &plan.Result{Epoch: p.epoch, Steps: make([]plan.StepResult, n)}
	for i := range r.Steps {
		r.Steps[i].Outcome = o
	}
	return r
}

func (p *fakePartition) commit(r *plan.Plan) *plan.Result {
	if o := p.admit(r.Author, r.Seq); o != plan.Accepted {
		return p.all(len(r.Steps), o)
	}
	delete(p.reservations, r.Reservation)
	result := p.all(len(r.Steps), plan.Accepted)
	for i := range r.Steps {
		result.Steps[i] = p.startOrRebind(r, r.Steps[i])
	}
	if p.c.committed != nil {
		p.c.committed(p, result)
	}
	return result
}

func (p *fakePartition) free(w *fakeWorker) spec.Resources {
	free := w.capacity
	for _, t := range w.tasks {
		if !t.ended() {
			free = free.Sub(t.step.Start.Size)
		}
	}
	for _, r := range p.reservations {
		if time.Now().After(r.expires) {
			continue
		}
		for i := range r.steps {
			if r.steps[i].Worker == w.id {
				free = free.Sub(r.steps[i].Start.Size)
			}
		}
	}
	return free
}

func (p *fakePartition) start(shard plan.Shard, s *plan.Step) plan.Outcome {
	w := p.c.workers[s.Worker]
	if w == nil || w.removed || w.unreachable {
		return plan.NoWorker
	}
	ref := worker.Ref{Task: s.Start.Task, Attempt: s.Start.Attempt}
	for held, t := range w.tasks {
		if held.Task == ref.Task && !t.ended() {
			return plan.Duplicate
		}
	}
	for _, victim := range s.Victims {
		if t := w.tasks[victim]; t != nil && !t.ended() && t.step.Class.Rank() < s.Class.Rank() {
			p.c.endLocked(t, plan.Event{State: worker.Stopped, Preempted: true, Checkpointed: true})
		}
	}
	if !s.Start.Size.Fits(p.free(w)) {
		return plan.NoCapacity
	}
	t := &fakeTask{step: *s, shard: shard, worker: w}
	t.event = plan.Event{Task: ref.Task, Attempt: ref.Attempt, Worker: w.id, State: worker.Running}
	w.tasks[ref] = t
	p.c.startedLocked(t)
	if p.c.crashes != nil && p.c.crashes(s.Start.Task) {
		time.AfterFunc(10*time.Millisecond, func() {
			p.c.mu.Lock()
			defer p.c.mu.Unlock()
			p.c.crashLocked(t)
		})
		p.markChanged()
		return plan.Accepted
	}
	duration, state := p.c.runTime(s.Start)
	if s.Start.Kind != spec.Service && duration > 0 {
		t.timer = time.AfterFunc(duration, func() {
			p.c.mu.Lock()
			defer p.c.mu.Unlock()
			p.c.endLocked(t, plan.Event{State: state})
		})
	}
	p.markChanged()
	return plan.Accepted
}

func (c *cell) startedLocked(t *fakeTask) {
	id := t.step.Start.Task
	r := c.runs[id]
	if r == nil {
		r = &runRecord{firstStart: time.Now()}
		c.runs[id] = r
	}
	r.starts++
	r.running++
	if r.running > 1 {
		c.problemLocked("task %s runs %d times at once", id, r.running)
	}
	if t.step.NonIdempotent && r.starts > 1 {
		c.problemLocked("non-idempotent task %s started %d times", id, r.starts)
	}
	if r.acked && t.step.Start.Kind != spec.Service {
		c.problemLocked("finished task %s started again", id)
	}
	held := c.held[t.step.Team].Add(t.step.Start.Size)
	c.held[t.step.Team] = held
	if q := c.quotas[t.step.Team]; q.MilliCPU > 0 && held.MilliCPU > q.MilliCPU {
		c.problemLocked("team %s holds %d of a quota of %d", t.step.Team, held.MilliCPU, q.MilliCPU)
	}
}

// endLocked ends a task with the outcome given by the event.
func (c *cell) endLocked(t *fakeTask, event plan.Event) {
	if t.ended() || t.worker.tasks[worker.Ref{Task: t.event.Task, Attempt: t.event.Attempt}] != t {
		return
	}
	if t.timer != nil {
		t.timer.Stop()
	}
	r := c.runs[t.event.Task]
	r.running--
	if event.State == worker.Succeeded && !event.Lost {
		r.succeeded++
	}
	c.held[t.step.Team] = c.held[t.step.Team].Sub(t.step.Start.Size)
	event.Task, event.Attempt, event.Worker = t.event.Task, t.event.Attempt, t.event.Worker
	t.event, t.sent = event, false
	c.partitions[t.worker.partition].markChanged()
}

func (p *fakePartition) markChanged() {
	p.changed = true
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *fakePartition) reserve(r *plan.Reserve) *plan.Result {
	if o := p.admit(r.Author, r.Seq); o != plan.Accepted {
		return p.all(len(r.Steps), o)
	}
	result := p.all(len(r.Steps), plan.Accepted)
	held := &fakeReservation{shard: r.Author.Shard, expires: time.Now().Add(time.Duration(r.TTLMillis) * time.Millisecond)}
	p.reservations[r.Reservation] = held
	for i := range r.Steps {
		result.Steps[i].Worker = p.rebindReserved(r, &r.Steps[i])
		w := p.c.workers[r.Steps[i].Worker]
		if w == nil || w.removed || w.unreachable || !r.Steps[i].Start.Size.Fits(p.free(w)) {
			result.Steps[i].Outcome = plan.NoCapacity
			delete(p.reservations, r.Reservation)
			break
		}
		held.steps = append(held.steps, r.Steps[i])
	}
	p.changed = true
	return result
}

func (p *fakePartition) stop(r *plan.Stop) {
	if p.admit(r.Author, ^uint64(0)) != plan.Accepted {
		return
	}
	p.eachTask(func(t *fakeTask) {
		if slices.Contains(r.Tasks, worker.Ref{Task: t.event.Task, Attempt: t.event.Attempt}) && !t.worker.unreachable {
			p.c.endLocked(t, plan.Event{State: worker.Stopped})
		}
	})
}

func (p *fakePartition) ack(r *plan.Ack) {
	if p.admit(r.Author, ^uint64(0)) != plan.Accepted {
		return
	}
	for _, ref := range r.Tasks {
		p.eachTask(func(t *fakeTask) {
			if t.event.Task != ref.Task || t.event.Attempt != ref.Attempt || !t.ended() {
				return
			}
			if t.event.State == worker.Succeeded && !t.event.Lost {
				p.c.runs[ref.Task].acked = true
			}
			delete(t.worker.tasks, ref)
		})
	}
}

func (p *fakePartition) fence(r *plan.Fence) *plan.FenceReply {
	reply := &plan.FenceReply{}
	if p.admit(r.Author, ^uint64(0)) != plan.Accepted {
		panic("stale fence in a test")
	}
	p.shards[r.Author.Shard] = fenceState{epoch: r.Author.Epoch, minSeq: r.MinSeq}
	for _, w := range p.c.workers {
		if w.partition == p.name && w.unreachable {
			reply.Unaccounted = append(reply.Unaccounted, w.id)
		}
	}
	p.eachTask(func(t *fakeTask) {
		if (t.shard == r.Author.Shard || slices.Contains(r.Jobs, t.event.Task.Job)) && !t.worker.unreachable {
			t.shard = r.Author.Shard
			reply.Tasks = append(reply.Tasks, t.event)
		}
	})
	return reply
}

func (p *fakePartition) eachTask(f func(*fakeTask)) {
	for _, w := range p.c.workers {
		if w.partition != p.name {
			continue
		}
		for _, t := range w.tasks {
			f(t)
		}
	}
}

// takeOverLocked makes the owner report the state of all tasks, like a new owner.
func (p *fakePartition) takeOverLocked() {
	p.eachTask(func(t *fakeTask) { t.sent = false })
}

func (p *fakePartition) stateLocked() plan.State {
	s := plan.State{Partition: p.name, Epoch: p.epoch, Seq: p.seq, Full: true}
	for _, w := range p.c.workers {
		if w.partition != p.name {
			continue
		}
		state := plan.WorkerState{ID: w.id, Zone: w.zone, Rack: p.name, Capacity: w.capacity,
			Reserved: w.capacity.Sub(p.free(w)), Removed: w.removed}
		if w.unreachable {
			state.Unusable = "unreachable"
		}
		for ref, t := range w.tasks {
			if !t.ended() {
				state.Tasks = append(state.Tasks, plan.RunningTask{Ref: ref, Size: t.step.Start.Size,
					Class: t.step.Class, Team: t.step.Team, Kind: t.step.Start.Kind, NonIdempotent: t.step.NonIdempotent})
			}
		}
		s.Workers = append(s.Workers, state)
	}
	return s
}

// killWorker removes a VM with its running tasks and unacknowledged results.
func (c *cell) killWorker(id worker.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	w.removed = true
	for _, t := range w.tasks {
		if t.ended() {
			t.event.Lost, t.sent = true, false
		} else {
			c.endLocked(t, plan.Event{State: worker.Running, Lost: true})
		}
	}
	c.partitions[w.partition].markChanged()
}

// sendEvents sends every state that was not delivered yet, and repeats it until it is.
func (p *fakePartition) sendEvents(ctx context.Context) {
	for ctx.Err() == nil {
		if p.sendOnce(ctx) {
			select {
			case <-p.wake:
			case <-ctx.Done():
				return
			}
		} else {
			select {
			case <-time.After(200 * time.Millisecond):
			case <-ctx.Done():
			}
		}
	}
}

func (p *fakePartition) sendOnce(ctx context.Context) (done bool) {
	p.c.mu.Lock()
	batches := map[plan.Shard][]*fakeTask{}
	p.eachTask(func(t *fakeTask) {
		if !t.sent && !t.worker.unreachable {
			batches[t.shard] = append(batches[t.shard], t)
		}
	})
	p.c.mu.Unlock()
	done = true
	for shard, tasks := range batches {
		done = p.sendBatch(ctx, shard, tasks) && done
	}
	return done
}

func (p *fakePartition) sendBatch(ctx context.Context, shard plan.Shard, tasks []*fakeTask) bool {
	claim := p.c.claims.Claim(Resource(shard))
	events := plan.Events{Partition: p.name, Epoch: p.epoch, Shard: shard}
	p.c.mu.Lock()
	for _, t := range tasks {
		events.Events = append(events.Events, t.event)
	}
	lose := p.c.rng.Float64() < p.c.loseEvents
	p.c.mu.Unlock()
	if lose {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if err := p.caller.Call(callCtx, claim.Owner, plan.MethodEvents, &events, nil); err != nil {
		return false
	}
	p.c.mu.Lock()
	defer p.c.mu.Unlock()
	for i, t := range tasks {
		if t.event == events.Events[i] {
			t.sent = true
		}
	}
	return true
}
