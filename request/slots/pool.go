package slots

import (
	"context"
	"fmt"
	"math"
	"sort"
	"time"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/process/ownership"
	"fennelshunt.example/fennelshunt/process/plan"
)

// poolTick is how often a pool checks its deadlines.
const poolTick = 200 * time.Millisecond

// pool is the state of a service's slots at their owner. Only its run goroutine accesses the
// fields; other goroutines use do.
type pool struct {
	m       *Manager
	service string
	claim   ownership.Claim
	epoch   uint64
	ctx     context.Context
	cancel  context.CancelFunc
	work    chan func()

	instances map[instanceID]*instance
	credits   map[creditID]*grant
	holders   map[peer.Ref]*holderState
	serial    uint64
	frozen    bool // transferred or fenced: nothing is granted any more
	contended bool
	takeover  *takeover // nil when every slot is accounted for
}

// instance counts the slots of one service instance. At all times free + granted + blocked ==
// slots, where free may be negative after the endpoint was removed or got fewer slots.
type instance struct {
	endpoint plan.Endpoint
	listed   bool // in the current endpoint list
	slots    int
	granted  int
	blocked  int // possibly in use by a holder that is not accounted for
	since    time.Time
}

// grant is one credit that a holder has.
type grant struct {
	instance instanceID
	holder   peer.Ref
	batch    uint64
}

// holderState is the pool's record of one daemon.
type holderState struct {
	ref           peer.Ref
	zone          string
	limit         time.Duration // request limit in its newest full report
	credits       map[creditID]struct{}
	sentEndpoints map[instanceID]struct{} // instances that were sent to it
	avoid         map[instanceID]struct{}
	// expires is when the holder's credits expire at the latest, by this daemon's clock;
	// requests begun before may still run for the limit.
	expires     time.Time
	lastMessage time.Time // time of the newest message
	renewed     time.Time // time of the newest full report that was answered
	seq         uint64    // of the newest report
	batch       uint64    // of the newest grants
	inFlight    []batchSize
	idle        int
	inUse       int
	waiting     int
	oldest      time.Time // arrival of the first waiter
	newest      time.Time
	low         bool
	recalled    bool      // a recall is in flight
	recallAfter time.Time // it had nothing to return; no recall until then
	// unreachableUntil is the time until which nothing is sent to the holder, unless a report
	// from it arrives earlier.
	unreachableUntil time.Time
	queue            []granted
	pushing          bool
}

// batchSize counts the grants of a batch that the holder has not confirmed.
type batchSize struct {
	batch uint64
	size  int
	sent  time.Time
}

func newPool(m *Manager, service string, claim ownership.Claim) *pool {
	p := &pool{
		m: m, service: service, claim: claim, epoch: claim.Epoch, work: make(chan func(), 64),
		instances: map[instanceID]*instance{}, credits: map[creditID]*grant{}, holders: map[peer.Ref]*holderState{},
	}
	p.ctx, p.cancel = context.WithCancel(m.ctx)
	return p
}

// do runs f on the pool's goroutine and waits for it; it returns false when the pool has stopped
// or ctx has ended first.
func (p *pool) do(ctx context.Context, f func()) bool {
	done := make(chan struct{})
	select {
	case p.work <- func() { f(); close(done) }:
	case <-p.ctx.Done():
		return false
	case <-ctx.Done():
		return false
	}
	select {
	case <-done:
		return true
	case <-p.ctx.Done():
		return false
	}
}

// post runs f on the pool's goroutine without waiting for it.
func (p *pool) post(f func()) {
	select {
	case p.work <- f:
	case <-p.ctx.Done():
	}
}

func (p *pool) run() {
	t := time.NewTicker(poolTick)
	defer t.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case f := <-p.work:
			f()
		case <-t.C:
			p.tick(time.Now())
		}
		p.check()
	}
}

// authorized reports whether this owner may still grant and renew. Both use the longer of the two
// limits of Directory.Authority, so that the credits held by the daemons stay in use through an
// outage of the store.
func (p *pool) authorized() bool {
	if p.frozen {
		return false
	}
	claim, ok := p.m.opts.Directory.Owner(serviceResource(p.service))
	if ok && claim.Epoch > p.epoch {
		return false
	}
	_, renew := p.m.opts.Directory.Authority()
	return renew > 0 && (p.m.leaseFresh() || p.m.majority(p.activeMembers(time.Now())))
}

// activeMembers returns the members that have sent a message to this pool within a TTL.
func (p *pool) activeMembers(now time.Time) map[peer.MemberID]bool {
	out := map[peer.MemberID]bool{p.m.opts.Self.ID: true}
	for ref, h := range p.holders {
		if now.Sub(h.lastMessage) < p.m.opts.TTL {
			out[ref.ID] = true
		}
	}
	return out
}

// setEndpoints replaces the service's instances. A new instance is free, except while an earlier
// owner may have granted its slots.
func (p *pool) setEndpoints(list map[instanceID]plan.Endpoint, first bool) {
	now := time.Now()
	for id, in := range p.instances {
		if _, ok := list[id]; !ok {
			in.listed = false
			p.removeIfUnused(id, in)
		}
	}
	for id, e := range list {
		in := p.instance(id)
		if !in.listed && !first && in.since.IsZero() {
			in.since = now
		}
		in.endpoint, in.listed = e, true
		p.resize(in, e.Slots)
	}
	p.distribute(now)
}

func (p *pool) instance(id instanceID) *instance {
	in, ok := p.instances[id]
	if !ok {
		in = &instance{}
		p.instances[id] = in
	}
	return in
}

// resize sets the number of slots. During a takeover, slots that are new to this owner count as
// blocked.
func (p *pool) resize(in *instance, slots int) {
	if in.slots == slots {
		return
	}
	if p.takeover != nil {
		in.blocked = max(in.blocked+slots-in.slots, 0)
	}
	in.slots = slots
	if p.takeover != nil {
		in.blocked = min(in.blocked, max(slots-in.granted, 0))
	}
}

func (p *pool) removeIfUnused(id instanceID, in *instance) {
	if !in.listed && in.granted == 0 && p.takeover == nil {
		delete(p.instances, id)
	}
}

// allowance returns how many slots of the instance may be granted in total at present.
func (p *pool) allowance(in *instance, now time.Time) int {
	if !in.listed || in.endpoint.Leaving {
		return 0
	}
	age := now.Sub(in.since)
	if in.since.IsZero() || age >= p.m.opts.SlowStart {
		return in.slots
	}
	ramp := float64(in.slots) * float64(age) / float64(p.m.opts.SlowStart)
	return min(in.slots, 1+int(ramp))
}

// free returns how many further slots of the instance can be granted now.
func (p *pool) free(in *instance, now time.Time) int {
	return min(in.slots-in.granted-in.blocked, p.allowance(in, now)-in.granted)
}

func (p *pool) holder(ref peer.Ref) *holderState {
	h, ok := p.holders[ref]
	if !ok {
		h = &holderState{ref: ref, credits: map[creditID]struct{}{}, sentEndpoints: map[instanceID]struct{}{}}
		p.holders[ref] = h
	}
	return h
}

// assign records a credit as the holder's.
func (p *pool) assign(id creditID, to *holderState, at instanceID, batch uint64) {
	p.credits[id] = &grant{instance: at, holder: to.ref, batch: batch}
	to.credits[id] = struct{}{}
	p.instances[at].granted++
}

// endCredit deletes a credit and so frees its slot.
func (p *pool) endCredit(id creditID) {
	g, ok := p.credits[id]
	if !ok {
		return
	}
	delete(p.credits, id)
	if h, ok := p.holders[g.holder]; ok {
		delete(h.credits, id)
	}
	in := p.instances[g.instance]
	in.granted--
	p.removeIfUnused(g.instance, in)
}

// tick handles expired deadlines and distributes free slots.
func (p *pool) tick(now time.Time) {
	p.endTakeover(now)
	limit := p.limit()
	for _, h := range p.holders {
		// A member that is listed as ended may merely be unreachable from here: it too may start
		// requests until its credits expire.
		if now.After(h.expires.Add(limit + p.m.opts.Margin)) {
			p.dropHolder(h)
		}
	}
	p.distribute(now)
}

// limit returns the longest time that a request of the service may run, on this daemon or at a
// holder.
func (p *pool) limit() time.Duration {
	limit := p.m.limits.of(p.service)
	for _, h := range p.holders {
		limit = max(limit, h.limit)
	}
	return limit
}

// dropHolder frees the slots of a holder that has not renewed for so long that every request
// begun under its credits has reached its time limit.
func (p *pool) dropHolder(h *holderState) {
	for id := range h.credits {
		p.endCredit(id)
	}
	delete(p.holders, h.ref)
	p.m.counts.HoldersExpired.Add(1)
}

// live reports whether the holder can use credits and can be reached. A holder that has not
// renewed here may hold credits of an earlier owner, but would return new ones at once, again
// and again.
func (p *pool) live(h *holderState, now time.Time) bool {
	return now.Before(h.renewed.Add(p.m.opts.TTL)) && !now.Before(h.unreachableUntil)
}

// unconfirmed returns the number of grants that may still be in flight.
func (h *holderState) unconfirmed() int {
	n := 0
	for _, b := range h.inFlight {
		n += b.size
	}
	return n
}

// confirm drops the batches up to lastBatch, and those sent so long ago that they are lost.
//
// Otherwise, when an answer with grants is lost, the waiters that they were meant for would count
// as served, and would wait although slots are free.
func (h *holderState) confirm(lastBatch uint64, lostBefore time.Time) {
	retained := h.inFlight[:0]
	for _, b := range h.inFlight {
		if b.batch > lastBatch && b.sent.After(lostBefore) {
			retained = append(retained, b)
		}
	}
	h.inFlight = retained
}

// needs returns how many waiters are not covered by grants in flight.
func (h *holderState) needs() int { return max(h.waiting-h.unconfirmed(), 0) }

// expectedIdle returns the idle credits, with the grants in flight counted as idle.
func (h *holderState) expectedIdle() int { return max(h.idle+h.unconfirmed()-h.waiting, 0) }

// headArrival estimates the arrival of the first waiter that is not covered.
func (h *holderState) headArrival() time.Time {
	if h.waiting < 2 {
		return h.oldest
	}
	served := h.waiting - h.needs()
	span := h.newest.Sub(h.oldest)
	return h.oldest.Add(span * time.Duration(served) / time.Duration(h.waiting-1))
}

// weight is a holder's share of the idle credits: the demand of a daemon varies by about the
// square root of its load.
func (h *holderState) weight() float64 { return math.Sqrt(float64(h.inUse + h.waiting + 1)) }

// check checks the pool's invariants. On a violation it panics and so ends the process: a pool
// that granted a slot twice must not continue, and the next owner counts every slot as taken
// until it is accounted for.
func (p *pool) check() {
	if !p.m.opts.CheckInvariants {
		return
	}
	counted := map[instanceID]int{}
	for id, g := range p.credits {
		counted[g.instance]++
		h, ok := p.holders[g.holder]
		if !ok {
			panic(fmt.Sprintf("slots: %s: credit %v has no holder", p.service, id))
		}
		if _, ok := h.credits[id]; !ok {
			panic(fmt.Sprintf("slots: %s: credit %v is not listed at %v", p.service, id, h.ref))
		}
	}
	for id, in := range p.instances {
		if counted[id] != in.granted || in.blocked < 0 {
			panic(fmt.Sprintf("slots: %s: instance %x: %d credits, %d counted, %d blocked", p.service, id, counted[id], in.granted, in.blocked))
		}
		if in.listed && in.blocked > 0 && in.granted+in.blocked > in.slots {
			panic(fmt.Sprintf("slots: %s: instance %x: %d granted and %d blocked of %d", p.service, id, in.granted, in.blocked, in.slots))
		}
	}
}

// sortedHolders returns the holders in a fixed order.
func (p *pool) sortedHolders() []*holderState {
	out := make([]*holderState, 0, len(p.holders))
	for _, h := range p.holders {
		out = append(out, h)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ref.ID < out[j].ref.ID })
	return out
}

func serviceResource(service string) ownership.Resource {
	return ownership.Resource(ownership.ServicePrefix + service)
}
