package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/process/lead"
	"fennelshunt.example/fennelshunt/version/work"
)

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

func (r *Runner) closeLines() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.lanes {
		l.line.close()
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
	if now.Sub(r.choseAt) >= choosePeriod || r.outgrown() {
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

// outgrown reports whether there are so many more workers than when the relays were
// chosen that these are too few.
//
// Load pattern: a new leader calls all of its workers for the first time. What goes
// wrong without it: the relays were chosen for the first of them, so it makes all
// those calls itself, its link is full, and it looks dead as soon as it has begun.
func (r *Runner) outgrown() bool {
	now := len(r.workers)
	return now >= growthChoice*r.choseFor || (len(r.chosen) == 0 && r.choseFor <= carries(r.o.Self) && now > carries(r.o.Self))
}

// growthChoice: relays are chosen anew when there are so many times the workers that
// they were chosen for.
const growthChoice = 2

// choose picks the relays.
func (r *Runner) choose(now time.Time) {
	r.choseAt, r.choseFor = now, max(len(r.workers), 1)
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
