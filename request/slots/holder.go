package slots

import (
	"container/list"
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"fennelshunt.example/fennelshunt/process/ownership"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/request/verdict"
)

// Codes of the *verdict.Error values that Acquire returns, all NotRun.
const (
	CodeNoSlot         = "no_slot"         // no slot was free in time
	CodeQueueFull      = "queue_full"      // too many requests are waiting
	CodeUnknownService = "unknown_service" // not in the configuration
)

// retryAfterMillis is the retry delay returned to a caller without a slot.
const retryAfterMillis = 1000

var (
	errQueueFull        = errors.New("too many requests wait for a slot of the service")
	errUnknownService   = errors.New("no such service")
	errIncarnationEnded = errors.New("this life of the daemon is over")
)

// holder is this daemon's side of one service: the credits it holds and the requests that wait
// here. It is guarded by a briefly held mutex, so that a request that finds an idle credit needs
// no goroutine switch and no message.
type holder struct {
	m       *Manager
	service string

	mu        sync.Mutex
	endpoints map[instanceID]plan.Endpoint
	load      map[instanceID]*instanceLoad
	credits   map[creditID]*credit
	idle      []*credit
	waiters   list.List // of *waiter, in order of arrival

	owner      ownership.Claim
	validUntil time.Time  // no request may begin on a credit after this time
	seq        uint64     // of the newest report
	lastBatch  uint64     // highest batch received
	fence      uint64     // batches up to this one are rejected
	returned   []creditID // credits to report as returned
	// pendingReturns are the credits in returned, and in reports that the pool has not answered
	// yet.
	pendingReturns     map[creditID]*credit
	target             int
	contended          bool
	oldest             time.Time // arrival of the first waiter over all daemons
	reportsInFlight    int
	unanswered         int  // consecutive reports without an answer
	renewed            bool // whether this owner has answered a full report
	reportDue          bool // whether a change has not been reported yet
	leaving            bool // the daemon is stopping: no idle credit is kept
	lastReport         time.Time
	lastReserveRequest time.Time // time of the last request for a reserve
}

// instanceLoad is this daemon's use of one instance.
type instanceLoad struct {
	inUse    int
	lastUsed time.Time
}

type creditState int

const (
	creditIdle creditState = iota
	creditInUse
	creditUncertain // the outcome of its request is unknown
)

// credit is the right to run one request at one instance.
type credit struct {
	id       creditID
	instance instanceID
	endpoint plan.Endpoint
	state    creditState
	began    time.Time
	// orphaned credits are no longer recorded as this holder's by the pool; they end with the
	// request that uses them.
	orphaned bool
}

type waiter struct {
	arrived time.Time
	got     chan *credit // capacity 1
}

func newHolder(m *Manager, service string) *holder {
	return &holder{
		m: m, service: service,
		endpoints: map[instanceID]plan.Endpoint{}, load: map[instanceID]*instanceLoad{}, credits: map[creditID]*credit{},
		pendingReturns: map[creditID]*credit{},
	}
}

// acquire takes an idle credit or waits for one until ctx ends.
func (h *holder) acquire(ctx context.Context) (Slot, error) {
	h.mu.Lock()
	if h.waiters.Len() == 0 {
		if c := h.pick(time.Now()); c != nil {
			h.requestReserveIfLow()
			h.mu.Unlock()
			return &slot{h: h, c: c}, nil
		}
	}
	if h.waiters.Len() >= h.m.opts.MaxWaiting {
		h.mu.Unlock()
		return nil, h.refused(CodeQueueFull, errQueueFull)
	}
	w := &waiter{arrived: time.Now(), got: make(chan *credit, 1)}
	el := h.waiters.PushBack(w)
	h.m.counts.Waited.Add(1)
	h.triggerReport()
	h.mu.Unlock()
	select {
	case c := <-w.got:
		return &slot{h: h, c: c}, nil
	case <-ctx.Done():
		return nil, h.cancelWait(el, w, ctx.Err())
	case <-h.m.ctx.Done():
		// This incarnation of the daemon has ended: no credit will be granted any more, and the
		// caller should retry at another daemon at once.
		return nil, h.cancelWait(el, w, errIncarnationEnded)
	}
}

// cancelWait removes a waiter that stops waiting; a credit that was granted to it at the same
// moment goes to the next one.
func (h *holder) cancelWait(el *list.Element, w *waiter, cause error) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case c := <-w.got:
		h.free(c)
	default:
		h.waiters.Remove(el)
	}
	return h.refused(CodeNoSlot, cause)
}

func (h *holder) refused(code string, err error) error {
	return &verdict.Error{
		Verdict: verdict.NotRun, Status: http.StatusServiceUnavailable, Code: code,
		RetryAfterMillis: retryAfterMillis, Err: fmt.Errorf("service %s: %w", h.service, err),
	}
}

// pick takes the best usable idle credit: preferably in this daemon's zone, then on the instance
// that it uses least and has used least recently.
//
// It takes none after validUntil. While this daemon was suspended or disconnected, the pool may
// have granted its slots to others, and an instance would get more requests than it has slots.
// validUntil counts from the start of the renewal and is always earlier than the pool's own
// deadline.
func (h *holder) pick(now time.Time) *credit {
	if !now.Before(h.validUntil) {
		return nil
	}
	best := -1
	for i, c := range h.idle {
		if h.usable(c) && (best < 0 || h.better(c, h.idle[best])) {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	c := h.idle[best]
	h.removeIdle(best)
	h.use(c, now)
	return c
}

func (h *holder) usable(c *credit) bool {
	e, ok := h.endpoints[c.instance]
	return ok && !e.Leaving && h.m.opts.Health.Usable(e.Address)
}

func (h *holder) better(a, b *credit) bool {
	nearA, nearB := a.endpoint.Zone == h.m.opts.Zone, b.endpoint.Zone == h.m.opts.Zone
	if nearA != nearB {
		return nearA
	}
	la, lb := h.loadOf(a.instance), h.loadOf(b.instance)
	if la.inUse != lb.inUse {
		return la.inUse < lb.inUse
	}
	return la.lastUsed.Before(lb.lastUsed)
}

func (h *holder) loadOf(id instanceID) *instanceLoad {
	l, ok := h.load[id]
	if !ok {
		l = &instanceLoad{}
		h.load[id] = l
	}
	return l
}

func (h *holder) removeIdle(i int) {
	last := len(h.idle) - 1
	h.idle[i] = h.idle[last]
	h.idle[last] = nil
	h.idle = h.idle[:last]
}

func (h *holder) use(c *credit, now time.Time) {
	c.state, c.began = creditInUse, now
	l := h.loadOf(c.instance)
	l.inUse++
	l.lastUsed = now
}

// limit returns the longest time that a request of the service may run.
func (h *holder) limit() time.Duration { return h.m.limits.of(h.service) }

// release ends a request's use of c.
func (h *holder) release(c *credit, outcome Outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if outcome == Ended {
		h.free(c)
		return
	}
	c.state = creditUncertain
	wait := time.Until(c.began.Add(h.limit() + h.m.opts.Margin))
	time.AfterFunc(max(wait, 0), func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.free(c)
	})
}

// free makes a credit that was in use available: to the first waiter here, unless another
// daemon's first waiter has waited much longer; to the pool when slots are short; or else to the
// reserve. The caller holds mu.
func (h *holder) free(c *credit) {
	h.loadOf(c.instance).inUse--
	if c.orphaned {
		return
	}
	c.state = creditIdle
	if !h.keepable(c) {
		h.returnCredit(c)
		h.triggerReport()
		return
	}
	h.idle = append(h.idle, c)
	now := time.Now()
	if h.contended && h.remoteFirst() {
		h.returnIdle(1)
		h.triggerReport()
		return
	}
	h.serve(now)
	if h.contended && len(h.idle) > 0 || h.surplus() > 0 {
		h.returnIdle(max(h.surplus(), 0))
		h.triggerReport()
	}
}

// keepable reports whether an idle credit may be kept: its instance accepts new requests and
// this daemon is not stopping.
func (h *holder) keepable(c *credit) bool {
	e, ok := h.endpoints[c.instance]
	return ok && !e.Leaving && !h.leaving
}

// remoteFirst reports whether a request at another daemon has waited so much longer than the
// first one here that it is served first.
func (h *holder) remoteFirst() bool {
	if h.waiters.Len() == 0 {
		return true
	}
	first := h.waiters.Front().Value.(*waiter)
	return !h.oldest.IsZero() && first.arrived.Sub(h.oldest) > h.m.opts.FairWindow
}

// surplus returns the number of idle credits above what this daemon should keep.
func (h *holder) surplus() int {
	if h.waiters.Len() > 0 {
		return 0
	}
	if h.contended {
		return len(h.idle)
	}
	if high := 2*h.target + minSurplus; len(h.idle) > high {
		return len(h.idle) - h.target
	}
	return 0
}

// serve gives idle credits to waiters in order of arrival.
func (h *holder) serve(now time.Time) {
	for h.waiters.Len() > 0 {
		c := h.pick(now)
		if c == nil {
			return
		}
		w := h.waiters.Remove(h.waiters.Front()).(*waiter)
		w.got <- c
	}
}

// returnIdle returns n idle credits to the pool, the least useful first. The caller holds mu and
// triggers the report.
func (h *holder) returnIdle(n int) {
	for ; n > 0 && len(h.idle) > 0; n-- {
		worst := 0
		for i := range h.idle {
			if h.better(h.idle[worst], h.idle[i]) {
				worst = i
			}
		}
		c := h.idle[worst]
		h.removeIdle(worst)
		h.returnCredit(c)
	}
}

// returnCredit ends a credit that is neither in use nor in h.idle; the next report returns it to
// the pool.
func (h *holder) returnCredit(c *credit) {
	delete(h.credits, c.id)
	h.returned = append(h.returned, c.id)
	h.pendingReturns[c.id] = c
}

// reclaim keeps credits whose return the receiver refused because it no longer owns the pool: no
// other daemon has been granted them, and the next owner collects the credits that are held.
//
// Otherwise, while slots are short, each credit would be returned after its use, and between two
// owners no daemon could grant it again: a service would serve nothing for seconds during a
// planned stop, with idle instances.
func (h *holder) reclaim(ids []creditID, now time.Time) {
	for _, id := range ids {
		c, ok := h.pendingReturns[id]
		if !ok || !now.Before(h.validUntil) || !h.keepable(c) {
			h.returned = append(h.returned, id)
			continue
		}
		delete(h.pendingReturns, id)
		h.credits[id] = c
		h.idle = append(h.idle, c)
	}
	h.clearContention()
	h.serve(now)
}

// dropPendingReturns drops the records of returned credits, after which they cannot be reclaimed.
func (h *holder) dropPendingReturns(ids []creditID) {
	for _, id := range ids {
		delete(h.pendingReturns, id)
	}
}

// clearContention is called when the pool's owner did not accept a report: its last announcement
// that requests wait at other daemons is no longer a reason to return credits to it.
func (h *holder) clearContention() { h.contended, h.oldest = false, time.Time{} }

// confirmReturns drops the records of returned credits after the pool has accepted the report.
func (h *holder) confirmReturns(r report) {
	h.dropPendingReturns(r.Returned)
	if !r.Full {
		return
	}
	// The pool also frees credits that were returned in the reply to a push, since the full report
	// does not list them. Those in h.returned are still to be reported.
	for id := range h.pendingReturns {
		if !slices.Contains(h.returned, id) {
			delete(h.pendingReturns, id)
		}
	}
}

// setEndpoints replaces the service's instances; idle credits of instances that were removed or
// are leaving are returned at once.
func (h *holder) setEndpoints(list map[instanceID]plan.Endpoint) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.endpoints = list
	for id, l := range h.load {
		if _, ok := list[id]; !ok && l.inUse == 0 {
			delete(h.load, id)
		}
	}
	h.returnUnkeepable()
	h.serve(time.Now())
	h.triggerReport()
}

func (h *holder) returnUnkeepable() {
	retained := h.idle[:0]
	for _, c := range h.idle {
		if h.keepable(c) {
			retained = append(retained, c)
		} else {
			h.returnCredit(c)
		}
	}
	clear(h.idle[len(retained):])
	h.idle = retained
}

// slot implements Slot.
type slot struct {
	h    *holder
	c    *credit
	once sync.Once
}

// Endpoint implements Slot.
func (s *slot) Endpoint() plan.Endpoint { return s.c.endpoint }

// Release implements Slot.
func (s *slot) Release(outcome Outcome) { s.once.Do(func() { s.h.release(s.c, outcome) }) }
