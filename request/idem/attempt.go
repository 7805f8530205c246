package idem

import (
	"context"
	"errors"
	"net/http"
	"sync"

	"fennelshunt.example/fennelshunt/request/verdict"
)

var errAbandoned = errors.New("the arrival that ran the request ended without a result")

// Attempt is the right and duty of one arrival to run the key's request. The
// holder calls Intend (for a non-idempotent request) before it sends, then one
// of Finish and Fail, and defers Close. It should run the request under a
// context that outlives its own caller, because others may have joined.
type Attempt struct {
	shard *shard
	entry *entry

	mu       sync.Mutex
	intended bool
	ended    bool
}

// Intend makes the intent durable; only after it returned nil may a
// non-idempotent request be sent, and only once. On an error, which has
// verdict NotRun, the request must not be sent; the holder passes the error to
// Fail and to its caller. For an idempotent request it does nothing.
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

// Finish ends the attempt with a whole answer and hands it to joined arrivals.
func (a *Attempt) Finish(answer *Answer) {
	if a.end() {
		a.shard.finish(a.entry, answer)
	}
}

// Fail ends the attempt without a whole answer. The error's verdict decides
// what becomes of the key: NotRun frees it, Ran or MayHaveRun of a
// non-idempotent request burn it, so that it is never sent again. Joined
// arrivals get the same error.
func (a *Attempt) Fail(err error) {
	if a.end() {
		a.shard.fail(a.entry, err)
	}
}

// Close ends an attempt that neither Finish nor Fail ended.
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

func (a *Attempt) end() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	first := !a.ended
	a.ended = true
	return first
}
