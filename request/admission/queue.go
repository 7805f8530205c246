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

	mu       sync.Mutex
	admitted int // admitted, but without a slot yet
	waiting  int
	teams    map[string]*team // teams with waiting requests
	// virtualTime is the virtual time of the team served last.
	virtualTime     float64
	serial          uint64
	serviceRate     serviceRate
	serviceTimes    serviceTimes
	retrySchedule   retrySchedule
	reviewScheduled bool // whether a review is scheduled
}

// team holds one team's waiting requests by deadline.
type team struct {
	name   string
	weight float64
	// finish is the virtual time up to which the team has used its share.
	finish float64
	tree   *btree.BTreeG[*waiter]
}

// waiter is one waiting request.
type waiter struct {
	team     *team
	deadline time.Time
	serial   uint64
	granted  chan error // receives nil or a refusal, once
	removed  bool       // no longer in the queue
}

const treeDegree = 16

func earlier(a, b *waiter) bool {
	if !a.deadline.Equal(b.deadline) {
		return a.deadline.Before(b.deadline)
	}
	return a.serial < b.serial
}

func newQueue(o *Options, service string) *queue {
	return &queue{opts: o, service: service, teams: map[string]*team{}, serviceRate: serviceRate{waitShare: initialWaitShare}}
}

// enter admits the request at once (nil, nil), queues it, or refuses it.
func (q *queue) enter(r Request, now time.Time) (*waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.windowOpen(now) {
		if err := q.tooLate(q.serviceRate.wait(q.admitted, now), r, now); err != nil {
			return nil, err
		}
		q.admitted++
		q.serviceRate.waitBegan(q.admitted, now)
		return nil, nil
	}
	t := q.team(r)
	if err := q.refusal(t, r, now); err != nil {
		q.removeIfEmpty(t)
		return nil, err
	}
	if q.waiting >= q.opts.MaxQueue && !q.evictFor(t, now) {
		q.removeIfEmpty(t)
		return nil, q.overloaded(CodeQueueFull, errFull, q.serviceRate.wait(q.waiting, now), now)
	}
	q.serial++
	w := &waiter{team: t, deadline: r.Deadline, serial: q.serial, granted: make(chan error, 1)}
	q.teams[t.name] = t
	t.tree.ReplaceOrInsert(w)
	q.waiting++
	q.scheduleReview()
	return w, nil
}

// check returns the refusal that the request would get now, without entering.
func (q *queue) check(r Request, now time.Time) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	var refusal *verdict.Error
	if q.windowOpen(now) {
		refusal = q.tooLate(q.serviceRate.wait(q.admitted, now), r, now)
	} else {
		t := q.team(r)
		defer q.removeIfEmpty(t)
		refusal = q.refusal(t, r, now)
	}
	if refusal != nil {
		return refusal
	}
	return nil
}

// window returns the maximum number of admitted requests without a slot.
//
// It does not always follow the rate of starts. Where the grant of a slot takes long, as on a
// daemon short of CPU time, few admitted requests mean slow starts, and slow starts a small
// window: callers would be refused by the estimate while slots are idle.
func (q *queue) window(now time.Time) int {
	if q.opts.Saturated != nil && !q.opts.Saturated(q.service) {
		return q.opts.Window
	}
	return q.serviceRate.window(q.opts.Window, now)
}

// windowOpen reports whether a request is admitted at once. An admitted request may still have to
// wait for its slot.
func (q *queue) windowOpen(now time.Time) bool {
	return q.waiting == 0 && q.admitted < q.window(now)
}

// overloaded returns the refusal of a request that would wait for the given time, with the delay
// after which its caller should retry.
func (q *queue) overloaded(code string, err error, wait time.Duration, now time.Time) *verdict.Error {
	return refuse(http.StatusServiceUnavailable, code, err, q.retryDelay(wait, now))
}

// retryDelay returns the retry delay for the caller of a request that would wait for the given time.
func (q *queue) retryDelay(wait time.Duration, now time.Time) time.Duration {
	return q.retrySchedule.delay(wait, q.admitted+q.waiting, now)
}

// refusal returns the refusal of a request that would have to queue and not start in time, or
// nil.
func (q *queue) refusal(t *team, r Request, now time.Time) *verdict.Error {
	return q.tooLate(q.expected(t, t.countAhead(r.Deadline), now), r, now)
}

// tooLate returns the refusal of a request that would wait for the given time and not end by its
// deadline, or nil.
func (q *queue) tooLate(wait time.Duration, r Request, now time.Time) *verdict.Error {
	if !now.Before(r.Deadline) {
		return q.overloaded(CodeDeadline, errDeadline, 0, now)
	}
	if !q.serviceRate.fits(wait, now, r.Deadline) {
		return q.overloaded(CodeWait, errWait, wait, now)
	}
	return nil
}

// team returns the request's team. A team that had no waiting request starts at the present
// virtual time, so that it cannot accumulate its share.
func (q *queue) team(r Request) *team {
	t := q.teams[r.Team]
	if t == nil {
		t = &team{name: r.Team, tree: btree.NewG(treeDegree, earlier), finish: q.virtualTime}
		q.teams[r.Team] = t
	}
	t.weight = float64(max(1, r.Weight))
	return t
}

func (q *queue) removeIfEmpty(t *team) {
	if t.tree.Len() == 0 {
		delete(q.teams, t.name)
	}
}

// countAhead counts the team's requests that are served earlier.
func (t *team) countAhead(deadline time.Time) int {
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

// expected estimates the waiting time of a request with the given number of its team's requests
// ahead: the team's own queue at the team's share of the starts, but at most the whole queue at
// the full rate.
func (q *queue) expected(t *team, ahead int, now time.Time) time.Duration {
	total := 0.0
	for _, other := range q.teams {
		total += other.weight
	}
	if t.tree.Len() == 0 && q.teams[t.name] != t {
		total += t.weight
	}
	own := int(float64(ahead+1) * total / t.weight)
	return q.serviceRate.wait(q.admitted+min(own, q.waiting+1), now)
}

// evictFor makes room for a team that has less than its share of the full queue: of the team that
// has most requests queued for its weight, it evicts the one with the latest deadline.
func (q *queue) evictFor(t *team, now time.Time) bool {
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
	q.resolve(w, q.overloaded(CodeQueueFull, errFull, q.serviceRate.wait(q.waiting, now), now))
	return true
}

// resolve removes the waiter from the queue and sends it the result.
func (q *queue) resolve(w *waiter, err error) {
	w.removed = true
	w.team.tree.Delete(w)
	q.removeIfEmpty(w.team)
	q.waiting--
	w.granted <- err
}

// admitNext admits waiting requests while the window has room. It takes the team that is
// furthest behind its share, and from it the request with the earliest deadline.
func (q *queue) admitNext(now time.Time) {
	for q.admitted < q.window(now) && q.waiting > 0 {
		var t *team
		for _, other := range q.teams {
			if t == nil || other.finish < t.finish || other.finish == t.finish && other.name < t.name {
				t = other
			}
		}
		q.virtualTime = max(q.virtualTime, t.finish)
		t.finish = q.virtualTime + 1/t.weight
		w, _ := t.tree.Min()
		q.admitted++
		q.resolve(w, nil)
	}
}

// started is called when an admitted request gets its slot.
func (q *queue) started() time.Time {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.admitted--
	q.serviceRate.started(q.admitted+q.waiting, now)
	q.retrySchedule.started(now)
	q.admitNext(now)
	return now
}

// dropped is called when an admitted request ends without a slot.
func (q *queue) dropped() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.admitted--
	q.admitNext(time.Now())
}

func (q *queue) served(p *Pass, outcome Outcome) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	if outcome == Completed || outcome == Late {
		q.serviceTimes.observe(now.Sub(p.started), now)
	}
	if outcome == Completed {
		q.serviceRate.served(now.Sub(p.started))
	}
	switch {
	case !p.waited:
	case outcome == Completed:
		q.serviceRate.endedInTime()
	case outcome == Late || outcome == NotSent:
		q.serviceRate.endedLate()
	}
}

// abandon removes a waiter whose caller has disconnected or whose deadline has passed. If it was
// admitted at the same moment, its place in the window goes to the next one.
func (q *queue) abandon(ctx context.Context, w *waiter, pass *Pass) (*Pass, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.removed {
		if err := <-w.granted; err != nil {
			return nil, err
		}
		q.admitted--
		q.admitNext(time.Now())
		pass.state = passDone
	} else {
		q.resolve(w, nil)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		now := time.Now()
		return nil, q.overloaded(CodeDeadline, errDeadline, q.serviceRate.wait(q.waiting, now), now)
	}
	return nil, refuse(http.StatusServiceUnavailable, CodeCallerGone, errDisconnected, 0)
}

// scheduleReview schedules the next review while requests wait.
func (q *queue) scheduleReview() {
	if !q.reviewScheduled && q.waiting > 0 {
		q.reviewScheduled = true
		time.AfterFunc(reviewInterval, q.review)
	}
}

// review refuses the requests that can no longer start in time, for example because instances
// were lost. Otherwise they would be refused only at their deadlines, too late for their
// callers' own retries.
func (q *queue) review() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.reviewScheduled = false
	now := time.Now()
	var infeasible []*waiter
	for _, t := range q.teams {
		ahead := 0
		t.tree.Ascend(func(w *waiter) bool {
			if q.serviceRate.feasible(q.expected(t, ahead, now), now, w.deadline) {
				ahead++
			} else {
				infeasible = append(infeasible, w)
			}
			return true
		})
	}
	for _, w := range infeasible {
		q.resolve(w, q.overloaded(CodeWait, errWait, q.serviceRate.wait(q.waiting, now), now))
		q.serviceRate.endedLate()
	}
	q.scheduleReview()
}
