package relay

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/process/lead"
	"fennelshunt.example/fennelshunt/version/work"
)

// Times of a leader's use of relays.
const (
	// choosePeriod is the time between choices of the relays: workers and daemons join
	// and leave within seconds.
	choosePeriod = 500 * time.Millisecond
	// workerRetention is how long a worker still counts after its last call.
	workerRetention = 5 * time.Second
	// ordersTimeout bounds one message of orders: a relay answers it before it calls
	// any worker. A daemon with a CPU quota may be throttled for a tenth of a second. If
	// the answers of all relays are slow, the timeout grows to rttFactor times their
	// decaying average, up to maxOrdersTimeout.
	ordersTimeout    = 250 * time.Millisecond
	maxOrdersTimeout = time.Second
	rttFactor        = 8
	rttDecay         = 16
	// downFirst and downMax bound how long a relay that did not answer is out of use;
	// each repetition doubles that time.
	downFirst = time.Second
	downMax   = 16 * time.Second
	// directFor is how long a worker that a relay did not reach is called directly.
	directFor = 2 * time.Second
	// maxMissedCalls is the number of consecutive calls without an answer, usually to
	// different workers, that shows that the relay is cut off rather than that the workers
	// have failed.
	maxMissedCalls = 12
	// specResendDelay is how long a spec that was sent to a relay is not sent again.
	specResendDelay = time.Second
)

// Options of a Runner.
type Options struct {
	Direct runner.Runner
	// Dial opens a connection to the address where a daemon accepts orders.
	Dial    func(ctx context.Context, addr string) (net.Conn, error)
	Shard   int // shard of the cell
	Epoch   uint64
	Self    lead.Member
	Members func() []lead.Member
	// Spec returns the spec of a job: from acceptedBy, the daemon that accepted it, or from the
	// store if acceptedBy is "".
	Spec func(ctx context.Context, id work.JobID, acceptedBy string, digest uint64) (string, error)
	Log  zerolog.Logger
}

// Stats counts the orders that a leader issued.
type Stats struct {
	Relayed expvar.Int // orders sent to relays
	Direct  expvar.Int // orders that this daemon carried out itself
	Again   expvar.Int // orders issued again after a relay had lost them
	Down    expvar.Int // relays taken out of use
}

// Each calls f with the name and value of every counter.
func (s *Stats) Each(f func(name string, v expvar.Var)) {
	f("orders_relayed", &s.Relayed)
	f("orders_direct", &s.Direct)
	f("orders_again", &s.Again)
	f("relays_down", &s.Down)
}

// Runner sends a leader's orders to relays. It implements runner.Runner for one term,
// with which the ctx of New ends.
type Runner struct {
	o     Options
	ctx   context.Context
	stats *Stats

	mu      sync.Mutex
	workers map[runner.WorkerID]*target
	clients map[string]*relayClient // by the relay's name
	chosen  []*relayClient
	choseAt time.Time
	// choseFor is the number of workers at the last choice.
	choseFor int
	rtt      time.Duration // decaying average of the round trips to relays
	seq      uint64
	waiting  map[uint64]*pending
}

var _ runner.Runner = (*Runner)(nil)

// target is the state of a worker.
type target struct {
	client      *relayClient // nil if the worker is called directly
	called      time.Time
	directUntil time.Time
}

// pending is an order in flight.
type pending struct {
	order  order
	digest uint64   // of the spec of a start, 0 if it is not known
	spec   *jobSpec // for a start whose relay could not get the spec itself
	client *relayClient
	done   chan outcome
	// accepted: the relay has the order, and sends it within its budget or not at all.
	accepted atomic.Bool
}

// New returns a Runner.
func New(ctx context.Context, o Options, stats *Stats) *Runner {
	r := &Runner{o: o, ctx: ctx, stats: stats, workers: map[runner.WorkerID]*target{}, clients: map[string]*relayClient{}, waiting: map[uint64]*pending{}}
	context.AfterFunc(ctx, r.closeConns)
	return r
}

// Start implements runner.Runner.
func (r *Runner) Start(ctx context.Context, to runner.Ref, s runner.Start) (time.Duration, error) {
	o := order{Action: doStart, Until: s.Until.Milliseconds(), Task: s.Task, Run: s.Run, Checkpoint: s.Checkpoint, Ticket: s.Ticket, AcceptedBy: s.AcceptedBy}
	var clock time.Duration
	err, lost := r.issueOnce(ctx, to, o, s.SpecDigest, func(x *outcome) { clock = x.Clock }, func() (err error) {
		if s.Spec, err = r.spec(ctx, s); err != nil {
			return err
		}
		clock, err = r.o.Direct.Start(ctx, to, s)
		return err
	})
	switch {
	case !lost || errors.Is(err, runner.ErrUnknown):
		return clock, err
	case err == nil:
		return clock, runner.ErrCopyOpen
	}
	return clock, fmt.Errorf("%w: %w", err, runner.ErrCopyOpen) // the refusal holds for one incarnation
}

// spec returns the spec of a start, which the scheduler may not have.
func (r *Runner) spec(ctx context.Context, s runner.Start) (string, error) {
	if s.Spec != "" || s.AcceptedBy == "" {
		return s.Spec, nil
	}
	spec, err := r.o.Spec(ctx, s.Task.Job, s.AcceptedBy, s.SpecDigest)
	if err != nil {
		return "", fmt.Errorf("%w: get the job's spec: %w", runner.ErrUnknown, err) // does not count against the worker
	}
	return spec, nil
}

// Stop implements runner.Runner.
func (r *Runner) Stop(ctx context.Context, to runner.Ref, task work.TaskID, run, epoch uint64) error {
	return r.issue(ctx, to, order{Action: doStop, Task: task, Run: run}, 0, func(*outcome) {},
		func() error { return r.o.Direct.Stop(ctx, to, task, run, epoch) })
}

// Renew implements runner.Runner.
func (r *Runner) Renew(ctx context.Context, to runner.Ref, n runner.Renewal) (report runner.Report, err error) {
	o := order{Action: doRenew, Until: n.Until.Milliseconds(), Acknowledge: n.Acknowledge, Wait: n.Wait.Milliseconds()}
	err = r.issue(ctx, to, o, 0, func(x *outcome) { report = x.report() }, func() (err error) {
		n.Wait = waitWithin(ctx, n.Wait)
		report, err = r.o.Direct.Renew(ctx, to, n)
		return err
	})
	return report, err
}

// answerReserve is the part of a renewal's time that is reserved for the worker's answer
// after it has waited for a completion.
const answerReserve = 300 * time.Millisecond

// waitWithin shortens the wait of a renewal that is made directly, possibly after a relay
// lost it, so that its answer still arrives in time.
func waitWithin(ctx context.Context, wait time.Duration) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return wait
	}
	return max(min(wait, time.Until(deadline)-answerReserve), 0).Truncate(time.Millisecond)
}

// errLost means that the relay did not accept the order, or was taken out of use before it
// reported the outcome.
var errLost = errors.New("relay: the relay does not answer")

// issue sends an order to a relay, or carries it out directly if there is no relay for the
// worker or the relays do not answer.
func (r *Runner) issue(ctx context.Context, to runner.Ref, o order, digest uint64, take func(x *outcome), direct func() error) error {
	err, _ := r.issueOnce(ctx, to, o, digest, take, direct)
	return err
}

// issueOnce is issue, and reports whether a relay that was lost may have a copy of the order.
func (r *Runner) issueOnce(ctx context.Context, to runner.Ref, o order, digest uint64, take func(x *outcome), direct func() error) (err error, lost bool) {
	o.Worker, o.Address = to.ID, to.Address
	maybeSent := false
	for range maxRelays {
		c := r.route(to.ID)
		if c == nil {
			break
		}
		x, err := r.askWithSpec(ctx, c, o, digest)
		maybeSent = maybeSent || errors.Is(err, runner.ErrMayBeSent)
		switch {
		case err == nil:
			take(x)
			return nil, lost
		case errors.Is(err, errSpecLate), ctx.Err() != nil:
			return mayBeSent(fmt.Errorf("%w: %w", runner.ErrUnknown, err), maybeSent), lost // at the next try the relay has the spec
		case !errors.Is(err, errLost) && !errors.Is(err, errNoSpec):
			return mayBeSent(uncertain(err, lost), maybeSent), lost
		}
		lost = lost || errors.Is(err, errLost)
		r.stats.Again.Add(1)
	}
	r.stats.Direct.Add(1)
	return mayBeSent(uncertain(direct(), lost), maybeSent), lost
}

// mayBeSent adds to an error after which the worker may have acted that the order may also be sent later.
func mayBeSent(err error, is bool) error {
	if !is || !errors.Is(err, runner.ErrUnknown) || errors.Is(err, runner.ErrMayBeSent) {
		return err
	}
	return fmt.Errorf("%w: %w", err, runner.ErrMayBeSent)
}

// maxRelays bounds the relays that are tried for one order before it is carried out
// directly.
const maxRelays = 2

// askWithSpec is ask, and sends the job's spec if the relay cannot get it.
func (r *Runner) askWithSpec(ctx context.Context, c *relayClient, o order, digest uint64) (*outcome, error) {
	r.stats.Relayed.Add(1)
	x, err := r.ask(ctx, c, o, digest, nil)
	if !errors.Is(err, errNoSpec) {
		return x, err
	}
	spec, err := r.o.Spec(ctx, o.Task.Job, "", digest) // the relay has already asked the accepting daemon
	if err != nil {
		return nil, fmt.Errorf("%w: get the job's spec: %w", runner.ErrUnknown, err)
	}
	return r.ask(ctx, c, o, digest, r.specFor(c, o.Task.Job, spec))
}

// uncertain returns the error of an order that was issued again while a relay may still
// carry out the lost one: a worker that refuses the second may accept the first.
func uncertain(err error, lost bool) error {
	switch {
	case err == nil, !lost, !errors.Is(err, runner.ErrNotRun):
		return err
	case errors.Is(err, runner.ErrFenced), errors.Is(err, runner.ErrRestarted), errors.Is(err, runner.ErrStaleRun):
		return err // these hold for the first order as well
	}
	return fmt.Errorf("%w: refused when issued again: %w", runner.ErrUnknown, errors.New(err.Error()))
}

// ask sends an order to a relay and waits for its outcome.
func (r *Runner) ask(ctx context.Context, c *relayClient, o order, digest uint64, spec *jobSpec) (*outcome, error) {
	p := &pending{order: o, digest: digest, spec: spec, client: c, done: make(chan outcome, 1)}
	if deadline, ok := ctx.Deadline(); ok {
		p.order.Budget = max(time.Until(deadline).Milliseconds(), 1)
	}
	r.mu.Lock()
	r.seq++
	p.order.Seq = r.seq
	r.waiting[p.order.Seq] = p
	r.mu.Unlock()
	defer r.remove(p)
	put := time.Now()
	c.out.put(r.ctx, p)
	select {
	case x := <-p.done:
		out, err := r.recordOutcome(c, o.Worker, &x)
		if errors.Is(err, errLost) && !p.accepted.Load() {
			err = fmt.Errorf("%w: %w", err, runner.ErrMayBeSent)
		}
		return out, err
	case <-ctx.Done():
		if r.answeredSince(c, put) {
			r.recordMissed(c, o.Worker)
		}
		return nil, mayBeSent(fmt.Errorf("%w: by %s: %w", runner.ErrUnknown, c.member.Name, ctx.Err()), !p.accepted.Load())
	case <-r.ctx.Done():
		return nil, fmt.Errorf("%w: %w", runner.ErrUnknown, context.Cause(r.ctx))
	}
}

func (r *Runner) remove(p *pending) {
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

// finish passes the first outcome of an order to the waiting call; later ones are dropped.
func (p *pending) finish(x outcome) {
	select {
	case p.done <- x:
	default:
	}
}
