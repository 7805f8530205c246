package lead

import (
	"context"
	"errors"
	"fmt"
	"time"

	"fennelshunt.example/fennelshunt/connection/store"
)

// claimAndLead claims leadership and starts a term if the claim takes effect. If alone is
// set, it does not claim when the daemon leads another shard by then.
//
// The electors of one daemon claim one at a time. Otherwise two of them could see a vacancy
// at the same time, each before the other has claimed, and one daemon would lead two shards
// while other daemons lead none.
func (e *Elector) claimAndLead(ctx context.Context, recordRev store.Revision, alone bool) {
	sem := e.claimSem()
	select {
	case sem <- struct{}{}:
		defer func() { <-sem }()
	case <-ctx.Done():
		return
	}
	if e.current() != nil || alone && e.leadsAnother() {
		return
	}
	e.claiming.Store(true)
	defer e.claiming.Store(false)
	term, err := e.claim(ctx, recordRev)
	if err != nil {
		e.o.Log.Debug().Err(err).Msg("leadership not claimed")
		return
	}
	e.startTerm(ctx, term)
}

// claim raises the epoch if the leader's record still has the revision recordRev or no
// longer exists.
func (e *Elector) claim(ctx context.Context, recordRev store.Revision) (*Term, error) {
	before, revision, err := e.lastClaim(ctx)
	if err != nil {
		return nil, err
	}
	t := newTerm(ctx, e.o.Self, e.o.Store, e.o.StoreTimeout)
	t.taken = recordRev != 0
	for range maxClaimTries {
		t.Epoch = before.Epoch + 1
		err = e.tryClaim(ctx, t, recordRev, revision)
		var conflict *store.ConflictError
		if !errors.As(err, &conflict) {
			break
		}
		// The leader's lease may have expired meanwhile, and the revision of the
		// claim may differ from that of its copy.
		holder, exists := conflict.Find(keyHolder)
		if exists && holder.Revision != recordRev {
			break
		}
		recordRev = holder.Revision
		if entry, found := conflict.Find(keyClaim); !found {
			before, revision = termRecord{}, 0
		} else if before, err = decodeTermRecord(entry); err != nil {
			break
		} else {
			revision = entry.Revision
		}
	}
	if errors.Is(err, store.ErrLeaseLost) {
		e.dropLease()
	}
	if err != nil {
		return nil, fmt.Errorf("claim: %w", err)
	}
	return t, nil
}

// maxClaimTries bounds the tries of one claim. The second already uses the store's state
// as returned with the conflict.
const maxClaimTries = 3

// lastClaim returns the previous claim and its revision: from the view, or read from the
// store if the view has none.
func (e *Elector) lastClaim(ctx context.Context) (termRecord, store.Revision, error) {
	if claim, revision := e.view.lastClaimed(); revision != 0 {
		return claim, revision, nil
	}
	var entry store.Entry
	err := e.call(ctx, "read claim", func(ctx context.Context) (err error) {
		entry, err = e.o.Store.Get(ctx, keyClaim)
		return err
	})
	if errors.Is(err, store.ErrNotFound) {
		return termRecord{}, 0, nil
	}
	if err != nil {
		return termRecord{}, 0, err
	}
	before, err := decodeTermRecord(entry)
	return before, entry.Revision, err
}

// tryClaim writes the records of a claim and the first record of each write stream. The
// streams need no check: only a term whose claim is current writes to them.
func (e *Elector) tryClaim(ctx context.Context, t *Term, recordRev, revision store.Revision) error {
	claim := termRecord{Epoch: t.Epoch, Term: t.id, Holder: t.holder.Name}
	txn := store.Txn{
		Checks: []store.Check{{Key: keyHolder, Revision: recordRev}, {Key: keyClaim, Revision: revision}},
		Writes: []store.Write{t.holderWrite(e.leaseID()), {Key: keyClaim, Value: encode(claim)}, {Key: keyClaimCopy, Value: encode(claim)}},
	}
	for i := range t.streams {
		txn.Writes = append(txn.Writes, store.Write{Key: t.streams[i].key, Value: encode(claim)})
	}
	t.claimSent = time.Now()
	err := e.call(ctx, "claim", func(ctx context.Context) error {
		rev, err := e.o.Store.Commit(ctx, txn)
		t.setClaimed(rev)
		return err
	})
	if errors.Is(err, store.ErrUnknownOutcome) {
		return e.confirmClaim(ctx, t, claim)
	}
	return err
}

// confirmClaim reads back whether a claim took effect whose response was lost. If the
// claim is applied later still, there is a leader record whose holder does not lead: it
// expires with its lease, which this daemon stops renewing.
func (e *Elector) confirmClaim(ctx context.Context, t *Term, claim termRecord) error {
	return e.call(ctx, "read claim", func(ctx context.Context) error {
		entry, err := e.o.Store.Get(ctx, keyClaim)
		if err != nil {
			e.dropLease()
			return err
		}
		now, err := decodeTermRecord(entry)
		if err == nil && now == claim {
			t.setClaimed(entry.Revision)
			return nil
		}
		e.dropLease()
		return fmt.Errorf("%w: the claim did not take effect", store.ErrConflict)
	})
}

func (e *Elector) startTerm(ctx context.Context, t *Term) {
	done := make(chan struct{})
	e.mu.Lock()
	e.term, e.done = t, done
	e.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { t.cancel(context.Cause(ctx)) })
	e.o.Log.Info().Uint64("epoch", t.Epoch).Msg("leading")
	go func() {
		defer close(done)
		defer stop()
		e.o.RunTerm(t)
		e.o.Log.Info().Uint64("epoch", t.Epoch).AnErr("cause", context.Cause(t.ctx)).Msg("no longer leading")
		t.End(context.Canceled)
		e.mu.Lock()
		if e.term == t {
			e.term = nil
		}
		e.mu.Unlock()
	}()
}
