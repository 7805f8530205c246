package versions

import (
	"context"
	"time"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/process/fleet"
)

const (
	// gossipTimeout bounds one exchange.
	gossipTimeout = time.Second
	// maxOthers is the number of observations of third members in one exchange.
	maxOthers = 8
)

// register registers the peer methods.
func (r *Replicator) register(reg peer.Registrar) {
	reg.Handle(MethodGossip, r.serveGossip)
	reg.Handle(MethodPull, r.servePull)
	reg.Handle(MethodChunk, r.serveChunk)
	reg.Handle(MethodAwait, r.serveAwait)
}

// gossipLoop exchanges versions with a random peer at jittered intervals. The
// first exchange is made at once, since a daemon that has just started has no
// configuration.
func (r *Replicator) gossipLoop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		for _, to := range r.pick(r.peersPerRound()) {
			r.exchange(ctx, to, false)
		}
		timer.Reset(r.jitter(r.options.GossipInterval))
	}
}

// peersPerRound returns the number of peers per exchange round: more while no configuration is
// known.
func (r *Replicator) peersPerRound() int {
	if r.isLoaded() {
		return 1
	}
	return r.options.Fanout
}

// jitter returns a random duration around d.
func (r *Replicator) jitter(d time.Duration) time.Duration { return d/2 + r.upTo(d) }

// upTo returns a random duration from 0 to d.
func (r *Replicator) upTo(d time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.random.Int64N(int64(d) + 1))
}

// pick returns up to n random members other than this one.
func (r *Replicator) pick(n int) []peer.Ref {
	self := r.options.Fleet.Self().ID
	members := r.options.Fleet.Members()
	refs := make([]peer.Ref, 0, len(members))
	for _, m := range members {
		if m.ID != self && m.State != fleet.Ended {
			refs = append(refs, m.Ref)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	n = min(n, len(refs))
	for i := range n {
		j := i + r.random.IntN(len(refs)-i)
		refs[i], refs[j] = refs[j], refs[i]
	}
	return refs[:n]
}

// exchange sends the version in force here to a peer and merges its reply.
func (r *Replicator) exchange(ctx context.Context, to peer.Ref, announce bool) {
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	r.metrics.exchanges.Add(1)
	var reply Gossip
	if err := r.options.Caller.Call(ctx, to, MethodGossip, r.gossip(announce), &reply); err != nil {
		return // the next exchange is with another peer
	}
	r.merge(to, reply)
}

// gossip returns the message that describes this daemon's version and, unless it
// announces, some observations of others.
func (r *Replicator) gossip(announce bool) Gossip {
	g := Gossip{Version: r.current.Load().Version, Loaded: r.isLoaded(), Announce: announce}
	if !announce {
		r.mu.Lock()
		defer r.mu.Unlock()
		g.Others = r.observed.sample(maxOthers, r.random)
	}
	return g
}

// serveGossip handles MethodGossip.
func (r *Replicator) serveGossip(_ context.Context, from peer.Ref, payload []byte) (any, error) {
	var g Gossip
	if err := peer.Unmarshal(payload, &g); err != nil {
		return nil, err
	}
	r.merge(from, g)
	return r.gossip(g.Announce), nil
}

// merge records a message from a peer and wakes the loop if there may be
// something to fetch.
func (r *Replicator) merge(from peer.Ref, g Gossip) {
	r.observed.record(Observation{Member: from, Version: g.Version}, g.Loaded, true)
	for _, s := range g.Others {
		if s.Member.ID != r.options.Fleet.Self().ID {
			r.observed.record(s, false, false)
		}
	}
	if g.Version > r.current.Load().Version || g.Loaded && !r.isLoaded() {
		r.notify()
	}
}
