package relay

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/process/lead"
	"fennelshunt.example/fennelshunt/version/work"
)

// Times of a leader's use of relays.
const (
	// choosePeriod is between choices of the relays: workers and daemons come and go
	// by the second.
	choosePeriod = 500 * time.Millisecond
	// keepWorker is how long a worker counts that is not called any more.
	keepWorker = 5 * time.Second
	// ordersTimeout bounds one message of orders: a relay answers it before it calls
	// anybody. A daemon on a quota of processor time may stand still for a tenth of
	// a second. Where answers of all relays are slow it grows to rttFactor times their
	// decaying average, and to maxOrdersTimeout at the most.
	ordersTimeout    = 250 * time.Millisecond
	maxOrdersTimeout = time.Second
	rttFactor        = 8
	rttDecay         = 16
	// downFirst and downMax bound how long a relay that did not answer is left alone;
	// each further time doubles it.
	downFirst = time.Second
	downMax   = 16 * time.Second
	// directFor is how long a worker that a relay did not reach is called directly.
	directFor = 2 * time.Second
	// manyMissed calls in a row, of different workers as a rule, that got no answer
	// mean that the relay is cut off rather than that the workers are gone.
	manyMissed = 12
	// toldFor is how long a spec that was sent to a relay is not sent again.
	toldFor = time.Second
)

// Options of a Runner.
type Options struct {
	Direct runner.Runner
	// Dial opens a connection to the address where a daemon takes orders.
	Dial    func(ctx context.Context, addr string) (net.Conn, error)
	Part    int // of the cell
	Epoch   uint64
	Self    lead.Member
	Members func() []lead.Member
	// Text returns the spec of a job: from its home, unless that is "", else from the
	// store.
	Text func(ctx context.Context, id work.JobID, home string) (string, error)
	Log  zerolog.Logger
}

// Stats counts what a leader asked of relays.
type Stats struct {
	Relayed expvar.Int // orders given to relays
	Direct  expvar.Int // orders that this daemon carried out itself
	Again   expvar.Int // of them, those that a relay had lost
	Down    expvar.Int // relays taken out of use
}

// Each calls f with the name and value of every counter.
func (s *Stats) Each(f func(name string, v expvar.Var)) {
	f("orders_relayed", &s.Relayed)
	f("orders_direct", &s.Direct)
	f("orders_again", &s.Again)
	f("relays_down", &s.Down)
}

// Runner gives a leader's orders to relays. It implements runner.Runner for one
// term; ctx of New ends with it.
type Runner struct {
	o     Options
	ctx   context.Context
	stats *Stats

	mu      sync.Mutex
	workers map[runner.WorkerID]*target
	lanes   map[string]*lane // by the relay's name
	chosen  []*lane
	choseAt time.Time
	// choseFor is the number of workers at the last choice.
	choseFor int
	rtt      time.Duration // of messages that relays answered, decaying
	seq      uint64
	waiting  map[uint64]*pending
}

var _ runner.Runner = (*Runner)(nil)

// target is a worker.
type target struct {
	lane        *lane // nil: called directly
	called      time.Time
	directUntil time.Time
}

// pending is an order on its way.
type pending struct {
	order order
	text  *text // of a start whose relay did not get it otherwise
	lane  *lane
	done  chan outcome
}

// New returns a Runner.
func New(ctx context.Context, o Options, stats *Stats) *Runner {
	r := &Runner{o: o, ctx: ctx, stats: stats, workers: map[runner.WorkerID]*target{}, lanes: map[string]*lane{}, waiting: map[uint64]*pending{}}
	context.AfterFunc(ctx, r.closeLines)
	return r
}

// Start implements runner.Runner.
func (r *Runner) Start(ctx context.Context, to runner.Ref, s runner.Start) (time.Duration, error) {
	o := order{What: doStart, Until: s.Until.Milliseconds(), Task: s.Task, Run: s.Run, Checkpoint: s.Checkpoint, Ticket: s.Ticket, Home: s.Home}
	var clock time.Duration
	err := r.give(ctx, to, o, func(x *outcome) { clock = x.Clock }, func() (err error) {
		if s.Spec, err = r.spec(ctx, s); err != nil {
			return err
		}
		clock, err = r.o.Direct.Start(ctx, to, s)
		return err
	})
	return clock, err
}

// spec returns the spec of a start, which the scheduler may not hold.
func (r *Runner) spec(ctx context.Context, s runner.Start) (string, error) {
	if s.Spec != "" || s.Home == "" {
		return s.Spec, nil
	}
	spec, err := r.o.Text(ctx, s.Task.Job, s.Home)
	if err != nil {
		return "", fmt.Errorf("%w: its spec: %w", runner.ErrUnknown, err) // not judged as the worker's doing
	}
	return spec, nil
}

// Stop implements runner.Runner.
func (r *Runner) Stop(ctx context.Context, to runner.Ref, task work.TaskID, run, epoch uint64) error {
	return r.give(ctx, to, order{What: doStop, Task: task, Run: run}, func(*outcome) {},
		func() error { return r.o.Direct.Stop(ctx, to, task, run, epoch) })
}

// Renew implements runner.Runner.
func (r *Runner) Renew(ctx context.Context, to runner.Ref, n runner.Renewal) (report runner.Report, err error) {
	o := order{What: doRenew, Until: n.Until.Milliseconds(), Acknowledge: n.Acknowledge, Wait: n.Wait.Milliseconds()}
	err = r.give(ctx, to, o, func(x *outcome) { report = x.report() }, func() (err error) {
		n.Wait = waitWithin(ctx, n.Wait)
		report, err = r.o.Direct.Renew(ctx, to, n)
		return err
	})
	return report, err
}

// answerReserve is kept for a worker's answer after it has waited for an end.
const answerReserve = 300 * time.Millisecond

// waitWithin shortens the wait of a renewal that is given again, so that its answer
// still comes in time.
func waitWithin(ctx context.Context, wait time.Duration) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return wait
	}
	return max(min(wait, time.Until(deadline)-answerReserve), 0).Truncate(time.Millisecond)
}

// errLost: the relay did not take the order, or was taken out of use before it told
// the outcome.
var errLost = errors.New("relay: the relay does not answer")

// give lets a relay carry out an order, or carries it out directly if there is no
// relay for the worker or the relay is lost.
func (r *Runner) give(ctx context.Context, to runner.Ref, o order, take func(x *outcome), direct func() error) error {
	o.Worker, o.Address = to.ID, to.Address
	lost := false
	for range maxRelays {
		l := r.route(to.ID)
		if l == nil {
			break
		}
		x, err := r.askWithText(ctx, l, o)
		switch {
		case err == nil:
			take(x)
			return nil
		case errors.Is(err, errTextLate), ctx.Err() != nil:
			return fmt.Errorf("%w: %w", runner.ErrUnknown, err) // the next try finds the spec there
		case !errors.Is(err, errLost) && !errors.Is(err, errNoText):
			return stillOpen(err, lost)
		}
		lost = true
		r.stats.Again.Add(1)
	}
	r.stats.Direct.Add(1)
	return stillOpen(direct(), lost)
}

// maxRelays bounds the relays that are tried for one order before it is carried out
// directly.
const maxRelays = 2

// askWithText is ask, and brings the job's spec if the relay can not get it.
func (r *Runner) askWithText(ctx context.Context, l *lane, o order) (*outcome, error) {
	r.stats.Relayed.Add(1)
	x, err := r.ask(ctx, l, o, nil)
	if !errors.Is(err, errNoText) {
		return x, err
	}
	spec, err := r.o.Text(ctx, o.Task.Job, "") // the relay has asked the home
	if err != nil {
		return nil, fmt.Errorf("%w: its spec: %w", runner.ErrUnknown, err)
	}
	return r.ask(ctx, l, o, r.textFor(l, o.Task.Job, spec))
}

// stillOpen is the error of an order that was given again while a relay may still
// carry out the one that was lost: a worker that refuses the second may accept the
// first.
func stillOpen(err error, lost bool) error {
	switch {
	case err == nil, !lost, !errors.Is(err, runner.ErrNotRun):
		return err
	case errors.Is(err, runner.ErrFenced), errors.Is(err, runner.ErrGone), errors.Is(err, runner.ErrOld):
		return err // these stand for the first as well
	}
	return fmt.Errorf("%w: refused when given again: %w", runner.ErrUnknown, errors.New(err.Error()))
}

// ask gives an order to a relay and waits for its outcome.
func (r *Runner) ask(ctx context.Context, l *lane, o order, spec *text) (*outcome, error) {
	p := &pending{order: o, text: spec, lane: l, done: make(chan outcome, 1)}
	if deadline, ok := ctx.Deadline(); ok {
		p.order.Budget = max(time.Until(deadline).Milliseconds(), 1)
	}
	r.mu.Lock()
	r.seq++
	p.order.Seq = r.seq
	r.waiting[p.order.Seq] = p
	r.mu.Unlock()
	defer r.forget(p)
	put := time.Now()
	l.out.put(r.ctx, p)
	select {
	case x := <-p.done:
		return r.judge(l, o.Worker, &x)
	case <-ctx.Done():
		if r.heardSince(l, put) {
			r.missed(l, o.Worker)
		}
		return nil, fmt.Errorf("%w: by %s: %w", runner.ErrUnknown, l.member.Name, ctx.Err())
	case <-r.ctx.Done():
		return nil, fmt.Errorf("%w: %w", runner.ErrUnknown, context.Cause(r.ctx))
	}
}

func (r *Runner) forget(p *pending) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.waiting, p.order.Seq)
}

// Relaying reports whether relays are in use.
func (r *Runner) Relaying() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.chosen) > 0
}

// finish hands over the first outcome of an order.
func (p *pending) finish(x outcome) {
	select {
	case p.done <- x:
	default:
	}
}
