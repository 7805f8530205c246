package partition

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/version/spec"
)

const (
	// flushInterval is the minimum time between two publications of changes of
	// workers, so that they are batched. Changes of endpoints are published at
	// once, because callers' requests are routed by them.
	flushInterval = 200 * time.Millisecond
	// maxStateWait bounds one long poll.
	maxStateWait = 30 * time.Second
)

// publisher numbers the changes of a partition and wakes pending long polls.
type publisher struct {
	name      string
	epoch     uint64
	seq       uint64 // of the last change
	flushed   uint64 // seq that readers may have seen
	lastFlush time.Time
	changed   chan struct{}

	endpointsDirty bool
	endpointsSeq   uint64
	removed        []removedWorker // recently removed workers, in order
	// removedSince is the position after which removed is complete.
	removedSince uint64
}

// removedWorker is a removed worker with the position of its removal.
type removedWorker struct {
	id worker.ID
	at uint64
}

// maxRemovedWorkers bounds the list; a reader whose position is older gets the
// full state.
const maxRemovedWorkers = 512

func (p *publisher) init(name string, epoch uint64) {
	p.name, p.epoch = name, epoch
	p.seq = 1 // 0 requests the full state
	p.endpointsSeq = 1
	p.changed = make(chan struct{})
}

func (p *publisher) next() uint64 {
	p.seq++
	return p.seq
}

func (p *publisher) workerRemoved(id worker.ID) {
	p.removed = append(p.removed, removedWorker{id, p.next()})
	if len(p.removed) > maxRemovedWorkers {
		half := len(p.removed) / 2
		p.removedSince = p.removed[half-1].at
		p.removed = append(p.removed[:0], p.removed[half:]...)
	}
}

// flush wakes the readers if there were changes, at most every flushInterval
// unless endpoints changed.
func (p *publisher) flush(now time.Time) {
	if p.endpointsDirty {
		p.endpointsDirty = false
		p.endpointsSeq = p.next()
		p.lastFlush = time.Time{}
	}
	if p.seq == p.flushed || now.Sub(p.lastFlush) < flushInterval {
		return
	}
	p.lastFlush = now
	p.flushed = p.seq
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *publisher) close() { close(p.changed) }

// poll is the result of one read of the state.
type poll struct {
	state   plan.State
	ready   bool
	changed <-chan struct{}
}

// readState returns the changes after the request's position, or a channel that
// is closed at the next change if there are none.
func (o *owner) readState(req plan.StateRequest) poll {
	p := &o.state
	since := req.Since
	if req.Epoch != p.epoch {
		since = 0
	}
	if since != 0 && since >= p.flushed {
		return poll{changed: p.changed}
	}
	return poll{ready: true, state: o.stateSince(since)}
}

func (o *owner) stateSince(since uint64) plan.State {
	p := &o.state
	if since < p.removedSince {
		since = 0
	}
	s := plan.State{Partition: p.name, Epoch: p.epoch, Seq: p.seq, Full: since == 0}
	for _, n := range o.nodes {
		if n.changed > since {
			s.Workers = append(s.Workers, o.workerState(n, since))
		}
	}
	listed := make(map[worker.ID]bool)
	for _, d := range p.removed {
		if since != 0 && d.at > since && o.nodes[d.id] == nil && !listed[d.id] {
			listed[d.id] = true
			s.Workers = append(s.Workers, plan.WorkerState{ID: d.id, Removed: true})
		}
	}
	slices.SortFunc(s.Workers, func(a, b plan.WorkerState) int { return strings.Compare(string(a.ID), string(b.ID)) })
	if s.Full || p.endpointsSeq > since {
		s.Endpoints, s.EndpointsChanged = o.endpoints(), true
	}
	return s
}

// workerState returns the changes of a worker after a position, or its full
// state if the changes are not recorded that far back.
func (o *owner) workerState(n *node, since uint64) plan.WorkerState {
	w := plan.WorkerState{
		ID:       n.id,
		Zone:     n.vm.Zone,
		Rack:     n.vm.Rack,
		Capacity: n.capacity,
		Reserved: o.ledger.Held(n.id),
		Unusable: n.unusable(),
	}
	if w.Unusable == "" && !o.inMemo[n.id] {
		w.Unusable = notInMemo
	}
	w.Partial = since != 0 && since >= n.ended.since && since >= n.added
	for _, t := range n.tasks {
		if t.live() && (!w.Partial || t.changed > since) {
			w.Tasks = append(w.Tasks, t.runningTask())
		}
	}
	if w.Partial {
		for _, d := range n.ended.list {
			if d.at > since {
				w.Ended = append(w.Ended, d.ref)
			}
		}
	}
	slices.SortFunc(w.Tasks, func(a, b plan.RunningTask) int { return compareTasks(a.Ref.Task, b.Ref.Task) })
	return w
}

func compareTasks(a, b spec.TaskID) int {
	return cmp.Or(strings.Compare(a.Job, b.Job), cmp.Compare(a.Generation, b.Generation), cmp.Compare(a.Index, b.Index))
}

func (t *task) runningTask() plan.RunningTask {
	r := plan.RunningTask{
		Ref: t.ref, Size: t.start.Size, Class: t.class, Team: t.team, Kind: t.start.Kind,
		NonIdempotent: t.nonIdempotent, Work: t.report.Work,
	}
	if !t.started.IsZero() {
		r.StartedMillis = time.Since(t.started).Milliseconds()
	}
	return r
}

// endpoints lists the running service instances whose address is known.
func (o *owner) endpoints() []plan.Endpoint {
	var list []plan.Endpoint
	for _, n := range o.nodes {
		for _, t := range n.tasks {
			if t.start.Kind != spec.Service || t.phase != running || t.report.Address == "" {
				continue
			}
			list = append(list, plan.Endpoint{
				Service: t.start.Service, Task: t.ref.Task, Attempt: t.ref.Attempt,
				Worker: n.id, Zone: n.vm.Zone, Address: t.report.Address,
				Slots: t.start.Slots, Conns: t.start.Conns,
				Leaving: t.leaving || t.stopWanted || n.draining || t.limitsUnknown,
			})
		}
	}
	slices.SortFunc(list, func(a, b plan.Endpoint) int { return compareTasks(a.Task, b.Task) })
	return list
}

// serveState serves a long poll for the state.
func (h *Host) serveState(ctx context.Context, req plan.StateRequest) (any, error) {
	o, err := h.owner(req.Partition)
	if err != nil {
		return nil, err
	}
	wait := min(time.Duration(req.WaitMillis)*time.Millisecond, maxStateWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		p, err := call(ctx, o, func() poll { return o.readState(req) })
		if err != nil {
			return nil, err
		}
		if p.ready {
			return p.state, nil
		}
		select {
		case <-p.changed:
		case <-timer.C:
			return plan.State{Partition: req.Partition, Epoch: req.Epoch, Seq: req.Since}, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// serveFence refuses older authors from now on and lists the shard's tasks in the
// partition. The claim is read from the store after the fence is set: otherwise
// a daemon that lost the partition, and has not noticed, could answer although
// the present owner has not received the fence.
func (h *Host) serveFence(ctx context.Context, req plan.Fence) (any, error) {
	o, err := h.owner(req.Partition)
	if err != nil {
		return nil, err
	}
	if !h.fences.raise(req.Author.Shard, req.Author.Epoch, req.MinSeq) {
		h.o.Metrics.Stale.Add(1)
		return nil, &peer.RemoteError{Code: CodeStale, Message: "the shard was taken over"}
	}
	if err := o.confirmer.do(ctx); err != nil {
		return nil, &peer.RemoteError{Code: CodeNotFenced, Message: "claim not confirmed: " + err.Error()}
	}
	return call(ctx, o, func() plan.FenceReply { return o.fenceReply(req) })
}

func (o *owner) fenceReply(req plan.Fence) plan.FenceReply {
	var r plan.FenceReply
	shard := req.Author.Shard
	for _, n := range o.nodes {
		if !n.everFenced && !n.accounted {
			r.Unaccounted = append(r.Unaccounted, n.id)
		}
		for _, t := range n.tasks {
			if t.shard != shard && !slices.Contains(req.Jobs, t.ref.Task.Job) {
				if t.shard == unknownShard && !slices.Contains(r.Unaccounted, n.id) {
					r.Unaccounted = append(r.Unaccounted, n.id) // the task may belong to this shard
				}
				continue
			}
			t.shard = shard
			r.Tasks = append(r.Tasks, o.event(n, t))
		}
	}
	r.Tasks = append(r.Tasks, o.undelivered(req)...)
	return r
}

// undelivered returns the final events of tasks that are no longer recorded here
// and that no owner of the shard has received yet. The shard may not have
// received the reports of their start either; without these events it would
// conclude that such a task never ran, and start it again.
func (o *owner) undelivered(req plan.Fence) []plan.Event {
	var events []plan.Event
	for _, box := range o.outboxes {
		for _, e := range box.pending {
			if (e.Lost || e.NotStarted) && (box.shard == req.Author.Shard || slices.Contains(req.Jobs, e.Task.Job)) {
				events = append(events, e)
			}
		}
	}
	return events
}
