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

// Detection of a leader that has failed, or is cut off from the store, before its lease
// expires.
//
// While no daemon leads, nothing starts and no completion is published. When the leader's
// process or VM ends, or the store rejects its calls, waiting for the lease alone would
// take 0.9 to 1.2 s, and 2.4 s with a slow store.
//
// Safety does not depend on this detection: a claim is a transaction in the store, and
// orders carry epochs, so a leader that is replaced needlessly only loses its term.
const (
	// pingPause is the pause between pings of the leader, and pingTimeout bounds one: a
	// daemon with a CPU quota may be throttled for a tenth of a second. If responses
	// are slow, the timeout grows to pingFactor times their decaying average, up to
	// maxPingTimeout.
	pingPause      = 100 * time.Millisecond
	pingTimeout    = 150 * time.Millisecond
	maxPingTimeout = 600 * time.Millisecond
	pingFactor     = 4
	pingDecay      = 4
	// pingsMissed is how many consecutive missed pings let a daemon ask others about the
	// leader.
	pingsMissed = 2
	// pingers is how many daemons ping the leader, the best candidates: each of them
	// sends it ten calls a second.
	pingers = 3
	// witnesses is how many other daemons are asked about the leader. Each pings the
	// leader itself, so the question may take witnessMargin longer than one ping.
	witnesses     = 3
	witnessMargin = 100 * time.Millisecond
	// rankDelay separates the claims of several daemons: the second sees the first
	// one's claim within a round trip to the store.
	rankDelay = 40 * time.Millisecond
	// queryPause is the pause between queries of other daemons while the store does
	// not answer.
	queryPause = 150 * time.Millisecond
	// ownFailureWindow: a daemon whose own store calls failed within this time ignores
	// the leader's report that the store rejects its calls.
	ownFailureWindow = time.Second
)

// Methods between daemons.
const (
	methodAlive   peer.Method = "lead.alive"
	methodWitness peer.Method = "lead.heard"
)

// Caller calls other daemons.
type Caller interface {
	CallAddr(ctx context.Context, addr string, method peer.Method, req, resp any) (peer.Ref, error)
}

type aliveRequest struct{}

// aliveReply is the state of a daemon and the leader that it has recorded.
type aliveReply struct {
	Leads        bool   `cbor:"1,keyasint"` // it leads, or is claiming
	StoreRefuses bool   `cbor:"2,keyasint"` // the store rejects its calls
	Known        bool   `cbor:"3,keyasint"` // Leader is set
	Leader       Leader `cbor:"4,keyasint"`
}

type witnessRequest struct {
	Leader Member `cbor:"1,keyasint"`
}

type witnessReply struct {
	Serves bool `cbor:"1,keyasint"` // the leader answers, leads and reaches the store
}

// Register registers the methods that other daemons call.
func (e *Elector) Register(r peer.Registrar) {
	r.Handle(e.method(methodAlive), peer.Typed(func(context.Context, aliveRequest) (any, error) { return e.alive(), nil }))
	r.Handle(e.method(methodWitness), peer.Typed(func(ctx context.Context, r witnessRequest) (any, error) {
		reply, err := e.ping(ctx, r.Leader)
		return witnessReply{Serves: err == nil && reply.serves()}, nil // an unresponsive leader is a valid reply
	}))
}

// method returns the name of a method with the suffix of this shard.
func (e *Elector) method(m peer.Method) peer.Method { return m + peer.Method(e.o.Suffix) }

func (r *aliveReply) serves() bool { return r.Leads && !r.StoreRefuses }

func (e *Elector) alive() aliveReply {
	leader, known := e.view.Leader()
	return aliveReply{Leads: e.Leads(), StoreRefuses: e.o.StoreTimeout.Refusing(),
		Known: known, Leader: leader}
}

// ping asks a daemon for its state once.
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
		e.recordPing(time.Since(began))
	}
	return reply, err
}

// recordPing updates the average round trip with a ping that took d.
func (e *Elector) recordPing(d time.Duration) {
	average := time.Duration(e.pingAverage.Load())
	e.pingAverage.Store(int64(average + (d-average)/pingDecay))
}

// pingBound returns the current timeout of a ping.
func (e *Elector) pingBound() time.Duration {
	return min(max(pingTimeout, pingFactor*time.Duration(e.pingAverage.Load())), maxPingTimeout)
}

var errNoPeers = errors.New("lead: calls to other daemons are not configured")

// watchLeader claims leadership when the leader does not serve although its record still
// exists.
func (e *Elector) watchLeader(ctx context.Context) {
	var d detector
	for sleep.For(ctx, pingPause) == nil {
		leader, recordRev, ok := e.view.holder()
		rank, eligible := e.rank(leader.Member)
		if !ok || !eligible || leader.Member.same(e.o.Self) || e.stopping.Load() || e.view.Epoch() > leader.Epoch || e.leadsAnother() {
			d.missed = 0
			continue
		}
		d.observe(leader, time.Now())
		if reply, err := e.ping(ctx, leader.Member); err == nil && (reply.serves() || (reply.Leads && e.StoreFailedWithin(ownFailureWindow))) {
			d.missed = 0
			continue
		}
		if d.missed++; d.missed > pingsMissed {
			e.recordPing(e.pingBound()) // the response takes at least that long
		}
		if !d.mayClaim(e.o.Self, leader.Member, time.Now()) || e.o.StoreTimeout.Refusing() ||
			!e.confirmedByOthers(ctx, leader.Member) || sleep.For(ctx, time.Duration(rank)*rankDelay) != nil {
			continue
		}
		if _, now, _ := e.view.holder(); now == recordRev && e.leaseID() != 0 {
			e.o.Log.Info().Str("leader", leader.Member.Name).Uint64("epoch", leader.Epoch).Int("pings_missed", d.missed).
				Int("taken_of_late", len(d.taken)).Msg("leader does not serve; claiming leadership")
			d.recordClaim(time.Now())
			e.claimAndLead(ctx, recordRev, true)
		}
	}
}

// rank returns this daemon's position among the candidates to succeed the leader, and
// whether it is one of the pingers.
func (e *Elector) rank(leader Member) (rank int, eligible bool) {
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

// coresScale converts cores to thousandths for an integer comparison.
const coresScale = 1000

// confirmedByOthers asks other daemons whether the leader answers them, and reports
// whether at least one says no and none says yes. Without any response this daemon may
// itself be the partitioned one. If there are no other daemons to ask, the missed pings of
// this one are enough.
func (e *Elector) confirmedByOthers(ctx context.Context, leader Member) bool {
	members := slices.DeleteFunc(e.view.Members(), func(m Member) bool { return m.same(leader) || m.same(e.o.Self) })
	if len(members) == 0 {
		return true
	}
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	ctx, cancel := context.WithTimeout(ctx, e.pingBound()+witnessMargin)
	defer cancel()
	var wg sync.WaitGroup
	var mu sync.Mutex
	miss, serves := 0, 0
	for _, m := range members[:min(len(members), witnesses)] {
		wg.Go(func() {
			var r witnessReply
			_, err := e.o.Peers.CallAddr(ctx, m.Peer, e.method(methodWitness), witnessRequest{Leader: leader}, &r)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil: // that daemon may have failed as well
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

// leaderStillLeads reports whether the latest known leader is still in its term. Then its
// record expired while the store was unreachable, and it will restore the record.
func (e *Elector) leaderStillLeads(ctx context.Context) bool {
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

// learnLeader asks other daemons who leads while the store does not answer this one.
// Otherwise a daemon that is cut off from the store for ten seconds would send its
// callers' queries about jobs to a former leader, and could answer none.
func (e *Elector) learnLeader(ctx context.Context) {
	var d draw
	for sleep.For(ctx, queryPause) == nil {
		if !e.o.StoreTimeout.Failing() {
			continue
		}
		members := slices.DeleteFunc(e.view.Members(), func(m Member) bool { return m.same(e.o.Self) })
		if len(members) == 0 {
			continue
		}
		m := d.next(members)
		reply, err := e.ping(ctx, m)
		d.asked(m, err == nil)
		if err == nil && reply.Known {
			e.view.learnLeader(reply.Leader)
		}
	}
}

// draw draws members at random, without those that have not answered since one has. A member that has
// failed costs a timeout each time that it is asked, so that it may not be drawn again and again while
// others could tell.
type draw struct{ missed map[string]bool } // by name

// next returns one of the members, which must not be empty.
func (d *draw) next(members []Member) Member {
	left := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return d.missed[m.Name] })
	if len(left) == 0 {
		left = members
		clear(d.missed)
	}
	return left[rand.IntN(len(left))]
}

// asked records whether a member that next returned has answered.
func (d *draw) asked(m Member, answered bool) {
	switch {
	case answered:
		clear(d.missed)
	case d.missed == nil:
		d.missed = map[string]bool{m.Name: true}
	default:
		d.missed[m.Name] = true
	}
}
