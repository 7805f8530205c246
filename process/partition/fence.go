package partition

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"
	"time"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/ownership"
	"fennelshunt.example/fennelshunt/version/spec"
)

const (
	storeTimeout = 3 * time.Second
	storeRetry   = time.Second
	fenceRetry   = time.Second
	// maxStoreRetry bounds the pause between attempts to confirm the claim for
	// a worker whose lease expired during a store outage.
	maxStoreRetry     = 30 * time.Second
	maxStoreDoublings = 5
	// maxRevokeRounds bounds how often one fencing attempt lists and revokes
	// leases; more rounds mean that another daemon keeps opening new ones.
	maxRevokeRounds = 3
)

// errForeignLease means that the claim could not be confirmed and that another
// daemon holds a lease, or a task on its lease, at the worker.
var errForeignLease = errors.New("partition: another daemon holds a lease at the worker and the claim is not confirmed")

// errOtherWorker means that the address in the VM list belongs to another VM,
// for example because the address was reused before the list was updated.
var errOtherWorker = errors.New("partition: the address in the VM list belongs to another worker")

// confirmer reads the claim from the store and shares one read among concurrent
// callers. A caller gets the result of a read that began after its call, never
// of one already in flight, because the read must be later than the lease that
// it confirms.
type confirmer struct {
	confirm func(ctx context.Context) error

	mu   sync.Mutex
	next *confirmation
	busy bool
}

type confirmation struct {
	done chan struct{}
	err  error
}

// do waits for a read that begins after the call.
func (c *confirmer) do(ctx context.Context) error {
	c.mu.Lock()
	if c.next == nil {
		c.next = &confirmation{done: make(chan struct{})}
	}
	mine := c.next
	if !c.busy {
		c.busy = true
		go c.loop(ctx)
	}
	c.mu.Unlock()
	select {
	case <-mine.done:
		return mine.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *confirmer) loop(ctx context.Context) {
	for {
		c.mu.Lock()
		current := c.next
		c.next = nil
		c.busy = current != nil
		c.mu.Unlock()
		if current == nil {
			return
		}
		readCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
		current.err = c.confirm(readCtx)
		cancel()
		close(current.done)
	}
}

// fenceResult is the result of one attempt to fence a worker.
type fenceResult struct {
	lease     worker.LeaseID
	inventory worker.Inventory
	revoked   int
	confirmed bool
	adopted   bool // tasks may have been moved to the new lease
}

// fence makes this owner the only one that can start tasks at a worker. Its
// safety depends on the order of the steps:
//
//  1. open this owner's lease;
//  2. read the claim from the store. If this owner still holds it, every later
//     owner claims after this moment, so the inventory that it takes lists this
//     lease and it revokes it. If the claim were read before the lease is
//     opened, a pause between the two could leave this owner with a lease that
//     no later owner revokes;
//  3. list the leases and revoke all others: by the same rule, any lease that
//     an earlier owner may use was opened before this claim, so it is listed;
//  4. list the tasks, to which no earlier owner can add any more;
//  5. move the running tasks to this owner's lease.
//
// While the store is unreachable step 2 fails. Then the lease only renews what
// runs, and only if no other daemon has opened a lease or adopted a task. A
// later owner that has fenced this worker moved every task to its own lease; if
// the worker then leaves the VM list, that owner starts the tasks elsewhere as
// soon as its lease has expired, so no other daemon may renew them.
func (o *owner) fence(ctx context.Context, id worker.ID, agent worker.Agent, own map[worker.LeaseID]bool) (fenceResult, error) {
	var r fenceResult
	lease, err := agent.OpenLease(ctx, worker.OpenLease{
		Owner:   fmt.Sprintf("%s/%d", o.claim.Owner.ID, o.claim.Owner.Incarnation),
		Epoch:   o.claim.Epoch,
		TTL:     spec.Duration(o.t.LeaseTTL),
		TaskTTL: spec.Duration(o.t.TaskTTL),
	})
	if err != nil {
		return r, fmt.Errorf("open lease: %w", err)
	}
	r.lease = lease
	confirmErr := o.confirmer.do(ctx)
	if errors.Is(confirmErr, ownership.ErrNotOwner) {
		return r, confirmErr
	}
	r.confirmed = confirmErr == nil
	if r.inventory, err = agent.Inventory(ctx); err != nil {
		return r, fmt.Errorf("inventory: %w", err)
	}
	if r.inventory.Worker != "" && r.inventory.Worker != id {
		return r, fmt.Errorf("%w: %s", errOtherWorker, r.inventory.Worker)
	}
	if r.confirmed {
		err = r.revokeOthers(ctx, agent)
	} else if heldByOthers(r.inventory, lease, own) {
		err = fmt.Errorf("%w: %w", errForeignLease, confirmErr)
	}
	if err != nil {
		return r, err
	}
	return r, r.adopt(ctx, agent)
}

// heldByOthers reports whether another daemon holds a lease at the worker or a
// running task there.
func heldByOthers(inv worker.Inventory, lease worker.LeaseID, own map[worker.LeaseID]bool) bool {
	for _, id := range inv.Leases {
		if id != lease && !own[id] {
			return true
		}
	}
	for _, t := range inv.Tasks {
		if !t.State.Ended() && t.Lease != lease && !own[t.Lease] {
			return true
		}
	}
	return false
}

// revokeOthers revokes every lease but r.lease and reads the inventory again.
func (r *fenceResult) revokeOthers(ctx context.Context, agent worker.Agent) error {
	for range maxRevokeRounds {
		others := 0
		for _, id := range r.inventory.Leases {
			if id == r.lease {
				continue
			}
			others++
			if err := agent.RevokeLease(ctx, id); err != nil {
				return fmt.Errorf("revoke lease %s: %w", id, err)
			}
		}
		if others == 0 {
			return nil
		}
		r.revoked += others
		inventory, err := agent.Inventory(ctx)
		if err != nil {
			return fmt.Errorf("inventory after revoking: %w", err)
		}
		r.inventory = inventory
	}
	// Owners of leases opened meanwhile cannot confirm their claims, which
	// ended before this owner's claim began, so no tasks are started under them.
	return nil
}

func (r *fenceResult) adopt(ctx context.Context, agent worker.Agent) error {
	var refs []worker.Ref
	for _, t := range r.inventory.Tasks {
		if !t.State.Ended() && t.Lease != r.lease {
			refs = append(refs, worker.Ref{Task: t.Task, Attempt: t.Attempt})
		}
	}
	if len(refs) == 0 {
		return nil
	}
	r.adopted = true
	if err := agent.Adopt(ctx, r.lease, refs); err != nil {
		return fmt.Errorf("adopt tasks: %w", err)
	}
	return nil
}

// startFence runs fence in the background.
func (o *owner) startFence(n *node) {
	n.busy = true
	n.lastFenceTry = time.Now()
	agent, own := n.agent, maps.Clone(n.leases)
	go func() {
		ctx, cancel := context.WithTimeout(o.ctx, 3*o.t.CallTimeout)
		defer cancel()
		r, err := o.fence(ctx, n.id, agent, own)
		o.post(func() { o.fenceDone(n, r, err) })
	}()
}

func (o *owner) fenceDone(n *node, r fenceResult, err error) {
	now := time.Now()
	o.callReturned(n)
	n.nextTry = now.Add(fenceRetry)
	if r.lease != "" {
		n.leases[r.lease] = true
	}
	if r.adopted {
		n.lastRenewal = now
	}
	switch {
	case errors.Is(err, ownership.ErrNotOwner):
		o.stepDown(err)
		return
	case errors.Is(err, worker.ErrStaleEpoch):
		o.handleStaleEpoch(n, err)
		return
	case err != nil:
		o.callFailed(n, err)
		return
	}
	n.failures = 0
	n.lease, n.seq = r.lease, r.inventory.Seq
	n.lastRenewal = now
	n.nextSync = now.Add(o.syncInterval())
	n.renewOnly = !r.confirmed
	if !r.confirmed {
		// Each attempt costs an inventory, and an outage may last long.
		n.nextTry = now.Add(min(storeRetry<<n.unconfirmedFences, maxStoreRetry))
		n.unconfirmedFences = min(n.unconfirmedFences+1, maxStoreDoublings)
		o.refuseQueued(n, unreachable)
		o.markChanged(n)
		return
	}
	o.h.o.Metrics.Fenced.Add(1)
	o.h.o.Metrics.Revoked.Add(int64(r.revoked))
	n.fenced, n.everFenced, n.accounted = true, true, false
	n.unconfirmedFences = 0
	n.leases = map[worker.LeaseID]bool{r.lease: true} // the other leases are revoked
	o.applyInventory(n, r.inventory)
	n.lastReply = now
}

// handleStaleEpoch handles a worker that has seen a higher epoch, which means
// that another daemon may have taken the partition over. No tasks are started
// on any worker until a read of the store has shown whether this owner still
// holds the claim.
func (o *owner) handleStaleEpoch(n *node, err error) {
	n.failures++
	for _, other := range o.nodes {
		other.fenced = false
	}
	go func() {
		ctx, cancel := context.WithTimeout(o.ctx, storeTimeout)
		defer cancel()
		confirmErr := o.confirmer.do(ctx)
		if errors.Is(confirmErr, ownership.ErrNotOwner) {
			o.post(func() { o.stepDown(confirmErr) })
		}
	}()
	o.log.Error().Err(err).Str("worker", string(n.id)).Msg("worker has seen a higher epoch; no tasks start in the partition until its workers are fenced again")
}

// earlierOwners tracks the previous owners of the partition until each is known
// to have stopped acting as owner: it released the claim, it is this daemon
// itself, its VM left the VM list, or its daemon runs as a newer incarnation. A
// member that merely does not respond may still act.
type earlierOwners struct {
	unreleased   map[peer.Ref]bool
	lastReleased time.Time // when the last one was removed from unreleased
	// acquired is when this owner acquired the claim. After RenewBound from then
	// no earlier owner may renew tasks any more.
	acquired time.Time
}

func newEarlierOwners(g ownership.Grant) earlierOwners {
	e := earlierOwners{unreleased: make(map[peer.Ref]bool), lastReleased: time.Now(), acquired: time.Now()}
	for _, ref := range g.EarlierOwners {
		e.unreleased[ref] = true
	}
	return e
}

func (e *earlierOwners) check(h *Host, now time.Time) {
	for ref := range e.unreleased {
		member, known := h.o.View.Lookup(ref.ID)
		restarted := known && member.Incarnation > ref.Incarnation
		if restarted || ref == h.o.View.Self().Ref || h.o.Racks.VMRemoved(string(ref.ID)) {
			delete(e.unreleased, ref)
			e.lastReleased = now
		}
	}
}

// accountUnfenced sets accounted on a worker that cannot be fenced, once every
// task that an earlier owner may have started there must have stopped.
func (o *owner) accountUnfenced(n *node, now time.Time) {
	if n.everFenced || n.accounted {
		return
	}
	if len(o.earlierOwners.unreleased) > 0 && now.Sub(o.earlierOwners.acquired) < o.h.o.RenewBound {
		return
	}
	if now.Sub(o.earlierOwners.lastReleased) < o.t.taskExpiry() || now.Sub(n.lastRenewal) < o.t.taskExpiry() {
		return
	}
	n.accounted = true
	o.markChanged(n)
}
