// Package lead chooses the one daemon of a cell that schedules, and keeps the
// list of the cell's daemons, all in the platform's store.
//
// Guarantees: epochs only rise; every write of a term demands the record of the
// term's claim and is one link of a chain in the store, so that a write of an
// earlier term, or an earlier write of the same chain that arrives late, can not
// take effect. Two daemons may both take
// themselves for the leader for a while, when one is cut off or paused: what
// stops the older one is the chain in the store and the epoch at the workers,
// never a clock.
package lead

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/store"
)

// Keys in the store.
const (
	prefixCell   = "cell/"
	keyHolder    = "cell/lead"
	prefixMember = "cell/member/"
	// keyClaim is written by each claim, and by nothing else. Every write of a term
	// demands the revision of its claim.
	keyClaim = "chain"
	// keyClaimSeen is written with keyClaim, where daemons watch it: so the next
	// claim needs no reading first, and keyClaim stays where daemons of earlier
	// versions look for it.
	keyClaimSeen = "cell/claim"
	// prefixChain and a number name the last links of the chains.
	prefixChain = "chain/"
)

func chainKey(i int) string { return prefixChain + strconv.Itoa(i) }

// ErrDeposed ends a term: another daemon has claimed a higher epoch.
var ErrDeposed = errors.New("lead: another daemon leads with a higher epoch")

// Member is a daemon of the cell.
type Member struct {
	Name string `cbor:"1,keyasint"`
	// Peer is the UDP address for calls of other daemons.
	Peer string `cbor:"2,keyasint"`
	Zone string `cbor:"3,keyasint"`
	// Cores is the processor time that the daemon may use, in cores.
	Cores float64 `cbor:"4,keyasint,omitempty"`
	// Started is when the daemon's process started, in milliseconds since 1970.
	Started int64 `cbor:"5,keyasint,omitempty"`
	// LinkMbps is what the VM's link carries, in Mbit/s; 0 for not known.
	LinkMbps float64 `cbor:"6,keyasint,omitempty"`
	// Orders is the TCP address where the daemon takes a leader's orders for workers;
	// "" for none.
	Orders string `cbor:"7,keyasint,omitempty"`
}

// same reports whether two records are of one daemon, be it of different lives.
func (m Member) same(n Member) bool { return m.Name == n.Name && m.Peer == n.Peer }

// Carries returns how much work a daemon carries at so much a core and a Mbit/s: what the
// scarcer of its processor and its link allows, a link that is not known aside.
func (m Member) Carries(perCore, perMbit float64) float64 {
	n := m.Cores * perCore
	if m.LinkMbps > 0 {
		n = min(n, m.LinkMbps*perMbit)
	}
	return n
}

// Leader is the daemon that leads, and its epoch.
type Leader struct {
	Member Member `cbor:"1,keyasint"`
	Epoch  uint64 `cbor:"2,keyasint"`
	// Taken: it took over from a leader whose record still stood.
	Taken bool `cbor:"3,keyasint,omitempty"`
}

// link is the value of a claim and of a chain. The term's id and the sequence number tell,
// after a lost answer, whether a write took effect.
type link struct {
	Epoch    uint64 `cbor:"1,keyasint"`
	Term     string `cbor:"2,keyasint"`
	Sequence uint64 `cbor:"3,keyasint"`
	Holder   string `cbor:"4,keyasint"`
}

func encode(v any) []byte {
	data, err := peer.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("lead: a record of plain fields does not encode: %v", err))
	}
	return data
}

func decodeLink(e store.Entry) (link, error) {
	var l link
	if err := peer.Unmarshal(e.Value, &l); err != nil {
		return l, fmt.Errorf("lead: chain: %w", err)
	}
	return l, nil
}

func memberName(key string) (string, bool) { return strings.CutPrefix(key, prefixMember) }
