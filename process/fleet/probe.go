package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"fennelshunt.example/fennelshunt/connection/peer"
)

// suspectAfter is how many rounds of a probe must fail in a row. A round
// fails when the member answers neither this daemon, asked twice, nor any of
// the helpers; with 5 % of messages lost one round fails by chance about once
// in 10,000, two in a row practically never.
const suspectAfter = 2

// isolatedAfter is the silence, in periods, that counts as being cut off.
const isolatedAfter = 2

// maxHealth is the worst score of this daemon's own connection.
const maxHealth = 4

// health scores how badly this daemon hears the others, as in Lifeguard: a
// daemon whose own link is bad waits longer and suspects later, instead of
// suspecting everybody.
type health int

func (h *health) good() { *h = max(*h-1, 0) }
func (h *health) bad()  { *h = min(*h+1, maxHealth) }

func (h health) stretch(d time.Duration) time.Duration { return d * time.Duration(2+h) / 2 }

// rounds returns how many failed rounds in a row raise a suspicion.
func (h health) rounds() int {
	if h == maxHealth {
		return suspectAfter + 1
	}
	return suspectAfter
}

// isolated says that this daemon has heard neither a peer nor the store for a
// while: most likely it is cut off itself, and suspecting the others would only
// make noise when it is back. A fleet of two cannot tell.
func (l *loop) isolated() bool {
	return len(l.fleet.Members()) > 2 &&
		time.Since(l.lastHeard) > isolatedAfter*l.options.Period &&
		!l.fleet.LeaseRenewed().After(l.lastHeard)
}

// suspectTurns is how many turns of the probing order make one probe of a
// member that is suspected already. Its probes only carry the suspicion to it,
// and a handshake in vain costs more than any other message.
const suspectTurns = 3

type probeState struct {
	fails    int
	inFlight bool
	skipped  int // turns, while suspected
}

// skip says that it is not the suspected member's turn yet.
func (s *probeState) skip() bool {
	s.skipped = (s.skipped + 1) % suspectTurns
	return s.skipped != 0
}

// probeResult reports the end of a probe.
type probeResult struct {
	target  peer.Ref
	epoch   uint64
	reached bool
	push    bool // sent to spread news; silence says nothing
	acks    []ack
	// actual is the life that answered in place of the target.
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

// probe starts a probe of the member unless one is under way.
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

// message makes a ping for the member.
func (l *loop) message(to peer.MemberID) ping {
	return ping{Deltas: l.gossip.take(l.table, to, len(l.fleet.Members())), Digest: l.table.digest}
}

// chooseHelpers picks members to probe the target in this daemon's stead, among
// those that probe it anyway: they have a connection to it, while others would
// each pay for a handshake, in vain when the target is dead.
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
		l.lastHeard = time.Now()
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
		l.health.good()
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
		l.health.bad()
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
	l.options.Log.Info().Str("member", string(target.ID)).Msg("member suspected")
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
	var wrong *peer.WrongLifeError
	if errors.As(err, &wrong) {
		result.actual = wrong.Actual
	}
	if err != nil && !p.push && !p.once && ctx.Err() == nil {
		p.again(ctx, &result)
	}
	// An error means that the loop has ended and nobody waits for the result.
	_ = p.fleet.post(ctx, result)
}

func (p prober) ping(ctx context.Context) (ack, error) {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	var answer ack
	err := p.fleet.options.Caller.Call(ctx, p.target, methodPing, p.message, &answer)
	return answer, err
}

// again asks the helpers and the target itself once more, all at once; any
// answer will do.
func (p prober) again(ctx context.Context, result *probeResult) {
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

// via asks a helper; it returns an empty ack when the helper reached the
// target and nil otherwise.
func (p prober) via(ctx context.Context, helper peer.Ref) *ack {
	request := pingVia{Target: p.target, Budget: uint32(p.timeout.Milliseconds())}
	var answer pingViaAck
	err := p.fleet.options.Caller.Call(ctx, helper, methodPingVia, request, &answer)
	if err != nil || !answer.Reached {
		return nil
	}
	return &ack{}
}
