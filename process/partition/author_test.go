package partition

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/ownership"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/version/spec"
)

// author stands in for the owner of a shard: it proposes plans and records events.
type author struct {
	c      *cell
	ref    peer.Ref
	caller peer.Caller
	epoch  uint64
	seq    uint64

	mu     sync.Mutex
	events []plan.Event
}

func newAuthor(c *cell) *author {
	a := &author{c: c, ref: peer.Ref{ID: "author", Incarnation: 1}, epoch: 1}
	caller, mux := c.net.Node(a.ref)
	a.caller = caller
	mux.Handle(plan.MethodEvents, func(_ context.Context, _ peer.Ref, payload []byte) (any, error) {
		var msg plan.Events
		if err := peer.Unmarshal(payload, &msg); err != nil {
			return nil, err
		}
		a.mu.Lock()
		defer a.mu.Unlock()
		a.events = append(a.events, msg.Events...)
		return nil, nil
	})
	for _, d := range c.daemons {
		d.manager.Observe(ownership.Claim{Resource: shardResource(testShard), Owner: a.ref, Epoch: 1})
	}
	return a
}

func (a *author) authorship() plan.Authorship {
	return plan.Authorship{Shard: testShard, Epoch: a.epoch, Owner: a.ref}
}

func taskID(i int) spec.TaskID { return spec.TaskID{Job: "survey", Generation: 1, Index: i} }

func ref(i int) worker.Ref { return worker.Ref{Task: taskID(i), Attempt: 1} }

// step returns a step that starts task i on a worker.
func step(i int, id worker.ID) plan.Step {
	return plan.Step{Worker: id, Class: spec.Normal, Start: worker.Start{
		Task: taskID(i), Attempt: 1, Kind: spec.Batch, Size: small, RunTime: spec.Duration(time.Hour),
	}}
}

func (a *author) call(d *daemon, m peer.Method, req, resp any) error {
	ctx, cancel := context.WithTimeout(a.c.ctx, 3*time.Second)
	defer cancel()
	return a.caller.Call(ctx, d.ref, m, req, resp)
}

func (a *author) commit(d *daemon, steps ...plan.Step) []plan.StepResult {
	a.seq++
	var result plan.Result
	err := a.call(d, plan.MethodCommit, plan.Plan{Partition: testPartition, Author: a.authorship(), Seq: a.seq, Steps: steps}, &result)
	if err != nil {
		return refuseAll(len(steps), plan.Outcome("error"), err.Error())
	}
	return result.Steps
}

// mustStart commits steps and waits until their tasks run.
func (a *author) mustStart(d *daemon, steps ...plan.Step) {
	a.c.t.Helper()
	for i, r := range a.commit(d, steps...) {
		require.Equal(a.c.t, plan.Accepted, r.Outcome, "step %d: %s", i, r.Reason)
	}
	for _, s := range steps {
		a.c.eventually(5*time.Second, "task runs", func() bool {
			return slices.Contains(a.c.rack.Running(s.Worker), s.Start.Task)
		})
	}
}

func (a *author) fence(d *daemon) (plan.FenceReply, error) { return a.fenceFor(d, "survey") }

// fenceFor sends a fence that names one job.
func (a *author) fenceFor(d *daemon, job string) (plan.FenceReply, error) {
	a.seq++
	var reply plan.FenceReply
	err := a.call(d, plan.MethodFence, plan.Fence{Partition: testPartition, Author: a.authorship(), MinSeq: a.seq, Jobs: []string{job}}, &reply)
	return reply, err
}

// received reports whether an event that f accepts has been received.
func (a *author) received(f func(plan.Event) bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.ContainsFunc(a.events, f)
}
