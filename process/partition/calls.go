package partition

import (
	"context"
	"errors"
	"slices"
	"time"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/plan"
)

const (
	// maxStartsPerCall bounds the tasks of one Start call.
	maxStartsPerCall = 64
	// maxBackoff bounds the pause between heartbeats to a failing worker.
	maxBackoff = 5 * time.Second
)

// nextCall starts the most urgent call to the worker. A worker has at most one
// call in flight, so replies arrive in the order of the calls.
func (o *owner) nextCall(n *node, now time.Time) {
	if n.unlisted {
		return // its tasks must not be renewed, so that their lease expires
	}
	switch {
	case !n.fenced && !now.Before(n.nextTry) && !o.releasing:
		o.startFence(n)
	case n.lease == "" || (!n.fenced && !n.renewOnly):
	case !now.Before(n.nextSync):
		o.startSync(n)
	case n.fenced && n.failures == 0 && o.startQueued(n):
	case n.fenced && o.startAdjustment(n):
	case hasPendingStops(n) && n.failures == 0:
		o.startSync(n)
	}
}

func hasPendingStops(n *node) bool {
	for _, t := range n.tasks {
		if t.stopWanted && t.phase == running {
			return true
		}
	}
	return false
}

// startSync sends a heartbeat with the pending stops and acknowledgements.
func (o *owner) startSync(n *node) {
	req := worker.SyncRequest{Lease: n.lease, Since: n.seq, Acks: slices.Clone(n.acks)}
	for ref, t := range n.tasks {
		if t.stopWanted && t.phase == running {
			req.Stops = append(req.Stops, ref)
		}
	}
	n.busy = true
	agent := n.agent
	o.h.o.Metrics.Syncs.Add(1)
	go func() {
		ctx, cancel := context.WithTimeout(o.ctx, o.t.CallTimeout)
		defer cancel()
		reply, err := agent.Sync(ctx, req)
		o.post(func() { o.syncDone(n, req, reply, err) })
	}()
}

func (o *owner) syncDone(n *node, req worker.SyncRequest, reply worker.SyncReply, err error) {
	now := time.Now()
	o.callReturned(n)
	if !errors.Is(err, worker.ErrUnreachable) && !errors.Is(err, worker.ErrLeaseInvalid) {
		n.lastRenewal = now // also when the reply was lost
	}
	if err != nil {
		o.h.o.Metrics.SyncFailures.Add(1)
		o.callFailed(n, err)
		return
	}
	if n.failures > 0 {
		n.failures = 0
		o.markChanged(n)
	}
	n.lastReply = now
	n.nextSync = now.Add(o.syncInterval())
	n.seq = reply.Seq
	o.dropAcked(n, req.Acks)
	for _, ref := range req.Stops {
		if t := n.tasks[ref]; t != nil {
			t.stopWanted = false // the worker reports Stopped once the task has stopped
		}
	}
	if reply.Draining && !n.draining {
		o.startDraining(n)
	}
	for _, report := range reply.Changed {
		o.applyReport(n, report)
	}
	o.pollAddressAgain(n)
	o.checkOvershoot(n, now)
}

// dropAcked drops the results whose acknowledgements the worker has received.
func (o *owner) dropAcked(n *node, acks []worker.Ref) {
	if len(acks) == 0 {
		return
	}
	n.acks = slices.DeleteFunc(n.acks, func(ref worker.Ref) bool { return slices.Contains(acks, ref) })
	for _, ref := range acks {
		if t := n.tasks[ref]; t != nil {
			o.dropResult(n, t)
		}
	}
}

// callFailed handles an error of any call to a worker.
func (o *owner) callFailed(n *node, err error) {
	now := time.Now()
	switch {
	case errors.Is(err, worker.ErrStaleEpoch):
		o.handleStaleEpoch(n, err)
		return
	case errors.Is(err, worker.ErrLeaseInvalid):
		// The worker restarted, was unreachable for longer than the lease TTL,
		// or another owner revoked the lease: fence again, which reads the
		// claim from the store.
		n.fenced, n.renewOnly = false, false
		// Without delay, but not in a tight loop when every lease is rejected.
		n.nextTry = n.lastFenceTry.Add(fenceRetry)
		o.markChanged(n)
		return
	case errors.Is(err, context.Canceled) && o.ctx.Err() != nil:
		return
	}
	if n.failures == 0 {
		o.log.Warn().Err(err).Str("worker", string(n.id)).Msg("call to worker failed; it accepts no new tasks until a call succeeds")
		o.markChanged(n)
	}
	n.failures++
	wait := min(time.Duration(n.failures)*o.syncInterval(), maxBackoff)
	n.nextSync = now.Add(wait)
	n.nextTry = now.Add(wait)
	o.refuseQueued(n, unreachable)
}

const unreachable = "worker out of reach before the start was sent"

// refuseQueued reports starts that were not sent yet as not started, so that
// their shard does not wait for a worker that may not accept them.
func (o *owner) refuseQueued(n *node, reason string) {
	for _, t := range n.tasks {
		if t.phase == queued || t.phase == waiting {
			o.markNotStarted(n, t, reason)
		}
	}
}

// startQueued sends the queued starts and returns false if there are none.
func (o *owner) startQueued(n *node) bool {
	if start, _ := o.h.o.Directory.Authority(); start <= 0 || o.releasing {
		return false
	}
	var batch []*task
	for _, t := range n.tasks {
		if t.phase == queued {
			batch = append(batch, t)
		}
	}
	if len(batch) == 0 {
		return false
	}
	slices.SortFunc(batch, func(a, b *task) int {
		if c := b.class.Rank() - a.class.Rank(); c != 0 {
			return c
		}
		return a.phaseSince.Compare(b.phaseSince)
	})
	batch = batch[:min(len(batch), maxStartsPerCall)]
	starts := make([]worker.Start, len(batch))
	for i, t := range batch {
		starts[i] = t.start
		t.enter(sent)
	}
	n.busy = true
	agent, lease := n.agent, n.lease
	o.h.o.Metrics.Starts.Add(int64(len(starts)))
	go func() {
		ctx, cancel := context.WithTimeout(o.ctx, o.t.CallTimeout)
		defer cancel()
		replies, err := agent.Start(ctx, lease, starts)
		o.post(func() { o.startDone(n, batch, replies, err) })
	}()
	return true
}

func (o *owner) startDone(n *node, batch []*task, replies []worker.StartReply, err error) {
	o.callReturned(n)
	certain := err == nil || isAny(err, worker.ErrLeaseInvalid, worker.ErrStaleEpoch, worker.ErrUnreachable)
	for i, t := range batch {
		if t.phase != sent {
			continue // settled by an inventory meanwhile
		}
		switch {
		case err != nil && certain:
			o.markNotStarted(n, t, err.Error())
		case err != nil || i >= len(replies) || replies[i].Task != t.ref.Task:
			// The start may have taken effect. A heartbeat reports the task if
			// it did; otherwise the worker is fenced again, and the inventory
			// read with all other leases revoked settles the outcome.
			t.enter(unknown)
			o.h.o.Metrics.Unknown.Add(1)
		case replies[i].Refused != "":
			o.markNotStarted(n, t, replies[i].Refused)
		default:
			o.markRunning(n, t)
		}
	}
	if err != nil {
		o.callFailed(n, err)
	} else {
		o.pollAddress(n, initialAddressDelay)
	}
	o.markChanged(n)
}

// startAdjustment sends one throttle or checkpoint call and returns false if
// none is wanted.
func (o *owner) startAdjustment(n *node) bool {
	for _, t := range n.tasks {
		if t.phase != running {
			continue
		}
		if t.checkpointWanted {
			o.startCheckpoint(n, t)
			return true
		}
		if t.wantedLimit != t.appliedLimit {
			o.startThrottle(n, t)
			return true
		}
	}
	return false
}

func (o *owner) startCheckpoint(n *node, t *task) {
	n.busy = true
	agent, lease := n.agent, n.lease
	go func() {
		ctx, cancel := context.WithTimeout(o.ctx, o.t.CallTimeout)
		defer cancel()
		err := agent.Checkpoint(ctx, lease, t.ref)
		o.post(func() {
			o.callReturned(n)
			t.checkpointWanted = false
			t.checkpointed = err == nil
			if err != nil {
				t.stopWanted = true // the progress is lost, but the capacity is needed
				o.callFailed(n, err)
			}
			n.nextSync = time.Time{} // a heartbeat at once reports the stop
		})
	}()
}

func (o *owner) startThrottle(n *node, t *task) {
	n.busy = true
	agent, lease, limit := n.agent, n.lease, t.wantedLimit
	go func() {
		ctx, cancel := context.WithTimeout(o.ctx, o.t.CallTimeout)
		defer cancel()
		err := agent.Throttle(ctx, lease, t.ref, limit)
		o.post(func() {
			o.callReturned(n)
			if err != nil {
				o.callFailed(n, err)
				return
			}
			t.appliedLimit = limit
		})
	}()
}

// handleDeadlines stops instances whose drain has ended and settles starts whose
// outcome has been unknown for UnknownGrace.
func (o *owner) handleDeadlines(n *node, now time.Time) {
	for _, t := range n.tasks {
		if !t.stopAt.IsZero() && !now.Before(t.stopAt) && t.phase == running {
			t.stopAt = time.Time{}
			t.stopWanted = true
		}
		if t.phase == unknown && n.fenced && now.Sub(t.phaseSince) >= o.t.UnknownGrace {
			t.phaseSince = now
			o.resolveUnknown(n)
		}
	}
}

// resolveUnknown fences the worker again, which invalidates every start still in
// flight. It reads the claim from the store first: during a store outage the new
// lease could not be confirmed, and one lost reply would make the worker
// unusable for new tasks until the outage ends.
func (o *owner) resolveUnknown(n *node) {
	go func() {
		ctx, cancel := context.WithTimeout(o.ctx, storeTimeout)
		defer cancel()
		if o.confirmer.do(ctx) != nil {
			return // retried after another grace period
		}
		o.post(func() {
			n.fenced = false
			n.nextTry = time.Time{}
			o.markChanged(n)
		})
	}()
}

// removeUnlisted gives up the tasks of a worker that left the VM list and
// removes the worker, once the last lease that may have renewed them has expired.
func (o *owner) removeUnlisted(n *node, now time.Time) {
	if !n.unlisted || n.busy || now.Sub(n.lastRenewal) < o.t.taskExpiry() {
		return
	}
	if !n.everFenced && !n.accounted {
		return // an earlier owner may still renew tasks there
	}
	suspects := suspectsOn(n)
	for _, t := range n.tasks {
		if t.live() {
			o.markLost(n, t, "worker is gone and its task lease has run out", suspects)
		} else {
			o.dropResult(n, t)
		}
	}
	o.ledger.RemoveWorker(n.id)
	delete(o.nodes, n.id)
	o.state.workerRemoved(n.id)
}

// reject builds a refusal.
func reject(outcome plan.Outcome, reason string) plan.StepResult {
	return plan.StepResult{Outcome: outcome, Reason: reason}
}

// callReturned marks the call to a worker as no longer in flight.
func (o *owner) callReturned(n *node) {
	n.busy = false
	o.markDirty(n)
}

// syncInterval returns the heartbeat interval, the same for all workers of the
// daemon.
func (o *owner) syncInterval() time.Duration {
	return o.t.syncInterval(int(o.h.workers.Load()))
}
