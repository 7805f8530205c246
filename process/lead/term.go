package lead

import (
	"context"
	"errors"
	"fmt"
	"time"

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
// transaction is the chain's.
const MaxCommit = store.MaxTxnEntries - 4

// Term is one daemon's time as the leader.
type Term struct {
	Epoch uint64

	id       string
	holder   Member
	store    store.Transactor
	patience *store.Patience

	// turn is held by the write on its way: one at a time. Waiting for it ends
	// with the caller's context, so that a stuck write does not hold up the
	// renewal of the member's lease, which may put the leader's record back.
	turn     *semaphore.Weighted
	revision store.Revision // of the chain, as last known
	issued   uint64         // numbers the writes, given up ones included
	over     context.CancelCauseFunc
	ctx      context.Context
}

// Context ends when the term does; its cause tells why.
func (t *Term) Context() context.Context { return t.ctx }

// End ends the term, for example when a worker was called with a higher epoch.
func (t *Term) End(cause error) { t.over(cause) }

// Commit writes and deletes keys as the leader. It tries until the outcome is
// known: nil means that all is in the store. The error is ErrDeposed, when
// nothing was written and the term is over, or the context's, when it may
// still be written.
func (t *Term) Commit(ctx context.Context, writes []store.Write, deletes []string) error {
	return t.commit(ctx, store.Txn{Writes: writes, Deletes: deletes})
}

// reassert puts the leader's record back after its lease lapsed or was
// revoked, under the same epoch: the chain shows that nobody else has led.
func (t *Term) reassert(ctx context.Context, lease store.LeaseID) error {
	return t.commit(ctx, store.Txn{
		Checks: []store.Check{{Key: keyHolder}},
		Writes: []store.Write{t.holderWrite(lease)},
	})
}

func (t *Term) holderWrite(lease store.LeaseID) store.Write {
	return store.Write{Key: keyHolder, Value: encode(Leader{Member: t.holder, Epoch: t.Epoch}), Lease: lease}
}

// release lets another daemon lead at once.
func (t *Term) release(ctx context.Context) error {
	err := t.commit(ctx, store.Txn{Deletes: []string{keyHolder}})
	t.End(errReleased)
	return err
}

var errReleased = errors.New("lead: released")

func (t *Term) commit(ctx context.Context, txn store.Txn) error {
	if err := t.turn.Acquire(ctx, 1); err != nil {
		return err
	}
	defer t.turn.Release(1)
	// A write that was given up may still take effect; with a number of its own
	// it is not taken for a later one.
	t.issued++
	next := link{Epoch: t.Epoch, Term: t.id, Sequence: t.issued, Holder: t.holder.Name}
	base := len(txn.Checks)
	txn.Checks = append(txn.Checks, store.Check{Key: keyChain, Revision: t.revision})
	txn.Writes = append(txn.Writes, store.Write{Key: keyChain, Value: encode(next)})
	for pause := retryPause; ; pause = min(2*pause, retryPauseMax) {
		rev, err := t.try(ctx, txn, next)
		switch {
		case err == nil:
			t.revision = rev
			return nil
		case errors.Is(err, errMoved):
			t.revision = rev
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
		// The answer of a lost write comes at once with the next try; a store
		// that refuses is not pressed.
		if !errors.Is(err, store.ErrUnknownOutcome) {
			if sleep.For(ctx, pause) != nil {
				return ctx.Err()
			}
		}
	}
}

// errMoved: a write of this term that had been given up took effect.
var errMoved = errors.New("lead: the chain has moved on by an own write")

// errHeld: the leader's record is there already.
var errHeld = errors.New("lead: the leader's record exists")

// try sends the transaction once. All tries of one write carry the same checks,
// so that at most one takes effect.
func (t *Term) try(ctx context.Context, txn store.Txn, next link) (store.Revision, error) {
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
	entry, found := conflict.Find(keyChain)
	if !found {
		return 0, fmt.Errorf("%w: the chain is gone", ErrDeposed)
	}
	now, err := decodeLink(entry)
	switch {
	case err != nil:
		return 0, err
	case now == next:
		return entry.Revision, nil // an earlier try, whose answer was lost
	case now.Term != t.id:
		return 0, fmt.Errorf("%w: %s with epoch %d", ErrDeposed, now.Holder, now.Epoch)
	case entry.Revision == t.revision:
		return 0, errHeld
	default:
		return entry.Revision, errMoved
	}
}
