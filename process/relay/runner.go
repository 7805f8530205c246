package relay

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"net"
	"slices"
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
	rtt     time.Duration // of messages that relays answered, decaying
	seq     uint64
	waiting map[uint64]*pending
}

var _ runner.Runner = (*Runner)(nil)

// target is a worker.
type target struct {
	lane        *lane // nil: called directly
	called      time.Time
	directUntil time.Time
}

// lane is the way over one relay.
type lane struct {
	member lead.Member
	out    *outbox[*pending]
	line   *line
	told   map[work.JobID]time.Time // specs sent of late, and when

	heard     time.Time // when it last answered
	downUntil time.Time
	downFor   time.Duration
	missed    int // calls in a row without an answer of their workers
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

func (r *Runner) closeLines() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.lanes {
		l.line.close()
	}
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

// heardSince reports whether a relay has answered since then: an order without an
// outcome then says something of the worker.
func (r *Runner) heardSince(l *lane, since time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return l.heard.After(since)
}

// judge notes what an outcome says of the way over the relay.
func (r *Runner) judge(l *lane, worker runner.WorkerID, x *outcome) (*outcome, error) {
	err := x.err()
	if errors.Is(err, runner.ErrUnknown) || errors.Is(err, runner.ErrNoConnection) {
		r.missed(l, worker)
		return nil, err
	}
	if errors.Is(err, errLost) {
		return nil, err // the relay has told nothing
	}
	r.mu.Lock()
	l.missed, l.downFor = 0, 0
	r.mu.Unlock()
	return x, err
}

// missed notes that a worker did not answer over a relay: it is called directly for
// a while. What goes wrong without it: a relay that is cut off from a worker makes
// the worker look dead for as long as that lasts.
func (r *Runner) missed(l *lane, worker runner.WorkerID) {
	r.mu.Lock()
	if t := r.workers[worker]; t != nil {
		t.directUntil = time.Now().Add(directFor)
	}
	l.missed++
	cut := l.missed >= manyMissed
	r.mu.Unlock()
	if cut {
		r.takeDown(l, errors.New("its calls of workers get no answers"))
	}
}

func (r *Runner) forget(p *pending) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.waiting, p.order.Seq)
}

// textFor returns the spec for a relay, nil if it was sent there a moment ago: all
// tasks of a job miss it at once.
func (r *Runner) textFor(l *lane, id work.JobID, spec string) *text {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for other, at := range l.told {
		if now.Sub(at) > toldFor {
			delete(l.told, other)
		}
	}
	if _, ok := l.told[id]; ok {
		return nil
	}
	l.told[id] = now
	return &text{Job: id, Spec: spec}
}

// Relaying reports whether relays are in use.
func (r *Runner) Relaying() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.chosen) > 0
}

// route returns the way to a worker, nil for a direct call.
func (r *Runner) route(id runner.WorkerID) *lane {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	t := r.workers[id]
	if t == nil {
		t = &target{}
		r.workers[id] = t
	}
	t.called = now
	if now.Sub(r.choseAt) >= choosePeriod {
		r.choose(now)
	}
	if now.Before(t.directUntil) {
		return nil
	}
	if t.lane == nil || now.Before(t.lane.downUntil) || !slices.Contains(r.chosen, t.lane) {
		t.lane = r.best(id, now)
	}
	return t.lane
}

// choose picks the relays.
func (r *Runner) choose(now time.Time) {
	r.choseAt = now
	for id, t := range r.workers {
		if now.Sub(t.called) > keepWorker {
			delete(r.workers, id)
		}
	}
	var members []lead.Member
	for _, m := range r.o.Members() {
		if l := r.lanes[m.Name]; l == nil || l.member.Peer != m.Peer || l.member.Started != m.Started || !now.Before(l.downUntil) {
			members = append(members, m)
		}
	}
	r.chosen = r.chosen[:0:0]
	for _, m := range choose(members, r.o.Self, len(r.workers)) {
		r.chosen = append(r.chosen, r.laneTo(m))
	}
	for _, t := range r.workers {
		t.lane = nil // chosen anew with its next order
	}
}

// laneTo returns the way over a daemon; a new life of it gets a new one.
func (r *Runner) laneTo(m lead.Member) *lane {
	l := r.lanes[m.Name]
	if l != nil && l.member.Peer == m.Peer && l.member.Started == m.Started {
		return l
	}
	l = &lane{member: m, told: map[work.JobID]time.Time{}}
	l.line = &line{addr: m.Orders, dial: r.o.Dial, heard: r.deliver}
	l.out = &outbox[*pending]{linger: ordersLinger, send: func(ctx context.Context, batch []*pending) { r.send(ctx, l, batch) }}
	r.lanes[m.Name] = l
	return l
}

// best returns the worker's relay among those in use.
func (r *Runner) best(id runner.WorkerID, now time.Time) *lane {
	var best *lane
	var most uint64
	for _, l := range r.chosen {
		if now.Before(l.downUntil) {
			continue
		}
		if w := weight(id, l.member.Name); best == nil || w > most {
			best, most = l, w
		}
	}
	return best
}

// send brings orders to a relay and waits until it has taken them.
func (r *Runner) send(ctx context.Context, l *lane, batch []*pending) {
	sent := time.Now()
	bounded, cancel := context.WithTimeout(ctx, r.timeout())
	defer cancel()
	epoch, err := l.line.exchange(bounded, r.message(batch))
	switch {
	case err == nil && epoch > r.o.Epoch:
		for _, p := range batch {
			p.finish(outcome{Code: codeFenced})
		}
	case err == nil:
		r.noteAnswer(l, sent)
	case r.ctx.Err() != nil: // the term is over, which those who wait see
	default:
		if r.othersAnswer(l, sent) {
			r.takeDown(l, err)
		}
		r.lose(batch)
	}
}

// timeout bounds the next message of orders.
func (r *Runner) timeout() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return min(max(ordersTimeout, rttFactor*r.rtt), maxOrdersTimeout)
}

func (r *Runner) noteAnswer(l *lane, sent time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l.heard = time.Now()
	r.rtt += (l.heard.Sub(sent) - r.rtt) / rttDecay
}

// allSilent is how long no relay must have answered for the leader to be cut off
// from them rather than slow.
const allSilent = 2 * time.Second

// othersAnswer reports whether another relay has answered since a message was sent,
// or there is no other to tell by, or none has answered for long.
//
// What goes wrong without it: the leader's own link or processor is full, the answers
// of all relays are late, all are taken out of use, and the leader makes every call
// itself, which fills it the more.
func (r *Runner) othersAnswer(l *lane, sent time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	others, latest := 0, l.heard
	for _, other := range r.chosen {
		if other == l || time.Now().Before(other.downUntil) {
			continue
		}
		if others++; other.heard.After(sent) {
			return true
		}
		if other.heard.After(latest) {
			latest = other.heard
		}
	}
	return others == 0 || time.Since(latest) > allSilent
}

// message puts orders together with the texts that the relay could not get.
func (r *Runner) message(batch []*pending) *orders {
	m := &orders{Part: r.o.Part, Epoch: r.o.Epoch, Orders: make([]order, len(batch))}
	for i, p := range batch {
		m.Orders[i] = p.order
		if p.text != nil {
			m.Texts = append(m.Texts, *p.text)
		}
	}
	return m
}

// takeDown takes a relay out of use for a while; all that waits for it is lost.
func (r *Runner) takeDown(l *lane, why error) {
	r.mu.Lock()
	now := time.Now()
	if now.Before(l.downUntil) {
		r.mu.Unlock()
		return
	}
	l.downFor = min(max(2*l.downFor, downFirst), downMax)
	l.downUntil = now.Add(l.downFor)
	l.missed = 0
	var lost []*pending
	for _, p := range r.waiting {
		if p.lane == l {
			lost = append(lost, p)
		}
	}
	r.choseAt = time.Time{}
	r.mu.Unlock()
	r.stats.Down.Add(1)
	r.o.Log.Warn().Err(why).Str("relay", l.member.Name).Int("orders", len(lost)).Dur("for_ms", l.downFor).Msg("relay out of use")
	l.line.close()
	r.lose(lost)
}

// lose tells those who wait that their relay is gone.
func (r *Runner) lose(batch []*pending) {
	for _, p := range batch {
		p.finish(outcome{Code: codeLost})
	}
}

// finish hands over the first outcome of an order.
func (p *pending) finish(x outcome) {
	select {
	case p.done <- x:
	default:
	}
}

// deliver hands outcomes to those who wait for them.
func (r *Runner) deliver(all []outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range all {
		if p := r.waiting[all[i].Seq]; p != nil {
			p.finish(all[i])
		}
	}
}
