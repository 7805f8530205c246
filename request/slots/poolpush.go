package slots

import (
	"context"
	"errors"
	"time"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/process/ownership"
)

// pushBackoff is how long nothing is sent to a holder after a push to it failed.
const pushBackoff = 200 * time.Millisecond

// recallBackoff is the pause before the next recall from a holder that had nothing to return.
const recallBackoff = 20 * time.Millisecond

// startPush sends the queued grants to h, with a recall of n idle credits.
func (p *pool) startPush(h *holderState, n int) {
	if h.pushing && n == 0 {
		return
	}
	msg := push{Service: p.service, Terms: p.terms(h, time.Now()), Recall: n, Owner: p.m.opts.Self}
	h.recalled = h.recalled || n > 0
	p.m.counts.Pushes.Add(1)
	go p.push(h.ref, msg)
}

// push runs outside the pool's goroutine and posts its result to it.
func (p *pool) push(to peer.Ref, msg push) {
	ctx, cancel := context.WithTimeout(p.ctx, p.m.opts.CallTimeout)
	defer cancel()
	answer, err := p.m.callPush(ctx, to, msg)
	p.post(func() { p.pushDone(to, msg, answer, err) })
}

func (p *pool) pushDone(to peer.Ref, msg push, answer pushReply, err error) {
	h, ok := p.holders[to]
	if !ok {
		return
	}
	now := time.Now()
	if msg.Recall > 0 {
		h.recalled = false
		if len(answer.Report.Returned) == 0 {
			// An immediate second recall would get the same answer, in an endless loop when the
			// holder is on this daemon and answers without delay.
			h.recallAfter = now.Add(recallBackoff)
		}
	}
	if err != nil {
		// Without a pause a push that fails at once would be repeated at once, without end: a
		// daemon would run at full load without progress.
		h.unreachableUntil = now.Add(pushBackoff)
	}
	switch {
	case errors.Is(err, peer.ErrNotSent) || errors.Is(err, peer.ErrWrongIncarnation):
		p.undoGrants(h, msg.Terms)
	case err != nil:
		// The push may have arrived: the next full report shows it.
	case answer.Status == statusStale:
		p.stale(answer.Claim)
		return
	case answer.Status != statusOK:
		p.undoGrants(h, msg.Terms)
	default:
		p.applyReport(to, answer.Report, now)
	}
	p.distribute(now)
}

// undoGrants ends grants that certainly did not arrive.
func (p *pool) undoGrants(h *holderState, t terms) {
	for _, g := range t.Grants {
		p.endCredit(g.ID)
	}
	retained := h.inFlight[:0]
	for _, b := range h.inFlight {
		if b.batch != t.Batch || t.Batch == 0 {
			retained = append(retained, b)
		}
	}
	h.inFlight = retained
	for _, e := range t.Endpoints {
		delete(h.sentEndpoints, instanceOf(&e))
	}
}

// stale stops the pool at once: a daemon has seen a newer owner.
func (p *pool) stale(c ownership.Claim) {
	p.frozen = true
	if c.Epoch > p.epoch {
		p.m.opts.Directory.Observe(c)
	}
}
