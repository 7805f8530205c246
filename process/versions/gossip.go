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
func (k *Keeper) register(r peer.Registrar) {
	r.Handle(MethodGossip, k.serveGossip)
	r.Handle(MethodPull, k.servePull)
	r.Handle(MethodChunk, k.serveChunk)
	r.Handle(MethodAwait, k.serveAwait)
}

// gossipLoop exchanges versions with a random peer at jittered intervals. The
// first exchange is made at once, since a daemon that has just started has no
// configuration.
func (k *Keeper) gossipLoop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		for _, to := range k.pick(k.peersPerRound()) {
			k.exchange(ctx, to, false)
		}
		timer.Reset(k.jitter(k.options.GossipInterval))
	}
}

// peersPerRound returns the number of peers per exchange round: more while no configuration is
// known.
func (k *Keeper) peersPerRound() int {
	if k.isLoaded() {
		return 1
	}
	return k.options.Fanout
}

// jitter returns a random duration around d.
func (k *Keeper) jitter(d time.Duration) time.Duration { return d/2 + k.upTo(d) }

// upTo returns a random duration from 0 to d.
func (k *Keeper) upTo(d time.Duration) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return time.Duration(k.random.Int64N(int64(d) + 1))
}

// pick returns up to n random members other than this one.
func (k *Keeper) pick(n int) []peer.Ref {
	self := k.options.Fleet.Self().ID
	members := k.options.Fleet.Members()
	refs := make([]peer.Ref, 0, len(members))
	for _, m := range members {
		if m.ID != self && m.State != fleet.Ended {
			refs = append(refs, m.Ref)
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	n = min(n, len(refs))
	for i := range n {
		j := i + k.random.IntN(len(refs)-i)
		refs[i], refs[j] = refs[j], refs[i]
	}
	return refs[:n]
}

// exchange sends the version in force here to a peer and merges its reply.
func (k *Keeper) exchange(ctx context.Context, to peer.Ref, announce bool) {
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	k.metrics.exchanges.Add(1)
	var reply Gossip
	if err := k.options.Caller.Call(ctx, to, MethodGossip, k.gossip(announce), &reply); err != nil {
		return // the next exchange is with another peer
	}
	k.merge(to, reply)
}

// gossip returns the message that describes this daemon's version and, unless it
// announces, some observations of others.
func (k *Keeper) gossip(announce bool) Gossip {
	g := Gossip{Version: k.current.Load().Version, Loaded: k.isLoaded(), Announce: announce}
	if !announce {
		k.mu.Lock()
		defer k.mu.Unlock()
		g.Others = k.observed.sample(maxOthers, k.random)
	}
	return g
}

// serveGossip handles MethodGossip.
func (k *Keeper) serveGossip(_ context.Context, from peer.Ref, payload []byte) (any, error) {
	var g Gossip
	if err := peer.Unmarshal(payload, &g); err != nil {
		return nil, err
	}
	k.merge(from, g)
	return k.gossip(g.Announce), nil
}

// merge records a message from a peer and wakes the loop if there may be
// something to fetch.
func (k *Keeper) merge(from peer.Ref, g Gossip) {
	k.observed.record(Observation{Member: from, Version: g.Version}, g.Loaded, true)
	for _, s := range g.Others {
		if s.Member.ID != k.options.Fleet.Self().ID {
			k.observed.record(s, false, false)
		}
	}
	if g.Version > k.current.Load().Version || g.Loaded && !k.isLoaded() {
		k.notify()
	}
}
