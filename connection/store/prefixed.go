package store

import (
	"context"
	"errors"
	"strings"
	"time"
)

// Prefixed is a view of a store that adds a prefix to every key and removes it from
// every result, so that several users of the same key names share one store.
type Prefixed struct {
	Transactor
	Prefix string
}

// outside marks a key to which no prefix is added; no key of the store contains this
// byte.
const outside = "\x00"

// Unprefixed marks key so that a Prefixed uses it as it is, without adding its prefix. A
// Prefixed also returns keys that do not have its prefix in this form.
func Unprefixed(key string) string { return outside + key }

func (p Prefixed) in(key string) string {
	if raw, ok := strings.CutPrefix(key, outside); ok {
		return raw
	}
	return p.Prefix + key
}

func (p Prefixed) out(key string) string {
	if own, ok := strings.CutPrefix(key, p.Prefix); ok {
		return own
	}
	return Unprefixed(key)
}

func (p Prefixed) entry(e Entry) Entry {
	e.Key = p.out(e.Key)
	return e
}

func (p Prefixed) entries(all []Entry) []Entry {
	for i := range all {
		all[i] = p.entry(all[i])
	}
	return all
}

// Get implements Store.
func (p Prefixed) Get(ctx context.Context, key string) (Entry, error) {
	e, err := p.Transactor.Get(ctx, p.in(key))
	return p.entry(e), err
}

// List implements Store.
func (p Prefixed) List(ctx context.Context, prefix string) ([]Entry, Revision, error) {
	all, rev, err := p.Transactor.List(ctx, p.in(prefix))
	return p.entries(all), rev, err
}

// ListStale implements Transactor.
func (p Prefixed) ListStale(ctx context.Context, prefix string) ([]Entry, Revision, error) {
	all, rev, err := p.Transactor.ListStale(ctx, p.in(prefix))
	return p.entries(all), rev, err
}

// Watch implements Store.
func (p Prefixed) Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Event, Revision, error) {
	events, rev, err := p.Transactor.Watch(ctx, p.in(prefix), after, wait)
	for i := range events {
		events[i].Entry = p.entry(events[i].Entry)
	}
	return events, rev, err
}

// Put implements Store.
func (p Prefixed) Put(ctx context.Context, key string, value []byte, prev Revision, lease LeaseID) (Revision, error) {
	return p.Commit(ctx, Txn{Checks: []Check{{Key: key, Revision: prev}}, Writes: []Write{{Key: key, Value: value, Lease: lease}}})
}

// Delete implements Store.
func (p Prefixed) Delete(ctx context.Context, key string, prev Revision) error {
	_, err := p.Commit(ctx, Txn{Checks: []Check{{Key: key, Revision: prev}}, Deletes: []string{key}})
	return err
}

// Commit implements Transactor.
func (p Prefixed) Commit(ctx context.Context, t Txn) (Revision, error) {
	x := Txn{Checks: make([]Check, len(t.Checks)), Writes: make([]Write, len(t.Writes)), Deletes: make([]string, len(t.Deletes))}
	for i, c := range t.Checks {
		x.Checks[i] = Check{Key: p.in(c.Key), Revision: c.Revision}
	}
	for i, w := range t.Writes {
		w.Key = p.in(w.Key)
		x.Writes[i] = w
	}
	for i, key := range t.Deletes {
		x.Deletes[i] = p.in(key)
	}
	rev, err := p.Transactor.Commit(ctx, x)
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		return rev, &ConflictError{Current: p.entries(conflict.Current)}
	}
	return rev, err
}
