package admission

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/google/btree"

	"fennelshunt.example/fennelshunt/request/verdict"
)

// queue holds the requests of one service that wait for admission.
type queue struct {
	opts    *Options
	service string

	mu      sync.Mutex
	inside  int // admitted, slot not taken yet
	waiting int
	teams   map[string]*team // with waiting requests
	// clock is the virtual time of the team served last.
	clock   float64
	serial  uint64
	pace    pace
	times   times
	returns returns
	pending bool // a review is scheduled
}

// team holds one team's waiting requests by deadline.
type team struct {
	name   string
	weight float64
	// finish is the virtual time at which the team has had its share.
	finish float64
	tree   *btree.BTreeG[*waiter]
}

// waiter is one waiting request.
type waiter struct {
	team     *team
	deadline time.Time
	serial   uint64
	granted  chan error // gets nil or a refusal, once
	gone     bool       // no longer in the queue
}

const treeDegree = 16

func earlier(a, b *waiter) bool {
	if !a.deadline.Equal(b.deadline) {
		return a.deadline.Before(b.deadline)
	}
	return a.serial < b.serial
}

func newQueue(o *Options, service string) *queue {
	return &queue{opts: o, service: service, teams: map[string]*team{}, pace: pace{share: firstShare}}
}

// enter admits the request at once (nil, nil), queues it, or refuses it.
func (q *queue) enter(r Request, now time.Time) (*waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.roomInside(now) {
		if err := q.tooLate(q.pace.wait(q.inside, now), r, now); err != nil {
			return nil, err
		}
		q.inside++
		q.pace.backlog(q.inside, now)
		return nil, nil
	}
	t := q.team(r)
	if err := q.refusal(t, r, now); err != nil {
		q.forget(t)
		return nil, err
	}
	if q.waiting >= q.opts.MaxQueue && !q.pushOut(t, now) {
		q.forget(t)
		return nil, q.overloaded(CodeQueueFull, errFull, q.pace.wait(q.waiting, now), now)
	}
	q.serial++
	w := &waiter{team: t, deadline: r.Deadline, serial: q.serial, granted: make(chan error, 1)}
	q.teams[t.name] = t
	t.tree.ReplaceOrInsert(w)
	q.waiting++
	q.schedule()
	return w, nil
}

// check returns why the request would be refused now, without entering.
func (q *queue) check(r Request, now time.Time) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	var refusal *verdict.Error
	if q.roomInside(now) {
		refusal = q.tooLate(q.pace.wait(q.inside, now), r, now)
	} else {
		t := q.team(r)
		defer q.forget(t)
		refusal = q.refusal(t, r, now)
	}
	if refusal != nil {
		return refusal
	}
	return nil
}

// window returns how many requests may be inside.
//
// What goes wrong if it always follows the pace of starts: where the grant of a slot takes
// long, as on a daemon short of processor time, few inside make slow starts, and slow
// starts a small window. Callers are refused by the estimate while slots stand idle.
func (q *queue) window(now time.Time) int {
	if q.opts.Short != nil && !q.opts.Short(q.service) {
		return q.opts.Window
	}
	return q.pace.window(q.opts.Window, now)
}

// roomInside reports whether a request is admitted at once. Requests inside
// wait too, in the slots' own order.
func (q *queue) roomInside(now time.Time) bool {
	return q.waiting == 0 && q.inside < q.window(now)
}

// overloaded returns the refusal of a request that would wait that long, with the time at
// which its caller should be back.
func (q *queue) overloaded(code string, err error, wait time.Duration, now time.Time) *verdict.Error {
	return refuse(http.StatusServiceUnavailable, code, err, q.returns.next(wait, now))
}

// refusal returns why a request that has to queue would not start in time, or
// nil.
func (q *queue) refusal(t *team, r Request, now time.Time) *verdict.Error {
	return q.tooLate(q.expected(t, t.before(r.Deadline), now), r, now)
}

// tooLate returns the refusal of a request that would wait that long, or nil.
func (q *queue) tooLate(wait time.Duration, r Request, now time.Time) *verdict.Error {
	if !now.Before(r.Deadline) {
		return q.overloaded(CodeDeadline, errDeadline, 0, now)
	}
	if !q.pace.fits(wait, now, r.Deadline) {
		return q.overloaded(CodeWait, errWait, wait, now)
	}
	return nil
}

// team returns the request's team; a team that had nothing waiting starts at
// the present virtual time, so that it can not save up its share.
func (q *queue) team(r Request) *team {
	t := q.teams[r.Team]
	if t == nil {
		t = &team{name: r.Team, tree: btree.NewG(treeDegree, earlier), finish: q.clock}
		q.teams[r.Team] = t
	}
	t.weight = float64(max(1, r.Weight))
	return t
}

func (q *queue) forget(t *team) {
	if t.tree.Len() == 0 {
		delete(q.teams, t.name)
	}
}

// before counts the team's requests that go first.
func (t *team) before(deadline time.Time) int {
	n := 0
	t.tree.Ascend(func(w *waiter) bool {
		if w.deadline.After(deadline) {
			return false
		}
		n++
		return true
	})
	return n
}

// expected estimates the wait of a request with that many of its team's ahead:
// the team's own queue at the team's share of the starts, and never more than
// the whole queue at the full rate.
func (q *queue) expected(t *team, ahead int, now time.Time) time.Duration {
	total := 0.0
	for _, other := range q.teams {
		total += other.weight
	}
	if t.tree.Len() == 0 && q.teams[t.name] != t {
		total += t.weight
	}
	own := int(float64(ahead+1) * total / t.weight)
	return q.pace.wait(q.inside+min(own, q.waiting+1), now)
}

// pushOut makes room for a team with less than its share of the full queue, at
// the cost of the request with the latest deadline of the team that has most.
func (q *queue) pushOut(t *team, now time.Time) bool {
	most := t
	for _, other := range q.teams {
		if float64(other.tree.Len())/other.weight > float64(most.tree.Len())/most.weight {
			most = other
		}
	}
	if most == t || float64(most.tree.Len()-1)/most.weight < float64(t.tree.Len()+1)/t.weight {
		return false
	}
	w, _ := most.tree.Max()
	q.give(w, q.overloaded(CodeQueueFull, errFull, q.pace.wait(q.waiting, now), now))
	return true
}

// give takes the waiter out of the queue and answers it.
func (q *queue) give(w *waiter, err error) {
	w.gone = true
	w.team.tree.Delete(w)
	q.forget(w.team)
	q.waiting--
	w.granted <- err
}

// next admits waiting requests while the window has room: of the team that is
// furthest behind its share the one with the earliest deadline.
func (q *queue) next(now time.Time) {
	for q.inside < q.window(now) && q.waiting > 0 {
		var t *team
		for _, other := range q.teams {
			if t == nil || other.finish < t.finish || other.finish == t.finish && other.name < t.name {
				t = other
			}
		}
		q.clock = max(q.clock, t.finish)
		t.finish = q.clock + 1/t.weight
		w, _ := t.tree.Min()
		q.inside++
		q.give(w, nil)
	}
}

// started is called when an admitted request has its slot.
func (q *queue) started() time.Time {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.inside--
	q.pace.start(q.inside+q.waiting, now)
	q.returns.started(now)
	q.next(now)
	return now
}

// dropped is called when an admitted request ends without a slot.
func (q *queue) dropped() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.inside--
	q.next(time.Now())
}

func (q *queue) served(p *Pass, end End) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	if end == Whole || end == Late {
		q.times.note(now.Sub(p.started), now)
	}
	if end == Whole {
		q.pace.served(now.Sub(p.started))
	}
	switch {
	case !p.waited:
	case end == Whole:
		q.pace.met()
	case end == Late || end == Unbegun:
		q.pace.missed()
	}
}

// leave takes a waiter out whose caller or deadline has gone; when it was
// admitted in the same moment its place goes to the next.
func (q *queue) leave(ctx context.Context, w *waiter, pass *Pass) (*Pass, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.gone {
		if err := <-w.granted; err != nil {
			return nil, err
		}
		q.inside--
		q.next(time.Now())
		pass.state = passDone
	} else {
		q.give(w, nil)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		now := time.Now()
		return nil, q.overloaded(CodeDeadline, errDeadline, q.pace.wait(q.waiting, now), now)
	}
	return nil, refuse(http.StatusServiceUnavailable, CodeCallerGone, errGone, 0)
}

// schedule arranges the next review while requests wait.
func (q *queue) schedule() {
	if !q.pending && q.waiting > 0 {
		q.pending = true
		time.AfterFunc(review, q.review)
	}
}

// review gives up on the requests that would no longer start in time, for
// example because instances were lost. Without it they would be told so only
// at their deadlines, and the callers' own retries would come too late.
func (q *queue) review() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pending = false
	now := time.Now()
	var hopeless []*waiter
	for _, t := range q.teams {
		ahead := 0
		t.tree.Ascend(func(w *waiter) bool {
			if q.pace.possible(q.expected(t, ahead, now), now, w.deadline) {
				ahead++
			} else {
				hopeless = append(hopeless, w)
			}
			return true
		})
	}
	for _, w := range hopeless {
		q.give(w, q.overloaded(CodeWait, errWait, q.pace.wait(q.waiting, now), now))
		q.pace.missed()
	}
	q.schedule()
}
