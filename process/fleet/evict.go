package fleet

import (
	"context"
	"errors"
	"slices"
	"time"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/store"
)

const (
	evictTimeout = 3 * time.Second
	// backstop is the factor of the confirm timeout for daemons that do not probe the
	// member themselves; they act in case all that do have failed as well.
	backstop = 3
	// recordRetention is how long the store keeps the record of an ended incarnation,
	// and compactBatch how many records are deleted at once.
	recordRetention = 24 * time.Hour
	compactBatch    = 32
)

// considerEvictions starts the eviction of members that are still suspected after the
// confirm timeout and are not registered.
func (l *loop) considerEvictions(now time.Time) {
	if l.options.Store == nil {
		return
	}
	for id, e := range l.table.entries {
		if !e.usable() || !e.suspect() || e.registered || id == l.fleet.self.ID {
			continue
		}
		wait := l.health.stretch(l.options.ConfirmTimeout)
		if !slices.Contains(l.targets, id) {
			wait *= backstop
		}
		state := l.evictions[id]
		if now.Sub(e.suspectSince) < wait || state.inFlight || now.Before(state.retryAt) {
			continue
		}
		l.evictions[id] = evictionState{inFlight: true}
		go l.fleet.evict(l.ctx, e.ref(), l.options.PingTimeout)
	}
}

// evictionState ensures that at most one try to evict a member is in flight.
type evictionState struct {
	inFlight bool
	retryAt  time.Time
}

// evictionResult is the outcome of a try to evict an incarnation.
type evictionResult struct {
	ref     peer.Ref
	expired bool
	newer   *Member
}

// evict records in the store that the lease of an incarnation has expired, if its alive
// key is absent and one more probe fails. The incarnation record is read first and
// swapped last, so a registration in between makes the swap fail.
func (f *Fleet) evict(ctx context.Context, ref peer.Ref, timeout time.Duration) {
	result := evictionResult{ref: ref}
	callCtx, cancel := context.WithTimeout(ctx, evictTimeout)
	defer cancel()
	p := prober{fleet: f, target: ref, timeout: timeout}
	if _, err := p.ping(callCtx); err != nil {
		if err := f.recordEviction(callCtx, &result); err != nil {
			f.options.Log.Debug().Err(err).Str("member", string(ref.ID)).Msg("eviction not recorded; trying again later")
		}
	}
	// An error of post means that the loop has ended.
	_ = f.post(ctx, result)
}

func (f *Fleet) recordEviction(ctx context.Context, result *evictionResult) error {
	handle := f.options.Store
	record, err := handle.Get(ctx, incarnationKey(result.ref.ID))
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	exists := err == nil
	alive, err := handle.Get(ctx, aliveKey(result.ref.ID))
	if err == nil {
		return result.recordAlive(alive)
	}
	if !errors.Is(err, store.ErrNotFound) {
		return err
	}
	data, err := end(result.ref, LeaseExpired)(record.Data, exists)
	if errors.Is(err, errAlreadyLater) {
		result.expired = true
		return nil
	}
	if err != nil {
		return err
	}
	if _, err := handle.Swap(ctx, incarnationKey(result.ref.ID), data, record.Revision, 0); err != nil {
		return err
	}
	f.stats.Evictions.Add(1)
	result.expired = true
	return nil
}

// recordAlive records a later incarnation that is registered. If the key is that of the
// same incarnation, nothing is recorded, since the watch reports the key too: if the watch
// has already reported the key's deletion when this response arrives, the member would
// otherwise count as registered permanently.
func (r *evictionResult) recordAlive(item store.Item) error {
	m, err := decodeMember(item.Data)
	if err != nil {
		return err
	}
	if m.Incarnation > r.ref.Incarnation {
		r.newer = &m
	}
	return nil
}

func (r evictionResult) apply(l *loop) {
	l.evictions[r.ref.ID] = evictionState{retryAt: time.Now().Add(l.options.ConfirmTimeout)}
	if r.newer != nil {
		l.merge(delta{ID: r.newer.ID, Incarnation: r.newer.Incarnation, Info: infoOf(*r.newer)}, true)
	}
	if r.expired {
		l.options.Log.Warn().Str("member", string(r.ref.ID)).Uint64("incarnation", r.ref.Incarnation).Msg("member evicted: lease expired and probes failed")
		l.merge(delta{ID: r.ref.ID, Incarnation: r.ref.Incarnation, Ended: LeaseExpired}, true)
	}
	if e := l.table.entries[r.ref.ID]; e == nil || e.Ended != NotEnded {
		delete(l.evictions, r.ref.ID)
	}
}

// compactRecords deletes old records of ended incarnations. Only the member with the
// lowest id does so, since all members would otherwise send the same deletes to the store.
func (l *loop) compactRecords(now time.Time) {
	members := l.fleet.Members()
	if l.options.Store == nil || len(members) == 0 || members[0].ID != l.fleet.self.ID {
		return
	}
	var old []staleRecord
	for id, stored := range l.records {
		age := now.Sub(time.Unix(stored.record.ChangedAt, 0))
		if stored.record.Ended >= stored.record.Incarnation && age > recordRetention && len(old) < compactBatch {
			old = append(old, staleRecord{key: incarnationKey(id), revision: stored.revision})
		}
	}
	if len(old) > 0 {
		go l.fleet.deleteRecords(l.ctx, old)
	}
}

// staleRecord is the record of an ended incarnation, at the revision that was read.
type staleRecord struct {
	key      string
	revision store.Revision
}

func (f *Fleet) deleteRecords(ctx context.Context, old []staleRecord) {
	for _, record := range old {
		if err := f.options.Store.Delete(ctx, record.key, record.revision); err != nil {
			f.options.Log.Debug().Err(err).Str("key", record.key).Msg("record of an ended incarnation not deleted; trying again later")
			return
		}
	}
}
