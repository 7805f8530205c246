package versions

import (
	"context"
	"slices"
	"sync"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/version/history"
)

// chunkIndex finds the chunks of the files in force by their hash.
type chunkIndex struct {
	mu     sync.Mutex
	chunks map[history.Hash]*countedChunk
}

// countedChunk is a chunk that one or more files contain.
type countedChunk struct {
	data []byte
	uses int
}

// replace adds the chunks of after and removes those that only before had.
func (x *chunkIndex) replace(before, after *history.Snapshot) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.chunks == nil {
		x.chunks = make(map[history.Hash]*countedChunk)
	}
	after.Documents(func(d *history.Document) {
		if old, ok := before.Document(d.Change.File); !ok || old != d {
			x.add(d)
		}
	})
	before.Documents(func(d *history.Document) {
		if now, ok := after.Document(d.Change.File); !ok || now != d {
			x.remove(d)
		}
	})
}

func (x *chunkIndex) add(d *history.Document) {
	for hash, data := range d.Chunks {
		if c := x.chunks[hash]; c != nil {
			c.uses++
		} else {
			x.chunks[hash] = &countedChunk{data: data, uses: 1}
		}
	}
}

func (x *chunkIndex) remove(d *history.Document) {
	for hash := range d.Chunks {
		c := x.chunks[hash]
		if c.uses--; c.uses == 0 {
			delete(x.chunks, hash)
		}
	}
}

// Chunk implements history.Chunks.
func (x *chunkIndex) Chunk(_ context.Context, hash history.Hash) ([]byte, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if c := x.chunks[hash]; c != nil {
		return c.data, nil
	}
	return nil, history.ErrNoChunk
}

// maxPending bounds the chunks kept of an unfinished fetch, in bytes.
const maxPending = 32 << 20

// pending keeps the chunks of a fetch that has not finished. In a cell with
// thousands of files a daemon that has just started would otherwise start over
// with each attempt, and never have a complete version.
type pending struct {
	mu     sync.Mutex
	size   int
	chunks map[history.Hash][]byte
}

// put keeps a chunk if it matches its hash.
func (p *pending) put(hash history.Hash, data []byte) error {
	if err := history.CheckChunk(hash, data); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.chunks == nil {
		p.chunks = make(map[history.Hash][]byte)
	}
	if p.chunks[hash] == nil && p.size+len(data) <= maxPending {
		p.chunks[hash] = data
		p.size += len(data)
	}
	return nil
}

// clear drops all chunks after a fetch has finished.
func (p *pending) clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.chunks, p.size = nil, 0
}

// Chunk implements history.Chunks.
func (p *pending) Chunk(_ context.Context, hash history.Hash) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if data := p.chunks[hash]; data != nil {
		return data, nil
	}
	return nil, history.ErrNoChunk
}

// chunkSources looks up chunks on this daemon first and then tries one remote
// source after the other; chunks received are kept until the fetch is finished.
type chunkSources struct {
	replicator *Replicator
	remote     []history.Chunks
}

// Chunk implements history.Chunks.
func (c chunkSources) Chunk(ctx context.Context, hash history.Hash) ([]byte, error) {
	if data, err := c.replicator.chunks.Chunk(ctx, hash); err == nil {
		return data, nil
	}
	if data, err := c.replicator.pending.Chunk(ctx, hash); err == nil {
		return data, nil
	}
	err := history.ErrNoChunk
	for _, s := range c.remote {
		var data []byte
		if data, err = s.Chunk(ctx, hash); err == nil {
			if err = c.replicator.pending.put(hash, data); err == nil {
				return data, nil
			}
		}
	}
	return nil, err
}

// peerChunks requests chunks from peers: from first (if set), then from
// maxPeerSources random ones.
type peerChunks struct {
	replicator *Replicator
	first      peer.Ref
}

// Chunk implements history.Chunks.
func (c peerChunks) Chunk(ctx context.Context, hash history.Hash) ([]byte, error) {
	var from []peer.Ref
	if c.first.ID != "" {
		from = append(from, c.first)
	}
	err := history.ErrNoChunk
	for _, ref := range append(from, c.replicator.pick(maxPeerSources)...) {
		chunks, callErr := c.replicator.askChunks(ctx, ref, []history.Hash{hash})
		if callErr != nil {
			err = callErr
			continue
		}
		if len(chunks) == 1 && chunks[0].Hash == hash {
			return chunks[0].Data, nil
		}
	}
	return nil, err
}

// maxHashes is the number of chunks requested in one call.
const maxHashes = 256

// askChunks requests some chunks from a peer, which may send fewer.
func (r *Replicator) askChunks(ctx context.Context, from peer.Ref, hashes []history.Hash) ([]Chunk, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply ChunkReply
	err := r.options.Caller.Call(ctx, from, MethodChunk, ChunkRequest{Hashes: hashes[:min(len(hashes), maxHashes)]}, &reply)
	return reply.Chunks, err
}

// prefetch requests the chunks that are missing for an update from the peer that
// has it, many per call, until the peer sends no more.
func (r *Replicator) prefetch(ctx context.Context, from peer.Ref, missing []history.Hash) {
	for {
		missing = slices.DeleteFunc(missing, func(hash history.Hash) bool {
			_, inForce := r.chunks.Chunk(ctx, hash)
			_, fetched := r.pending.Chunk(ctx, hash)
			return inForce == nil || fetched == nil
		})
		if len(missing) == 0 {
			return
		}
		chunks, err := r.askChunks(ctx, from, missing)
		if err != nil || len(chunks) == 0 {
			return // the rest is fetched one by one, from other sources too
		}
		for _, c := range chunks {
			if r.pending.put(c.Hash, c.Data) != nil {
				return
			}
		}
	}
}

// serveChunk handles MethodChunk.
func (r *Replicator) serveChunk(ctx context.Context, _ peer.Ref, payload []byte) (any, error) {
	var request ChunkRequest
	if err := peer.Unmarshal(payload, &request); err != nil {
		return nil, err
	}
	var reply ChunkReply
	budget := maxInline
	for _, hash := range request.Hashes {
		data, err := r.chunks.Chunk(ctx, hash)
		if err != nil {
			continue
		}
		if len(reply.Chunks) > 0 && len(data) > budget {
			break
		}
		reply.Chunks = append(reply.Chunks, Chunk{Hash: hash, Data: data})
		budget -= len(data)
	}
	return reply, nil
}
