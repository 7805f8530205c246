package slots

import (
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/process/ownership"
	"fennelshunt.example/fennelshunt/process/plan"
)

// Methods of this package.
const (
	methodReport  peer.Method = "slots.report"  // report -> reply, holder to pool
	methodPush    peer.Method = "slots.push"    // push -> pushReply, pool to holder
	methodLeaving peer.Method = "slots.leaving" // leavingSign -> nothing, to every daemon
)

// creditID names one grant of one slot; it is never used again, so every
// message about credits may be late or come twice without harm.
type creditID uint64

const serialBits = 40

func newCreditID(epoch, serial uint64) creditID {
	return creditID(epoch<<serialBits | serial&(1<<serialBits-1))
}

// instanceID names one life of a service instance.
type instanceID uint64

func instanceOf(e *plan.Endpoint) instanceID {
	d := xxhash.New()
	_, _ = d.WriteString(e.Service + "\x00" + e.Address + "\x00" + e.Task.String() + "\x00" + strconv.Itoa(e.Attempt))
	return instanceID(d.Sum64())
}

// heldAt lists the credits that a holder has at one instance.
type heldAt struct {
	_        struct{} `cbor:",toarray"`
	Instance instanceID
	Credits  []creditID
}

// report tells the pool what a holder has, gives back and needs.
type report struct {
	Service string `cbor:"1,keyasint"`
	Epoch   uint64 `cbor:"2,keyasint"`
	Seq     uint64 `cbor:"3,keyasint"`
	// Seen is the highest batch of grants that arrived.
	Seen uint64 `cbor:"4,keyasint,omitempty"`
	// Returned lists credits that the holder no longer has.
	Returned []creditID `cbor:"5,keyasint,omitempty"`
	Idle     int        `cbor:"6,keyasint,omitempty"`
	InUse    int        `cbor:"7,keyasint,omitempty"`
	Waiting  int        `cbor:"8,keyasint,omitempty"`
	// OldestMicros and NewestMicros are the waiting times of the first and the
	// last waiter.
	OldestMicros int64 `cbor:"9,keyasint,omitempty"`
	NewestMicros int64 `cbor:"10,keyasint,omitempty"`
	// Low asks for a reserve of idle credits.
	Low bool `cbor:"11,keyasint,omitempty"`
	// Avoid lists instances that the holder does not want now.
	Avoid []instanceID `cbor:"12,keyasint,omitempty"`
	// Full reports renew: Held lists every credit, and the holder takes no
	// batch up to Fence from now on, so the pool may free what it granted in
	// these and what is not listed.
	Full  bool     `cbor:"13,keyasint,omitempty"`
	Held  []heldAt `cbor:"14,keyasint,omitempty"`
	Fence uint64   `cbor:"15,keyasint,omitempty"`
	Zone  string   `cbor:"16,keyasint,omitempty"`
	// LimitMicros, in full reports, is the holder's limits.of the service: the
	// holder may run requests under a configuration that the pool does not have.
	LimitMicros int64 `cbor:"17,keyasint,omitempty"`
}

// status tells how the other side took a message.
type status int

const (
	statusOK       status = iota
	statusNotOwner        // the receiver does not own the pool under that epoch
	statusStale           // the receiver knows a higher epoch
	statusNeedFull        // the pool does not know the holder: send a full report
	statusNotReady        // the new owner has not collected from the holder yet
)

// granted is one new credit.
type granted struct {
	_        struct{} `cbor:",toarray"`
	ID       creditID
	Instance instanceID
}

// terms is what the pool tells holders with every message.
type terms struct {
	Epoch uint64 `cbor:"1,keyasint"`
	// Batch numbers the messages with grants from one pool to one holder.
	Batch  uint64    `cbor:"2,keyasint,omitempty"`
	Grants []granted `cbor:"3,keyasint,omitempty"`
	// Endpoints describes instances that the holder has not been told of.
	Endpoints []plan.Endpoint `cbor:"4,keyasint,omitempty"`
	// Target is the reserve of idle credits that the holder should keep.
	Target int `cbor:"5,keyasint,omitempty"`
	// Contended is set while requests wait for slots somewhere: idle credits
	// go back at once. OldestMicros is the longest wait.
	Contended    bool  `cbor:"6,keyasint,omitempty"`
	OldestMicros int64 `cbor:"7,keyasint,omitempty"`
}

// reply answers a report.
type reply struct {
	Status status `cbor:"1,keyasint,omitempty"`
	Terms  terms  `cbor:"2,keyasint"`
	// Unknown lists credits that the pool does not count as the holder's; it
	// must not use them again.
	Unknown []creditID `cbor:"3,keyasint,omitempty"`
	// Claim is the newest claim that the receiver knows, with a bad status.
	Claim ownership.Claim `cbor:"4,keyasint,omitzero"`
}

// push carries grants and recalls to a holder.
type push struct {
	Service string `cbor:"1,keyasint"`
	Terms   terms  `cbor:"2,keyasint"`
	// Recall asks for that many idle credits.
	Recall int `cbor:"3,keyasint,omitempty"`
	// Collect asks for a full report and, from an earlier owner, for its pool.
	Collect bool     `cbor:"4,keyasint,omitempty"`
	Owner   peer.Ref `cbor:"5,keyasint"`
}

// pushReply answers a push.
type pushReply struct {
	Status status    `cbor:"1,keyasint,omitempty"`
	Report report    `cbor:"2,keyasint"`
	Pool   *handover `cbor:"3,keyasint,omitempty"`
	// Claim is the newest claim that the receiver knows, with a bad status.
	Claim ownership.Claim `cbor:"4,keyasint,omitzero"`
}

// handover is an earlier owner's whole pool, frozen for its successor.
type handover struct {
	// Complete is set when the earlier owner had accounted for every slot.
	Complete bool         `cbor:"1,keyasint,omitempty"`
	Holders  []holderPart `cbor:"2,keyasint,omitempty"`
	Epoch    uint64       `cbor:"3,keyasint"`
}

// holderPart lists what one holder may have.
type holderPart struct {
	Holder peer.Ref `cbor:"1,keyasint"`
	Held   []heldAt `cbor:"2,keyasint,omitempty"`
}

// leavingSign tells that an endpoint is leaving.
type leavingSign struct {
	Address string `cbor:"1,keyasint"`
}

func micros(d time.Duration) int64 { return max(d.Microseconds(), 0) }

func fromMicros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

func (id creditID) String() string {
	return fmt.Sprintf("%d.%d", uint64(id)>>serialBits, uint64(id)&(1<<serialBits-1))
}
