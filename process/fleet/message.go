package fleet

import (
	"fennelshunt.example/fennelshunt/connection/peer"
)

// Methods between the fleets of two daemons.
const (
	methodPing     peer.Method = "fleet.ping"     // ping -> ack
	methodPingVia  peer.Method = "fleet.ping_via" // pingVia -> pingViaAck
	methodSync     peer.Method = "fleet.sync"     // syncRequest -> syncReply
	maxDeltas                  = 12               // per ping or ack
	maxSyncMembers             = 1 << 14          // accepted in one sync
)

// flags of a delta.
type flags uint8

const (
	flagSuspect flags = 1 << iota
	flagLeaving
)

// info has the attributes of a daemon that do not change within an incarnation.
type info struct {
	Zone        string `cbor:"1,keyasint"`
	PeerAddr    string `cbor:"2,keyasint"`
	CallerAddr  string `cbor:"3,keyasint"`
	ForwardAddr string `cbor:"4,keyasint"`
	AdminAddr   string `cbor:"5,keyasint"`
	Protocol    int    `cbor:"6,keyasint"`
}

// delta is one daemon's record of the latest incarnation of a member. Merging deltas is
// commutative, associative and idempotent, so reordering and duplication in transit do
// not matter.
type delta struct {
	ID          peer.MemberID `cbor:"1,keyasint"`
	Incarnation uint64        `cbor:"2,keyasint"`
	// Counter rises with each refutation of a suspicion by the member itself.
	Counter uint32 `cbor:"3,keyasint,omitempty"`
	Flags   flags  `cbor:"4,keyasint,omitempty"`
	Ended   Cause  `cbor:"5,keyasint,omitempty"`
	// Info is omitted when the receiver is likely to have it.
	Info *info `cbor:"6,keyasint,omitempty"`
}

func (d delta) ref() peer.Ref { return peer.Ref{ID: d.ID, Incarnation: d.Incarnation} }

// ping probes a member and carries deltas; ack answers it.
type ping struct {
	Deltas []delta `cbor:"1,keyasint,omitempty"`
	Digest uint64  `cbor:"2,keyasint"`
}

type ack struct {
	Deltas []delta `cbor:"1,keyasint,omitempty"`
	Digest uint64  `cbor:"2,keyasint"`
}

// pingVia asks another member to probe the target.
type pingVia struct {
	Target peer.Ref `cbor:"1,keyasint"`
	// Budget is how long the probe may take, in milliseconds.
	Budget uint32 `cbor:"2,keyasint"`
}

// pingViaAck reports whether the target answered.
type pingViaAck struct {
	Reached bool `cbor:"1,keyasint"`
}

// syncRequest requests all entries of the receiver and carries the entry of the sender.
type syncRequest struct {
	Self delta `cbor:"1,keyasint"`
}

// syncReply carries the usable entries of the sender and its latest ended ones.
type syncReply struct {
	Members []delta `cbor:"1,keyasint"`
}

func infoOf(m Member) *info {
	return &info{
		Zone:        m.Zone,
		PeerAddr:    m.PeerAddr,
		CallerAddr:  m.CallerAddr,
		ForwardAddr: m.ForwardAddr,
		AdminAddr:   m.AdminAddr,
		Protocol:    m.Protocol,
	}
}

func (i *info) member(ref peer.Ref) Member {
	return Member{
		Ref:         ref,
		Zone:        i.Zone,
		PeerAddr:    i.PeerAddr,
		CallerAddr:  i.CallerAddr,
		ForwardAddr: i.ForwardAddr,
		AdminAddr:   i.AdminAddr,
		Protocol:    i.Protocol,
	}
}
