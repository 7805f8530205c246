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
	// next attempt reuses the chunks that this one fetched.
	fetchTimeout = 5 * time.Second
	// callTimeout bounds one call to a peer.
	callTimeout = 2 * time.Second
	// maxPeerSources is the number of peers tried per fetch.
	maxPeerSources = 2
	// maxInline bounds the content that one reply carries, in bytes.
	maxInline = 128 << 10
)

// source is a source of later versions: the store or a peer.
type source interface {
	// update returns the update from have to a later version, and a source of its
	// chunks.
	update(ctx context.Context, have *history.Snapshot) (history.Update, history.Chunks, error)
	String() string
}

// fetch returns the snapshot of a later version from the first source that
// delivers it completely.
func (r *Replicator) fetch(ctx context.Context, have *history.Snapshot, sources []source) (*history.Snapshot, error) {
	var failures []error
	for _, s := range sources {
		next, err := r.fetchFrom(ctx, have, s)
		if err == nil {
			return next, nil
		}
		failures = append(failures, fmt.Errorf("%s: %w", s, err))
	}
	return nil, errors.Join(failures...)
}

func (r *Replicator) fetchFrom(ctx context.Context, have *history.Snapshot, s source) (*history.Snapshot, error) {
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

// storeSource delivers the version of a head that was read from the store.
type storeSource struct {
	replicator *Replicator
	head       *history.Head
}

func (s storeSource) String() string { return "store" }

func (s storeSource) update(ctx context.Context, have *history.Snapshot) (history.Update, history.Chunks, error) {
	s.replicator.metrics.fromStore.Add(1)
	chunks := chunkSources{replicator: s.replicator, remote: []history.Chunks{
		history.StoreChunks{Handle: s.replicator.options.Handle}, peerChunks{replicator: s.replicator}}}
	u, err := have.UpdateFrom(ctx, s.head, chunks)
	return u, chunks, err
}

// peerSource delivers the version that a peer has in force.
type peerSource struct {
	replicator *Replicator
	from       peer.Ref
}

func (s peerSource) String() string { return "peer " + string(s.from.ID) }

func (s peerSource) update(ctx context.Context, have *history.Snapshot) (history.Update, history.Chunks, error) {
	s.replicator.metrics.fromPeers.Add(1)
	pulled, err := s.pull(ctx, have.Version)
	if err != nil {
		s.replicator.observed.drop(s.from)
		return history.Update{}, nil, err
	}
	for _, c := range pulled.Chunks {
		if err := s.replicator.pending.put(c.Hash, c.Data); err != nil {
			return history.Update{}, nil, err
		}
	}
	s.replicator.prefetch(ctx, s.from, have.Missing(pulled.Update))
	chunks := chunkSources{replicator: s.replicator, remote: []history.Chunks{
		peerChunks{replicator: s.replicator, first: s.from}, history.StoreChunks{Handle: s.replicator.options.Handle}}}
	return pulled.Update, chunks, nil
}

// pull requests from the peer what changed since version have.
func (s peerSource) pull(ctx context.Context, have uint64) (Pulled, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var pulled Pulled
	err := s.replicator.options.Caller.Call(ctx, s.from, MethodPull, Pull{Have: have}, &pulled)
	return pulled, err
}

// servePull handles MethodPull.
func (r *Replicator) servePull(_ context.Context, _ peer.Ref, payload []byte) (any, error) {
	var request Pull
	if err := peer.Unmarshal(payload, &request); err != nil {
		return nil, err
	}
	s := r.current.Load()
	reply := Pulled{Update: s.Since(request.Have)}
	budget := maxInline
	for _, change := range reply.Update.Changes {
		d, ok := s.Document(change.File)
		if !ok {
			continue
		}
		for _, hash := range change.Content.Chunks {
			data := d.Chunks[hash]
			if len(data) <= budget {
				reply.Chunks = append(reply.Chunks, Chunk{Hash: hash, Data: data})
				budget -= len(data)
			}
		}
	}
	return reply, nil
}
