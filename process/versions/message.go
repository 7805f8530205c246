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

// Gossip is the version that the sender has in force.
type Gossip struct {
	Version uint64 `cbor:"1,keyasint"`
	// Loaded distinguishes version 0, the empty configuration, from a sender that
	// has no configuration yet.
	Loaded bool `cbor:"2,keyasint,omitempty"`
	// Others holds the sender's latest observations of some other members.
	Others []Observation `cbor:"3,keyasint,omitempty"`
	// Announce is set when the version has just come into force; the reply then
	// has no Others.
	Announce bool `cbor:"4,keyasint,omitempty"`
}

// Observation is the version that one incarnation of a member had in force.
type Observation struct {
	Member  peer.Ref `cbor:"1,keyasint,omitempty"`
	Version uint64   `cbor:"2,keyasint,omitempty"`
}

// Pull requests what changed since version Have.
type Pull struct {
	Have uint64 `cbor:"1,keyasint"`
}

// Pulled answers a Pull. Chunks holds as much content of the changes as fits; the
// rest is requested by MethodChunk.
type Pulled struct {
	Update history.Update `cbor:"1,keyasint"`
	Chunks []Chunk        `cbor:"2,keyasint,omitempty"`
}

// Chunk is one chunk of content, compressed.
type Chunk struct {
	Hash history.Hash `cbor:"1,keyasint"`
	Data []byte       `cbor:"2,keyasint"`
}

// ChunkRequest requests chunks.
type ChunkRequest struct {
	Hashes []history.Hash `cbor:"1,keyasint"`
}

// ChunkReply carries the requested chunks that the sender has, as many as fit.
type ChunkReply struct {
	Chunks []Chunk `cbor:"1,keyasint,omitempty"`
}

// Await requests an answer once Version is in force, or after WaitMillis.
type Await struct {
	Version    uint64 `cbor:"1,keyasint"`
	WaitMillis int64  `cbor:"2,keyasint"`
}
