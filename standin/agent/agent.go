// Package agent is a stand-in for the platform's agent on a worker VM. Batch tasks
// are timers; service instances are launched by a function in the Options. The
// stand-in checks leases and, with ComparesEpochs, epochs. It can fail all tasks and
// use more than the declared sizes.
package agent

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/standin/record"
	"fennelshunt.example/fennelshunt/version/spec"
)

// LaunchService starts a service instance and returns its address and a
// function that stops it.
type LaunchService func(s worker.Start) (address string, stop func(), err error)

// Options of an Agent.
type Options struct {
	ID       worker.ID
	Zone     string
	Rack     string
	Capacity spec.Resources
	// ComparesEpochs makes the agent refuse leases with an epoch lower than the highest
	// that it has received.
	ComparesEpochs bool
	Launch         LaunchService // if nil, service instances run without an address
	// Recorder may be nil.
	Recorder *record.Recorder
}

type lease struct {
	ttl, taskTTL time.Duration
	renewed      time.Time
	revoked      bool
}

func (l *lease) valid(now time.Time) bool { return !l.revoked && now.Sub(l.renewed) < l.ttl }

// Agent implements worker.Agent. One mutex guards its state; calls hold it briefly.
type Agent struct {
	o Options

	mu       sync.Mutex
	leases   map[worker.LeaseID]*lease
	runs     map[worker.Ref]*run
	seq      uint64
	maxEpoch uint64
	draining bool
	failAll  bool
	closed   bool
}

// New returns an agent without tasks.
func New(o Options) *Agent {
	o.Recorder.SetCapacity(o.ID, o.Capacity)
	return &Agent{o: o, leases: map[worker.LeaseID]*lease{}, runs: map[worker.Ref]*run{}}
}

// SetFailAll makes all tasks fail that start from now on.
func (a *Agent) SetFailAll(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.failAll = on
}

// SetDraining marks the VM as leaving.
func (a *Agent) SetDraining(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.draining = on
}

// Serve stops the tasks whose task lease has expired, until ctx ends. Then it ends
// all tasks, as the loss of the VM does.
func (a *Agent) Serve(ctx context.Context) error {
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			a.Kill()
			return ctx.Err()
		case <-tick.C:
			a.expireTasks()
		}
	}
}

// Kill ends all tasks without a result, as the loss of the VM does.
func (a *Agent) Kill() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	for ref, r := range a.runs {
		if !r.task.State.Ended() {
			a.end(r, worker.Stopped, "VM lost")
		}
		delete(a.runs, ref)
	}
}

func (a *Agent) expireTasks() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	for _, r := range a.runs {
		l := a.leases[r.task.Lease]
		if !r.task.State.Ended() && l != nil && now.Sub(l.renewed) >= l.taskTTL {
			a.end(r, worker.Stopped, "task lease ran out")
		}
	}
}

// Inventory implements worker.Agent.
func (a *Agent) Inventory(context.Context) (worker.Inventory, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return worker.Inventory{}, worker.ErrUnreachable
	}
	inv := worker.Inventory{
		Worker: a.o.ID, Zone: a.o.Zone, Rack: a.o.Rack, Capacity: a.o.Capacity,
		Draining: a.draining, Seq: a.seq,
	}
	now := time.Now()
	for id, l := range a.leases {
		if l.valid(now) {
			inv.Leases = append(inv.Leases, id)
		}
	}
	for _, r := range a.runs {
		inv.Tasks = append(inv.Tasks, r.report(now))
	}
	return inv, nil
}

// OpenLease implements worker.Agent.
func (a *Agent) OpenLease(_ context.Context, req worker.OpenLease) (worker.LeaseID, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return "", worker.ErrUnreachable
	}
	if a.o.ComparesEpochs {
		if req.Epoch < a.maxEpoch {
			return "", worker.ErrStaleEpoch
		}
		a.maxEpoch = req.Epoch
	}
	id := worker.LeaseID(uuid.NewString())
	a.leases[id] = &lease{ttl: req.TTL.Std(), taskTTL: req.TaskTTL.Std(), renewed: time.Now()}
	return id, nil
}

// lease returns the lease if it is valid. The caller holds mu.
func (a *Agent) lease(id worker.LeaseID) (*lease, error) {
	if a.closed {
		return nil, worker.ErrUnreachable
	}
	l := a.leases[id]
	if l == nil || !l.valid(time.Now()) {
		return nil, worker.ErrLeaseInvalid
	}
	return l, nil
}

// Adopt implements worker.Agent.
func (a *Agent) Adopt(_ context.Context, id worker.LeaseID, tasks []worker.Ref) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, err := a.lease(id); err != nil {
		return err
	}
	for _, ref := range tasks {
		if r := a.runs[ref]; r != nil {
			r.task.Lease = id
			a.touch(r)
		}
	}
	return nil
}

// RevokeLease implements worker.Agent.
func (a *Agent) RevokeLease(_ context.Context, id worker.LeaseID) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return worker.ErrUnreachable
	}
	if l := a.leases[id]; l != nil {
		l.revoked = true
	}
	return nil
}

// Sync implements worker.Agent.
func (a *Agent) Sync(_ context.Context, req worker.SyncRequest) (worker.SyncReply, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	l, err := a.lease(req.Lease)
	if err != nil {
		return worker.SyncReply{}, err
	}
	now := time.Now()
	l.renewed = now
	for _, ref := range req.Acks {
		if r := a.runs[ref]; r != nil && r.task.State.Ended() {
			delete(a.runs, ref)
		}
	}
	for _, ref := range req.Stops {
		a.stop(ref, "stopped")
	}
	reply := worker.SyncReply{Seq: a.seq, Draining: a.draining}
	for _, r := range a.runs {
		if r.seq > req.Since {
			reply.Changed = append(reply.Changed, r.report(now))
		}
	}
	return reply, nil
}

// Start implements worker.Agent.
func (a *Agent) Start(_ context.Context, id worker.LeaseID, tasks []worker.Start) ([]worker.StartReply, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, err := a.lease(id); err != nil {
		return nil, err
	}
	replies := make([]worker.StartReply, len(tasks))
	for i, s := range tasks {
		replies[i] = worker.StartReply{Task: s.Task, Refused: a.startOne(id, s)}
	}
	return replies, nil
}

// Stop implements worker.Agent.
func (a *Agent) Stop(_ context.Context, id worker.LeaseID, ref worker.Ref) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, err := a.lease(id); err != nil {
		return err
	}
	a.stop(ref, "stopped")
	return nil
}

// Throttle implements worker.Agent. The stand-in lowers the reported usage but does not
// slow the run down.
func (a *Agent) Throttle(_ context.Context, id worker.LeaseID, ref worker.Ref, milliCPU int64) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, err := a.lease(id); err != nil {
		return err
	}
	r := a.runs[ref]
	if r == nil || r.task.State.Ended() {
		return nil
	}
	r.task.State, r.task.Usage = worker.Running, usage(r.start)
	if milliCPU > 0 {
		r.task.State = worker.Throttled
		r.task.Usage.MilliCPU = min(r.task.Usage.MilliCPU, milliCPU)
	}
	a.touch(r)
	return nil
}

// Checkpoint implements worker.Agent.
func (a *Agent) Checkpoint(_ context.Context, id worker.LeaseID, ref worker.Ref) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, err := a.lease(id); err != nil {
		return err
	}
	if r := a.runs[ref]; r != nil && !r.task.State.Ended() {
		a.o.Recorder.SaveWork(r.task.Task, r.work(time.Now()))
		a.end(r, worker.Stopped, "checkpointed")
	}
	return nil
}

var _ worker.Agent = (*Agent)(nil)
