// Package ownership assigns each resource of the cell to one daemon, its owner.
// Rendezvous hashing over the members determines the assigned owner; the actual
// owner is determined by a claim in the store, which is written by compare-and-swap
// and raises the resource's epoch.
//
// Guarantees: there is at most one claim per resource and epoch; epochs of a
// resource only rise; a claim names one incarnation of a daemon. A claim does not
// by itself stop an earlier owner: handlers of this package fence it where the work
// happens (at a worker, a log key, or the other daemons).
package ownership

import (
	"context"
	"time"

	"fennelshunt.example/fennelshunt/connection/peer"
)

// Resource is the name of something that has one owner.
type Resource string

// Prefixes of resource names. The prefix is followed by the name of the partition,
// service or shard.
const (
	PartitionPrefix = "partition/" // a rack of workers
	ServicePrefix   = "service/"   // the slot pool of one service
	ShardPrefix     = "shard/"     // a shard of the teams, with their jobs
	KeysPrefix      = "keys/"      // a shard of the idempotency keys
)

// Claim is the record of an owner in the store.
type Claim struct {
	Resource Resource `json:"resource" cbor:"1,keyasint"`
	Owner    peer.Ref `json:"owner" cbor:"2,keyasint"`
	Epoch    uint64   `json:"epoch" cbor:"3,keyasint"`
	// Released is set when the owner has released the resource, which then has none.
	Released bool `json:"released,omitempty" cbor:"4,keyasint,omitempty"`
}

// Same reports whether c and o are the same claim: one owner, one epoch.
func (c Claim) Same(o Claim) bool {
	return c.Resource == o.Resource && c.Owner == o.Owner && c.Epoch == o.Epoch
}

// Grant is passed to a handler when this daemon has become the owner of a resource.
type Grant struct {
	Claim
	// Previous is the claim that this one replaced; a zero Epoch means none.
	Previous Claim
	// EarlierOwners lists the owners of lower epochs, since the last owner that fenced all
	// of its predecessors, that may still be active; see Memo.EarlierFenced.
	EarlierOwners []peer.Ref
	// Notes are the latest Memo.Notes of an earlier owner.
	Notes []string
}

// Memo is what an owner stores for its successors.
type Memo struct {
	// EarlierFenced is set if every earlier owner is fenced or has certainly stopped.
	EarlierFenced bool
	// Notes are strings of the handler's own; they replace the previous ones.
	Notes []string
}

// Handler handles the resources of one prefix. Acquired and Lost are called from one
// goroutine, in order, and must return quickly; Releasing is called from another,
// and Lost may be called while it runs.
type Handler interface {
	// Acquired starts the handler's work on the resource. The handler fences the
	// previous owner before it acts.
	Acquired(ctx context.Context, g Grant)
	// Lost is called when a higher epoch was seen, the authority expired, or after
	// Releasing, before the claim is released; the handler stops at once and drops
	// its state.
	Lost(r Resource, epoch uint64)
	// Releasing asks the handler to prepare the release of a resource: to accept
	// nothing new, make its state durable, and return when the claim may be
	// released. The context bounds it.
	Releasing(ctx context.Context, r Resource) error
}

// Resumer is a Handler that can resume a resource after Releasing has returned, unless
// Lost was called.
type Resumer interface {
	Handler
	// Resume cancels Releasing: the claim cannot be released now.
	Resume(r Resource)
}

// Directory returns the owners of resources according to the latest claims that this
// daemon has seen. It is safe for concurrent use.
type Directory interface {
	// Owner returns the latest claim of r; false if there is none or it was released.
	Owner(r Resource) (Claim, bool)
	// Owned returns the resources of the prefix that this daemon owns.
	Owned(prefix string) []Claim
	// Changed returns a channel that is closed at the next change of any claim.
	Changed() <-chan struct{}
	// Authority returns for how long this daemon may still start new work under its
	// claims (start) and renew what already runs (renew), counted from the beginning
	// of the last successful renewal of its store lease. Both outlast an outage of
	// the store; renew is the longer one.
	Authority() (start, renew time.Duration)
	// Observe records a claim from another source than the store, for example from
	// a peer or a worker that has seen a higher epoch.
	Observe(c Claim)
}
