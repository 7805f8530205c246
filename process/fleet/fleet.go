// Package fleet maintains the membership list of the cell's daemons: registration
// in the store under one lease per daemon, failure detection by probes over QUIC with
// suspicion and refutation (as in SWIM), and planned departure.
//
// Guarantees: a store outage removes no member; a restarted member has a higher
// incarnation; an incarnation that has been seen as Ended never returns.
package fleet

import (
	"fennelshunt.example/fennelshunt/connection/peer"
)

// State is the state of a member in the view of this daemon.
type State string

// States of a member.
const (
	Alive   State = "alive"
	Suspect State = "suspect" // probes fail; keeps its ownership, gets no new work
	Leaving State = "leaving" // planned stop; transfers its resources, finishes running work
	Ended   State = "gone"    // left, lease expired and probes fail, or replaced
)

// Member is one daemon.
type Member struct {
	peer.Ref
	Zone string `json:"zone" cbor:"3,keyasint"`
	// PeerAddr is the UDP address for peer calls.
	PeerAddr string `json:"peer_addr" cbor:"4,keyasint"`
	// CallerAddr is the TCP address where callers' requests are accepted.
	CallerAddr string `json:"caller_addr" cbor:"5,keyasint"`
	// ForwardAddr is the TCP address for requests from other daemons.
	ForwardAddr string `json:"forward_addr" cbor:"6,keyasint"`
	// AdminAddr is the TCP address of the administration API.
	AdminAddr string `json:"admin_addr" cbor:"7,keyasint"`
	// Protocol is the highest protocol version that the daemon supports.
	Protocol int   `json:"protocol" cbor:"8,keyasint"`
	State    State `json:"state" cbor:"9,keyasint"`
}

// View is a read-only view of the members. It is safe for concurrent use.
type View interface {
	// Self returns this daemon's entry.
	Self() Member
	// Members returns every member that is not Ended, self included, sorted by
	// ID. The slice is shared and must not be changed.
	Members() []Member
	// Lookup returns the latest known entry of the member, even if it is Ended.
	Lookup(id peer.MemberID) (Member, bool)
	// HasEnded reports whether an incarnation of a member is known to have ended: it
	// left, a higher incarnation registered, or its store lease expired while
	// probes failed.
	HasEnded(ref peer.Ref) bool
	// Changed returns a channel that is closed at the next change of the view.
	Changed() <-chan struct{}
}
