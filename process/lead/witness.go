package lead

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/internal/sleep"
)

// Telling that the leader is gone, or cut off from the store, before its lease
// runs out.
//
// Load pattern: the leader's process or VM ends, or the store turns it away,
// under full load. Until another daemon leads nothing starts and no end is shown;
// the lease alone lets 0.9 to 1.2 s pass, and 2.4 s where the store is slow.
//
// Nothing rests on this judgement being right: a claim is a transaction in the
// store, and orders carry epochs, so a leader that is replaced without need loses
// its term and nothing else.
const (
	// pingPause is between calls to the leader, and pingTimeout bounds one: a daemon
	// on a quota of processor time may stand still for a tenth of a second. Where
	// answers are slow it grows to pingFactor times their decaying average, up to
	// maxPingTimeout.
	pingPause      = 100 * time.Millisecond
	pingTimeout    = 150 * time.Millisecond
	maxPingTimeout = 600 * time.Millisecond
	pingFactor     = 4
	pingDecay      = 4
	// pingsMissed in a row let a daemon ask others about the leader.
	pingsMissed = 2
	// pingers is how many daemons call the leader, those that fit best: each costs
	// it ten calls a second.
	pingers = 3
	// witnesses is how many others are asked, and witnessTimeout bounds that: each
	// calls the leader itself.
	witnesses    = 3
	witnessExtra = 100 * time.Millisecond // over the bound of the call that it makes
	// rankDelay keeps the claims of several daemons apart: the second sees the
	// first one's claim in a round trip to the store.
	rankDelay = 40 * time.Millisecond
	// learnPause is between calls to other daemons while the store does not answer.
	learnPause = 150 * time.Millisecond
	// ownTroubleMemory: a daemon that the store failed within this time does not
	// judge the leader by what the store does to it.
	ownTroubleMemory = time.Second
)

// Methods between daemons.
const (
	methodAlive peer.Method = "lead.alive"
	methodHeard peer.Method = "lead.heard"
)

// Caller calls other daemons.
type Caller interface {
	CallAddr(ctx context.Context, addr string, method peer.Method, req, resp any) (peer.Ref, error)
}

type aliveRequest struct{}

// aliveReply tells what a daemon is and knows.
type aliveReply struct {
	Leads      bool   `cbor:"1,keyasint"` // it leads, or is about to
	TurnedAway bool   `cbor:"2,keyasint"` // the store refuses its calls
	Known      bool   `cbor:"3,keyasint"` // it knows a leader
	Leader     Leader `cbor:"4,keyasint"`
}

type heardRequest struct {
	Leader Member `cbor:"1,keyasint"`
}

type heardReply struct {
	Serves bool `cbor:"1,keyasint"` // the leader answers, leads, and reaches the store
}

// Register serves the methods for other daemons.
func (e *Elector) Register(r peer.Registrar) {
	r.Handle(e.method(methodAlive), peer.Typed(func(context.Context, aliveRequest) (any, error) { return e.alive(), nil }))
	r.Handle(e.method(methodHeard), peer.Typed(func(ctx context.Context, r heardRequest) (any, error) {
		reply, err := e.ping(ctx, r.Leader)
		return heardReply{Serves: err == nil && reply.serves()}, nil // no answer is an answer here
	}))
}

// method returns the part's own name of a method.
func (e *Elector) method(m peer.Method) peer.Method { return m + peer.Method(e.o.Suffix) }

func (r *aliveReply) serves() bool { return r.Leads && !r.TurnedAway }

func (e *Elector) alive() aliveReply {
	leader, known := e.view.Leader()
	return aliveReply{Leads: e.Leads(), TurnedAway: e.o.Patience.TurnedAway(),
		Known: known, Leader: leader}
}

// ping calls a daemon once.
func (e *Elector) ping(ctx context.Context, m Member) (*aliveReply, error) {
	if m.same(e.o.Self) {
		reply := e.alive()
		return &reply, nil
	}
	if e.o.Peers == nil {
		return nil, errNoPeers
	}
	ctx, cancel := context.WithTimeout(ctx, e.pingBound())
	defer cancel()
	reply, began := &aliveReply{}, time.Now()
	_, err := e.o.Peers.CallAddr(ctx, m.Peer, e.method(methodAlive), aliveRequest{}, reply)
	if err == nil {
		e.notePing(time.Since(began))
	}
	return reply, err
}

// notePing learns from a call that took d.
func (e *Elector) notePing(d time.Duration) {
	average := time.Duration(e.pinged.Load())
	e.pinged.Store(int64(average + (d-average)/pingDecay))
}

// pingBound is how long a call to another daemon may take.
func (e *Elector) pingBound() time.Duration {
	return min(max(pingTimeout, pingFactor*time.Duration(e.pinged.Load())), maxPingTimeout)
}

var errNoPeers = errors.New("lead: no way to call other daemons")

// watchLeader claims when the leader is gone though its record stands.
func (e *Elector) watchLeader(ctx context.Context) {
	var j judgement
	for sleep.For(ctx, pingPause) == nil {
		leader, held, ok := e.view.holder()
		rank, fits := e.rank(leader.Member)
		if !ok || !fits || leader.Member.same(e.o.Self) || e.stopping.Load() || e.view.Epoch() > leader.Epoch || e.busy() {
			j.missed = 0
			continue
		}
		j.follow(leader, time.Now())
		if reply, err := e.ping(ctx, leader.Member); err == nil && (reply.serves() || (reply.Leads && e.StoreTrouble(ownTroubleMemory))) {
			j.missed = 0
			continue
		}
		if j.missed++; j.missed > pingsMissed {
			e.notePing(e.pingBound()) // a slow one has taken that long at least
		}
		if !j.mayClaim(e.o.Self, leader.Member, time.Now()) || e.o.Patience.TurnedAway() ||
			!e.othersMiss(ctx, leader.Member) || sleep.For(ctx, time.Duration(rank)*rankDelay) != nil {
			continue
		}
		if _, now, _ := e.view.holder(); now == held && e.leaseID() != 0 {
			e.o.Log.Info().Str("leader", leader.Member.Name).Uint64("epoch", leader.Epoch).Int("pings_missed", j.missed).
				Int("taken_of_late", len(j.taken)).Msg("leader does not serve, claiming")
			j.tried(time.Now())
			e.take(ctx, held, true)
		}
	}
}

// rank returns this daemon's place among those that fit to lead after the leader,
// and whether it is among the pingers.
func (e *Elector) rank(leader Member) (rank int, fits bool) {
	members := e.view.Members()
	members = slices.DeleteFunc(members, func(m Member) bool { return m.same(leader) })
	slices.SortStableFunc(members, func(a, b Member) int {
		if a.Cores != b.Cores {
			return int(b.Cores*coresScale) - int(a.Cores*coresScale)
		}
		return int(b.Started - a.Started)
	})
	rank = slices.IndexFunc(members, func(m Member) bool { return m.same(e.o.Self) })
	return rank, rank >= 0 && rank < pingers
}

// coresScale turns cores into whole thousandths.
const coresScale = 1000

// othersMiss asks other daemons whether the leader answers them. Without any
// answer this daemon may be the one that is cut off.
func (e *Elector) othersMiss(ctx context.Context, leader Member) bool {
	members := slices.DeleteFunc(e.view.Members(), func(m Member) bool { return m.same(leader) || m.same(e.o.Self) })
	if len(members) == 0 {
		return true
	}
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	ctx, cancel := context.WithTimeout(ctx, e.pingBound()+witnessExtra)
	defer cancel()
	var wg sync.WaitGroup
	var mu sync.Mutex
	miss, serves := 0, 0
	for _, m := range members[:min(len(members), witnesses)] {
		wg.Go(func() {
			var r heardReply
			_, err := e.o.Peers.CallAddr(ctx, m.Peer, e.method(methodHeard), heardRequest{Leader: leader}, &r)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil: // it may be gone as well
			case r.Serves:
				serves++
			default:
				miss++
			}
		})
	}
	wg.Wait()
	return miss > 0 && serves == 0
}

// leaderLives reports whether the leader known last still runs its term: then its
// record has lapsed while the store was away, and it puts it back.
func (e *Elector) leaderLives(ctx context.Context) bool {
	if e.o.Peers == nil {
		return true
	}
	last, known := e.view.last()
	if !known {
		return false
	}
	for range pingsMissed {
		if reply, err := e.ping(ctx, last); err == nil {
			return reply.Leads
		}
	}
	return false
}

// learn asks other daemons who leads while the store does not answer this one.
//
// What goes wrong without it: a daemon that is cut off from the store for ten
// seconds asks a leader of before about its callers' jobs, and answers none.
func (e *Elector) learn(ctx context.Context) {
	for sleep.For(ctx, learnPause) == nil {
		if !e.o.Patience.Suspect() {
			continue
		}
		members := slices.DeleteFunc(e.view.Members(), func(m Member) bool { return m.same(e.o.Self) })
		if len(members) == 0 {
			continue
		}
		if reply, err := e.ping(ctx, members[rand.IntN(len(members))]); err == nil && reply.Known {
			e.view.learn(reply.Leader)
		}
	}
}
