package lead

import (
	"context"
	"errors"
	"fmt"

	"fennelshunt.example/fennelshunt/connection/store"
)

// take claims and leads if the claim takes effect. Where alone is set, it does not claim
// if the daemon leads another part by now.
//
// A daemon's electors claim in turn. What goes wrong otherwise: two of them see a vacancy
// at the same time, each before the other has claimed, and one daemon leads two parts
// beside daemons that lead none.
func (e *Elector) take(ctx context.Context, held store.Revision, alone bool) {
	turn := e.claimTurn()
	select {
	case turn <- struct{}{}:
		defer func() { <-turn }()
	case <-ctx.Done():
		return
	}
	if e.current() != nil || alone && e.busy() {
		return
	}
	e.claiming.Store(true)
	defer e.claiming.Store(false)
	term, err := e.claim(ctx, held)
	if err != nil {
		e.o.Log.Debug().Err(err).Msg("leadership not claimed")
		return
	}
	e.begin(ctx, term)
}

// claim raises the epoch if the leader's record still has the revision held, or is
// gone.
func (e *Elector) claim(ctx context.Context, held store.Revision) (*Term, error) {
	before, revision, err := e.lastClaim(ctx)
	if err != nil {
		return nil, err
	}
	t := newTerm(ctx, e.o.Self, e.o.Store, e.o.Patience)
	t.taken = held != 0
	for range maxClaims {
		t.Epoch = before.Epoch + 1
		err = e.tryClaim(ctx, t, held, revision)
		var conflict *store.ConflictError
		if !errors.As(err, &conflict) {
			break
		}
		// The leader's lease may have run out meanwhile, and the revision of the
		// claim be another than that of the copy.
		holder, exists := conflict.Find(keyHolder)
		if exists && holder.Revision != held {
			break
		}
		held = holder.Revision
		if entry, found := conflict.Find(keyClaim); !found {
			before, revision = link{}, 0
		} else if before, err = decodeLink(entry); err != nil {
			break
		} else {
			revision = entry.Revision
		}
	}
	if errors.Is(err, store.ErrLeaseLost) {
		e.giveUpLease()
	}
	if err != nil {
		return nil, fmt.Errorf("claim: %w", err)
	}
	return t, nil
}

// maxClaims bounds the tries of one claim: the second knows the store's state.
const maxClaims = 3

// lastClaim returns the claim before and its revision as far as they are known
// without a call; they are read when nothing is known.
func (e *Elector) lastClaim(ctx context.Context) (link, store.Revision, error) {
	if claim, revision := e.view.claimed(); revision != 0 {
		return claim, revision, nil
	}
	var entry store.Entry
	err := e.call(ctx, "read claim", func(ctx context.Context) (err error) {
		entry, err = e.o.Store.Get(ctx, keyClaim)
		return err
	})
	if errors.Is(err, store.ErrNotFound) {
		return link{}, 0, nil
	}
	if err != nil {
		return link{}, 0, err
	}
	before, err := decodeLink(entry)
	return before, entry.Revision, err
}

// tryClaim writes the records of a claim and the first link of each chain. The
// chains need no check: only a term whose claim stands writes them.
func (e *Elector) tryClaim(ctx context.Context, t *Term, held, revision store.Revision) error {
	claim := link{Epoch: t.Epoch, Term: t.id, Holder: t.holder.Name}
	txn := store.Txn{
		Checks: []store.Check{{Key: keyHolder, Revision: held}, {Key: keyClaim, Revision: revision}},
		Writes: []store.Write{t.holderWrite(e.leaseID()), {Key: keyClaim, Value: encode(claim)}, {Key: keyClaimSeen, Value: encode(claim)}},
	}
	for i := range t.chains {
		txn.Writes = append(txn.Writes, store.Write{Key: t.chains[i].key, Value: encode(claim)})
	}
	err := e.call(ctx, "claim", func(ctx context.Context) error {
		rev, err := e.o.Store.Commit(ctx, txn)
		t.begun(rev)
		return err
	})
	if errors.Is(err, store.ErrUnknownOutcome) {
		return e.learnClaim(ctx, t, claim)
	}
	return err
}

// learnClaim reads back whether a claim without an answer took effect. One that
// arrives later leads to a record whose holder does not lead; it is put down by
// the lease, which this daemon gives up.
func (e *Elector) learnClaim(ctx context.Context, t *Term, claim link) error {
	return e.call(ctx, "read claim", func(ctx context.Context) error {
		entry, err := e.o.Store.Get(ctx, keyClaim)
		if err != nil {
			e.giveUpLease()
			return err
		}
		now, err := decodeLink(entry)
		if err == nil && now == claim {
			t.begun(entry.Revision)
			return nil
		}
		e.giveUpLease()
		return fmt.Errorf("%w: the claim did not take effect", store.ErrConflict)
	})
}

func (e *Elector) begin(ctx context.Context, t *Term) {
	done := make(chan struct{})
	e.mu.Lock()
	e.term, e.done = t, done
	e.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { t.over(context.Cause(ctx)) })
	e.o.Log.Info().Uint64("epoch", t.Epoch).Msg("leading")
	go func() {
		defer close(done)
		defer stop()
		e.o.Lead(t)
		e.o.Log.Info().Uint64("epoch", t.Epoch).AnErr("cause", context.Cause(t.ctx)).Msg("no longer leading")
		t.End(context.Canceled)
		e.mu.Lock()
		if e.term == t {
			e.term = nil
		}
		e.mu.Unlock()
	}()
}
