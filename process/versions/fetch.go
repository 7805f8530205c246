package versions

import (
	"context"
	"errors"
	"fmt"
	"time"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/version/history"
)

const (
	// fetchTimeout bounds one attempt to get a version from one source. The
	// next attempt goes on where this one ended.
	fetchTimeout = 5 * time.Second
	// callTimeout bounds one call to a peer.
	callTimeout = 2 * time.Second
	// maxPeerSources is the number of peers asked before the store.
	maxPeerSources = 2
	// maxInline is the content that a reply to a Pull carries, in bytes.
	maxInline = 128 << 10
)

// source is somewhere a later version may be had from.
type source interface {
	// update returns what leads from have to a later version, and chunks.
	update(ctx context.Context, have *history.Snapshot) (history.Update, history.Chunks, error)
	String() string
}

// fetch returns the snapshot of a later version from the first source that
// gives it whole.
func (k *Keeper) fetch(ctx context.Context, have *history.Snapshot, sources []source) (*history.Snapshot, error) {
	var failures []error
	for _, s := range sources {
		next, err := k.fetchFrom(ctx, have, s)
		if err == nil {
			return next, nil
		}
		failures = append(failures, fmt.Errorf("%s: %w", s, err))
	}
	return nil, errors.Join(failures...)
}

func (k *Keeper) fetchFrom(ctx context.Context, have *history.Snapshot, s source) (*history.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	update, chunks, err := s.update(ctx, have)
	if err != nil {
		return nil, err
	}
	if update.Version <= have.Version {
		return nil, errNothingNew
	}
	return have.Advance(ctx, update, chunks)
}

// storeSource gives the version of a head that the store showed.
type storeSource struct {
	keeper *Keeper
	head   *history.Head
}

func (s storeSource) String() string { return "store" }

func (s storeSource) update(ctx context.Context, have *history.Snapshot) (history.Update, history.Chunks, error) {
	s.keeper.metrics.fromStore.Add(1)
	chunks := chunkSources{keeper: s.keeper, remote: []history.Chunks{
		history.StoreChunks{Handle: s.keeper.options.Handle}, peerChunks{keeper: s.keeper}}}
	u, err := have.UpdateFrom(ctx, s.head, chunks)
	return u, chunks, err
}

// peerSource gives the version that a peer has in force.
type peerSource struct {
	keeper *Keeper
	from   peer.Ref
}

func (s peerSource) String() string { return "peer " + string(s.from.ID) }

func (s peerSource) update(ctx context.Context, have *history.Snapshot) (history.Update, history.Chunks, error) {
	s.keeper.metrics.fromPeers.Add(1)
	pulled, err := s.pull(ctx, have.Version)
	if err != nil {
		s.keeper.sighted.forget(s.from)
		return history.Update{}, nil, err
	}
	for _, c := range pulled.Chunks {
		if err := s.keeper.partial.put(c.Hash, c.Data); err != nil {
			return history.Update{}, nil, err
		}
	}
	s.keeper.prefetch(ctx, s.from, have.Missing(pulled.Update))
	chunks := chunkSources{keeper: s.keeper, remote: []history.Chunks{
		peerChunks{keeper: s.keeper, first: s.from}, history.StoreChunks{Handle: s.keeper.options.Handle}}}
	return pulled.Update, chunks, nil
}

// pull asks the peer for what changed since version have.
func (s peerSource) pull(ctx context.Context, have uint64) (Pulled, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var pulled Pulled
	err := s.keeper.options.Caller.Call(ctx, s.from, MethodPull, Pull{Have: have}, &pulled)
	return pulled, err
}

// servePull answers a peer that is behind.
func (k *Keeper) servePull(_ context.Context, _ peer.Ref, payload []byte) (any, error) {
	var request Pull
	if err := peer.Unmarshal(payload, &request); err != nil {
		return nil, err
	}
	s := k.current.Load()
	reply := Pulled{Update: s.Since(request.Have)}
	room := maxInline
	for _, change := range reply.Update.Changes {
		d, ok := s.Document(change.File)
		if !ok {
			continue
		}
		for _, hash := range change.Content.Chunks {
			data := d.Chunks[hash]
			if len(data) <= room {
				reply.Chunks = append(reply.Chunks, Chunk{Hash: hash, Data: data})
				room -= len(data)
			}
		}
	}
	return reply, nil
}
