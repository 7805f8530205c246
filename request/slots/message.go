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

// Peer methods.
const (
	methodReport  peer.Method = "slots.report"  // report -> reply, holder to pool
	methodPush    peer.Method = "slots.push"    // push -> pushReply, pool to holder
	methodLeaving peer.Method = "slots.leaving" // leavingNotice -> nothing, to every daemon
)

// creditID identifies one grant of one slot. It is never reused, so every message about credits
// may be delayed or delivered twice without harm.
type creditID uint64

const serialBits = 40

func newCreditID(epoch, serial uint64) creditID {
	return creditID(epoch<<serialBits | serial&(1<<serialBits-1))
}

// instanceID identifies one attempt of a service's task at one address.
type instanceID uint64

func instanceOf(e *plan.Endpoint) instanceID {
	d := xxhash.New()
	_, _ = d.WriteString(e.Service + "\x00" + e.Address + "\x00" + e.Task.String() + "\x00" + strconv.Itoa(e.Attempt))
	return instanceID(d.Sum64())
}

// heldAt lists the credits that a holder has for one instance.
type heldAt struct {
	_        struct{} `cbor:",toarray"`
	Instance instanceID
	Credits  []creditID
}

// report lists what a holder has, returns and needs.
type report struct {
	Service string `cbor:"1,keyasint"`
	Epoch   uint64 `cbor:"2,keyasint"`
	Seq     uint64 `cbor:"3,keyasint"`
	// Seen is the highest batch of grants received.
	Seen uint64 `cbor:"4,keyasint,omitempty"`
	// Returned lists credits that the holder no longer has.
	Returned []creditID `cbor:"5,keyasint,omitempty"`
	Idle     int        `cbor:"6,keyasint,omitempty"`
	InUse    int        `cbor:"7,keyasint,omitempty"`
	Waiting  int        `cbor:"8,keyasint,omitempty"`
	// OldestMicros and NewestMicros are the waiting times of the first and the last waiter.
	OldestMicros int64 `cbor:"9,keyasint,omitempty"`
	NewestMicros int64 `cbor:"10,keyasint,omitempty"`
	// Low requests a reserve of idle credits.
	Low bool `cbor:"11,keyasint,omitempty"`
	// Avoid lists instances that the holder does not want at present.
	Avoid []instanceID `cbor:"12,keyasint,omitempty"`
	// Full reports renew the credits: Held lists every credit, and the holder rejects batches up
	// to Fence from now on, so the pool may free what it granted in these batches and what is
	// not listed.
	Full  bool     `cbor:"13,keyasint,omitempty"`
	Held  []heldAt `cbor:"14,keyasint,omitempty"`
	Fence uint64   `cbor:"15,keyasint,omitempty"`
	Zone  string   `cbor:"16,keyasint,omitempty"`
	// LimitMicros, in full reports, is the holder's request limit for the service: the holder
	// may run requests under a configuration that the pool does not have yet.
	LimitMicros int64 `cbor:"17,keyasint,omitempty"`
}

// status is how the receiver handled a message.
type status int

const (
	statusOK       status = iota
	statusNotOwner        // the receiver does not own the pool under that epoch
	statusStale           // the receiver has seen a higher epoch
	statusNeedFull        // the pool has no record of the holder: send a full report
	statusNotReady        // the new owner has not collected from the holder yet
)

// granted is one new credit.
type granted struct {
	_        struct{} `cbor:",toarray"`
	ID       creditID
	Instance instanceID
}

// terms is what the pool sends to holders with every message.
type terms struct {
	Epoch uint64 `cbor:"1,keyasint"`
	// Batch numbers the messages with grants from one pool to one holder.
	Batch  uint64    `cbor:"2,keyasint,omitempty"`
	Grants []granted `cbor:"3,keyasint,omitempty"`
	// Endpoints describes instances that have not been sent to the holder before.
	Endpoints []plan.Endpoint `cbor:"4,keyasint,omitempty"`
	// Target is the number of idle credits that the holder should keep in reserve.
	Target int `cbor:"5,keyasint,omitempty"`
	// Contended is set while requests wait for slots at any daemon: idle credits are returned at
	// once. OldestMicros is the longest wait.
	Contended    bool  `cbor:"6,keyasint,omitempty"`
	OldestMicros int64 `cbor:"7,keyasint,omitempty"`
}

// reply answers a report.
type reply struct {
	Status status `cbor:"1,keyasint,omitempty"`
	Terms  terms  `cbor:"2,keyasint"`
	// Unknown lists credits that the pool does not record as the holder's; the holder must not
	// use them again.
	Unknown []creditID `cbor:"3,keyasint,omitempty"`
	// Claim is the newest claim that the receiver has, sent with a status other than statusOK.
	Claim ownership.Claim `cbor:"4,keyasint,omitzero"`
}

// push carries grants and recalls to a holder.
type push struct {
	Service string `cbor:"1,keyasint"`
	Terms   terms  `cbor:"2,keyasint"`
	// Recall requests the return of that many idle credits.
	Recall int `cbor:"3,keyasint,omitempty"`
	// Collect requests a full report and, from an earlier owner, the credit records of its pool.
	Collect bool     `cbor:"4,keyasint,omitempty"`
	Owner   peer.Ref `cbor:"5,keyasint"`
}

// pushReply answers a push.
type pushReply struct {
	Status status    `cbor:"1,keyasint,omitempty"`
	Report report    `cbor:"2,keyasint"`
	Pool   *handover `cbor:"3,keyasint,omitempty"`
	// Claim is the newest claim that the receiver has, sent with a status other than statusOK.
	Claim ownership.Claim `cbor:"4,keyasint,omitzero"`
}

// handover holds the credit records of an earlier owner's pool, frozen for its successor.
type handover struct {
	// Complete is set when the earlier owner had accounted for every slot.
	Complete bool            `cbor:"1,keyasint,omitempty"`
	Holders  []holderCredits `cbor:"2,keyasint,omitempty"`
	Epoch    uint64          `cbor:"3,keyasint"`
}

// holderCredits lists the credits that one holder may have.
type holderCredits struct {
	Holder peer.Ref `cbor:"1,keyasint"`
	Held   []heldAt `cbor:"2,keyasint,omitempty"`
}

// leavingNotice announces that an endpoint is leaving.
type leavingNotice struct {
	Address string `cbor:"1,keyasint"`
}

func micros(d time.Duration) int64 { return max(d.Microseconds(), 0) }

func fromMicros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

func (id creditID) String() string {
	return fmt.Sprintf("%d.%d", uint64(id)>>serialBits, uint64(id)&(1<<serialBits-1))
}
