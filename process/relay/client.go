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

// relayClient is the leader's client of one relay.
type relayClient struct {
	member    lead.Member
	out       *outbox[*pending]
	conn      *orderConn
	specsSent map[work.JobID]time.Time // send times of recently sent specs

	lastAnswer  time.Time // time of the latest answer
	downUntil   time.Time
	downFor     time.Duration
	missedCalls int // consecutive calls to workers without an answer
}

func (r *Runner) closeConns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.clients {
		c.conn.close()
	}
}

// answeredSince reports whether a relay has answered since then. If it has, an order
// without an outcome indicates a problem with the worker.
func (r *Runner) answeredSince(c *relayClient, since time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return c.lastAnswer.After(since)
}

// recordOutcome updates the health of a relay from the outcome of an order.
func (r *Runner) recordOutcome(c *relayClient, worker runner.WorkerID, x *outcome) (*outcome, error) {
	err := x.err()
	if errors.Is(err, runner.ErrUnknown) || errors.Is(err, runner.ErrNoConnection) {
		r.recordMissed(c, worker)
		return nil, err
	}
	if errors.Is(err, errLost) {
		return nil, err // the relay has not reported an outcome
	}
	r.mu.Lock()
	c.missedCalls, c.downFor = 0, 0
	r.mu.Unlock()
	return x, err
}

// recordMissed records that a worker did not answer through a relay; it is then called
// directly for a while. Otherwise a worker would look dead for as long as its relay is cut
// off from it.
func (r *Runner) recordMissed(c *relayClient, worker runner.WorkerID) {
	r.mu.Lock()
	if t := r.workers[worker]; t != nil {
		t.directUntil = time.Now().Add(directFor)
	}
	c.missedCalls++
	cut := c.missedCalls >= maxMissedCalls
	r.mu.Unlock()
	if cut {
		r.takeDown(c, errors.New("workers do not answer its calls"))
	}
}

// specFor returns the spec to send to a relay, nil if it was sent within specResendDelay:
// the orders of all tasks of a job fail for lack of it at the same time.
func (r *Runner) specFor(c *relayClient, id work.JobID, spec string) *jobSpec {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for other, at := range c.specsSent {
		if now.Sub(at) > specResendDelay {
			delete(c.specsSent, other)
		}
	}
	if _, ok := c.specsSent[id]; ok {
		return nil
	}
	c.specsSent[id] = now
	return &jobSpec{Job: id, Spec: spec}
}

// route returns the relay to call a worker through, nil for a direct call.
func (r *Runner) route(id runner.WorkerID) *relayClient {
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
	if t.client == nil || now.Before(t.client.downUntil) || !slices.Contains(r.chosen, t.client) {
		t.client = r.best(id, now)
	}
	return t.client
}

// outgrown reports whether the number of workers has grown so much since the relays were
// chosen that these are too few.
//
// A new leader calls all of its workers for the first time. If the relays chosen for the
// first few of them remained in use, it would make all those calls itself, saturate its
// link, and look dead right after the start of its term.
func (r *Runner) outgrown() bool {
	now := len(r.workers)
	return now >= growthFactor*r.choseFor || (len(r.chosen) == 0 && r.choseFor <= workerCapacity(r.o.Self) && now > workerCapacity(r.o.Self))
}

// growthFactor is the growth factor of the number of workers at which the relays are
// chosen again.
const growthFactor = 2

// choose chooses the relays for the current workers.
func (r *Runner) choose(now time.Time) {
	r.choseAt, r.choseFor = now, max(len(r.workers), 1)
	for id, t := range r.workers {
		if now.Sub(t.called) > workerRetention {
			delete(r.workers, id)
		}
	}
	var members []lead.Member
	for _, m := range r.o.Members() {
		if c := r.clients[m.Name]; c == nil || c.member.Peer != m.Peer || c.member.Started != m.Started || !now.Before(c.downUntil) {
			members = append(members, m)
		}
	}
	r.chosen = r.chosen[:0:0]
	for _, m := range choose(members, r.o.Self, len(r.workers)) {
		r.chosen = append(r.chosen, r.clientFor(m))
	}
	for _, t := range r.workers {
		t.client = nil // assigned again with its next order
	}
}

// clientFor returns the client of a daemon. A new incarnation of the daemon gets a new one.
func (r *Runner) clientFor(m lead.Member) *relayClient {
	c := r.clients[m.Name]
	if c != nil && c.member.Peer == m.Peer && c.member.Started == m.Started {
		return c
	}
	c = &relayClient{member: m, specsSent: map[work.JobID]time.Time{}}
	c.conn = &orderConn{addr: m.Orders, dial: r.o.Dial, onOutcomes: r.deliver}
	c.out = &outbox[*pending]{linger: ordersLinger, send: func(ctx context.Context, batch []*pending) { r.send(ctx, c, batch) }}
	r.clients[m.Name] = c
	return c
}

// best returns the relay of a worker, among those in use.
func (r *Runner) best(id runner.WorkerID, now time.Time) *relayClient {
	var best *relayClient
	var most uint64
	for _, c := range r.chosen {
		if now.Before(c.downUntil) {
			continue
		}
		if w := weight(id, c.member.Name); best == nil || w > most {
			best, most = c, w
		}
	}
	return best
}

// send sends orders to a relay and waits until it has accepted them.
func (r *Runner) send(ctx context.Context, c *relayClient, batch []*pending) {
	sent := time.Now()
	bounded, cancel := context.WithTimeout(ctx, r.timeout())
	defer cancel()
	epoch, err := c.conn.exchange(bounded, r.message(batch))
	switch {
	case err == nil && epoch > r.o.Epoch:
		for _, p := range batch {
			p.finish(outcome{Code: codeFenced})
		}
	case err == nil:
		for _, p := range batch {
			p.accepted.Store(true)
		}
		r.recordAnswer(c, sent)
	case r.ctx.Err() != nil: // the term is over, which the waiting calls detect themselves
	default:
		if r.othersAnswer(c, sent) {
			r.takeDown(c, err)
		}
		r.failLost(batch)
	}
}

// timeout bounds the next message of orders.
func (r *Runner) timeout() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return min(max(ordersTimeout, rttFactor*r.rtt), maxOrdersTimeout)
}

func (r *Runner) recordAnswer(c *relayClient, sent time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c.lastAnswer = time.Now()
	r.rtt += (c.lastAnswer.Sub(sent) - r.rtt) / rttDecay
}

// allUnresponsive is how long all relays must have been unresponsive for the leader to
// count as cut off from them rather than slow.
const allUnresponsive = 2 * time.Second

// othersAnswer reports whether another relay has answered since a message was sent, or no
// other relay is in use, or none has answered for allUnresponsive.
//
// Otherwise, when the leader's own link or processor is saturated and the answers of all
// relays are late, it would take all relays out of use and make every call itself, which
// adds to its load.
func (r *Runner) othersAnswer(c *relayClient, sent time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	others, latest := 0, c.lastAnswer
	for _, other := range r.chosen {
		if other == c || time.Now().Before(other.downUntil) {
			continue
		}
		if others++; other.lastAnswer.After(sent) {
			return true
		}
		if other.lastAnswer.After(latest) {
			latest = other.lastAnswer
		}
	}
	return others == 0 || time.Since(latest) > allUnresponsive
}

// message returns a frame of orders with the specs that the relay could not get.
func (r *Runner) message(batch []*pending) *orders {
	m := &orders{Shard: r.o.Shard, Epoch: r.o.Epoch, Orders: make([]order, len(batch))}
	for i, p := range batch {
		m.Orders[i] = p.order
		if p.digest != 0 {
			if m.Digests == nil {
				m.Digests = map[work.JobID]uint64{}
			}
			m.Digests[p.order.Task.Job] = p.digest
		}
		if p.spec != nil {
			m.Specs = append(m.Specs, *p.spec)
		}
	}
	return m
}

// takeDown takes a relay out of use for a while. All orders that wait for it count as lost
// and are issued again.
func (r *Runner) takeDown(c *relayClient, why error) {
	r.mu.Lock()
	now := time.Now()
	if now.Before(c.downUntil) {
		r.mu.Unlock()
		return
	}
	downFor := min(max(2*c.downFor, downFirst), downMax)
	c.downFor, c.downUntil = downFor, now.Add(downFor)
	c.missedCalls = 0
	var lost []*pending
	for _, p := range r.waiting {
		if p.client == c {
			lost = append(lost, p)
		}
	}
	r.choseAt = time.Time{}
	r.mu.Unlock()
	r.stats.Down.Add(1)
	r.o.Log.Warn().Err(why).Str("relay", c.member.Name).Int("orders", len(lost)).Dur("for_ms", downFor).Msg("relay out of use")
	c.conn.close()
	r.failLost(lost)
}

// failLost ends the waiting orders of a relay that does not answer.
func (r *Runner) failLost(batch []*pending) {
	for _, p := range batch {
		p.finish(outcome{Code: codeLost})
	}
}

// deliver passes outcomes to the calls that wait for them.
func (r *Runner) deliver(all []outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range all {
		if p := r.waiting[all[i].Seq]; p != nil {
			p.finish(all[i])
		}
	}
}
