package versions

import (
	"context"
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

// replace takes the chunks of after in and those only before had out.
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

// inlineChunks are chunks that came with a reply.
type inlineChunks map[history.Hash][]byte

// Chunk implements history.Chunks.
func (c inlineChunks) Chunk(_ context.Context, hash history.Hash) ([]byte, error) {
	if data := c[hash]; data != nil {
		return data, nil
	}
	return nil, history.ErrNoChunk
}

// chunkSources tries one source after the other.
type chunkSources []history.Chunks

// Chunk implements history.Chunks.
func (c chunkSources) Chunk(ctx context.Context, hash history.Hash) ([]byte, error) {
	err := history.ErrNoChunk
	for _, s := range c {
		var data []byte
		if data, err = s.Chunk(ctx, hash); err == nil {
			return data, nil
		}
	}
	return nil, err
}

// peerChunks asks peers for chunks, first (if set) before two random ones.
type peerChunks struct {
	keeper *Keeper
	first  peer.Ref
}

// Chunk implements history.Chunks.
func (c peerChunks) Chunk(ctx context.Context, hash history.Hash) ([]byte, error) {
	var from []peer.Ref
	if c.first.ID != "" {
		from = append(from, c.first)
	}
	err := history.ErrNoChunk
	for _, ref := range append(from, c.keeper.pick(maxPeerSources)...) {
		var reply ChunkReply
		if callErr := c.keeper.options.Caller.Call(ctx, ref, MethodChunk, ChunkRequest{Hash: hash}, &reply); callErr != nil {
			err = callErr
			continue
		}
		if len(reply.Data) > 0 {
			return reply.Data, nil
		}
	}
	return nil, err
}

// serveChunk answers a peer that fetches content.
func (k *Keeper) serveChunk(ctx context.Context, _ peer.Ref, payload []byte) (any, error) {
	var request ChunkRequest
	if err := peer.Unmarshal(payload, &request); err != nil {
		return nil, err
	}
	data, _ := k.chunks.Chunk(ctx, request.Hash) // without it the reply is empty
	return ChunkReply{Hash: request.Hash, Data: data}, nil
}
