package partition

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/vmlist"
	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/ownership"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/process/sched/ledger"
	"fennelshunt.example/fennelshunt/version/spec"
)

// errOwnerStopped is returned when ownership of the partition is lost while a
// call waits for the control loop.
var errOwnerStopped = fmt.Errorf("partition: no longer owned")

// owner is the state of one owned partition. All fields are accessed only by
// the goroutine of run, except claim, name and the channels.
type owner struct {
	h      *Host
	t      Timing
	name   string
	claim  ownership.Claim
	log    zerolog.Logger
	ctx    context.Context
	cancel context.CancelFunc

	commands chan func()
	done     chan struct{}

	nodes map[worker.ID]*node
	live  map[spec.TaskID]*task // tasks that may run, by id
	// results holds, by task, the newest attempt whose result a worker still keeps.
	results      map[spec.TaskID]*task
	dirty        map[*node]struct{} // workers to process before the next tick
	ledger       *ledger.Ledger
	reservations map[string]*reservation
	outboxes     map[plan.Shard]*outbox
	state        publisher
	jobFailures  jobFailures

	resolvedVersion    uint64 // configuration version that resolveUnknownJobs last used
	shardEpochsRead    bool   // epochs of the shards have been read from the store
	shardEpochsReading bool
	shardEpochsRetry   time.Time // earliest time of the next read
	confirmer          confirmer
	earlierOwners      earlierOwners
	releasing          bool
	earlierFenced      bool               // no earlier owner can start tasks any more
	inMemo             map[worker.ID]bool // workers named by the stored memo
	limits             serviceLimits
	memoWriting        bool
	checkQueue         []worker.ID   // see checkInvariants
	countedWorkers     int           // workers included in Host.workers
	memoRetry          time.Time     // earliest time of the next memo write
	idle               chan struct{} // closed when releasing and no call is in flight
}

func newOwner(ctx context.Context, h *Host, name string, g ownership.Grant) *owner {
	ctx, cancel := context.WithCancel(ctx)
	o := &owner{
		h:             h,
		t:             h.o.Timing,
		name:          name,
		claim:         g.Claim,
		log:           h.o.Log.With().Str("partition", name).Uint64("epoch", g.Epoch).Logger(),
		ctx:           ctx,
		cancel:        cancel,
		commands:      make(chan func(), 256),
		done:          make(chan struct{}),
		nodes:         make(map[worker.ID]*node),
		live:          make(map[spec.TaskID]*task),
		results:       make(map[spec.TaskID]*task),
		dirty:         make(map[*node]struct{}),
		ledger:        ledger.New(),
		reservations:  make(map[string]*reservation),
		outboxes:      make(map[plan.Shard]*outbox),
		jobFailures:   make(jobFailures),
		earlierOwners: newEarlierOwners(g),
		earlierFenced: len(g.EarlierOwners) == 0,
	}
	o.state.init(name, g.Epoch)
	o.loadMemo(g.Notes)
	o.confirmer = confirmer{confirm: func(ctx context.Context) error { return h.o.Claims.Confirm(ctx, g.Claim) }}
	return o
}

// run is the control loop of the partition.
func (o *owner) run() {
	defer close(o.done)
	ticker := time.NewTicker(o.t.Tick)
	defer ticker.Stop()
	o.tick()
	for {
		listed := o.h.o.Racks.Changed()
		select {
		case <-o.ctx.Done():
			o.state.close()
			o.h.workers.Add(-int64(o.countedWorkers))
			return
		case f := <-o.commands:
			f()
			o.drainCommands()
			o.processDirty()
		case <-listed:
			o.tick()
		case <-ticker.C:
			o.tick()
		}
	}
}

// drainCommands runs the commands that are already queued, so that a burst of
// plans causes one call per worker and not one per plan.
func (o *owner) drainCommands() {
	for range cap(o.commands) {
		select {
		case f := <-o.commands:
			f()
		default:
			return
		}
	}
}

// post queues f for the control loop. It does not block once the owner has
// stopped, so calls in flight may outlive the owner.
func (o *owner) post(f func()) {
	select {
	case o.commands <- f:
	case <-o.done:
	case <-o.ctx.Done():
	}
}

// call runs f in the control loop and returns its result.
func call[T any](ctx context.Context, o *owner, f func() T) (T, error) {
	var zero T
	result := make(chan T, 1)
	select {
	case o.commands <- func() { result <- f() }:
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-o.ctx.Done():
		return zero, &peer.RemoteError{Code: CodeNotOwner, Message: errOwnerStopped.Error()}
	}
	select {
	case v := <-result:
		return v, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-o.ctx.Done():
		return zero, &peer.RemoteError{Code: CodeNotOwner, Message: errOwnerStopped.Error()}
	}
}

// tick does the periodic work of the partition and marks every worker dirty.
func (o *owner) tick() {
	if o.ctx.Err() != nil {
		return
	}
	now := time.Now()
	o.readShardEpochs(now)
	o.refreshNodes()
	o.resolveUnknownJobs()
	o.earlierOwners.check(o.h, now)
	o.expireReservations(now)
	o.jobFailures.expire(now)
	for _, n := range o.nodes {
		o.handleDeadlines(n, now)
		o.accountUnfenced(n, now)
		o.removeUnlisted(n, now)
		o.checkProbe(n, now)
		if reason := n.unusable(); reason != n.told {
			n.told = reason
			o.markChanged(n) // a quarantine ends by time, without any other change
		}
		o.markDirty(n)
	}
	o.updateMemo(now)
	o.checkInvariants()
	o.processDirty()
}

// markDirty has the worker processed before the next tick.
func (o *owner) markDirty(n *node) { o.dirty[n] = struct{}{} }

// processDirty acts on the changes of the last commands. Only dirty workers are
// processed: each plan of a burst must not cost a scan of the partition.
func (o *owner) processDirty() {
	now := time.Now()
	_, renew := o.h.o.Directory.Authority()
	for n := range o.dirty {
		if renew > 0 && !n.busy && o.nodes[n.id] == n && o.ctx.Err() == nil {
			o.nextCall(n, now)
		}
	}
	clear(o.dirty)
	o.sendEvents(now)
	o.checkRelease()
	o.state.flush(now)
}

// readShardEpochs reads the epochs of the shards from the store, once per
// takeover. Otherwise this owner could accept a plan of a former shard owner
// that the partition's previous owner had been fenced against.
func (o *owner) readShardEpochs(now time.Time) {
	if o.shardEpochsRead || o.shardEpochsReading || now.Before(o.shardEpochsRetry) {
		return
	}
	o.shardEpochsReading = true
	go func() {
		ctx, cancel := context.WithTimeout(o.ctx, storeTimeout)
		defer cancel()
		epochs, err := o.h.o.Claims.Epochs(ctx, ownership.ShardPrefix)
		o.post(func() {
			o.shardEpochsReading = false
			if err != nil {
				o.log.Warn().Err(err).Msg("reading shard epochs from the store failed; the partition accepts no plans until it succeeds")
				o.shardEpochsRetry = time.Now().Add(storeRetry)
				return
			}
			for r, epoch := range epochs {
				if shard, ok := shardOf(r); ok {
					o.h.fences.raise(shard, epoch, 0)
				}
			}
			o.shardEpochsRead = true
		})
	}()
}

// refreshNodes applies changes of the VM list.
func (o *owner) refreshNodes() {
	listed := make(map[worker.ID]bool)
	for _, vm := range o.h.o.Racks.Workers(o.name) {
		id := worker.ID(vm.Name)
		listed[id] = true
		n := o.nodes[id]
		if n == nil {
			n = o.addNode(id, vm)
		}
		if n.vm.Address != vm.Address {
			n.agent = o.h.o.Dialer.Dial(vm.Address)
			n.fenced = false
		}
		resized := n.vm.Capacity != vm.Capacity
		n.vm = vm
		if resized {
			o.resized(n)
		}
		if n.unlisted {
			n.unlisted = false // listed again before its tasks were given up
			n.fenced = false
			o.markChanged(n)
		}
		if vm.Leaving && !n.draining {
			o.startDraining(n)
		}
	}
	o.countNodes()
	for id, n := range o.nodes {
		if !listed[id] && !n.unlisted && o.h.o.Racks.VMRemoved(string(id)) {
			n.unlisted = true
			n.fenced = false
			o.log.Warn().Str("worker", string(id)).Msg("worker left the VM list; its tasks count as lost once their lease has expired")
			o.markChanged(n)
		}
	}
}

// countNodes updates the host's count of workers that receive heartbeats.
func (o *owner) countNodes() {
	o.h.workers.Add(int64(len(o.nodes) - o.countedWorkers))
	o.countedWorkers = len(o.nodes)
}

func (o *owner) addNode(id worker.ID, vm vmlist.VM) *node {
	n := &node{
		id:     id,
		vm:     vm,
		agent:  o.h.o.Dialer.Dial(vm.Address),
		tasks:  make(map[worker.Ref]*task),
		leases: make(map[worker.LeaseID]bool),
	}
	o.nodes[id] = n
	o.setCapacity(n)
	o.markChanged(n)
	n.added = n.changed
	return n
}

// markChanged marks the worker as changed in the published state.
func (o *owner) markChanged(n *node) {
	n.changed = o.state.next()
	o.markDirty(n)
}

// markTaskChanged marks a task of the worker as changed in the published state.
func (o *owner) markTaskChanged(n *node, t *task) {
	o.markChanged(n)
	t.changed = n.changed
}

// stepDown ends this ownership at once, because a read of the store has shown that
// this owner no longer holds the claim.
func (o *owner) stepDown(err error) {
	o.log.Warn().Err(err).Msg("partition claim is no longer held according to the store; this daemon stops owning the partition")
	o.h.Lost(o.claim.Resource, o.claim.Epoch)
}

// cancelRelease accepts plans again after a release was abandoned.
func (o *owner) cancelRelease() bool {
	o.releasing, o.idle = false, nil
	return true
}

// prepareRelease refuses new work from now on and returns a channel that is
// closed when no call to a worker is in flight and no event is queued. It
// returns nil while the partition must not be released.
func (o *owner) prepareRelease() <-chan struct{} {
	if len(o.nodes) > 0 && !slices.Contains(o.h.o.Racks.Partitions(), o.name) {
		return nil // the rack was removed and its tasks are not given up yet
	}
	o.releasing = true
	if o.idle == nil {
		o.idle = make(chan struct{})
	}
	return o.idle
}

func (o *owner) checkRelease() {
	if !o.releasing || o.idle == nil || o.eventsWaiting() {
		return
	}
	for _, n := range o.nodes {
		if n.busy {
			return
		}
	}
	select {
	case <-o.idle:
	default:
		close(o.idle)
	}
}

// isAny reports whether err is one of targets.
func isAny(err error, targets ...error) bool {
	return slices.ContainsFunc(targets, func(t error) bool { return errors.Is(err, t) })
}
