// Package admission decides which requests may wait for an instance, in which order, and for how
// long. It limits the rate per caller and per team, shares a service's starts fairly between
// teams, orders a team's requests by deadline, and refuses a request at once when it would wait
// past its deadline.
//
// Guarantees: every refusal has verdict NotRun and tells the caller when to retry; a waiting
// request that can no longer start in time is refused at once; the number of waiting requests
// per service is bounded; a flood of one team's requests delays only that team.
package admission

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"fennelshunt.example/fennelshunt/request/verdict"
)

// Error codes of refusals; all have verdict NotRun.
const (
	CodeCallerRate = "caller_rate"   // the caller's limit
	CodeTeamRate   = "team_rate"     // the team's limit
	CodeWait       = "wait_too_long" // the request would wait past its deadline
	CodeQueueFull  = "queue_full"
	CodeDeadline   = "deadline_exceeded" // the deadline passed while the request waited
	CodeCallerGone = "caller_gone"
)

// Defaults of Options.
const (
	DefaultWindow     = 64
	DefaultMaxQueue   = 1024
	DefaultMaxCallers = 4096

	// reviewInterval is how often the queue is searched for requests that cannot start in time
	// any more.
	reviewInterval = 25 * time.Millisecond
	// minRetryAfter is the shortest delay after which a refused caller is told to retry.
	minRetryAfter = 50 * time.Millisecond
	// retryJitter spreads the retries of refused callers.
	retryJitter = 0.25
)

var (
	errRate         = errors.New("more requests than the limit allows")
	errWait         = errors.New("the request would wait for an instance past its deadline")
	errFull         = errors.New("too many requests wait for the service")
	errDeadline     = errors.New("the deadline passed before an instance was free")
	errDisconnected = errors.New("the caller went away before the request was sent")
)

// Options configure a Controller; zero values take the defaults.
type Options struct {
	// CallerRate limits the requests per second of one caller at this daemon; 0 means no limit.
	// CallerBurst is the size of the token bucket; by default it holds the requests of one second.
	CallerRate  float64
	CallerBurst int
	// MaxCallers limits the number of callers whose rate is tracked.
	MaxCallers int
	// Members returns how many daemons share a team's rate; nil means one.
	Members func() int
	// Saturated reports whether all slots of a service are in use. While it returns false, the
	// window is not reduced to keep the fair order: every admitted request gets a slot as soon
	// as its grant has arrived. nil means that every service counts as saturated.
	Saturated func(service string) bool
	// Window is the maximum number of admitted requests of a service that wait for a slot. Slots
	// are granted in order of arrival, without regard to teams.
	Window int
	// MaxQueue limits the requests of a service that are queued for a place in the window.
	MaxQueue int
}

func (o *Options) setDefaults() {
	if o.CallerBurst == 0 {
		o.CallerBurst = max(1, int(o.CallerRate))
	}
	if o.MaxCallers == 0 {
		o.MaxCallers = DefaultMaxCallers
	}
	if o.Members == nil {
		o.Members = func() int { return 1 }
	}
	if o.Window == 0 {
		o.Window = DefaultWindow
	}
	if o.MaxQueue == 0 {
		o.MaxQueue = DefaultMaxQueue
	}
}

// Request describes a request for admission.
type Request struct {
	Service  string
	Team     string
	Deadline time.Time
	// Weight is the team's share relative to other teams; values below 1 count as 1.
	Weight int
}

// Controller admits requests. It is safe for concurrent use.
type Controller struct {
	opts   Options
	limits limits

	mu     sync.RWMutex
	queues map[string]*queue
}

// New returns a controller.
func New(o Options) *Controller {
	o.setDefaults()
	c := &Controller{opts: o, queues: map[string]*queue{}}
	c.limits.init(&c.opts)
	return c
}

// Enter waits until the request may take a slot, or refuses it. The error is a *verdict.Error.
// ctx must end at the deadline or when the caller disconnects.
func (c *Controller) Enter(ctx context.Context, r Request) (*Pass, error) {
	q := c.queue(r.Service)
	w, err := q.enter(r, time.Now())
	if err != nil {
		return nil, err
	}
	pass := &Pass{queue: q, waited: w != nil}
	if w == nil {
		return pass, nil
	}
	select {
	case err := <-w.granted:
		if err != nil {
			return nil, err
		}
		return pass, nil
	case <-ctx.Done():
		return q.abandon(ctx, w, pass)
	}
}

// Check returns the refusal that Enter would return now, or nil. Use it before an expensive step
// that has to precede Enter. The error is a *verdict.Error.
func (c *Controller) Check(r Request) error {
	return c.queue(r.Service).check(r, time.Now())
}

// RetryAfter returns the retry delay for a request that was refused as not run for a reason outside
// Enter: because no slot was granted, or the daemon is overloaded.
func (c *Controller) RetryAfter(service string) time.Duration {
	q := c.queue(service)
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	return q.retryDelay(q.serviceRate.wait(q.admitted+q.waiting, now), now)
}

func (c *Controller) queue(service string) *queue {
	c.mu.RLock()
	q := c.queues[service]
	c.mu.RUnlock()
	if q != nil {
		return q
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if q = c.queues[service]; q == nil {
		q = newQueue(&c.opts, service)
		c.queues[service] = q
	}
	return q
}

// Waiting returns how many requests of the service are queued for a place in the window.
func (c *Controller) Waiting(service string) int {
	q := c.queue(service)
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting
}

// TotalWaiting returns how many requests of all services are queued for a place in their windows.
func (c *Controller) TotalWaiting() int {
	c.mu.RLock()
	defer c.mu.RUnlock()
	n := 0
	for _, q := range c.queues {
		q.mu.Lock()
		n += q.waiting
		q.mu.Unlock()
	}
	return n
}

// Pass is an admitted request. It is not safe for concurrent use.
type Pass struct {
	queue   *queue
	state   passState
	started time.Time
	waited  bool
}

type passState int

const (
	passWaiting passState = iota
	passStarted
	passDone
)

// Started records that the request has its slot.
func (p *Pass) Started() {
	if p.state == passWaiting {
		p.state = passStarted
		p.started = p.queue.started()
	}
}

// Outcome is the outcome of a request.
type Outcome int

// Outcomes of a request. Completed means that it was answered completely, Late that its deadline
// passed while it ran, NotSent that it had a slot and was not sent, because InTime returned
// false.
const (
	Other Outcome = iota
	Completed
	Late
	NotSent
)

// InTime reports whether a request that arrived at the given time, and has its slot, is likely
// to be answered by deadline if it is sent now.
//
// Without this check a request that has spent most of its time waiting would be sent, run, and
// be answered with "may have run", from which a caller cannot recover when its request must not
// run twice.
func (p *Pass) InTime(arrived, deadline time.Time) bool {
	p.queue.mu.Lock()
	defer p.queue.mu.Unlock()
	return p.queue.serviceTimes.sufficient(arrived, time.Now(), deadline)
}

// Done records the outcome of the request.
func (p *Pass) Done(outcome Outcome) {
	switch p.state {
	case passWaiting:
		p.queue.dropped()
	case passStarted:
		p.queue.served(p, outcome)
	}
	p.state = passDone
}

// refuse returns a refusal that tells the caller to retry after about d.
func refuse(status int, code string, err error, d time.Duration) *verdict.Error {
	d = max(d, minRetryAfter)
	d += time.Duration(retryJitter * rand.Float64() * float64(d))
	return &verdict.Error{Verdict: verdict.NotRun, Status: status, Code: code,
		RetryAfterMillis: d.Milliseconds(), Err: err}
}
