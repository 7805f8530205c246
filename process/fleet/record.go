package fleet

import (
	"fmt"
	"strings"

	"fennelshunt.example/fennelshunt/connection/peer"
)

// Keys of the store. The alive key is bound to the daemon's lease and goes
// with it; the life key stays and orders the lives of one member.
const (
	keyPrefix   = "members/"
	alivePrefix = keyPrefix + "alive/"
	lifePrefix  = keyPrefix + "life/"
)

func aliveKey(id peer.MemberID) string { return alivePrefix + string(id) }

func lifeKey(id peer.MemberID) string { return lifePrefix + string(id) }

// Cause tells how a life ended.
type Cause uint8

// Causes, in the order in which one prevails when daemons learned different
// ones.
const (
	NotEnded Cause = iota
	// Lapsed: the store lease lapsed and probes failed. The process may still
	// run, cut off or paused; nothing may rest on its having stopped.
	Lapsed
	// VMRemoved: the platform took the VM off its list and probes failed.
	VMRemoved
	// Replaced: a later life of the member appeared.
	Replaced
	// Left: the daemon said so itself after it had handed over.
	Left
)

var causeNames = [...]string{"not ended", "lapsed", "vm removed", "replaced", "left"}

// String names the cause for logs.
func (c Cause) String() string {
	if int(c) < len(causeNames) {
		return causeNames[c]
	}
	return fmt.Sprintf("cause %d", uint8(c))
}

// lifeRecord is the value of a life key.
type lifeRecord struct {
	// Incarnation of the newest life.
	Incarnation uint64 `cbor:"1,keyasint"`
	// Owner is a random id of the process that claimed the incarnation. Two
	// processes that chose the same number in an outage are told apart by it.
	Owner string `cbor:"2,keyasint"`
	// Ended is the highest incarnation known to be over, 0 for none.
	Ended uint64 `cbor:"3,keyasint,omitempty"`
	Cause Cause  `cbor:"4,keyasint,omitempty"`
	// Registrations counts how often the life put its alive key. Raising it
	// makes a concurrent decision that the life is over fail its swap.
	Registrations uint64 `cbor:"5,keyasint,omitempty"`
	// ChangedAt is the writer's clock in unix seconds, for compaction only.
	ChangedAt int64 `cbor:"6,keyasint,omitempty"`
}

func decodeLife(data []byte) (lifeRecord, error) {
	var r lifeRecord
	err := peer.Unmarshal(data, &r)
	return r, err
}

func decodeMember(data []byte) (Member, error) {
	var m Member
	err := peer.Unmarshal(data, &m)
	return m, err
}

// splitKey returns the member that the key is about.
func splitKey(key string) (id peer.MemberID, alive, ok bool) {
	if rest, found := strings.CutPrefix(key, alivePrefix); found {
		return peer.MemberID(rest), true, rest != ""
	}
	if rest, found := strings.CutPrefix(key, lifePrefix); found {
		return peer.MemberID(rest), false, rest != ""
	}
	return "", false, false
}
