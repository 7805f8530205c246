package lead

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/semaphore"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/internal/sleep"
)

// Pauses between tries of a write that the store did not take.
const (
	retryPause    = 20 * time.Millisecond
	retryPauseMax = 300 * time.Millisecond
)

// MaxCommit is how many writes and deletes one Commit may hold: the rest of a
// transaction is the check of the claim, and the check and the write of the
// chain's link.
const MaxCommit = store.MaxTxnEntries - 3

// Chains is how many writes of a term may be under way at once, each on a chain
// of its own. With an answer of the store after 300 ms, eight let a write begin
// every 40 ms.
const Chains = 8

// Term is one daemon's time as the leader.
type Term struct {
	Epoch uint64

	id       string
	holder   Member
	taken    bool // from a leader whose record still stood
	store    store.Transactor
	patience *store.Patience

	claimed store.Revision // of the claim, which every write of the term demands
	chains  [Chains]chain
	issued  atomic.Uint64 // numbers the writes, given up ones included
	over    context.CancelCauseFunc
	ctx     context.Context
}

// chain is one sequence of writes of a term.
type chain struct {
	key string // of its last link
	// turn is held by the write on its way: one at a time. Waiting for it ends
	// with the caller's context, so that a stuck write does not hold up the
	// renewal of the member's lease, which may put the leader's record back.
	turn     *semaphore.Weighted
	revision store.Revision // of the last link, as last known; 0 for none
}

// newTerm returns a term that has not been claimed yet.
func newTerm(ctx context.Context, holder Member, s store.Transactor, patience *store.Patience) *Term {
	t := &Term{id: uuid.NewString(), holder: holder, store: s, patience: patience}
	for i := range t.chains {
		t.chains[i] = chain{key: chainKey(i), turn: semaphore.NewWeighted(1)}
	}
	t.ctx, t.over = context.WithCancelCause(context.WithoutCancel(ctx))
	return t
}

// begun notes the revision of the term's claim, which is that of the first link of
// each chain as well. A store that numbers the writes of one transaction apart
// shows the right one with the first write of a chain.
func (t *Term) begun(claim store.Revision) {
	t.claimed = claim
	for i := range t.chains {
		t.chains[i].revision = claim
	}
}

// Context ends when the term does; its cause tells why.
func (t *Term) Context() context.Context { return t.ctx }

// End ends the term, for example when a worker was called with a higher epoch.
func (t *Term) End(cause error) { t.over(cause) }

// Commit writes and deletes keys as the leader, on one of the term's chains.
// Writes of one chain take effect in the order of their calls, those of
// different chains in any order. It tries until the outcome is known: nil means
// that all is in the store. The error is ErrDeposed, when nothing was written
// and the term is over, or the context's, when it may still be written.
func (t *Term) Commit(ctx context.Context, chain int, writes []store.Write, deletes []string) error {
	return t.commit(ctx, &t.chains[chain], store.Txn{Writes: writes, Deletes: deletes})
}

// reassert puts the leader's record back after its lease lapsed or was
// revoked, under the same epoch: the chain shows that nobody else has led.
func (t *Term) reassert(ctx context.Context, lease store.LeaseID) error {
	return t.commit(ctx, &t.chains[0], store.Txn{
		Checks: []store.Check{{Key: keyHolder}},
		Writes: []store.Write{t.holderWrite(lease)},
	})
}

func (t *Term) holderWrite(lease store.LeaseID) store.Write {
	return store.Write{Key: keyHolder, Value: encode(Leader{Member: t.holder, Epoch: t.Epoch, Taken: t.taken}), Lease: lease}
}

// release lets another daemon lead at once.
func (t *Term) release(ctx context.Context) error {
	err := t.commit(ctx, &t.chains[0], store.Txn{Deletes: []string{keyHolder}})
	t.End(errReleased)
	return err
}

var errReleased = errors.New("lead: released")

func (t *Term) commit(ctx context.Context, c *chain, txn store.Txn) error {
	if err := c.turn.Acquire(ctx, 1); err != nil {
		return err
	}
	defer c.turn.Release(1)
	// A write that was given up may still take effect; with a number of its own
	// it is not taken for a later one.
	next := link{Epoch: t.Epoch, Term: t.id, Sequence: t.issued.Add(1), Holder: t.holder.Name}
	base := len(txn.Checks)
	txn.Checks = append(txn.Checks, store.Check{Key: c.key, Revision: c.revision}, store.Check{Key: keyClaim, Revision: t.claimed})
	txn.Writes = append(txn.Writes, store.Write{Key: c.key, Value: encode(next)})
	for pause := retryPause; ; pause = min(2*pause, retryPauseMax) {
		began := time.Now()
		rev, err := t.try(ctx, c, txn, next)
		switch {
		case err == nil:
			c.revision = rev
			return nil
		case errors.Is(err, errMoved):
			c.revision = rev
			txn.Checks[base].Revision = rev
			continue
		case errors.Is(err, ErrDeposed):
			t.over(err)
			return err
		case errors.Is(err, errHeld), errors.Is(err, store.ErrLeaseLost), errors.Is(err, store.ErrTooLarge):
			return err
		case ctx.Err() != nil:
			return ctx.Err()
		}
		// The answer of a lost write, for which the try has waited, comes at once
		// with the next one; a store that refuses, or resets the connection, is
		// not pressed.
		if sleep.For(ctx, retryPause-time.Since(began)) != nil {
			return ctx.Err()
		}
		t.patience.Await(ctx, pause-time.Since(began))
	}
}

// errMoved: the chain has another last link than was known: a write of this term
// that had been given up, or the last one of an earlier term, took effect.
var errMoved = errors.New("lead: the chain has moved on")

// errHeld: the leader's record is there already.
var errHeld = errors.New("lead: the leader's record exists")

// try sends the transaction once. All tries of one write carry the same checks,
// so that at most one takes effect.
func (t *Term) try(ctx context.Context, c *chain, txn store.Txn, next link) (store.Revision, error) {
	var rev store.Revision
	err := t.patience.Call(ctx, func(ctx context.Context) (err error) {
		rev, err = t.store.Commit(ctx, txn)
		return err
	})
	if errors.Is(err, store.ErrUnknownOutcome) {
		return 0, err
	}
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) {
		return rev, err
	}
	if err := t.stillClaimed(conflict); err != nil {
		return 0, err
	}
	entry, found := conflict.Find(c.key)
	if found {
		now, err := decodeLink(entry)
		if err != nil {
			return 0, err
		}
		if now == next {
			return entry.Revision, nil // an earlier try, whose answer was lost
		}
	}
	if entry.Revision == c.revision {
		return 0, errHeld // 0 for a chain without links
	}
	return entry.Revision, errMoved
}

// stillClaimed reports by an error that another daemon has claimed since. Only a
// claim writes the claim's record, so with this term's there no earlier term can
// write any more, and no later one has begun.
func (t *Term) stillClaimed(conflict *store.ConflictError) error {
	entry, found := conflict.Find(keyClaim)
	if !found {
		return fmt.Errorf("%w: the claim is gone", ErrDeposed)
	}
	now, err := decodeLink(entry)
	if err != nil {
		return err
	}
	if now.Term != t.id {
		return fmt.Errorf("%w: %s with epoch %d", ErrDeposed, now.Holder, now.Epoch)
	}
	return nil
}
