package fleet

import (
	"context"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/store"
)

// storeChanged is a report of the store's watch.
type storeChanged struct {
	items   []store.Item
	deleted []string
	reset   bool
}

// storedRecord is an incarnation record as last read, for compaction.
type storedRecord struct {
	record   incarnationRecord
	revision store.Revision
}

// follow passes the members in the store, and their changes, to the loop.
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
		clear(l.records)
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

// storeItem merges one record. It is not gossiped: daemons that reach the store read it
// there, and the others detect the difference by the digest.
func (l *loop) storeItem(item store.Item) {
	id, alive, ok := splitKey(item.Key)
	if !ok {
		return
	}
	if alive {
		l.storeAlive(id, item)
		return
	}
	record, err := decodeIncarnation(item.Data)
	if err != nil {
		l.options.Log.Error().Err(err).Str("key", item.Key).Msg("incarnation record cannot be decoded and is ignored")
		return
	}
	l.records[id] = storedRecord{record: record, revision: item.Revision}
	if record.Ended > 0 {
		l.merge(delta{ID: id, Incarnation: record.Ended, Ended: record.Cause}, false)
	}
}

func (l *loop) storeAlive(id peer.MemberID, item store.Item) {
	m, err := decodeMember(item.Data)
	if err != nil || m.ID != id {
		l.options.Log.Error().Err(err).Str("key", item.Key).Msg("member record cannot be decoded and is ignored")
		return
	}
	l.merge(delta{ID: id, Incarnation: m.Incarnation, Info: infoOf(m)}, false)
	if e := l.table.entries[id]; e != nil && e.Incarnation == m.Incarnation {
		e.registered = true
	}
}

// storeDeleted records that an alive key was deleted with its lease. By itself that does
// not change the view: a member that answers its peers may be cut off from the store.
func (l *loop) storeDeleted(key string) {
	id, alive, ok := splitKey(key)
	if !ok {
		return
	}
	if !alive {
		delete(l.records, id)
		return
	}
	if e := l.table.entries[id]; e != nil {
		e.registered = false
	}
}
