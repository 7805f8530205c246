// Package idem gives every idempotency key one home daemon, where a second
// arrival of a key joins the first and gets the same whole answer, and where a
// non-idempotent key leaves a durable intent before its request is sent.
//
// Guarantees, each within the retention of the intents: a non-idempotent
// request with a key is sent at most once through the death, pause or
// replacement of any daemon; a request that this package refuses with verdict
// NotRun was not sent under this arrival; an answer is handed to a joined
// arrival only whole and only when scope, key and fingerprint are equal.
// docs/IDEMPOTENCY.md says what each of them rests on.
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

// Key is an idempotency key in its scope: the same text from another team or
// for another service is another key.
type Key struct {
	Team    string
	Service string
	Text    string
}

// Fingerprint is a hash of what a request asks for and for whom. A key that
// comes back with another fingerprint is refused, because its answer would be a
// wrong one.
type Fingerprint uint64

// FingerprintOf hashes what decides what a request does and who may see its
// answer: method, target, content type, credentials, body, and the name that
// the caller goes by, empty for none.
//
// What goes wrong without credentials and name: two callers that take the same
// text for a key and ask the same get one answer, made for the first of them.
// The hash is a cryptographic one, because callers choose what is hashed.
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

// writePart hashes a part with its length, so that no two lists of parts look
// the same.
func writePart(h hash.Hash, part []byte) {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
	_, _ = h.Write(length[:])
	_, _ = h.Write(part)
}

// Request is one arrival of a key.
type Request struct {
	Key         Key
	Fingerprint Fingerprint
	// NonIdempotent requests need Attempt.Intend before they are sent.
	NonIdempotent bool
}

// Answer is a whole answer of an endpoint. It is shared between arrivals and
// must not be changed.
type Answer struct {
	Status  int
	Header  http.Header
	Body    []byte
	Trailer http.Header // nil for none
	// NotKept is set when the body was larger than Options.MaxAnswer: the
	// arrival that ran streamed it, later ones are told that the request ran
	// and its answer is no longer kept. Body is then ignored.
	NotKept bool
}

// size is what the answer holds in memory, in bytes, without the fixed part.
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
	CodeNotHome        = "key_not_home"        // NotRun: this daemon is not the key's home
	CodeNoHome         = "key_home_not_ready"  // NotRun: the home is still reading the key log
	CodeMismatch       = "key_reused"          // NotRun: the key was used for another request
	CodeIntentRefused  = "intent_not_durable"  // NotRun: the store is down or over its budget
	CodeOutcomeUnknown = "outcome_unknown"     // MayHaveRun: sent by an earlier arrival, its end is not known
	CodeAnswerNotKept  = "answer_not_kept"     // Ran: the answer is no longer kept
	CodeJoinTimeout    = "key_still_running"   // MayHaveRun: the first arrival has not ended in time
	CodeAbandoned      = "key_attempt_dropped" // MayHaveRun: the first arrival ended without a result
	CodeTableFull      = "key_table_full"      // NotRun: bound on keys in memory reached
)

// Table is what the gateway needs of this package; *Manager implements it.
type Table interface {
	// Home returns the daemon that owns the key's shard. ok is false when no
	// owner is known. When self is true the caller goes on with Begin, else it
	// forwards the request to the member's ForwardAddr, once; a forwarded
	// request is never forwarded again.
	Home(k Key) (m fleet.Member, self bool, ok bool)
	// Begin starts or joins the key's request. Exactly one result is not nil:
	// an Attempt for the arrival that has to run the request, the Answer of the
	// arrival that it joined (it waited for the end, bounded by ctx), or a
	// *verdict.Error.
	Begin(ctx context.Context, r Request) (*Attempt, *Answer, error)
}
