package agenttest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/version/spec"
)

// Dialer returns a daemon's dialer for the workers of the rack. Cuts, pauses and
// faults apply to its calls.
func (r *Rack) Dialer(daemon string) worker.Dialer { return dialer{r, daemon} }

type dialer struct {
	rack   *Rack
	daemon string
}

// Dial implements worker.Dialer; the address is the worker's id.
func (d dialer) Dial(address string) worker.Agent {
	return &client{rack: d.rack, daemon: d.daemon, id: worker.ID(address)}
}

// client is one daemon's connection to an agent.
type client struct {
	rack   *Rack
	daemon string
	id     worker.ID
}

// callFaults are the network faults that apply to one call.
type callFaults struct {
	unreachable         bool
	loseCall, loseReply bool
	resumed             chan struct{} // closed when the daemon resumes; nil: not paused
	before, after       time.Duration
}

func (c *client) drawFaults() callFaults {
	r := c.rack
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls[c.daemon]++
	a := r.agents[c.id]
	if a == nil || a.down || r.cuts[cut{c.daemon, c.id}] {
		return callFaults{unreachable: true}
	}
	f := r.faults
	r.nonce++
	rng := rand.New(rand.NewPCG(f.Seed, r.nonce))
	p := callFaults{resumed: r.paused[c.daemon]}
	p.loseCall = rng.Float64() < f.LoseCalls
	p.loseReply = rng.Float64() < f.LoseAnswers
	if f.MaxDelay > 0 {
		p.before = time.Duration(rng.Int64N(int64(f.MaxDelay)))
		p.after = time.Duration(rng.Int64N(int64(f.MaxDelay)))
	}
	return p
}

// do runs f at the agent. A call in flight is not stopped when the caller's
// context ends: it may still take effect later.
func do[T any](ctx context.Context, c *client, f func(a *agent) (T, error)) (T, error) {
	var zero T
	p := c.drawFaults()
	if p.unreachable {
		return zero, worker.ErrUnreachable
	}
	type answer struct {
		value T
		err   error
	}
	done := make(chan answer, 1)
	go func() {
		if p.resumed != nil {
			<-p.resumed
		}
		time.Sleep(p.before)
		if p.loseCall {
			return
		}
		r := c.rack
		r.mu.Lock()
		a := r.agents[c.id]
		if a.down || r.cuts[cut{c.daemon, c.id}] {
			r.mu.Unlock()
			return
		}
		r.advance()
		v, err := f(a)
		r.mu.Unlock()
		time.Sleep(p.after)
		if !p.loseReply {
			done <- answer{v, err}
		}
	}()
	select {
	case a := <-done:
		return a.value, a.err
	case <-ctx.Done():
		return zero, fmt.Errorf("%w: %w", worker.ErrUnknown, ctx.Err())
	}
}

// Inventory implements worker.Agent.
func (c *client) Inventory(ctx context.Context) (worker.Inventory, error) {
	return do(ctx, c, func(a *agent) (worker.Inventory, error) {
		inv := worker.Inventory{Worker: a.id, Capacity: a.capacity, Draining: a.draining, Seq: a.seq}
		for id, l := range a.leases {
			if l.valid(time.Now()) {
				inv.Leases = append(inv.Leases, id)
			}
		}
		for _, run := range a.runs {
			inv.Tasks = append(inv.Tasks, run.report())
		}
		return inv, nil
	})
}

func (run *run) report() worker.Task {
	t := run.task
	if !t.State.Ended() && run.start.RunTime > 0 {
		t.Work = min(1, run.resumedWork+float64(time.Since(run.started))/float64(run.start.RunTime))
	}
	return t
}

// OpenLease implements worker.Agent.
func (c *client) OpenLease(ctx context.Context, req worker.OpenLease) (worker.LeaseID, error) {
	return do(ctx, c, func(a *agent) (worker.LeaseID, error) {
		if a.checksEpochs && req.Epoch < a.maxEpoch {
			return "", worker.ErrStaleEpoch
		}
		a.maxEpoch = max(a.maxEpoch, req.Epoch)
		c.rack.leases++
		id := worker.LeaseID(fmt.Sprintf("%s-%d-by-%s", a.id, c.rack.leases, c.daemon))
		a.leases[id] = &lease{ttl: req.TTL.Std(), taskTTL: req.TaskTTL.Std(), renewed: time.Now()}
		return id, nil
	})
}

// withLease runs f if the lease is valid.
func withLease[T any](ctx context.Context, c *client, id worker.LeaseID, f func(a *agent, l *lease) (T, error)) (T, error) {
	return do(ctx, c, func(a *agent) (T, error) {
		l := a.leases[id]
		if l == nil || !l.valid(time.Now()) {
			var zero T
			return zero, worker.ErrLeaseInvalid
		}
		return f(a, l)
	})
}

// Adopt implements worker.Agent.
func (c *client) Adopt(ctx context.Context, id worker.LeaseID, tasks []worker.Ref) error {
	_, err := withLease(ctx, c, id, func(a *agent, _ *lease) (struct{}, error) {
		for _, ref := range tasks {
			if run := a.runs[ref]; run != nil {
				run.task.Lease = id
				a.touch(run)
			}
		}
		return struct{}{}, nil
	})
	return err
}

// RevokeLease implements worker.Agent.
func (c *client) RevokeLease(ctx context.Context, id worker.LeaseID) error {
	_, err := do(ctx, c, func(a *agent) (struct{}, error) {
		if l := a.leases[id]; l != nil {
			l.revoked = true
		}
		return struct{}{}, nil
	})
	return err
}

// Sync implements worker.Agent.
func (c *client) Sync(ctx context.Context, req worker.SyncRequest) (worker.SyncReply, error) {
	return withLease(ctx, c, req.Lease, func(a *agent, l *lease) (worker.SyncReply, error) {
		l.renewed = time.Now()
		for _, ref := range req.Acks {
			if run := a.runs[ref]; run != nil && run.task.State.Ended() {
				if run.task.State == worker.Succeeded {
					c.rack.ackedSuccesses[ref.Task]++
				}
				delete(a.runs, ref)
			}
		}
		for _, ref := range req.Stops {
			if run := a.runs[ref]; run != nil && !run.task.State.Ended() {
				a.end(run, worker.Stopped, "stopped")
			}
		}
		reply := worker.SyncReply{Seq: a.seq, Draining: a.draining}
		for _, run := range a.runs {
			if run.seq > req.Since {
				reply.Changed = append(reply.Changed, run.report())
			}
		}
		return reply, nil
	})
}

// Start implements worker.Agent.
func (c *client) Start(ctx context.Context, id worker.LeaseID, tasks []worker.Start) ([]worker.StartReply, error) {
	return withLease(ctx, c, id, func(a *agent, _ *lease) ([]worker.StartReply, error) {
		replies := make([]worker.StartReply, len(tasks))
		for i, s := range tasks {
			replies[i].Task = s.Task
			switch {
			case a.runs[worker.Ref{Task: s.Task, Attempt: s.Attempt}] != nil:
				replies[i].Refused = "already started"
			case a.draining:
				replies[i].Refused = "VM is leaving"
			default:
				c.rack.begin(a, id, s)
			}
		}
		return replies, nil
	})
}

// running calls f on the task if it runs.
func (c *client) running(ctx context.Context, id worker.LeaseID, ref worker.Ref, f func(a *agent, run *run)) error {
	_, err := withLease(ctx, c, id, func(a *agent, _ *lease) (struct{}, error) {
		if run := a.runs[ref]; run != nil && !run.task.State.Ended() {
			f(a, run)
		}
		return struct{}{}, nil
	})
	return err
}

// Stop implements worker.Agent.
func (c *client) Stop(ctx context.Context, id worker.LeaseID, ref worker.Ref) error {
	return c.running(ctx, id, ref, func(a *agent, run *run) { a.end(run, worker.Stopped, "stopped") })
}

// Throttle implements worker.Agent.
func (c *client) Throttle(ctx context.Context, id worker.LeaseID, ref worker.Ref, milliCPU int64) error {
	return c.running(ctx, id, ref, func(a *agent, run *run) {
		run.task.State, run.task.Usage = worker.Running, a.usage[ref.Task]
		if milliCPU > 0 {
			run.task.State = worker.Throttled
			run.task.Usage.MilliCPU = min(run.task.Usage.MilliCPU, milliCPU)
		}
		a.touch(run)
	})
}

// Checkpoint implements worker.Agent.
func (c *client) Checkpoint(ctx context.Context, id worker.LeaseID, ref worker.Ref) error {
	return c.running(ctx, id, ref, func(a *agent, run *run) {
		if run.start.Kind != spec.Service {
			c.rack.checkpoints[ref.Task] = run.report().Work
		}
		a.end(run, worker.Stopped, "checkpointed")
	})
}
