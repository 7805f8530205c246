package slots

import (
	"context"
	"time"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/process/ownership"
)

const (
	// maxReportsInFlight is the maximum number of concurrent reports of one holder.
	maxReportsInFlight = 4
	// reserveInterval is the minimum time between two reports that only request a reserve.
	reserveInterval = 2 * time.Millisecond
	// notReadyDelay is the pause before a report is repeated that a new owner received too
	// early.
	notReadyDelay = 20 * time.Millisecond
	// retryInterval is how often a holder with waiters repeats a report.
	retryInterval = 250 * time.Millisecond
	// maxLeavingDoublings bounds how often a leaving holder doubles the timeout of its reports: with
	// two, three reports fit into the time in which its credits are valid.
	maxLeavingDoublings = 2
)

// requestReserveIfLow requests a reserve before it is needed. The caller holds mu.
func (h *holder) requestReserveIfLow() {
	if h.low() && time.Since(h.lastReserveRequest) >= reserveInterval {
		h.triggerReport()
	}
}

// low reports whether the reserve is below half its target.
func (h *holder) low() bool { return len(h.idle)*2 < h.target }

// triggerReport sends a report, or records that one is due when those in flight are answered.
// The caller holds mu.
func (h *holder) triggerReport() {
	if h.reportsInFlight >= maxReportsInFlight {
		h.reportDue = true
		return
	}
	if h.owner.Epoch == 0 {
		return
	}
	r := h.buildReport(time.Now(), false)
	h.send(r)
}

// buildReport creates a report. The caller holds mu.
func (h *holder) buildReport(now time.Time, full bool) report {
	h.seq++
	h.lastReport = now
	if h.waiters.Len() > 0 && now.Before(h.validUntil) {
		h.returnIdle(len(h.idle)) // none is usable, or a waiter would have got it
	}
	r := report{
		Service: h.service, Epoch: h.owner.Epoch, Seq: h.seq, Seen: h.lastBatch, Zone: h.m.opts.Zone,
		Returned: h.returned, Idle: len(h.idle), InUse: len(h.credits) - len(h.idle), Waiting: h.waiters.Len(), Low: h.low(),
	}
	h.returned = nil
	if r.Low {
		h.lastReserveRequest = now
	}
	if r.Waiting > 0 {
		r.OldestMicros = micros(now.Sub(h.waiters.Front().Value.(*waiter).arrived))
		r.NewestMicros = micros(now.Sub(h.waiters.Back().Value.(*waiter).arrived))
		r.Avoid = h.avoid()
	}
	if full || !h.renewed || h.validUntil.Sub(now) < h.m.opts.TTL*2/3 {
		h.makeFull(&r)
	}
	return r
}

// avoid lists the instances that Health excludes now.
func (h *holder) avoid() []instanceID {
	var out []instanceID
	for id, e := range h.endpoints {
		if !h.m.opts.Health.Usable(e.Address) {
			out = append(out, id)
		}
	}
	return out
}

// makeFull makes the report a full one.
func (h *holder) makeFull(r *report) {
	h.dropExpired(time.Now())
	r.Full = true
	r.LimitMicros = micros(h.limit())
	r.Fence, h.fence = h.lastBatch, h.lastBatch
	byInstance := map[instanceID][]creditID{}
	for id, c := range h.credits {
		byInstance[c.instance] = append(byInstance[c.instance], id)
	}
	for at, ids := range byInstance {
		r.Held = append(r.Held, heldAt{Instance: at, Credits: ids})
	}
}

// dropExpired drops every credit when the renewal is so long overdue that the pool may have
// freed them.
//
// After this daemon was disconnected, its slots may have been freed and granted to another
// holder. A new owner of the pool would accept the credits listed here, and a slot would be
// recorded twice. The pool waits for a margin longer than this.
func (h *holder) dropExpired(now time.Time) {
	if now.Before(h.validUntil.Add(h.limit())) {
		return
	}
	ids := make([]creditID, 0, len(h.credits))
	for id := range h.credits {
		ids = append(ids, id)
	}
	h.orphan(ids)
}

// send calls the pool in a new goroutine. The caller holds mu.
func (h *holder) send(r report) {
	owner, began := h.owner, time.Now()
	h.reportsInFlight++
	h.reportDue = false
	h.m.counts.Reports.Add(1)
	timeout := h.reportTimeout()
	go func() {
		ctx, cancel := context.WithTimeout(h.m.ctx, timeout)
		defer cancel()
		answer, err := h.m.callReport(ctx, owner.Owner, r)
		h.handleReply(owner, began, r, answer, err)
	}()
}

// reportTimeout returns the timeout of the next report. A leaving holder waits longer after each report
// without an answer: an owner that is short of processor time has received the credits all the same,
// and the stop would be said to have lost them. Other holders need to notice a lost report soon. The
// caller holds mu.
func (h *holder) reportTimeout() time.Duration {
	if !h.leaving {
		return h.m.opts.CallTimeout
	}
	return h.m.opts.CallTimeout << min(h.unanswered, maxLeavingDoublings)
}

// handleReply processes the pool's reply to r.
func (h *holder) handleReply(owner ownership.Claim, began time.Time, r report, answer reply, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if owner != h.owner {
		// The owner has changed meanwhile: this reply no longer counts, and its grants were
		// never recorded here.
		return
	}
	h.reportsInFlight--
	if err == nil {
		h.unanswered = 0
	}
	switch {
	case err != nil:
		h.unanswered++
		h.returned = append(h.returned, r.Returned...)
		if !peer.NotRun(err) {
			// The pool may have received them and granted their slots again: reclaimed, they would
			// give an instance more requests than it has slots.
			h.dropPendingReturns(r.Returned)
		}
		h.clearContention()
		h.m.counts.ReportsFailed.Add(1)
		return // the ticker retries
	case answer.Status == statusNeedFull:
		h.returned = append(h.returned, r.Returned...)
		if !r.Full {
			h.send(h.buildReport(time.Now(), true))
		}
		return
	case answer.Status == statusNotReady:
		h.returned = append(h.returned, r.Returned...)
		time.AfterFunc(notReadyDelay, func() { h.retryRenewal(owner) })
		return
	case answer.Status != statusOK:
		h.reclaim(r.Returned, time.Now())
		if answer.Claim.Epoch > h.owner.Epoch {
			h.m.opts.Directory.Observe(answer.Claim)
		}
		return
	default:
		h.confirmReturns(r)
		h.applyReply(began, r, answer)
	}
	if h.reportDue {
		h.triggerReport()
	}
}

// retryRenewal renews with a new owner that had not collected from this holder yet.
func (h *holder) retryRenewal(owner ownership.Claim) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.owner == owner && !h.renewed && h.m.ctx.Err() == nil {
		h.triggerReport()
	}
}

func (h *holder) applyReply(began time.Time, r report, answer reply) {
	if r.Full {
		h.renewed = true
		h.orphan(answer.Unknown)
		if until := began.Add(h.m.opts.TTL); until.After(h.validUntil) {
			h.validUntil = until
		}
	}
	h.applyTerms(answer.Terms, time.Now())
}

// tick renews in time and retries reports that got no answer.
func (h *holder) tick(now time.Time) {
	h.limit() // records a raised limit before it is lowered again
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.owner.Epoch == 0 || h.reportsInFlight > 0 {
		return
	}
	h.serve(now)
	renew := h.validUntil.Sub(now) < h.m.opts.TTL*2/3
	waiting := !h.renewed || h.waiters.Len() > 0 || len(h.returned) > 0 || h.low()
	if renew || waiting && now.Sub(h.lastReport) >= retryInterval {
		h.triggerReport()
	}
}

// setOwner sets the newest claim of the pool. The credits are kept: the new owner adopts them
// with the next full report. They remain valid as before, because the new owner counts what is
// not accounted for as taken.
func (h *holder) setOwner(c ownership.Claim) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changeOwner(c)
}

func (h *holder) changeOwner(c ownership.Claim) {
	if c.Epoch <= h.owner.Epoch {
		return
	}
	h.owner = c
	h.lastBatch, h.fence, h.returned = 0, 0, nil
	clear(h.pendingReturns)
	h.target, h.contended, h.reportsInFlight, h.renewed = 0, false, 0, false
	h.send(h.buildReport(time.Now(), true))
}

// applyPush processes a push; a pool with a lower epoch is refused.
func (h *holder) applyPush(msg push) pushReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	if msg.Terms.Epoch < h.owner.Epoch {
		return pushReply{Status: statusStale, Claim: h.owner}
	}
	h.changeOwner(ownership.Claim{Resource: serviceResource(h.service), Owner: msg.Owner, Epoch: msg.Terms.Epoch})
	if !msg.Collect {
		h.applyTerms(msg.Terms, time.Now())
	}
	if h.waiters.Len() == 0 {
		h.returnIdle(msg.Recall)
	}
	return pushReply{Report: h.buildReport(time.Now(), msg.Collect)}
}
