package slots

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/internal/sleep"
	"fennelshunt.example/fennelshunt/process/ownership"
)

const (
	// collectRetry is the pause between two attempts to collect from a member.
	collectRetry = 500 * time.Millisecond
	// maxCollectDoublings bounds how often the timeout of an attempt is doubled: the attempts to the
	// other members wait for the longest.
	maxCollectDoublings = 1
)

// takeover is the state of a pool's owner while slots may be in use under an earlier owner by a
// holder that is not accounted for.
//
// The earlier owner may be suspended or unreachable from here, but reachable for some other daemon,
// and continue to grant slots that this owner grants too; or the requests of a failed daemon may
// still run. An instance would then get more requests than it has slots. Therefore every slot
// that no holder reported stays blocked until it is certain that no earlier owner grants any
// more, that the credits they granted have expired, and that the requests begun under these have
// reached their time limit.
type takeover struct {
	began time.Time
	// previous is the claim that this owner's claim replaced.
	previous ownership.Claim
	// answered lists the members that refuse lower epochs from now on.
	answered map[peer.Ref]bool
	// reported lists holders that sent a report before their credits were collected.
	reported map[peer.Ref]bool
	// complete is set when the previous owner transferred complete credit records.
	complete bool
	// unresolved lists earlier owners that may still grant.
	unresolved map[peer.Ref]bool
	// lastGrant is the latest time at which an earlier owner that no longer grants may have
	// granted credits.
	lastGrant time.Time
}

// beginTakeover blocks every slot, unless the pool never had an owner.
func (p *pool) beginTakeover(g ownership.Grant) {
	if g.Previous.Epoch == 0 && len(g.EarlierOwners) == 0 {
		return
	}
	now := time.Now()
	t := &takeover{
		began: now, previous: g.Previous,
		answered: map[peer.Ref]bool{}, reported: map[peer.Ref]bool{}, unresolved: map[peer.Ref]bool{},
	}
	p.takeover = t
	for _, owner := range g.EarlierOwners {
		t.unresolved[owner] = true
	}
	if g.Previous.Epoch == 0 {
		return
	}
	if g.Previous.Released {
		t.grantedUntil(now)
	} else {
		t.unresolved[g.Previous.Owner] = true
	}
}

// grantedUntil keeps the unaccounted slots blocked for credits granted up to the given time.
func (t *takeover) grantedUntil(at time.Time) {
	if at.After(t.lastGrant) {
		t.lastGrant = at
	}
}

// blockedUntil is when the last credit of earlier owners has expired and the last request begun
// under one has ended. It is computed at each use, because the service's limit may be raised
// meanwhile.
func (p *pool) blockedUntil() time.Time {
	t := p.takeover
	if t.complete || t.lastGrant.IsZero() {
		return t.began
	}
	return t.lastGrant.Add(p.m.opts.TTL + p.limit() + 2*p.m.opts.Margin)
}

// resolve records that an earlier owner grants nothing from now on.
func (p *pool) resolve(owner peer.Ref, now time.Time) {
	if p.takeover == nil {
		return
	}
	if _, ok := p.takeover.unresolved[owner]; ok {
		delete(p.takeover.unresolved, owner)
		p.takeover.grantedUntil(now)
	}
}

// endTakeover frees the blocked slots once no holder can be using them.
func (p *pool) endTakeover(now time.Time) {
	t := p.takeover
	if t == nil {
		return
	}
	for owner := range t.unresolved {
		switch {
		case p.replaced(owner) || now.Sub(t.began) > p.m.opts.AuthorityBound:
			p.resolve(owner, now)
		case p.m.opts.Members.HasEnded(owner) && p.m.recentMajority(t.members()):
			// A member that is listed as ended may merely be unreachable. An owner that has lost
			// the store stops once it has received nothing from a majority for a TTL, and the
			// majority that answered here refuses it from now on.
			p.resolve(owner, now.Add(p.m.opts.TTL))
		}
	}
	if len(t.unresolved) > 0 || now.Before(p.blockedUntil()) {
		return
	}
	p.takeover = nil
	p.m.settled(p.claim)
	for id, in := range p.instances {
		in.blocked = 0
		p.removeIfUnused(id, in)
	}
}

// replaced reports whether a later incarnation of the owner has registered.
func (p *pool) replaced(owner peer.Ref) bool {
	m, ok := p.m.opts.Members.Lookup(owner.ID)
	return ok && m.Incarnation > owner.Incarnation
}

// collect requests the credits of every member until each has answered or the takeover has
// ended. Each member that answers refuses lower epochs from then on.
func (p *pool) collect() {
	missed := map[peer.Ref]int{} // consecutive requests without an answer
	for {
		targets, earlierEnded, open := p.collectTargets()
		if !open {
			return
		}
		var mu sync.Mutex // guards missed
		var wg sync.WaitGroup
		for _, ref := range targets {
			mu.Lock()
			before := missed[ref]
			mu.Unlock()
			wg.Go(func() {
				if p.collectFrom(ref, earlierEnded, before) {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				missed[ref]++
			})
		}
		wg.Wait()
		_ = sleep.For(p.ctx, collectRetry) // collectTargets reports the end of the takeover
	}
}

// awaitsCollection reports whether the takeover still has to collect from the holder.
//
// Until then the holder cannot renew, so its credits expire before the takeover ends. Otherwise
// it could renew with this owner and continue to use credits of an earlier one, whose slots this
// owner frees when the takeover ends, and an instance would get more requests than it has slots.
func (p *pool) awaitsCollection(ref peer.Ref) bool {
	if p.takeover == nil || p.takeover.answered[ref] {
		return false
	}
	p.takeover.reported[ref] = true
	return true
}

// collectTargets lists the members, holders and earlier owners that have not answered. earlierEnded
// reports that no earlier owner grants any more; open is false when the takeover has ended.
func (p *pool) collectTargets() (all []peer.Ref, earlierEnded, open bool) {
	type answer struct {
		all          []peer.Ref
		earlierEnded bool
	}
	result := make(chan answer, 1)
	done := p.do(p.ctx, func() {
		targets := map[peer.Ref]bool{}
		t := p.takeover
		if t == nil {
			result <- answer{}
			return
		}
		for _, m := range p.m.opts.Members.Members() {
			targets[m.Ref] = true
		}
		if t.previous.Epoch > 0 {
			targets[t.previous.Owner] = true
		}
		for ref := range p.holders {
			targets[ref] = true
		}
		for ref := range t.reported {
			targets[ref] = true
		}
		for ref := range t.unresolved {
			targets[ref] = true
		}
		for ref := range t.answered {
			delete(targets, ref)
		}
		result <- answer{
			all:          append([]peer.Ref{}, slices.Collect(maps.Keys(targets))...),
			earlierEnded: len(t.unresolved) == 0 && !time.Now().Before(t.lastGrant),
		}
	})
	if !done {
		return nil, false, false
	}
	a := <-result
	return a.all, a.earlierEnded, a.all != nil
}

// collectFrom collects the credits of one member. missed is how many times in succession the member
// has not answered.
//
// While an earlier owner may still grant, replies later than half the margin are discarded and
// requested again; an earlier owner waits for a whole margin. A later reply could list a credit that
// the earlier owner has since freed and whose slot it has granted again, so the slot would count as
// accounted for while another holder uses it. When all earlier owners had ended before the request, no
// such slot is granted again, and a member that is short of processor time gets longer each time:
// otherwise its slots would count as taken for as long as it answers late.
func (p *pool) collectFrom(ref peer.Ref, earlierEnded bool, missed int) (answered bool) {
	began := time.Now()
	limit := min(p.m.opts.CallTimeout, p.m.opts.Margin/2)
	if earlierEnded {
		limit = p.m.opts.CallTimeout << min(missed, maxCollectDoublings)
	}
	ctx, cancel := context.WithTimeout(p.ctx, limit)
	defer cancel()
	msg := push{Service: p.service, Terms: terms{Epoch: p.epoch}, Collect: true, Owner: p.m.opts.Self}
	answer, err := p.m.callPush(ctx, ref, msg)
	if err != nil || answer.Status != statusOK {
		return false
	}
	p.do(p.ctx, func() {
		if earlierEnded || time.Since(began) <= p.m.opts.Margin/2 {
			p.applyCollected(ref, answer)
		}
	})
	return true
}

func (p *pool) applyCollected(ref peer.Ref, answer pushReply) {
	now := time.Now()
	if answer.Pool != nil {
		p.applyHandover(answer.Pool, now)
	}
	if p.takeover != nil {
		p.adopt(ref, answer.Report)
		p.takeover.answered[ref] = true
	}
	p.applyReport(ref, answer.Report, now)
	p.resolve(ref, now)
	p.endTakeover(now)
	p.distribute(now)
}

// members returns the members that have answered.
func (t *takeover) members() map[peer.MemberID]bool {
	out := map[peer.MemberID]bool{}
	for ref := range t.answered {
		out[ref.ID] = true
	}
	return out
}

// adopt records the credits of earlier owners that a member holds.
func (p *pool) adopt(ref peer.Ref, r report) {
	h := p.holder(ref)
	if until := time.Now().Add(p.m.opts.TTL + p.m.opts.Margin); until.After(h.expires) {
		h.expires = until
	}
	for _, at := range r.Held {
		for _, id := range at.Credits {
			p.adoptOne(h, id, at.Instance)
		}
	}
}

// adoptOne moves a slot from the blocked ones to the holder. It does nothing when the credit is
// recorded already or is not from an earlier epoch, or when the instance is listed and all its
// slots are accounted for.
func (p *pool) adoptOne(h *holderState, id creditID, at instanceID) {
	if _, ok := p.credits[id]; ok || uint64(id)>>serialBits >= p.epoch {
		return
	}
	in := p.instance(at)
	if in.listed && in.blocked == 0 {
		return
	}
	in.blocked = max(in.blocked-1, 0)
	p.assign(id, h, at, 0)
}

// applyHandover takes the credit records of the previous owner; when they are complete, slots
// that they do not list are free. Records of an earlier epoch are out of date: their credits may
// have been returned, and their slots granted again.
func (p *pool) applyHandover(h *handover, now time.Time) {
	if p.takeover == nil || p.takeover.complete || h.Epoch != p.takeover.previous.Epoch {
		return
	}
	for _, entry := range h.Holders {
		if p.takeover.answered[entry.Holder] {
			continue // the holder's own list is newer than the records
		}
		to := p.holder(entry.Holder)
		if to.expires.IsZero() {
			to.expires = now.Add(p.m.opts.TTL + p.m.opts.Margin)
		}
		for _, at := range entry.Held {
			for _, id := range at.Credits {
				p.adoptOne(to, id, at.Instance)
			}
		}
	}
	if h.Complete {
		p.takeover.complete = true
		clear(p.takeover.unresolved)
	}
}

// freeze stops granting and returns the credit records for a successor.
func (p *pool) freeze() *handover {
	p.frozen = true
	out := &handover{Epoch: p.epoch, Complete: p.takeover == nil}
	for _, h := range p.sortedHolders() {
		out.Holders = append(out.Holders, holderCredits{Holder: h.ref, Held: p.heldBy(h)})
	}
	return out
}

func (p *pool) heldBy(h *holderState) []heldAt {
	byInstance := map[instanceID][]creditID{}
	for id := range h.credits {
		at := p.credits[id].instance
		byInstance[at] = append(byInstance[at], id)
	}
	out := make([]heldAt, 0, len(byInstance))
	for at, ids := range byInstance {
		out = append(out, heldAt{Instance: at, Credits: ids})
	}
	return out
}
