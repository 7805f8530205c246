// Package idem implements idempotency keys. Every key is owned by one daemon,
// the key owner, which handles all requests with that key (its arrivals): a
// second arrival joins the first and gets the same complete answer. Before a
// non-idempotent request with a key is sent, the owner writes an intent to the
// store.
//
// Guarantees, each within the retention of the intents: a non-idempotent
// request with a key is sent at most once, even when daemons crash, are
// suspended or replaced; a request that this package refuses with verdict
// NotRun was not sent for this arrival; a joined arrival gets only a complete
// answer, and only when scope, key and fingerprint are equal.
// docs/IDEMPOTENCY.md explains what each of them relies on.
package idem

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"net/http"
	"strconv"

	"fennelshunt.example/fennelshunt/process/fleet"
)

// Key is an idempotency key with its scope: the same text from another team or
// for another service is a different key.
type Key struct {
	Team    string
	Service string
	Text    string
}

// Fingerprint is a hash of a request's content and sender. A key that is used
// again with another fingerprint is refused, because the kept answer belongs to
// a different request.
type Fingerprint uint64

// FingerprintOf hashes what determines the effect of a request and who may see
// its answer: method, target, content type, credentials, body, and the caller's
// name, which may be empty.
//
// Without credentials and name, two callers that choose the same key text and
// send the same request would both get the answer made for the first of them.
// The hash is cryptographic because callers choose its input.
func FingerprintOf(r *http.Request, caller string, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range []string{r.Method, r.URL.RequestURI(), r.Header.Get("Content-Type"), caller} {
		writePart(h, []byte(part))
	}
	for _, name := range []string{"Authorization", "Cookie"} {
		writePart(h, []byte(strconv.Itoa(len(r.Header[name]))))
		for _, value := range r.Header[name] {
			writePart(h, []byte(value))
		}
	}
	writePart(h, body)
	return Fingerprint(binary.LittleEndian.Uint64(h.Sum(nil)))
}

// writePart hashes a part with its length, so that different lists of parts
// never produce the same input.
func writePart(h hash.Hash, part []byte) {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
	_, _ = h.Write(length[:])
	_, _ = h.Write(part)
}

// Request is one arrival: a request that carries a key.
type Request struct {
	Key         Key
	Fingerprint Fingerprint
	// NonIdempotent requests need Attempt.Intend before they are sent.
	NonIdempotent bool
}

// Answer is a complete answer of an endpoint. It is shared between arrivals and
// must not be modified.
type Answer struct {
	Status  int
	Header  http.Header
	Body    []byte
	Trailer http.Header // nil for none
	// NotKept is set when the body was larger than Options.MaxAnswer: the first
	// arrival streams it, and later ones get CodeAnswerNotKept. Body is then
	// ignored.
	NotKept bool
}

// size returns the memory that the answer uses, in bytes, without entryOverhead.
func (a *Answer) size() int {
	n := len(a.Body)
	for _, h := range []http.Header{a.Header, a.Trailer} {
		for name, values := range h {
			n += headerOverhead + len(name)
			for _, v := range values {
				n += stringOverhead + len(v)
			}
		}
	}
	return n
}

// Codes of the *verdict.Error values that this package returns.
const (
	CodeNotOwner       = "key_not_home"        // NotRun: this daemon is not the key owner
	CodeOwnerNotReady  = "key_home_not_ready"  // NotRun: the key owner is still reading the key log, or is releasing the key
	CodeMismatch       = "key_reused"          // NotRun: the key was used for another request
	CodeIntentRefused  = "intent_not_durable"  // NotRun: the store is down or over its budget
	CodeOutcomeUnknown = "outcome_unknown"     // MayHaveRun: sent by an earlier arrival, outcome unknown
	CodeAnswerNotKept  = "answer_not_kept"     // Ran: the answer is no longer kept
	CodeJoinTimeout    = "key_still_running"   // MayHaveRun: the first arrival did not complete in time
	CodeAbandoned      = "key_attempt_dropped" // MayHaveRun: the first arrival ended without a result
	CodeTableFull      = "key_table_full"      // NotRun: limit of keys in memory reached
)

// Table is the interface that the gateway uses; *Manager implements it.
type Table interface {
	// Owner returns the daemon that owns the key's shard. ok is false when no
	// owner is known. When self is true the caller continues with Begin, otherwise
	// it forwards the request to the member's ForwardAddr, once; a forwarded
	// request is never forwarded again.
	Owner(k Key) (m fleet.Member, self bool, ok bool)
	// Begin starts or joins the key's request. Exactly one result is not nil:
	// an Attempt for the arrival that has to run the request, the Answer of the
	// arrival that it joined (Begin waits for its completion, bounded by ctx), or
	// a *verdict.Error.
	Begin(ctx context.Context, r Request) (*Attempt, *Answer, error)
}
