package fleet

import (
	"context"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/store"
)

// storeChanged is what the store's watch reported.
type storeChanged struct {
	items   []store.Item
	deleted []string
	reset   bool
}

// lifeSight is a life record as last read, for compaction.
type lifeSight struct {
	record   lifeRecord
	revision store.Revision
}

// follow feeds the loop with the members that the store lists.
func (f *Fleet) follow(ctx context.Context) error {
	return f.options.Store.Follow(ctx, keyPrefix, func(items []store.Item, deleted []string, reset bool) {
		// An error of post means that the loop has ended.
		_ = f.post(ctx, storeChanged{items: items, deleted: deleted, reset: reset})
	})
}

func (s storeChanged) apply(l *loop) {
	if s.reset {
		for _, e := range l.table.entries {
			e.registered = false
		}
		clear(l.lives)
	}
	for _, item := range s.items {
		l.storeItem(item)
	}
	for _, key := range s.deleted {
		l.storeDeleted(key)
	}
	if s.reset {
		l.fleet.markJoined()
	}
}

// storeItem merges one record. The news is not passed on: everyone who can
// read the store reads it there, the others find out by the digest.
func (l *loop) storeItem(item store.Item) {
	id, alive, ok := splitKey(item.Key)
	if !ok {
		return
	}
	if alive {
		l.storeAlive(id, item)
		return
	}
	record, err := decodeLife(item.Data)
	if err != nil {
		l.options.Log.Error().Err(err).Str("key", item.Key).Msg("life record not readable")
		return
	}
	l.lives[id] = lifeSight{record: record, revision: item.Revision}
	if record.Ended > 0 {
		l.merge(delta{ID: id, Incarnation: record.Ended, Ended: record.Cause}, false)
	}
}

func (l *loop) storeAlive(id peer.MemberID, item store.Item) {
	m, err := decodeMember(item.Data)
	if err != nil || m.ID != id {
		l.options.Log.Error().Err(err).Str("key", item.Key).Msg("member record not readable")
		return
	}
	l.merge(delta{ID: id, Incarnation: m.Incarnation, Info: infoOf(m)}, false)
	if e := l.table.entries[id]; e != nil && e.Incarnation == m.Incarnation {
		e.registered = true
	}
}

// storeDeleted notes that an alive key went with its lease. By itself that
// changes nothing in the view: the store may have been cut off from a member
// that answers its peers.
func (l *loop) storeDeleted(key string) {
	id, alive, ok := splitKey(key)
	if !ok {
		return
	}
	if !alive {
		delete(l.lives, id)
		return
	}
	if e := l.table.entries[id]; e != nil {
		e.registered = false
	}
}
