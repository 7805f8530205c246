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

// Pauses between tries of a write that the store did not apply.
const (
	retryPause    = 20 * time.Millisecond
	retryPauseMax = 300 * time.Millisecond
)

// MaxCommit is how many writes and deletes one Commit may hold: the remaining entries of
// a transaction are the check of the claim, and the check and the write of the stream's
// record.
const MaxCommit = store.MaxTxnEntries - 3

// WriteStreams is the number of write streams of a term, each with at most one write in
// flight. If the store answers after 300 ms, eight streams allow a new write every 40 ms.
const WriteStreams = 8

// Term is the leadership of one daemon under one epoch.
type Term struct {
	Epoch uint64

	id      string
	holder  Member
	taken   bool // taken over while the previous leader's record existed
	store   store.Transactor
	timeout *store.AdaptiveTimeout

	claimSent    time.Time      // when the claim was sent
	claimRev     store.Revision // of the claim, on which every write of the term is conditional
	streams      [WriteStreams]stream
	nextSequence atomic.Uint64 // numbers the writes, including abandoned ones
	cancel       context.CancelCauseFunc
	ctx          context.Context
}

// stream is a write stream: writes of a term that take effect one after the other.
type stream struct {
	key string // key of its latest record
	// sem is held by the one write in flight. Waiting for it ends with the caller's
	// context, so that a stuck write does not delay the renewal of the member's lease,
	// which may restore the leader record.
	sem      *semaphore.Weighted
	revision store.Revision // of the latest record, as last seen; 0 for none
}

// newTerm returns a term that has not been claimed yet.
func newTerm(ctx context.Context, holder Member, s store.Transactor, timeout *store.AdaptiveTimeout) *Term {
	t := &Term{id: uuid.NewString(), holder: holder, store: s, timeout: timeout}
	for i := range t.streams {
		t.streams[i] = stream{key: streamKey(i), sem: semaphore.NewWeighted(1)}
	}
	t.ctx, t.cancel = context.WithCancelCause(context.WithoutCancel(ctx))
	return t
}

// setClaimed sets the revision of the term's claim, which is also that of the first
// record of each stream. If the store assigns each write of a transaction its own
// revision, the conflict at the first write of a stream returns the right one.
func (t *Term) setClaimed(claim store.Revision) {
	t.claimRev = claim
	for i := range t.streams {
		t.streams[i].revision = claim
	}
}

// Context is cancelled when the term ends; the cause is the reason.
func (t *Term) Context() context.Context { return t.ctx }

// End ends the term, for example when a worker has been called with a higher epoch.
func (t *Term) End(cause error) { t.cancel(cause) }

// ClaimSent returns when the claim was sent to the store: no other daemon had led since then.
func (t *Term) ClaimSent() time.Time { return t.claimSent }

// Confirm reads the claim from the store, once. nil means that no other daemon had claimed when
// Confirm was called; with ErrDeposed the term is over.
func (t *Term) Confirm(ctx context.Context) error {
	var entry store.Entry
	err := t.timeout.Call(ctx, func(ctx context.Context) (err error) {
		entry, err = t.store.Get(ctx, keyClaim)
		return err
	})
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return fmt.Errorf("read claim: %w", err)
	}
	if err = t.stillClaimed(entry, err == nil); errors.Is(err, ErrDeposed) {
		t.cancel(err)
	}
	return err
}

// Commit writes and deletes keys as the leader, on one of the term's write streams.
// Writes of one stream take effect in the order of their calls, those of different
// streams in any order. Commit retries until the outcome is known: nil means that the
// whole write set is in the store. ErrDeposed means that the term is over and that
// nothing was written, unless an earlier try was not answered: a later claim hides
// whether that one took effect. After the context's error the write may still take effect.
func (t *Term) Commit(ctx context.Context, stream int, writes []store.Write, deletes []string) error {
	return t.commit(ctx, &t.streams[stream], store.Txn{Writes: writes, Deletes: deletes})
}

// reassert restores the leader record, under the same epoch, after its lease expired or
// was revoked. The claim shows that no other daemon has led since.
func (t *Term) reassert(ctx context.Context, lease store.LeaseID) error {
	return t.commit(ctx, &t.streams[0], store.Txn{
		Checks: []store.Check{{Key: keyHolder}},
		Writes: []store.Write{t.holderWrite(lease)},
	})
}

func (t *Term) holderWrite(lease store.LeaseID) store.Write {
	return store.Write{Key: keyHolder, Value: encode(Leader{Member: t.holder, Epoch: t.Epoch, TookOver: t.taken}), Lease: lease}
}

// release deletes the leader record, so that another daemon can lead at once, and ends
// the term.
func (t *Term) release(ctx context.Context) error {
	err := t.commit(ctx, &t.streams[0], store.Txn{Deletes: []string{keyHolder}})
	t.End(errReleased)
	return err
}

var errReleased = errors.New("lead: released")

func (t *Term) commit(ctx context.Context, s *stream, txn store.Txn) error {
	if err := s.sem.Acquire(ctx, 1); err != nil {
		return err
	}
	defer s.sem.Release(1)
	// An abandoned write may still take effect. Its own sequence number distinguishes it
	// from later writes.
	next := termRecord{Epoch: t.Epoch, Term: t.id, Sequence: t.nextSequence.Add(1), Holder: t.holder.Name}
	base := len(txn.Checks)
	txn.Checks = append(txn.Checks, store.Check{Key: s.key, Revision: s.revision}, store.Check{Key: keyClaim, Revision: t.claimRev})
	txn.Writes = append(txn.Writes, store.Write{Key: s.key, Value: encode(next)})
	for pause := retryPause; ; pause = min(2*pause, retryPauseMax) {
		began := time.Now()
		rev, err := t.try(ctx, s, txn, next)
		switch {
		case err == nil:
			s.revision = rev
			return nil
		case errors.Is(err, errStreamAdvanced):
			s.revision = rev
			txn.Checks[base].Revision = rev
			continue
		case errors.Is(err, ErrDeposed):
			t.cancel(err)
			return err
		case errors.Is(err, errRecordExists), errors.Is(err, store.ErrLeaseLost), errors.Is(err, store.ErrTooLarge):
			return err
		case ctx.Err() != nil:
			return ctx.Err()
		}
		// After a try that waited for a lost response the next one follows at once. A
		// store that refuses requests or resets connections is retried after a pause.
		if sleep.For(ctx, retryPause-time.Since(began)) != nil {
			return ctx.Err()
		}
		t.timeout.AwaitAnswer(ctx, pause-time.Since(began))
	}
}

// errStreamAdvanced means that the latest record of the stream is not the expected one:
// an abandoned write of this term, or the last write of an earlier term, took effect.
var errStreamAdvanced = errors.New("lead: write stream has advanced")

// errRecordExists means that the leader record already exists.
var errRecordExists = errors.New("lead: leader record already exists")

// try sends the transaction once. All tries of one write carry the same checks,
// so that at most one takes effect.
func (t *Term) try(ctx context.Context, s *stream, txn store.Txn, next termRecord) (store.Revision, error) {
	var rev store.Revision
	err := t.timeout.Call(ctx, func(ctx context.Context) (err error) {
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
	claim, found := conflict.Find(keyClaim)
	if err := t.stillClaimed(claim, found); err != nil {
		return 0, err
	}
	entry, found := conflict.Find(s.key)
	if found {
		now, err := decodeTermRecord(entry)
		if err != nil {
			return 0, err
		}
		if now == next {
			return entry.Revision, nil // an earlier try, whose response was lost
		}
	}
	if entry.Revision == s.revision {
		return 0, errRecordExists // both revisions are 0 for a stream without records
	}
	return entry.Revision, errStreamAdvanced
}

// stillClaimed returns an error if another daemon has claimed since. Only claims write the
// claim's record, so while it is this term's, no earlier term can write any more and no
// later one has started.
func (t *Term) stillClaimed(entry store.Entry, found bool) error {
	if !found {
		return fmt.Errorf("%w: the claim is gone", ErrDeposed)
	}
	now, err := decodeTermRecord(entry)
	if err != nil {
		return err
	}
	if now.Term != t.id {
		return fmt.Errorf("%w: %s with epoch %d", ErrDeposed, now.Holder, now.Epoch)
	}
	return nil
}
