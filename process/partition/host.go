package partition

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/process/ownership"
	"fennelshunt.example/fennelshunt/process/plan"
)

// Host runs an owner for each partition that this daemon owns and serves the
// methods of package plan. It implements ownership.Handler.
type Host struct {
	o      Options
	fences fences

	workers atomic.Int64 // in all owned partitions, see Timing.syncInterval

	mu     sync.Mutex
	owners map[string]*owner
}

// New returns a Host and registers its peer methods.
func New(o Options) *Host {
	o.Timing = o.Timing.withDefaults()
	if o.RenewBound == 0 {
		o.RenewBound = ownership.DefaultRenewBound
	}
	if o.Metrics == nil {
		o.Metrics = &Metrics{}
	}
	h := &Host{o: o, owners: make(map[string]*owner), fences: newFences()}
	handle(h, plan.MethodCommit, func(ctx context.Context, req plan.Plan) (any, error) {
		o, err := h.owner(req.Partition)
		if err != nil {
			return plan.Result{Steps: refuseAll(len(req.Steps), plan.NotOwner, err.Error())}, nil
		}
		return call(ctx, o, func() plan.Result { return o.commit(req) })
	})
	handle(h, plan.MethodReserve, func(ctx context.Context, req plan.Reserve) (any, error) {
		o, err := h.owner(req.Partition)
		if err != nil {
			return plan.Result{Steps: refuseAll(len(req.Steps), plan.NotOwner, err.Error())}, nil
		}
		return call(ctx, o, func() plan.Result { return o.reserve(req) })
	})
	handle(h, plan.MethodRelease, func(ctx context.Context, req plan.ReleaseReservation) (any, error) {
		return h.onOwner(ctx, req.Partition, func(o *owner) error { return o.release(req) })
	})
	handle(h, plan.MethodStop, func(ctx context.Context, req plan.Stop) (any, error) {
		return h.onOwner(ctx, req.Partition, func(o *owner) error { return o.stopTasks(req) })
	})
	handle(h, plan.MethodAck, func(ctx context.Context, req plan.Ack) (any, error) {
		return h.onOwner(ctx, req.Partition, func(o *owner) error { return o.ack(req) })
	})
	handle(h, plan.MethodFence, h.serveFence)
	handle(h, plan.MethodState, h.serveState)
	return h
}

// handle registers a typed handler.
func handle[Req any](h *Host, m peer.Method, f func(ctx context.Context, req Req) (any, error)) {
	h.o.Registrar.Handle(m, func(ctx context.Context, _ peer.Ref, payload []byte) (any, error) {
		var req Req
		if err := cbor.Unmarshal(payload, &req); err != nil {
			return nil, &peer.RemoteError{Code: CodeBadRequest, Message: err.Error()}
		}
		return f(ctx, req)
	})
}

// Codes of remote errors.
const (
	CodeBadRequest = "bad_request"
	CodeNotOwner   = string(plan.NotOwner)
	CodeStale      = string(plan.Stale)
	CodeNotFenced  = string(plan.NotFenced)
)

func (h *Host) owner(partition string) (*owner, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	o := h.owners[partition]
	if o == nil {
		return nil, &peer.RemoteError{Code: CodeNotOwner, Message: "partition " + partition + " is not owned here"}
	}
	return o, nil
}

// onOwner runs f in the owner's goroutine and returns its error.
func (h *Host) onOwner(ctx context.Context, partition string, f func(*owner) error) (any, error) {
	o, err := h.owner(partition)
	if err != nil {
		return nil, err
	}
	failed, err := call(ctx, o, func() error { return f(o) })
	if err != nil {
		return nil, err
	}
	return nil, failed
}

// Resources lists the partitions, for ownership.Manager.Register.
func (h *Host) Resources() []ownership.Resource { return h.o.Racks.Resources() }

// Acquired implements ownership.Handler.
func (h *Host) Acquired(ctx context.Context, g ownership.Grant) {
	name := partitionOf(g.Resource)
	o := newOwner(ctx, h, name, g)
	h.mu.Lock()
	old := h.owners[name]
	h.owners[name] = o
	h.mu.Unlock()
	if err := checkGrant(old, g); err != nil {
		panic(err)
	}
	if old != nil {
		old.cancel()
	}
	h.o.Metrics.Takeovers.Add(1)
	go o.run()
}

// Lost implements ownership.Handler.
func (h *Host) Lost(r ownership.Resource, epoch uint64) {
	name := partitionOf(r)
	h.mu.Lock()
	o := h.owners[name]
	if o != nil && o.claim.Epoch <= epoch {
		delete(h.owners, name)
	}
	h.mu.Unlock()
	if o != nil && o.claim.Epoch <= epoch {
		o.cancel()
	}
}

// Releasing implements ownership.Handler: it refuses new plans, waits for calls to
// workers that are in flight, so that no start is sent after the claim is
// released, and sends the events that are still queued.
func (h *Host) Releasing(ctx context.Context, r ownership.Resource) error {
	o, err := h.owner(partitionOf(r))
	if err != nil {
		return nil // already lost, nothing to release
	}
	idle, err := call(ctx, o, o.prepareRelease)
	if err != nil {
		return fmt.Errorf("release %s: %w", r, err)
	}
	if idle == nil {
		return fmt.Errorf("release %s: %w", r, errTasksLeft)
	}
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		_, _ = call(context.WithoutCancel(ctx), o, o.cancelRelease)
		return fmt.Errorf("release %s: %w", r, ctx.Err())
	}
}

// Resume implements ownership.Resumer: the partition accepts plans again.
func (h *Host) Resume(r ownership.Resource) {
	if o, err := h.owner(partitionOf(r)); err == nil {
		_, _ = call(context.Background(), o, o.cancelRelease) // fails when ownership was lost
	}
}

var _ ownership.Resumer = (*Host)(nil)

// errTasksLeft refuses the release of a partition whose rack has left the VM
// list: no successor would claim it while its tasks may still run.
var errTasksLeft = errors.New("partition: rack left the VM list and tasks there may still run")

// fences records the newest authorship of each shard that this process has
// seen. It outlives the ownership of a partition: a delayed plan addressed to
// this incarnation of the daemon may arrive after the daemon lost a partition
// and acquired it again.
type fences struct {
	mu     *sync.Mutex
	newest map[plan.Shard]shardFence
}

type shardFence struct {
	epoch  uint64
	minSeq uint64
}

func newFences() fences { return fences{mu: &sync.Mutex{}, newest: make(map[plan.Shard]shardFence)} }

// raise makes admits refuse lower epochs, and lower sequence numbers of this
// epoch, from now on. It returns false when epoch itself is stale.
func (f fences) raise(shard plan.Shard, epoch, minSeq uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.newest[shard]
	switch {
	case epoch < known.epoch:
		return false
	case epoch > known.epoch:
		known = shardFence{epoch: epoch}
	}
	known.minSeq = max(known.minSeq, minSeq)
	f.newest[shard] = known
	return true
}

// admits reports whether a proposal with that epoch and sequence number may be
// accepted.
func (f fences) admits(shard plan.Shard, epoch, seq uint64) bool {
	if !f.raise(shard, epoch, 0) {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return seq >= f.newest[shard].minSeq
}

// epoch returns the newest epoch seen for the shard.
func (f fences) epoch(shard plan.Shard) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newest[shard].epoch
}
