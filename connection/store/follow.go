package store

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"fennelshunt.example/fennelshunt/internal/sleep"
)

const (
	firstFollowRetry = 100 * time.Millisecond
	lastFollowRetry  = 2 * time.Second
)

// follower keeps the position of one Follow.
type follower struct {
	handle *Handle
	prefix string
	notify func(items []Item, deleted []string, reset bool)
	pause  *backoff.ExponentialBackOff
	rev    Revision
	listed bool
	begun  time.Time // start of the last watch call
}

// Follow lists prefix and then watches it until ctx ends, whose error it
// returns. It calls f from one goroutine: with reset set, items is the whole
// content; otherwise items and deleted are the changes since the last call, one
// per key, in the order of the keys' last changes. f is not called during an
// outage, so that the last content stays in use. After an outage Follow resumes
// the watch, or lists again if the watch revision has been compacted.
func (h *Handle) Follow(ctx context.Context, prefix string, f func(items []Item, deleted []string, reset bool)) error {
	pause := sleep.NewBackoff(firstFollowRetry, lastFollowRetry)
	fo := &follower{handle: h, prefix: prefix, notify: f, pause: pause}
	for ctx.Err() == nil {
		if err := fo.step(ctx); err != nil {
			_ = sleep.For(ctx, fo.pause.NextBackOff())
			continue
		}
		fo.pause.Reset()
	}
	return ctx.Err()
}

// step makes one list or one watch.
func (f *follower) step(ctx context.Context) error {
	if !f.listed {
		return f.list(ctx)
	}
	err := f.watch(ctx)
	if errors.Is(err, ErrCompacted) {
		f.listed = false
		return nil
	}
	return err
}

func (f *follower) list(ctx context.Context) error {
	items, rev, err := f.handle.List(ctx, f.prefix)
	if err != nil {
		return err
	}
	f.rev, f.listed = rev, true
	f.notify(items, nil, true)
	return nil
}

func (f *follower) watch(ctx context.Context) error {
	o := f.handle.client.options
	if err := sleep.For(ctx, time.Until(f.begun.Add(o.WatchFloor))); err != nil {
		return err
	}
	f.begun = time.Now()
	wait := o.WatchWait
	if !f.handle.client.Available() {
		// This call may be the breaker's probe, which must be answered at once.
		wait = 0
	}
	var events []Event
	var rev Revision
	err := f.handle.client.call(ctx, f.handle, readCall, wait+o.CallTimeout, func(ctx context.Context) error {
		var err error
		events, rev, err = f.handle.client.store.Watch(ctx, f.prefix, f.rev, wait)
		return err
	})
	if err != nil {
		return err
	}
	f.rev = max(f.rev, rev)
	f.handle.client.seen.raise(f.rev)
	f.deliver(events)
	return nil
}

// deliver passes on the last event of each key.
func (f *follower) deliver(events []Event) {
	if len(events) == 0 {
		return
	}
	last := make(map[string]int, len(events))
	for i, e := range events {
		last[e.Key] = i
	}
	var items []Item
	var deleted []string
	for i, e := range events {
		if last[e.Key] != i {
			continue
		}
		if e.Deleted {
			deleted = append(deleted, e.Key)
		} else if item, ok := f.handle.open(e.Entry); ok {
			items = append(items, item)
		}
	}
	if len(items)+len(deleted) > 0 {
		f.notify(items, deleted, false)
	}
}
