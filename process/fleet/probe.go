package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"fennelshunt.example/fennelshunt/connection/peer"
)

// suspectAfter is the number of consecutive failed rounds after which a member is
// suspected. A round fails if the member answers neither this daemon, which tries twice,
// nor any of the helpers. With 5 % message loss one round fails by chance about once in
// 10,000, two consecutive ones practically never.
const suspectAfter = 2

// isolatedAfter is the time without messages, in periods, after which this daemon counts
// as cut off.
const isolatedAfter = 2

// maxHealth is the worst health score.
const maxHealth = 4

// health scores this daemon's own connectivity, as in Lifeguard; higher is worse. A
// daemon with a bad link waits longer and suspects later, instead of suspecting all
// others.
type health int

func (h *health) improve() { *h = max(*h-1, 0) }
func (h *health) worsen()  { *h = min(*h+1, maxHealth) }

func (h health) stretch(d time.Duration) time.Duration { return d * time.Duration(2+h) / 2 }

// rounds returns how many consecutive failed rounds raise a suspicion.
func (h health) rounds() int {
	if h == maxHealth {
		return suspectAfter + 1
	}
	return suspectAfter
}

// isolated reports whether this daemon has received nothing from peers or the store for a
// while. It is then most likely cut off itself, and suspecting the others would only cause
// needless messages when it is back. In a fleet of two, being cut off cannot be distinguished
// from a failure of the only other member, so isolated returns false.
func (l *loop) isolated() bool {
	return len(l.fleet.Members()) > 2 &&
		time.Since(l.lastContact) > isolatedAfter*l.options.Period &&
		!l.fleet.LeaseRenewed().After(l.lastContact)
}

// suspectTurns: a suspected member is probed only once in so many turns. Its probes only
// carry the suspicion to it, and a failing handshake costs more than any other message.
const suspectTurns = 3

type probeState struct {
	fails    int
	inFlight bool
	skipped  int // turns, while suspected
}

// skip reports whether to skip this turn of a suspected member.
func (s *probeState) skip() bool {
	s.skipped = (s.skipped + 1) % suspectTurns
	return s.skipped != 0
}

// probeResult is the result of a probe.
type probeResult struct {
	target  peer.Ref
	epoch   uint64
	reached bool
	push    bool // sent to gossip changes; a missing answer does not count
	acks    []ack
	// actual is the incarnation that answered in place of the target.
	actual peer.Ref
}

// probeNext probes the next target in turn.
func (l *loop) probeNext() {
	for range l.targets {
		l.next = (l.next + 1) % len(l.targets)
		if l.probe(l.targets[l.next]) {
			return
		}
	}
}

// probe starts a probe of the member unless one is in flight.
func (l *loop) probe(id peer.MemberID) bool {
	e := l.table.entries[id]
	if e == nil || !e.usable() {
		return false
	}
	state := l.probes[id]
	if state == nil {
		state = &probeState{}
		l.probes[id] = state
	}
	if state.inFlight || e.suspect() && state.skip() {
		return false
	}
	state.inFlight = true
	l.fleet.stats.Probes.Add(1)
	p := prober{
		fleet:   l.fleet,
		target:  e.ref(),
		message: l.message(id),
		helpers: l.chooseHelpers(id),
		timeout: l.health.stretch(l.options.PingTimeout),
		epoch:   l.epoch,
		once:    e.suspect(),
	}
	go p.run(l.ctx)
	return true
}

// message returns a ping for the member.
func (l *loop) message(to peer.MemberID) ping {
	return ping{Deltas: l.gossip.take(l.table, to, len(l.fleet.Members())), Digest: l.table.digest}
}

// chooseHelpers chooses members that probe the target on behalf of this daemon, among
// those that probe it anyway: they have a connection to it, while others would each need
// a handshake, which is useless if the target is dead.
func (l *loop) chooseHelpers(target peer.MemberID) []peer.Ref {
	probers := predecessors(target, l.usable())
	rand.Shuffle(len(probers), func(i, j int) { probers[i], probers[j] = probers[j], probers[i] })
	var chosen []peer.Ref
	for _, id := range probers {
		e := l.table.entries[id]
		if id != l.fleet.self.ID && !e.suspect() && len(chosen) < helpers {
			chosen = append(chosen, e.ref())
		}
	}
	return chosen
}

func (r probeResult) apply(l *loop) {
	if r.actual.ID == r.target.ID && r.actual.Incarnation > r.target.Incarnation {
		l.merge(delta{ID: r.actual.ID, Incarnation: r.actual.Incarnation}, true)
	}
	if r.reached {
		l.lastContact = time.Now()
	}
	for _, a := range r.acks {
		l.mergeAll(a.Deltas)
		l.compareDigest(a.Digest)
	}
	state := l.probes[r.target.ID]
	if state == nil || r.epoch != l.epoch {
		return
	}
	if r.push {
		if r.reached {
			state.fails = 0
		}
		return
	}
	state.inFlight = false
	if r.reached {
		state.fails = 0
		l.health.improve()
		return
	}
	l.probeFailed(r.target, state)
}

func (l *loop) probeFailed(target peer.Ref, state *probeState) {
	l.fleet.stats.FailedProbes.Add(1)
	e := l.table.entries[target.ID]
	if e == nil || e.ref() != target || !e.usable() {
		return
	}
	if !e.suspect() {
		l.health.worsen()
	}
	state.fails++
	if e.suspect() {
		return
	}
	if state.fails < l.health.rounds() {
		l.probe(target.ID)
		return
	}
	if l.isolated() {
		return
	}
	l.fleet.stats.Suspicions.Add(1)
	l.options.Log.Info().Str("member", string(target.ID)).Msg("member suspected: probes failed; it can be evicted unless it answers")
	d := e.delta
	d.Flags |= flagSuspect
	l.merge(d, true)
}

// prober carries out one round of a probe outside the loop.
type prober struct {
	fleet   *Fleet
	target  peer.Ref
	message ping
	helpers []peer.Ref
	timeout time.Duration
	epoch   uint64
	push    bool
	once    bool // no second try and no helpers
}

func (p prober) run(ctx context.Context) {
	result := probeResult{target: p.target, epoch: p.epoch, push: p.push}
	answer, err := p.ping(ctx)
	if err == nil {
		result.reached = true
		result.acks = append(result.acks, answer)
	}
	var wrong *peer.WrongIncarnationError
	if errors.As(err, &wrong) {
		result.actual = wrong.Actual
	}
	if err != nil && !p.push && !p.once && ctx.Err() == nil {
		p.retryWithHelpers(ctx, &result)
	}
	// An error means that the loop has ended, so the result is not needed.
	_ = p.fleet.post(ctx, result)
}

func (p prober) ping(ctx context.Context) (ack, error) {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	var answer ack
	err := p.fleet.options.Caller.Call(ctx, p.target, methodPing, p.message, &answer)
	return answer, err
}

// retryWithHelpers asks the helpers and, once more, the target itself, all concurrently.
// Any positive answer is sufficient.
func (p prober) retryWithHelpers(ctx context.Context, result *probeResult) {
	ctx, cancel := context.WithTimeout(ctx, 2*p.timeout)
	defer cancel()
	answers := make(chan *ack, len(p.helpers)+1)
	var pending atomic.Int32
	pending.Store(int32(len(p.helpers)) + 1)
	report := func(a *ack) {
		if a != nil || pending.Add(-1) == 0 {
			answers <- a
		}
	}
	go func() {
		if answer, err := p.ping(ctx); err == nil {
			report(&answer)
			return
		}
		report(nil)
	}()
	for _, helper := range p.helpers {
		go func() { report(p.via(ctx, helper)) }()
	}
	select {
	case a := <-answers:
		if a != nil {
			result.reached = true
			result.acks = append(result.acks, *a)
		}
	case <-ctx.Done():
	}
}

// via asks a helper. It returns an empty ack if the helper reached the target, nil
// otherwise.
func (p prober) via(ctx context.Context, helper peer.Ref) *ack {
	request := pingVia{Target: p.target, Budget: uint32(p.timeout.Milliseconds())}
	var answer pingViaAck
	err := p.fleet.options.Caller.Call(ctx, helper, methodPingVia, request, &answer)
	if err != nil || !answer.Reached {
		return nil
	}
	return &ack{}
}
