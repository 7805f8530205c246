// Package fleet keeps the list of the cell's daemons: registration in the
// store under one lease per daemon, peer probes over QUIC, suspicion with
// refutation, and departure.
//
// Guarantees: a store outage removes no member; a member that restarted has a
// higher incarnation; a member once seen gone in an incarnation never comes
// back in it.
package fleet

import (
	"fennelshunt.example/fennelshunt/connection/peer"
)

// State is what this daemon believes of a member.
type State string

// States of a member.
const (
	Alive   State = "alive"
	Suspect State = "suspect" // probes fail; keeps its ownership, gets no new work
	Leaving State = "leaving" // planned stop; hands over, finishes what runs
	Gone    State = "gone"    // left, lease lapsed and probes fail, or replaced
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
	// Protocol is the highest protocol version that the daemon speaks.
	Protocol int   `json:"protocol" cbor:"8,keyasint"`
	State    State `json:"state" cbor:"9,keyasint"`
}

// View is a read-only view of the members; safe for concurrent use.
type View interface {
	// Self returns this daemon's entry.
	Self() Member
	// Members returns every member that is not Gone, self included, sorted by
	// ID. The slice is shared and must not be changed.
	Members() []Member
	// Lookup returns the newest known entry of the member, also when Gone.
	Lookup(id peer.MemberID) (Member, bool)
	// Gone reports whether that life of the member is known to have ended: it
	// left, a higher incarnation registered, or its store lease lapsed while
	// probes failed.
	Gone(ref peer.Ref) bool
	// Changed returns a channel closed at the next change of the view.
	Changed() <-chan struct{}
}
