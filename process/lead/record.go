// Package lead elects the daemon that schedules a cell, or each shard of a cell,
// and maintains the membership list of the cell's daemons. All records are in the
// platform's store.
//
// Guarantees: epochs only rise. Every write of a term is conditional on the term's
// claim and on the latest record of its write stream, so that neither a write of an
// earlier term nor a delayed earlier write of the same stream can take effect. Two
// daemons may both act as leader for a while when one is partitioned or paused: the
// older one is stopped by the conditions on its writes and by the epoch check at the
// workers, never by a clock.
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
	// keyClaim is written by claims only. Every write of a term is conditional on the
	// revision of the term's claim.
	keyClaim = "chain"
	// keyClaimCopy is written together with keyClaim, under the prefix that daemons
	// watch, so that the next claim need not read keyClaim first. keyClaim itself stays
	// where daemons of earlier versions read it.
	keyClaimCopy = "cell/claim"
	// prefixStream and a stream's index name the key with the latest record of that
	// write stream.
	prefixStream = "chain/"
)

func streamKey(i int) string { return prefixStream + strconv.Itoa(i) }

// ErrDeposed means that the term is over: another daemon has claimed a higher epoch.
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
	// LinkMbps is the bandwidth of the VM's link in Mbit/s; 0 if unknown.
	LinkMbps float64 `cbor:"6,keyasint,omitempty"`
	// Orders is the TCP address where the daemon accepts a leader's orders for workers;
	// "" if it accepts none.
	Orders string `cbor:"7,keyasint,omitempty"`
	// Stopping is set before a daemon that stops as planned ends its membership.
	Stopping bool `cbor:"8,keyasint,omitempty"`
}

// same reports whether two records are of the same daemon, possibly of different
// incarnations.
func (m Member) same(n Member) bool { return m.Name == n.Name && m.Peer == n.Peer }

// Capacity returns the number of units of work that the daemon has capacity for, given the
// units per core and per Mbit/s: the smaller of the two limits. An unknown link bandwidth
// does not limit.
func (m Member) Capacity(perCore, perMbit float64) float64 {
	n := m.Cores * perCore
	if m.LinkMbps > 0 {
		n = min(n, m.LinkMbps*perMbit)
	}
	return n
}

// Leader is the leading daemon with its epoch.
type Leader struct {
	Member Member `cbor:"1,keyasint"`
	Epoch  uint64 `cbor:"2,keyasint"`
	// TookOver is set if the daemon took over while the previous leader's record still
	// existed.
	TookOver bool `cbor:"3,keyasint,omitempty"`
}

// termRecord is the value of the claim key and of a write stream's key. After a lost
// response the term's id and the sequence number show whether a write took effect.
type termRecord struct {
	Epoch    uint64 `cbor:"1,keyasint"`
	Term     string `cbor:"2,keyasint"`
	Sequence uint64 `cbor:"3,keyasint"`
	Holder   string `cbor:"4,keyasint"`
}

func encode(v any) []byte {
	data, err := peer.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("lead: encode record: %v", err))
	}
	return data
}

func decodeTermRecord(e store.Entry) (termRecord, error) {
	var r termRecord
	if err := peer.Unmarshal(e.Value, &r); err != nil {
		return r, fmt.Errorf("lead: decode term record: %w", err)
	}
	return r, nil
}

func memberName(key string) (string, bool) { return strings.CutPrefix(key, prefixMember) }
