package fleet

import (
	"fmt"
	"strings"

	"fennelshunt.example/fennelshunt/connection/peer"
)

// Keys in the store. The alive key is attached to the daemon's lease and is deleted with
// it. The incarnation key is permanent and orders the incarnations of a member.
const (
	keyPrefix         = "members/"
	alivePrefix       = keyPrefix + "alive/"
	incarnationPrefix = keyPrefix + "life/"
)

func aliveKey(id peer.MemberID) string { return alivePrefix + string(id) }

func incarnationKey(id peer.MemberID) string { return incarnationPrefix + string(id) }

// Cause is the reason for which an incarnation ended.
type Cause uint8

// Causes in ascending precedence, for daemons that have recorded different ones.
const (
	NotEnded Cause = iota
	// LeaseExpired means that the store lease expired and probes failed. The process
	// may still run, partitioned or suspended; do not rely on its having stopped.
	LeaseExpired
	// VMRemoved means that the platform removed the VM from its list and probes failed.
	VMRemoved
	// Replaced means that a later incarnation of the member appeared.
	Replaced
	// Left means that the daemon itself announced the end, after it had transferred its
	// resources.
	Left
)

var causeNames = [...]string{"not ended", "lapsed", "vm removed", "replaced", "left"}

// String returns the name of the cause, for logs.
func (c Cause) String() string {
	if int(c) < len(causeNames) {
		return causeNames[c]
	}
	return fmt.Sprintf("cause %d", uint8(c))
}

// incarnationRecord is the value of an incarnation key.
type incarnationRecord struct {
	// Incarnation is the latest one.
	Incarnation uint64 `cbor:"1,keyasint"`
	// Owner is a random id of the process that claimed the incarnation. It
	// distinguishes two processes that chose the same number in an outage.
	Owner string `cbor:"2,keyasint"`
	// Ended is the highest incarnation known to have ended, 0 for none.
	Ended uint64 `cbor:"3,keyasint,omitempty"`
	Cause Cause  `cbor:"4,keyasint,omitempty"`
	// Registrations counts how often the incarnation has written its alive key.
	// Incrementing it makes the swap of a concurrent eviction fail.
	Registrations uint64 `cbor:"5,keyasint,omitempty"`
	// ChangedAt is the writer's clock in Unix seconds, for compaction only.
	ChangedAt int64 `cbor:"6,keyasint,omitempty"`
}

func decodeIncarnation(data []byte) (incarnationRecord, error) {
	var r incarnationRecord
	err := peer.Unmarshal(data, &r)
	return r, err
}

func decodeMember(data []byte) (Member, error) {
	var m Member
	err := peer.Unmarshal(data, &m)
	return m, err
}

// splitKey returns the member of a key, and whether it is an alive key.
func splitKey(key string) (id peer.MemberID, alive, ok bool) {
	if rest, found := strings.CutPrefix(key, alivePrefix); found {
		return peer.MemberID(rest), true, rest != ""
	}
	if rest, found := strings.CutPrefix(key, incarnationPrefix); found {
		return peer.MemberID(rest), false, rest != ""
	}
	return "", false, false
}
