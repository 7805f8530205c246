// Package ownership decides which daemon owns which resource of the cell.
// Rendezvous hashing over the members says who should own it; a claim in the
// store, taken by compare-and-swap and raising the resource's epoch, says who
// does.
//
// Guarantees: at most one claim per resource and epoch; epochs of a resource
// only rise; a claim names one life (incarnation) of a daemon. A claim does
// not by itself stop an earlier owner: the users of this package fence it at
// the place where work happens (a worker, a log key, the other daemons).
package ownership

import (
	"context"
	"time"

	"fennelshunt.example/fennelshunt/connection/peer"
)

// Resource names something that has one owner.
type Resource string

// Prefixes of resource names; the part behind the prefix is the name of the
// partition, service or shard.
const (
	PartitionPrefix = "partition/" // a rack of workers
	ServicePrefix   = "service/"   // the slot pool of one service
	ShardPrefix     = "shard/"     // a shard of the teams, with their jobs
	KeysPrefix      = "keys/"      // a shard of the idempotency keys
)

// Claim is the store's record of an owner.
type Claim struct {
	Resource Resource `json:"resource" cbor:"1,keyasint"`
	Owner    peer.Ref `json:"owner" cbor:"2,keyasint"`
	Epoch    uint64   `json:"epoch" cbor:"3,keyasint"`
	// Released is set by an owner that handed over; nobody owns it now.
	Released bool `json:"released,omitempty" cbor:"4,keyasint,omitempty"`
}

// Same reports whether c and o are the same claim: one owner, one epoch.
func (c Claim) Same(o Claim) bool {
	return c.Resource == o.Resource && c.Owner == o.Owner && c.Epoch == o.Epoch
}

// Grant tells a user that this daemon owns a resource from now on.
type Grant struct {
	Claim
	// Previous is the claim that this one replaced; a zero Epoch means none.
	Previous Claim
	// Earlier lists owners of lower epochs that are not known to have let go,
	// since the last owner that fenced all of its own, see Memo.Settled.
	Earlier []peer.Ref
	// Notes are the newest Memo.Notes of an earlier owner.
	Notes []string
}

// Memo is what an owner leaves in the store for its successors.
type Memo struct {
	// Settled says that every earlier owner is fenced or known to have let go.
	Settled bool
	// Notes are words of the user's own; they replace those of before.
	Notes []string
}

// User is told about the resources of one prefix. Acquired and Lost come from
// one goroutine, in order, and must return quickly; Releasing comes from
// another, and Lost may come while it runs.
type User interface {
	// Acquired starts the user's work on the resource. The user fences the
	// previous owner before it acts.
	Acquired(ctx context.Context, g Grant)
	// Lost is called when a higher epoch was seen, the authority ran out, or
	// after Releasing, before the claim is released; the user stops at once
	// and drops its state.
	Lost(r Resource, epoch uint64)
	// Releasing asks the user to hand the resource over: to take nothing new,
	// make state durable, and return when the claim may be released. The
	// context bounds it.
	Releasing(ctx context.Context, r Resource) error
}

// Keeper is a User that can go on with a resource after Releasing returned, as
// long as Lost was not called.
type Keeper interface {
	User
	// Keep withdraws Releasing: the claim can not be released now.
	Keep(r Resource)
}

// Directory tells who owns what, by the newest claim this daemon has seen;
// safe for concurrent use.
type Directory interface {
	// Owner returns the newest claim of r; false when there is none or it was
	// released.
	Owner(r Resource) (Claim, bool)
	// Owned returns the resources of the prefix that this daemon owns.
	Owned(prefix string) []Claim
	// Changed returns a channel closed at the next change of any claim.
	Changed() <-chan struct{}
	// Authority returns how long this daemon may still start new work under
	// its claims (start) and renew what already runs (renew), counted from the
	// beginning of the last renewal of its store lease that succeeded. Both
	// outlast an outage of the store; renew is the longer one.
	Authority() (start, renew time.Duration)
	// Observe reports a claim learned elsewhere, for example from a peer or a
	// worker that has seen a higher epoch.
	Observe(c Claim)
}
