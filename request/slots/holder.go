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
	CodeNoSlot         = "no_slot"         // none came free in time
	CodeQueueFull      = "queue_full"      // too many requests wait already
	CodeUnknownService = "unknown_service" // not in the configuration
)

// retryAfterMillis is what a caller without a slot is told.
const retryAfterMillis = 1000

var (
	errQueueFull      = errors.New("too many requests wait for a slot of the service")
	errUnknownService = errors.New("no such service")
	errEnded          = errors.New("this life of the daemon is over")
)

// holder is this daemon's part of one service: the credits it holds and the
// requests that wait here. A short mutex guards it, so that a request that
// finds an idle credit costs no goroutine switch and no message.
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
	validUntil time.Time  // no request begins on a credit after this
	seq        uint64     // of the newest report
	seen       uint64     // highest batch that arrived
	fence      uint64     // no batch up to this is taken any more
	returned   []creditID // to be told to the pool
	// givenBack are the credits in returned, and in reports that the pool has not answered.
	givenBack  map[creditID]*credit
	target     int
	contended  bool
	oldest     time.Time // arrival of the first waiter over all daemons
	calls      int       // reports under way
	renewed    bool      // with this owner
	again      bool      // something changed that no report has told
	leaving    bool      // keeps no idle credit any more
	lastReport time.Time
	lastAsked  time.Time // of a reserve
}

// instanceLoad counts this daemon's use of one instance.
type instanceLoad struct {
	inUse    int
	lastUsed time.Time
}

type creditState int

const (
	creditIdle creditState = iota
	creditInUse
	creditLimbo // the request's end is unknown
)

// credit is the right to have one request at one instance.
type credit struct {
	id       creditID
	instance instanceID
	endpoint plan.Endpoint
	state    creditState
	began    time.Time
	// orphaned credits are no longer counted as ours; they end with the
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
		givenBack: map[creditID]*credit{},
	}
}

// acquire takes an idle credit or waits for one until ctx ends.
func (h *holder) acquire(ctx context.Context) (Slot, error) {
	h.mu.Lock()
	if h.waiters.Len() == 0 {
		if c := h.pick(time.Now()); c != nil {
			h.askIfLow()
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
	h.kick()
	h.mu.Unlock()
	select {
	case c := <-w.got:
		return &slot{h: h, c: c}, nil
	case <-ctx.Done():
		return nil, h.giveUp(el, w, ctx.Err())
	case <-h.m.ctx.Done():
		// This life of the daemon is over: nobody will grant a credit any more,
		// and the caller had better ask another daemon at once.
		return nil, h.giveUp(el, w, errEnded)
	}
}

// giveUp removes a waiter whose time is over; a credit that it was handed
// meanwhile goes to the next.
func (h *holder) giveUp(el *list.Element, w *waiter, cause error) error {
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

// pick takes the best usable idle credit: one in this daemon's zone, on the
// instance that it uses least and has used least recently.
//
// What could go wrong: this daemon was paused or cut off for so long that the
// pool has given its slots to others. One would notice an instance with more
// requests than slots. validUntil counts from the beginning of the renewal and
// is always earlier than the pool's own deadline.
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

// limit is the longest time that a request of the service may run.
func (h *holder) limit() time.Duration { return h.m.limits.of(h.service) }

// release ends a request's use of c.
func (h *holder) release(c *credit, end End) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if end == Ended {
		h.free(c)
		return
	}
	c.state = creditLimbo
	wait := time.Until(c.began.Add(h.limit() + h.m.opts.Margin))
	time.AfterFunc(max(wait, 0), func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.free(c)
	})
}

// free makes a used credit available: to the first waiter here unless another
// daemon's has waited much longer, back to the pool when slots are short, or
// to the reserve. The caller holds mu.
func (h *holder) free(c *credit) {
	h.loadOf(c.instance).inUse--
	if c.orphaned {
		return
	}
	c.state = creditIdle
	if !h.keepable(c) {
		h.giveBack(c)
		h.kick()
		return
	}
	h.idle = append(h.idle, c)
	now := time.Now()
	if h.contended && h.othersFirst() {
		h.returnIdle(1)
		h.kick()
		return
	}
	h.serve(now)
	if h.contended && len(h.idle) > 0 || h.surplus() > 0 {
		h.returnIdle(max(h.surplus(), 0))
		h.kick()
	}
}

// keepable reports whether an idle credit may stay here: its instance still
// takes new requests and this daemon is not leaving.
func (h *holder) keepable(c *credit) bool {
	e, ok := h.endpoints[c.instance]
	return ok && !e.Leaving && !h.leaving
}

// othersFirst reports whether a request elsewhere has waited so much longer
// than the first one here that it goes first.
func (h *holder) othersFirst() bool {
	if h.waiters.Len() == 0 {
		return true
	}
	first := h.waiters.Front().Value.(*waiter)
	return !h.oldest.IsZero() && first.arrived.Sub(h.oldest) > h.m.opts.FairWindow
}

// surplus is how many idle credits are above what this daemon should keep.
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

// serve hands idle credits to waiters in order of arrival.
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

// returnIdle gives n idle credits back, the least useful first. The caller
// holds mu and sees to the report.
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
		h.giveBack(c)
	}
}

// giveBack ends a credit that is in no list; the next report tells the pool.
func (h *holder) giveBack(c *credit) {
	delete(h.credits, c.id)
	h.returned = append(h.returned, c.id)
	h.givenBack[c.id] = c
}

// takeBack keeps credits that the pool's owner has refused to hear of, since it is the
// owner no more: nobody else has been told of them, and the next one asks for what is held.
//
// What goes wrong otherwise: while slots are short each credit is given back after its
// use, and between two owners there is nobody to grant it again. One would notice that a
// service stands still for seconds in a planned stop, beside idle instances.
func (h *holder) takeBack(ids []creditID, now time.Time) {
	for _, id := range ids {
		c, ok := h.givenBack[id]
		if !ok || !now.Before(h.validUntil) || !h.keepable(c) {
			h.returned = append(h.returned, id)
			continue
		}
		delete(h.givenBack, id)
		h.credits[id] = c
		h.idle = append(h.idle, c)
	}
	h.ownerSilent()
	h.serve(now)
}

// ownerSilent notes that the pool's owner did not take a report: what it last said of the
// waiting elsewhere is no reason to give credits back to it.
func (h *holder) ownerSilent() { h.contended, h.oldest = false, time.Time{} }

// heardBack forgets the credits of a report that the pool has taken.
func (h *holder) heardBack(r report) {
	for _, id := range r.Returned {
		delete(h.givenBack, id)
	}
	if !r.Full {
		return
	}
	for id := range h.givenBack { // told by an answer to a push, if not waiting to be told
		if !slices.Contains(h.returned, id) {
			delete(h.givenBack, id)
		}
	}
}

// setEndpoints takes the service's instances; idle credits of those that left
// or are leaving go back at once.
func (h *holder) setEndpoints(list map[instanceID]plan.Endpoint) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.endpoints = list
	for id, l := range h.load {
		if _, ok := list[id]; !ok && l.inUse == 0 {
			delete(h.load, id)
		}
	}
	h.dropUnkeepable()
	h.serve(time.Now())
	h.kick()
}

func (h *holder) dropUnkeepable() {
	kept := h.idle[:0]
	for _, c := range h.idle {
		if h.keepable(c) {
			kept = append(kept, c)
		} else {
			h.giveBack(c)
		}
	}
	clear(h.idle[len(kept):])
	h.idle = kept
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
func (s *slot) Release(end End) { s.once.Do(func() { s.h.release(s.c, end) }) }
