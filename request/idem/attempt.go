package idem

import (
	"context"
	"errors"
	"net/http"
	"sync"

	"fennelshunt.example/fennelshunt/request/verdict"
)

var errAbandoned = errors.New("the arrival that ran the request ended without a result")

// Attempt is held by the one arrival that runs the key's request. The holder
// calls Intend (for a non-idempotent request) before it sends, then either
// Finish or Fail, and defers Close. It should run the request under a context
// that is not cancelled when its caller disconnects, because other arrivals may
// have joined.
type Attempt struct {
	shard *shard
	entry *entry

	mu       sync.Mutex
	intended bool
	ended    bool
}

// Intend makes the intent durable. A non-idempotent request may be sent only
// after Intend has returned nil, and only once. On an error, which has verdict
// NotRun, the request must not be sent, and the holder passes the error to Fail
// and to its caller. For an idempotent request Intend does nothing.
func (a *Attempt) Intend(ctx context.Context) error {
	if !a.entry.nonIdempotent {
		return nil
	}
	if err := a.shard.intend(ctx, a.entry); err != nil {
		return err
	}
	a.mu.Lock()
	a.intended = true
	a.mu.Unlock()
	return nil
}

// Finish ends the attempt with a complete answer and passes it to joined arrivals.
func (a *Attempt) Finish(answer *Answer) {
	if a.endOnce() {
		a.shard.finish(a.entry, answer)
	}
}

// Fail ends the attempt without a complete answer. The error's verdict decides
// whether the key can be used again: after NotRun it can, after Ran or
// MayHaveRun of a non-idempotent request it cannot, so that the request is
// never sent again. Joined arrivals get the same error.
func (a *Attempt) Fail(err error) {
	if a.endOnce() {
		a.shard.fail(a.entry, err)
	}
}

// Close ends an attempt for which neither Finish nor Fail was called.
func (a *Attempt) Close() {
	a.mu.Lock()
	sent := a.intended || !a.entry.nonIdempotent
	a.mu.Unlock()
	v := verdict.NotRun
	if sent {
		v = verdict.MayHaveRun
	}
	a.Fail(&verdict.Error{Verdict: v, Status: http.StatusBadGateway, Code: CodeAbandoned, Err: errAbandoned})
}

// endOnce reports whether this call is the one that ends the attempt.
func (a *Attempt) endOnce() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	first := !a.ended
	a.ended = true
	return first
}
