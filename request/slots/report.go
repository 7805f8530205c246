package slots

import (
	"context"
	"time"

	"fennelshunt.example/fennelshunt/process/ownership"
)

const (
	// maxCalls bounds the reports of one holder that are under way.
	maxCalls = 4
	// reserveInterval is the least time between two reports that only ask for
	// a reserve.
	reserveInterval = 2 * time.Millisecond
	// notReadyPause is the pause before a report that came too early for a new
	// owner is repeated.
	notReadyPause = 20 * time.Millisecond
	// retryInterval is how often a holder with waiters repeats a report.
	retryInterval = 250 * time.Millisecond
)

// askIfLow asks for a reserve before it is needed. The caller holds mu.
func (h *holder) askIfLow() {
	if h.low() && time.Since(h.lastAsked) >= reserveInterval {
		h.kick()
	}
}

// low reports whether the reserve is below half its target.
func (h *holder) low() bool { return len(h.idle)*2 < h.target }

// kick starts a report, or notes that one is due when the others are back.
// The caller holds mu.
func (h *holder) kick() {
	if h.calls >= maxCalls {
		h.again = true
		return
	}
	if h.owner.Epoch == 0 {
		return
	}
	r := h.build(time.Now(), false)
	h.send(r)
}

// build writes a report. The caller holds mu.
func (h *holder) build(now time.Time, full bool) report {
	h.seq++
	h.lastReport = now
	if h.waiters.Len() > 0 && now.Before(h.validUntil) {
		h.returnIdle(len(h.idle)) // none is usable, or a waiter would have it
	}
	r := report{
		Service: h.service, Epoch: h.owner.Epoch, Seq: h.seq, Seen: h.seen, Zone: h.m.opts.Zone,
		Returned: h.returned, Idle: len(h.idle), InUse: len(h.credits) - len(h.idle), Waiting: h.waiters.Len(), Low: h.low(),
	}
	h.returned = nil
	if r.Low {
		h.lastAsked = now
	}
	if r.Waiting > 0 {
		r.OldestMicros = micros(now.Sub(h.waiters.Front().Value.(*waiter).arrived))
		r.NewestMicros = micros(now.Sub(h.waiters.Back().Value.(*waiter).arrived))
		r.Avoid = h.avoid()
	}
	if full || !h.renewed || h.validUntil.Sub(now) < h.m.opts.TTL*2/3 {
		h.fill(&r)
	}
	return r
}

// avoid lists instances that health rules out now.
func (h *holder) avoid() []instanceID {
	var out []instanceID
	for id, e := range h.endpoints {
		if !h.m.opts.Health.Usable(e.Address) {
			out = append(out, id)
		}
	}
	return out
}

// fill makes the report a full one.
func (h *holder) fill(r *report) {
	h.dropLapsed(time.Now())
	r.Full = true
	r.LimitMicros = micros(h.limit())
	r.Fence, h.fence = h.seen, h.seen
	byInstance := map[instanceID][]creditID{}
	for id, c := range h.credits {
		byInstance[c.instance] = append(byInstance[c.instance], id)
	}
	for at, ids := range byInstance {
		r.Held = append(r.Held, heldAt{Instance: at, Credits: ids})
	}
}

// dropLapsed disowns every credit when the renewal is so long overdue that the
// pool may have freed them.
//
// What could go wrong: this daemon was cut off, its slots were freed and
// granted to another, and a new owner of the pool takes this list for true.
// One would notice a slot that is accounted for twice. The pool waits for a
// margin longer than this.
func (h *holder) dropLapsed(now time.Time) {
	if now.Before(h.validUntil.Add(h.limit())) {
		return
	}
	ids := make([]creditID, 0, len(h.credits))
	for id := range h.credits {
		ids = append(ids, id)
	}
	h.forget(ids)
}

// send calls the pool beside the caller, who holds mu.
func (h *holder) send(r report) {
	owner, began := h.owner, time.Now()
	h.calls++
	h.again = false
	h.m.counts.Reports.Add(1)
	go func() {
		ctx, cancel := context.WithTimeout(h.m.ctx, h.m.opts.CallTimeout)
		defer cancel()
		answer, err := h.m.callReport(ctx, owner.Owner, r)
		h.answered(owner, began, r, answer, err)
	}()
}

// answered takes the pool's answer to r.
func (h *holder) answered(owner ownership.Claim, began time.Time, r report, answer reply, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if owner != h.owner {
		// Another owner meanwhile: what this one says no longer counts, and its
		// grants were never ours.
		return
	}
	h.calls--
	switch {
	case err != nil:
		h.returned = append(h.returned, r.Returned...)
		h.ownerSilent()
		h.m.counts.ReportsFailed.Add(1)
		return // the ticker tries again
	case answer.Status == statusNeedFull:
		h.returned = append(h.returned, r.Returned...)
		if !r.Full {
			h.send(h.build(time.Now(), true))
		}
		return
	case answer.Status == statusNotReady:
		h.returned = append(h.returned, r.Returned...)
		time.AfterFunc(notReadyPause, func() { h.retryRenewal(owner) })
		return
	case answer.Status != statusOK:
		h.takeBack(r.Returned, time.Now())
		if answer.Claim.Epoch > h.owner.Epoch {
			h.m.opts.Directory.Observe(answer.Claim)
		}
		return
	default:
		h.heardBack(r)
		h.accept(began, r, answer)
	}
	if h.again {
		h.kick()
	}
}

// retryRenewal renews with a new owner that had not collected from here yet.
func (h *holder) retryRenewal(owner ownership.Claim) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.owner == owner && !h.renewed && h.m.ctx.Err() == nil {
		h.kick()
	}
}

func (h *holder) accept(began time.Time, r report, answer reply) {
	if r.Full {
		h.renewed = true
		h.forget(answer.Unknown)
		if until := began.Add(h.m.opts.TTL); until.After(h.validUntil) {
			h.validUntil = until
		}
	}
	h.takeTerms(answer.Terms, time.Now())
}

// tick renews in time and repeats what got lost.
func (h *holder) tick(now time.Time) {
	h.limit() // notes a raised one before it is lowered again
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.owner.Epoch == 0 || h.calls > 0 {
		return
	}
	h.serve(now)
	renew := h.validUntil.Sub(now) < h.m.opts.TTL*2/3
	waiting := !h.renewed || h.waiters.Len() > 0 || len(h.returned) > 0 || h.low()
	if renew || waiting && now.Sub(h.lastReport) >= retryInterval {
		h.kick()
	}
}

// setOwner takes the newest claim of the pool. Credits stay: the new owner
// adopts them with the next full report. They stay valid as before, because
// the new owner counts what is not accounted for as taken.
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
	h.seen, h.fence, h.returned = 0, 0, nil
	clear(h.givenBack)
	h.target, h.contended, h.calls, h.renewed = 0, false, 0, false
	h.send(h.build(time.Now(), true))
}

// pushed takes a push; a pool under a lower epoch is refused.
func (h *holder) pushed(msg push) pushReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	if msg.Terms.Epoch < h.owner.Epoch {
		return pushReply{Status: statusStale, Claim: h.owner}
	}
	h.changeOwner(ownership.Claim{Resource: serviceResource(h.service), Owner: msg.Owner, Epoch: msg.Terms.Epoch})
	if !msg.Collect {
		h.takeTerms(msg.Terms, time.Now())
	}
	if h.waiters.Len() == 0 {
		h.returnIdle(msg.Recall)
	}
	return pushReply{Report: h.build(time.Now(), msg.Collect)}
}
