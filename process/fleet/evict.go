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
	// backstop stretches the confirm timeout for daemons that do not probe the
	// member themselves, in case all who do have failed with it.
	backstop = 3
	// lifeRecordsKept is how long the store keeps the record of an ended life,
	// and compactBatch how many are deleted in one turn.
	lifeRecordsKept = 24 * time.Hour
	compactBatch    = 32
)

// considerEvictions asks the store about members that stay suspected, have
// refuted nothing and are not registered.
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
		l.evictions[id] = eviction{inFlight: true}
		go l.fleet.evict(l.ctx, e.ref(), l.options.PingTimeout)
	}
}

// eviction keeps one question about a member at a time.
type eviction struct {
	inFlight bool
	retryAt  time.Time
}

// evicted is the outcome of the question whether a life has lapsed.
type evicted struct {
	ref    peer.Ref
	lapsed bool
	newer  *Member
}

// evict records in the store that the life has lapsed, if its alive key is
// absent there and one more probe fails. The life record is read first and
// swapped last: a registration in between makes the swap fail.
func (f *Fleet) evict(ctx context.Context, ref peer.Ref, timeout time.Duration) {
	result := evicted{ref: ref}
	callCtx, cancel := context.WithTimeout(ctx, evictTimeout)
	defer cancel()
	p := prober{fleet: f, target: ref, timeout: timeout}
	if _, err := p.ping(callCtx); err != nil {
		if err := f.recordLapse(callCtx, &result); err != nil {
			f.options.Log.Debug().Err(err).Str("member", string(ref.ID)).Msg("lapse not recorded")
		}
	}
	// An error of post means that the loop has ended.
	_ = f.post(ctx, result)
}

func (f *Fleet) recordLapse(ctx context.Context, result *evicted) error {
	handle := f.options.Store
	life, err := handle.Get(ctx, lifeKey(result.ref.ID))
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	exists := err == nil
	alive, err := handle.Get(ctx, aliveKey(result.ref.ID))
	if err == nil {
		return result.sawAlive(alive)
	}
	if !errors.Is(err, store.ErrNotFound) {
		return err
	}
	data, err := end(result.ref, Lapsed)(life.Data, exists)
	if errors.Is(err, errAlreadyLater) {
		result.lapsed = true
		return nil
	}
	if err != nil {
		return err
	}
	if _, err := handle.Swap(ctx, lifeKey(result.ref.ID), data, life.Revision, 0); err != nil {
		return err
	}
	f.stats.Evictions.Add(1)
	result.lapsed = true
	return nil
}

// sawAlive notes a later life that is registered. That this one is registered
// after all is left to the watch to say: its news of a deletion may have
// overtaken this answer, and the member would count as registered for ever.
func (r *evicted) sawAlive(item store.Item) error {
	m, err := decodeMember(item.Data)
	if err != nil {
		return err
	}
	if m.Incarnation > r.ref.Incarnation {
		r.newer = &m
	}
	return nil
}

func (r evicted) apply(l *loop) {
	l.evictions[r.ref.ID] = eviction{retryAt: time.Now().Add(l.options.ConfirmTimeout)}
	if r.newer != nil {
		l.merge(delta{ID: r.newer.ID, Incarnation: r.newer.Incarnation, Info: infoOf(*r.newer)}, true)
	}
	if r.lapsed {
		l.options.Log.Warn().Str("member", string(r.ref.ID)).Uint64("incarnation", r.ref.Incarnation).Msg("member gone, its lease lapsed")
		l.merge(delta{ID: r.ref.ID, Incarnation: r.ref.Incarnation, Ended: Lapsed}, true)
	}
	if e := l.table.entries[r.ref.ID]; e == nil || e.Ended != NotEnded {
		delete(l.evictions, r.ref.ID)
	}
}

// compactLives deletes old records of ended lives. The member with the lowest
// id does it, so that the fleet does it once.
func (l *loop) compactLives(now time.Time) {
	members := l.fleet.Members()
	if l.options.Store == nil || len(members) == 0 || members[0].ID != l.fleet.self.ID {
		return
	}
	var old []staleLife
	for id, sight := range l.lives {
		age := now.Sub(time.Unix(sight.record.ChangedAt, 0))
		if sight.record.Ended >= sight.record.Incarnation && age > lifeRecordsKept && len(old) < compactBatch {
			old = append(old, staleLife{key: lifeKey(id), revision: sight.revision})
		}
	}
	if len(old) > 0 {
		go l.fleet.deleteLives(l.ctx, old)
	}
}

// staleLife is the record of an ended life, at the revision that was read.
type staleLife struct {
	key      string
	revision store.Revision
}

func (f *Fleet) deleteLives(ctx context.Context, old []staleLife) {
	for _, life := range old {
		if err := f.options.Store.Delete(ctx, life.key, life.revision); err != nil {
			f.options.Log.Debug().Err(err).Str("key", life.key).Msg("life record not deleted")
			return
		}
	}
}
