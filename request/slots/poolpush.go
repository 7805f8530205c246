package slots

import (
	"context"
	"errors"
	"time"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/process/ownership"
)

// pushPause is how long a holder is left alone after a push to it failed.
const pushPause = 200 * time.Millisecond

// recallPause is how long a holder that had nothing to give back is not asked.
const recallPause = 20 * time.Millisecond

// startPush sends what is queued for h, with a recall of n idle credits.
func (p *pool) startPush(h *holderState, n int) {
	if h.pushing && n == 0 {
		return
	}
	msg := push{Service: p.service, Terms: p.terms(h, time.Now()), Recall: n, Owner: p.m.opts.Self}
	h.recalled = h.recalled || n > 0
	p.m.counts.Pushes.Add(1)
	go p.push(h.ref, msg)
}

// push runs beside the loop and posts its result.
func (p *pool) push(to peer.Ref, msg push) {
	ctx, cancel := context.WithTimeout(p.ctx, p.m.opts.CallTimeout)
	defer cancel()
	answer, err := p.m.callPush(ctx, to, msg)
	p.post(func() { p.pushed(to, msg, answer, err) })
}

func (p *pool) pushed(to peer.Ref, msg push, answer pushReply, err error) {
	h, ok := p.holders[to]
	if !ok {
		return
	}
	now := time.Now()
	if msg.Recall > 0 {
		h.recalled = false
		if len(answer.Report.Returned) == 0 {
			// Asking again at once would be answered so again, for ever when
			// the holder is on this daemon and the answer takes no time.
			h.noRecall = now.Add(recallPause)
		}
	}
	if err != nil {
		// Without a pause a push that fails at once would be repeated at once,
		// for ever: one would notice a daemon at full load and no progress.
		h.unreachable = now.Add(pushPause)
	}
	switch {
	case errors.Is(err, peer.ErrNotSent) || errors.Is(err, peer.ErrWrongLife):
		p.takeBack(h, msg.Terms)
	case err != nil:
		// Perhaps it arrived: the next full report tells.
	case answer.Status == statusStale:
		p.stale(answer.Claim)
		return
	case answer.Status != statusOK:
		p.takeBack(h, msg.Terms)
	default:
		p.takeReport(to, answer.Report, now)
	}
	p.settle(now)
}

// takeBack ends grants that certainly did not arrive.
func (p *pool) takeBack(h *holderState, t terms) {
	for _, g := range t.Grants {
		p.take(g.ID)
	}
	kept := h.inFlight[:0]
	for _, b := range h.inFlight {
		if b.batch != t.Batch || t.Batch == 0 {
			kept = append(kept, b)
		}
	}
	h.inFlight = kept
	for _, e := range t.Endpoints {
		delete(h.told, instanceOf(&e))
	}
}

// stale stops the pool at once: a daemon has met a newer owner.
func (p *pool) stale(c ownership.Claim) {
	p.frozen = true
	if c.Epoch > p.epoch {
		p.m.opts.Directory.Observe(c)
	}
}
