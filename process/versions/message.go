package versions

import (
	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/version/history"
)

// Methods served by every daemon.
const (
	MethodGossip peer.Method = "versions.gossip" // Gossip -> Gossip
	MethodPull   peer.Method = "versions.pull"   // Pull -> Pulled
	MethodChunk  peer.Method = "versions.chunk"  // ChunkRequest -> ChunkReply
	MethodAwait  peer.Method = "versions.await"  // Await -> Gossip
)

// Gossip tells which version the sender has in force.
type Gossip struct {
	Version uint64 `cbor:"1,keyasint"`
	// Loaded tells version 0, the empty configuration, from not knowing yet.
	Loaded bool `cbor:"2,keyasint,omitempty"`
	// Others holds what the sender last heard of some other members.
	Others []Sighting `cbor:"3,keyasint,omitempty"`
	// Announce is set when the version just came into force; the reply then
	// has no Others.
	Announce bool `cbor:"4,keyasint,omitempty"`
}

// Sighting is the version that one life of a member had in force.
type Sighting struct {
	Member  peer.Ref `cbor:"1,keyasint,omitempty"`
	Version uint64   `cbor:"2,keyasint,omitempty"`
}

// Pull asks for what changed since version Have.
type Pull struct {
	Have uint64 `cbor:"1,keyasint"`
}

// Pulled answers a Pull. Chunks holds content of the changes as far as it fits;
// the rest is asked for.
type Pulled struct {
	Update history.Update `cbor:"1,keyasint"`
	Chunks []Chunk        `cbor:"2,keyasint,omitempty"`
}

// Chunk is one chunk of content, compressed.
type Chunk struct {
	Hash history.Hash `cbor:"1,keyasint"`
	Data []byte       `cbor:"2,keyasint"`
}

// ChunkRequest asks for chunks.
type ChunkRequest struct {
	Hashes []history.Hash `cbor:"1,keyasint"`
}

// ChunkReply carries those of the chunks that the sender has, as far as they
// fit.
type ChunkReply struct {
	Chunks []Chunk `cbor:"1,keyasint,omitempty"`
}

// Await asks for an answer once Version is in force, or after WaitMillis.
type Await struct {
	Version    uint64 `cbor:"1,keyasint"`
	WaitMillis int64  `cbor:"2,keyasint"`
}
