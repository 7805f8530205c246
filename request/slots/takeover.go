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

// collectRetry is the pause between two tries to reach a member.
const collectRetry = 500 * time.Millisecond

// takeover is open while slots may be held under an earlier owner by someone
// who is not accounted for.
//
// What could go wrong: the earlier owner is paused or cut off from here, but
// not from some daemon, and goes on granting slots that this owner grants too;
// or a dead daemon's requests still run. One would notice an instance with
// more requests than slots. This prevents it: every slot that nobody reported
// stays blocked until all earlier owners are known to grant nothing any more
// and the credits they granted have lapsed and the requests begun under these
// have reached their time limit.
type takeover struct {
	began time.Time
	// previous is the claim that ours replaced.
	previous ownership.Claim
	// answered lists the members that refuse lower epochs from now on.
	answered map[peer.Ref]bool
	// met lists holders that reported before they were collected from.
	met map[peer.Ref]bool
	// complete is set when the previous owner handed over complete accounts.
	complete bool
	// unresolved lists earlier owners that may still grant.
	unresolved map[peer.Ref]bool
	// granted is until when a resolved owner may have granted credits.
	granted time.Time
}

// beginTakeover blocks every slot unless nobody owned the pool before.
func (p *pool) beginTakeover(g ownership.Grant) {
	if g.Previous.Epoch == 0 && len(g.Earlier) == 0 {
		return
	}
	now := time.Now()
	t := &takeover{
		began: now, previous: g.Previous,
		answered: map[peer.Ref]bool{}, met: map[peer.Ref]bool{}, unresolved: map[peer.Ref]bool{},
	}
	p.takeover = t
	for _, owner := range g.Earlier {
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

// grantedUntil keeps the unaccounted slots blocked for credits granted up to
// the time.
func (t *takeover) grantedUntil(at time.Time) {
	if at.After(t.granted) {
		t.granted = at
	}
}

// horizon is when the last credit of earlier owners has lapsed and the last
// request begun under one has ended. It is computed at each use, because the
// service's limit may be raised meanwhile.
func (p *pool) horizon() time.Time {
	t := p.takeover
	if t.complete || t.granted.IsZero() {
		return t.began
	}
	return t.granted.Add(p.m.opts.TTL + p.limit() + 2*p.m.opts.Margin)
}

// resolve notes that an earlier owner grants nothing from now on.
func (p *pool) resolve(owner peer.Ref, now time.Time) {
	if p.takeover == nil {
		return
	}
	if _, ok := p.takeover.unresolved[owner]; ok {
		delete(p.takeover.unresolved, owner)
		p.takeover.grantedUntil(now)
	}
}

// endTakeover frees what is still blocked once nobody can hold it.
func (p *pool) endTakeover(now time.Time) {
	t := p.takeover
	if t == nil {
		return
	}
	for owner := range t.unresolved {
		switch {
		case p.replaced(owner) || now.Sub(t.began) > p.m.opts.AuthorityBound:
			p.resolve(owner, now)
		case p.m.opts.Members.Gone(owner) && p.m.recentMajority(t.members()):
			// Gone may mean cut off. An owner that is cut off from the store
			// stops once it has not heard from a majority for a TTL, and the
			// majority that answered here refuses it from now on.
			p.resolve(owner, now.Add(p.m.opts.TTL))
		}
	}
	if len(t.unresolved) > 0 || now.Before(p.horizon()) {
		return
	}
	p.takeover = nil
	p.m.settled(p.claim)
	for id, in := range p.instances {
		in.blocked = 0
		p.forgetIfEmpty(id, in)
	}
}

// replaced reports whether a later life of the owner has registered.
func (p *pool) replaced(owner peer.Ref) bool {
	m, ok := p.m.opts.Members.Lookup(owner.ID)
	return ok && m.Incarnation > owner.Incarnation
}

// collect asks every member for its holdings until each has answered or the
// takeover is over. Each that answers refuses lower epochs from then on.
func (p *pool) collect() {
	for {
		ask, open := p.toAsk()
		if !open {
			return
		}
		var wg sync.WaitGroup
		for _, ref := range ask {
			wg.Go(func() { p.collectFrom(ref) })
		}
		wg.Wait()
		_ = sleep.For(p.ctx, collectRetry) // toAsk tells when it is over
	}
}

// awaits reports whether the takeover has still to collect from the holder.
//
// What could go wrong: a holder that was not collected from renews with this
// owner and goes on with credits of an earlier one, whose slots this owner
// frees when the takeover ends. One would notice an instance with more
// requests than slots. Until it was collected from, nothing of it is renewed,
// so its credits lapse before the takeover ends.
func (p *pool) awaits(ref peer.Ref) bool {
	if p.takeover == nil || p.takeover.answered[ref] {
		return false
	}
	p.takeover.met[ref] = true
	return true
}

// toAsk lists the members, holders and earlier owners that have not answered;
// false when the takeover is over.
func (p *pool) toAsk() ([]peer.Ref, bool) {
	asked := make(chan []peer.Ref, 1)
	done := p.do(p.ctx, func() {
		ask := map[peer.Ref]bool{}
		t := p.takeover
		if t == nil {
			asked <- nil
			return
		}
		for _, m := range p.m.opts.Members.Members() {
			ask[m.Ref] = true
		}
		if t.previous.Epoch > 0 {
			ask[t.previous.Owner] = true
		}
		for ref := range p.holders {
			ask[ref] = true
		}
		for ref := range t.met {
			ask[ref] = true
		}
		for ref := range t.unresolved {
			ask[ref] = true
		}
		for ref := range t.answered {
			delete(ask, ref)
		}
		asked <- append([]peer.Ref{}, slices.Collect(maps.Keys(ask))...)
	})
	if !done {
		return nil, false
	}
	ask := <-asked
	return ask, ask != nil
}

// collectFrom asks one member.
//
// What could go wrong: the answer comes so late that the earlier owner has
// freed a listed credit and granted its slot again. One would notice a slot
// counted as accounted for while somebody else uses it. Answers later than
// half the margin are thrown away and asked for again; an earlier owner waits
// for a whole margin.
func (p *pool) collectFrom(ref peer.Ref) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(p.ctx, min(p.m.opts.CallTimeout, p.m.opts.Margin/2))
	defer cancel()
	msg := push{Service: p.service, Terms: terms{Epoch: p.epoch}, Collect: true, Owner: p.m.opts.Self}
	answer, err := p.m.callPush(ctx, ref, msg)
	if err != nil || answer.Status != statusOK {
		return
	}
	p.do(p.ctx, func() {
		if time.Since(began) <= p.m.opts.Margin/2 {
			p.collected(ref, answer)
		}
	})
}

func (p *pool) collected(ref peer.Ref, answer pushReply) {
	now := time.Now()
	if answer.Pool != nil {
		p.takeHandover(answer.Pool, now)
	}
	if p.takeover != nil {
		p.adopt(ref, answer.Report)
		p.takeover.answered[ref] = true
	}
	p.takeReport(ref, answer.Report, now)
	p.resolve(ref, now)
	p.endTakeover(now)
	p.settle(now)
}

// members lists the members that have answered.
func (t *takeover) members() map[peer.MemberID]bool {
	out := map[peer.MemberID]bool{}
	for ref := range t.answered {
		out[ref.ID] = true
	}
	return out
}

// adopt counts the credits of earlier owners that a member holds as its own.
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

// adoptOne moves a slot from the unaccounted to the holder. It is refused when
// every slot of the instance is accounted for otherwise.
func (p *pool) adoptOne(h *holderState, id creditID, at instanceID) {
	if _, ok := p.credits[id]; ok || uint64(id)>>serialBits >= p.epoch {
		return
	}
	in := p.instance(at)
	if in.known && in.blocked == 0 {
		return
	}
	in.blocked = max(in.blocked-1, 0)
	p.give(id, h, at, 0)
}

// takeHandover takes the accounts of the previous owner; when they are complete,
// what they do not list is free. Books of an earlier epoch are out of date:
// their credits may have been given back, and their slots granted again.
func (p *pool) takeHandover(h *handover, now time.Time) {
	if p.takeover == nil || p.takeover.complete || h.Epoch != p.takeover.previous.Epoch {
		return
	}
	for _, part := range h.Holders {
		if p.takeover.answered[part.Holder] {
			continue // its own list is newer than the accounts
		}
		to := p.holder(part.Holder)
		if to.expires.IsZero() {
			to.expires = now.Add(p.m.opts.TTL + p.m.opts.Margin)
		}
		for _, at := range part.Held {
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

// freeze stops granting and returns the accounts for a successor.
func (p *pool) freeze() *handover {
	p.frozen = true
	out := &handover{Epoch: p.epoch, Complete: p.takeover == nil}
	for _, h := range p.sortedHolders() {
		out.Holders = append(out.Holders, holderPart{Holder: h.ref, Held: p.heldBy(h)})
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
