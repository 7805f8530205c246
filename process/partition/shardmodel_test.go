package partition

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/ownership"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/version/spec"
)

// progress is the state that all owners of the shard share, as through the store.
type progress struct {
	mu     sync.Mutex
	done   map[int]bool
	issued int
	closed bool // no more tasks are issued
}

// openTasks is how many tasks are unfinished at a time.
const openTasks = 8

// issue issues new tasks up to openTasks unfinished ones and returns their
// numbers, from inclusive, to exclusive.
func (p *progress) issue() (from, to int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	from = p.issued
	for !p.closed && p.issued-len(p.done) < openTasks {
		p.issued++
	}
	return from, p.issued
}

// close stops issuing tasks and returns how many are unfinished.
func (p *progress) close() (open int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	return p.issued - len(p.done)
}

func (p *progress) finish(i int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.done[i] = true
}

func (p *progress) finished(i int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done[i]
}

type modelState int

const (
	uncertain modelState = iota // a new owner has not had replies of all partitions yet
	idle
	assigned // may run in a partition
)

type modelTask struct {
	state     modelState
	partition string
	worker    worker.ID // empty while it may be on any worker of the partition
	attempt   int
}

// mayRunOn reports whether the task may run on one of the workers.
func (t *modelTask) mayRunOn(ids []worker.ID) bool {
	return t.worker == "" && len(ids) > 0 || slices.Contains(ids, t.worker)
}

// modelPartition is a shard's record of a partition.
type modelPartition struct {
	claim       ownership.Claim
	fenced      uint64 // epoch of the owner that replied to the last fence
	uncertain   bool
	unaccounted []worker.ID
}

// modelShard is a minimal owner of a shard that follows the rules of package
// plan: a task is started again only after it is known not to run. While
// staleClaims is set it does not look up claims and uses the last ones it saw.
type modelShard struct {
	c           *cell
	ref         peer.Ref
	epoch       uint64
	caller      peer.Caller
	rng         *rand.Rand
	progress    *progress
	cancel      context.CancelFunc
	staleClaims atomic.Bool
	seq         uint64
	attempts    int
	partitions  map[string]*modelPartition

	mu    sync.Mutex
	tasks map[int]*modelTask
	acks  map[string][]worker.Ref
}

func newModelShard(c *cell, epoch uint64, durable *progress, seed uint64) *modelShard {
	s := &modelShard{
		c: c, epoch: epoch, progress: durable,
		ref:        peer.Ref{ID: peer.MemberID(fmt.Sprintf("shard-%d", epoch)), Incarnation: 1},
		rng:        rand.New(rand.NewPCG(seed, epoch)),
		partitions: make(map[string]*modelPartition),
		tasks:      make(map[int]*modelTask),
		acks:       make(map[string][]worker.Ref),
	}
	caller, mux := c.net.Node(s.ref)
	s.caller = caller
	mux.Handle(plan.MethodEvents, func(_ context.Context, _ peer.Ref, payload []byte) (any, error) {
		var msg plan.Events
		if err := peer.Unmarshal(payload, &msg); err != nil {
			return nil, err
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, e := range msg.Events {
			s.apply(msg.Partition, e)
		}
		return nil, nil
	})
	return s
}

func (s *modelShard) run() {
	ctx, cancel := context.WithCancel(s.c.ctx)
	s.cancel = cancel
	for ctx.Err() == nil {
		s.issue()
		for _, name := range s.c.partitionNames() {
			if s.partitions[name] == nil {
				s.partitions[name] = &modelPartition{uncertain: true}
			}
			s.lookUp(name)
			s.fenceIfNeeded(ctx, name)
			s.sendAcks(ctx, name)
		}
		s.settleUncertain()
		s.place(ctx)
		time.Sleep(500 * time.Millisecond)
	}
}

// issue adds new tasks. Those that another owner of the shard issued may run
// anywhere until every partition has been fenced.
func (s *modelShard) issue() {
	from, to := s.progress.issue()
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range to {
		if s.tasks[i] != nil {
			continue
		}
		s.tasks[i] = &modelTask{}
		if i >= from {
			s.tasks[i].state = idle
			continue
		}
		for _, p := range s.partitions {
			p.uncertain = true
		}
	}
}

func (s *modelShard) lookUp(name string) {
	p := s.partitions[name]
	if s.rng.IntN(40) == 0 {
		p.uncertain = true // as after a lost reply
	}
	if s.staleClaims.Load() {
		return
	}
	d := s.c.anyDaemon(s.rng)
	if claim, ok := d.manager.Owner(resourceOf(name)); ok && claim.Epoch > p.claim.Epoch {
		p.claim = claim
		p.uncertain = true
	}
}

func (s *modelShard) authorship() plan.Authorship {
	return plan.Authorship{Shard: testShard, Epoch: s.epoch, Owner: s.ref}
}

// callWithLateArrival returns ErrUnknown after two seconds, but the message may
// still arrive later.
func callWithLateArrival[Resp any](ctx context.Context, s *modelShard, p *modelPartition, m peer.Method, req any) (Resp, error) {
	type answer struct {
		value Resp
		err   error
	}
	done := make(chan answer, 1)
	to := p.claim.Owner
	go func() {
		ctx, cancel := context.WithTimeout(ctx, time.Minute)
		defer cancel()
		var a answer
		a.err = s.caller.Call(ctx, to, m, req, &a.value)
		done <- a
	}()
	select {
	case a := <-done:
		return a.value, a.err
	case <-time.After(2 * time.Second):
		return *new(Resp), peer.ErrUnknown
	}
}

func (s *modelShard) fenceIfNeeded(ctx context.Context, name string) {
	p := s.partitions[name]
	if p.claim.Epoch == 0 || (!p.uncertain && len(p.unaccounted) == 0) {
		return
	}
	s.seq++
	reply, err := callWithLateArrival[plan.FenceReply](ctx, s, p, plan.MethodFence, plan.Fence{
		Partition: name, Author: s.authorship(), MinSeq: s.seq, Jobs: []string{"survey"},
	})
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p.fenced, p.uncertain, p.unaccounted = p.claim.Epoch, false, reply.Unaccounted
	listed := make(map[worker.Ref]bool)
	for _, e := range reply.Tasks {
		listed[worker.Ref{Task: e.Task, Attempt: e.Attempt}] = true
		s.apply(name, e)
	}
	for i, t := range s.tasks {
		ref := worker.Ref{Task: taskID(i), Attempt: t.attempt}
		if t.state == assigned && t.partition == name && !listed[ref] && !t.mayRunOn(p.unaccounted) {
			t.state = idle
		}
	}
}

// settleUncertain makes the uncertain tasks of a new owner idle once every
// partition has replied to a fence and every worker is accounted for.
func (s *modelShard) settleUncertain() {
	for _, p := range s.partitions {
		if p.fenced == 0 || p.uncertain || len(p.unaccounted) > 0 {
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.tasks {
		if t.state == uncertain {
			t.state = idle
		}
	}
}

// apply processes one event. The caller holds mu.
func (s *modelShard) apply(partition string, e plan.Event) {
	t := s.tasks[e.Task.Index]
	if t == nil {
		t = &modelTask{}
		s.tasks[e.Task.Index] = t
	}
	ended := e.Lost || e.NotStarted || e.State.Ended()
	if ended && !e.Lost && !e.NotStarted {
		if e.State == worker.Succeeded {
			s.progress.finish(e.Task.Index)
		}
		s.acks[partition] = append(s.acks[partition], worker.Ref{Task: e.Task, Attempt: e.Attempt})
	}
	switch {
	case !ended && (t.state == uncertain || t.attempt < e.Attempt):
		*t = modelTask{state: assigned, partition: partition, worker: e.Worker, attempt: e.Attempt}
	case !ended && t.state == assigned && t.attempt == e.Attempt:
		t.worker = e.Worker
	case ended && t.state == assigned && t.attempt == e.Attempt:
		t.state = idle
	}
}

func (s *modelShard) sendAcks(ctx context.Context, name string) {
	s.mu.Lock()
	refs := s.acks[name]
	delete(s.acks, name)
	s.mu.Unlock()
	if len(refs) == 0 {
		return
	}
	_, err := callWithLateArrival[struct{}](ctx, s, s.partitions[name], plan.MethodAck, plan.Ack{Partition: name, Author: s.authorship(), Tasks: refs})
	if err != nil {
		s.mu.Lock()
		s.acks[name] = append(s.acks[name], refs...)
		s.mu.Unlock()
	}
}

// place proposes one start for each idle task.
func (s *modelShard) place(ctx context.Context) {
	names := s.c.partitionNames()
	for i := range len(s.tasks) {
		name := names[s.rng.IntN(len(names))]
		p := s.partitions[name]
		s.mu.Lock()
		t := s.tasks[i]
		ok := t != nil && t.state == idle && !s.progress.finished(i) && p.fenced == p.claim.Epoch && !p.uncertain
		if !ok {
			s.mu.Unlock()
			continue
		}
		workers := s.c.workersOf(name)
		s.attempts++
		number := int(s.epoch)*100000 + s.attempts
		step := step(i, workers[s.rng.IntN(len(workers))])
		*t = modelTask{state: assigned, partition: name, attempt: number}
		s.mu.Unlock()
		step.Start.Attempt = number
		step.Start.RunTime = spec.Duration(time.Duration(1+s.rng.IntN(120)) * time.Second)
		s.commit(ctx, name, t, step)
	}
}

func (s *modelShard) commit(ctx context.Context, name string, t *modelTask, step plan.Step) {
	p := s.partitions[name]
	s.seq++
	r, err := callWithLateArrival[plan.Result](ctx, s, p, plan.MethodCommit, plan.Plan{
		Partition: name, Author: s.authorship(), Seq: s.seq, Steps: []plan.Step{step}, MayRebind: true,
	})
	if err != nil {
		p.uncertain = true // a fence shows whether it was committed
		return
	}
	if r.Steps[0].Outcome == plan.Accepted {
		s.accepted(t, &step, &r.Steps[0])
		return
	}
	if r.Steps[0].Outcome == plan.NotOwner || r.Steps[0].Outcome == plan.Duplicate {
		p.uncertain = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.state == assigned && t.attempt == step.Start.Attempt {
		t.state = idle
	}
}

// accepted records the worker of an accepted step, unless the task has ended.
func (s *modelShard) accepted(t *modelTask, step *plan.Step, r *plan.StepResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.state != assigned || t.attempt != step.Start.Attempt {
		return
	}
	t.worker = step.Worker
	if r.Worker != "" {
		t.worker = r.Worker
	}
}

func (c *cell) partitionNames() []string {
	var names []string
	for i := range c.racks {
		names = append(names, PartitionOf(testZone, rackName(i)))
	}
	return names
}

func (c *cell) workersOf(partition string) []worker.ID {
	var ids []worker.ID
	for i := range c.workers {
		if PartitionOf(testZone, rackName(i%c.racks)) == partition {
			ids = append(ids, workerID(i))
		}
	}
	return ids
}
