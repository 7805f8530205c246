package slots

import (
	"time"

	"fennelshunt.example/fennelshunt/connection/peer"
)

// minSurplus is the smallest difference in idle credits between two holders at which one is
// asked to return some for the other.
const minSurplus = 3

// report processes a holder's report and returns the reply with the credits granted.
func (p *pool) report(from peer.Ref, r report) reply {
	now := time.Now()
	if !p.authorized() {
		return p.refuse()
	}
	if p.awaitsCollection(from) {
		return reply{Status: statusNotReady, Terms: terms{Epoch: p.epoch}}
	}
	unknown, ok := p.applyReport(from, r, now)
	if !ok {
		return reply{Status: statusNeedFull, Terms: terms{Epoch: p.epoch}}
	}
	h := p.holders[from]
	if r.Full {
		h.renewed = now
	}
	h.pushing = true // grants to h are sent with this reply
	p.distribute(now)
	h.pushing = false
	out := reply{Terms: p.terms(h, now), Unknown: unknown}
	if r.Full {
		// The next full report is fenced up to here, so that grants in a lost reply are detected
		// and their slots freed.
		out.Terms.Batch = h.batch
	}
	return out
}

func (p *pool) refuse() reply {
	claim, _ := p.m.opts.Directory.Owner(serviceResource(p.service))
	if claim.Epoch > p.epoch {
		return reply{Status: statusStale, Claim: claim}
	}
	return reply{Status: statusNotOwner, Claim: claim}
}

// applyReport updates the credit records; it returns false when a full report is needed first.
// All its changes are monotonic: a report that is delayed or delivered twice can only make the
// pool count too many slots as taken.
func (p *pool) applyReport(from peer.Ref, r report, now time.Time) ([]creditID, bool) {
	h, ok := p.holders[from]
	if !r.Full && (!ok || !now.Before(h.expires)) {
		return nil, false
	}
	if p.m.opts.Members.HasEnded(from) {
		return nil, false
	}
	h = p.holder(from)
	h.lastMessage = now
	h.unreachableUntil = time.Time{}
	for _, id := range r.Returned {
		if g, ok := p.credits[id]; ok && g.holder == from {
			p.endCredit(id)
		}
	}
	var unknown []creditID
	if r.Full {
		unknown = p.reconcile(h, r)
		h.expires = now.Add(p.m.opts.TTL + p.m.opts.Margin)
		h.zone = r.Zone
		h.limit = fromMicros(r.LimitMicros)
	}
	if r.Seq > h.seq {
		p.updateNeeds(h, r, now)
	}
	return unknown, true
}

// reconcile makes the records of h equal to its full report.
func (p *pool) reconcile(h *holderState, r report) []creditID {
	var unknown []creditID
	listed := map[creditID]struct{}{}
	for _, at := range r.Held {
		for _, id := range at.Credits {
			listed[id] = struct{}{}
			if !p.recognize(h, id) {
				unknown = append(unknown, id)
			}
		}
	}
	for id := range h.credits {
		if _, ok := listed[id]; !ok && p.credits[id].batch <= r.Fence {
			p.endCredit(id)
		}
	}
	return unknown
}

// recognize reports whether the credit is h's.
func (p *pool) recognize(h *holderState, id creditID) bool {
	g, ok := p.credits[id]
	return ok && g.holder == h.ref
}

func (p *pool) updateNeeds(h *holderState, r report, now time.Time) {
	h.seq = r.Seq
	h.confirm(r.Seen, now.Add(-p.m.opts.CallTimeout))
	h.idle, h.inUse, h.waiting, h.low = r.Idle, r.InUse, r.Waiting, r.Low
	h.oldest = now.Add(-fromMicros(r.OldestMicros))
	h.newest = now.Add(-fromMicros(r.NewestMicros))
	h.avoid = nil
	if len(r.Avoid) > 0 {
		h.avoid = map[instanceID]struct{}{}
		for _, id := range r.Avoid {
			h.avoid[id] = struct{}{}
		}
	}
}

// distribute grants free slots to waiting requests, in order of arrival over all daemons, then
// to holders whose reserve is low. It recalls idle credits when slots are short.
func (p *pool) distribute(now time.Time) {
	if !p.authorized() {
		return
	}
	holders := p.sortedHolders()
	p.grantWaiting(holders, now)
	p.grantReserves(holders, now)
	p.recall(holders, now)
	for _, h := range holders {
		if len(h.queue) > 0 {
			p.startPush(h, 0)
		}
	}
	p.announce(holders, now)
}

func (p *pool) grantWaiting(holders []*holderState, now time.Time) {
	blocked := map[*holderState]bool{}
	for {
		var next *holderState
		for _, h := range holders {
			if blocked[h] || h.needs() == 0 || !p.live(h, now) {
				continue
			}
			if next == nil || h.headArrival().Before(next.headArrival()) {
				next = h
			}
		}
		if next == nil {
			return
		}
		if !p.grantOne(next, now) {
			blocked[next] = true
		}
	}
}

// grantOne grants the best free slot to h: preferably in its zone, then on the least loaded
// instance.
func (p *pool) grantOne(h *holderState, now time.Time) bool {
	var best instanceID
	bestScore := 0.0
	for id, in := range p.instances {
		free := p.free(in, now)
		if free <= 0 {
			continue
		}
		if _, avoid := h.avoid[id]; avoid {
			continue
		}
		score := float64(free) / float64(in.slots)
		if in.endpoint.Zone == h.zone {
			score++
		}
		if score > bestScore || score == bestScore && id < best {
			best, bestScore = id, score
		}
	}
	if bestScore == 0 {
		return false
	}
	p.serial++
	id := newCreditID(p.epoch, p.serial)
	if len(h.queue) == 0 {
		h.batch++
		h.inFlight = append(h.inFlight, batchSize{batch: h.batch, sent: now})
	}
	h.inFlight[len(h.inFlight)-1].size++
	h.queue = append(h.queue, granted{ID: id, Instance: best})
	p.assign(id, h, best, h.batch)
	p.m.counts.Granted.Add(1)
	return true
}

// grantReserves fills low reserves from the free slots.
func (p *pool) grantReserves(holders []*holderState, now time.Time) {
	if p.unmet(holders, now) > 0 {
		return
	}
	targets := p.targets(holders, now)
	for _, h := range holders {
		if !h.low || !p.live(h, now) {
			continue
		}
		for h.expectedIdle() < targets[h] && p.grantOne(h, now) {
		}
		if h.expectedIdle()*2 >= targets[h] {
			h.low = false
		}
	}
}

// targets distributes the idle credits by weight.
func (p *pool) targets(holders []*holderState, now time.Time) map[*holderState]int {
	idle, weights := 0, 0.0
	for _, in := range p.instances {
		idle += max(p.free(in, now), 0)
	}
	for _, h := range holders {
		if p.live(h, now) {
			idle += h.expectedIdle()
			weights += h.weight()
		}
	}
	out := make(map[*holderState]int, len(holders))
	for _, h := range holders {
		if p.live(h, now) {
			out[h] = int(float64(idle) * h.weight() / weights)
		}
	}
	return out
}

// unmet returns the number of waiters for which no grant is in flight.
func (p *pool) unmet(holders []*holderState, now time.Time) int {
	n := 0
	for _, h := range holders {
		if p.live(h, now) {
			n += h.needs()
		}
	}
	return n
}

// recall requests idle credits from holders when others need them more.
func (p *pool) recall(holders []*holderState, now time.Time) {
	if need := p.unmet(holders, now); need > 0 {
		for _, h := range holders {
			if n := min(h.expectedIdle(), need); n > 0 && p.recallable(h, now) {
				need -= n
				p.startPush(h, n)
			}
		}
		return
	}
	targets := p.targets(holders, now)
	for _, h := range holders {
		if !h.low || !p.live(h, now) {
			continue
		}
		donor := p.donor(holders, targets, now)
		if donor == nil || donor == h || donor.expectedIdle() < h.expectedIdle()+minSurplus {
			return
		}
		p.startPush(donor, (donor.expectedIdle()-h.expectedIdle())/2)
	}
}

// recallable reports whether idle credits may be recalled from h now.
func (p *pool) recallable(h *holderState, now time.Time) bool {
	return !h.recalled && p.live(h, now) && !now.Before(h.recallAfter)
}

// donor returns the holder with the most idle credits above its target.
func (p *pool) donor(holders []*holderState, targets map[*holderState]int, now time.Time) *holderState {
	var best *holderState
	for _, h := range holders {
		if !p.recallable(h, now) || h.expectedIdle() <= targets[h] {
			continue
		}
		if best == nil || h.expectedIdle()-targets[h] > best.expectedIdle()-targets[best] {
			best = h
		}
	}
	return best
}

// announce notifies the holders when contention begins; its end reaches them with the next
// message.
func (p *pool) announce(holders []*holderState, now time.Time) {
	contended := p.unmet(holders, now) > 0
	if contended == p.contended {
		return
	}
	p.contended = contended
	for _, h := range holders {
		if contended && p.live(h, now) {
			p.startPush(h, 0)
		}
	}
}

// terms returns the terms for h and empties its queue of grants.
func (p *pool) terms(h *holderState, now time.Time) terms {
	holders := p.sortedHolders()
	t := terms{Epoch: p.epoch, Grants: h.queue, Contended: p.contended, Target: p.targets(holders, now)[h]}
	if len(h.queue) > 0 {
		t.Batch = h.batch
	}
	h.queue = nil
	for _, g := range t.Grants {
		if _, ok := h.sentEndpoints[g.Instance]; !ok {
			h.sentEndpoints[g.Instance] = struct{}{}
			t.Endpoints = append(t.Endpoints, p.instances[g.Instance].endpoint)
		}
	}
	for _, o := range holders {
		if p.contended && p.live(o, now) && o.needs() > 0 {
			t.OldestMicros = max(t.OldestMicros, micros(now.Sub(o.headArrival())))
		}
	}
	return t
}
