package store

import (
	"context"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"

	"fennelshunt.example/fennelshunt/internal/sleep"
)

// Item is one key with its data, without the envelope that holds the write id.
type Item struct {
	Key      string
	Data     []byte
	Revision Revision
}

// Handle makes calls in one role.
type Handle struct {
	client *Client
	role   Role
	// ignoreBreaker handles also make calls during a known outage.
	ignoreBreaker bool
}

const (
	// quickAttempts is the number of attempts of a call whose failed attempts
	// certainly had no effect.
	quickAttempts = 3
	firstRetry    = 20 * time.Millisecond
	lastRetry     = time.Second
)

func newRetryBackoff() *backoff.ExponentialBackOff {
	return sleep.NewBackoff(firstRetry, lastRetry)
}

// IgnoreBreaker returns a handle of the same role whose calls are also made during a
// known outage. It is for the few calls that an operator waits for: the store may
// have recovered seconds before the breaker's next probe.
func (h *Handle) IgnoreBreaker() *Handle {
	return &Handle{client: h.client, role: h.role, ignoreBreaker: true}
}

// Get returns the item of key. It fails with ErrNotFound, ErrUnavailable,
// ErrOverBudget or ErrNotEnveloped.
func (h *Handle) Get(ctx context.Context, key string) (Item, error) {
	item, _, err := h.get(ctx, key)
	return item, err
}

func (h *Handle) get(ctx context.Context, key string) (Item, writeID, error) {
	var entry Entry
	err := h.retry(ctx, func(ctx context.Context) error {
		var err error
		entry, err = h.client.store.Get(ctx, key)
		return err
	})
	if err != nil {
		return Item{}, writeID{}, fmt.Errorf("get %s: %w", key, err)
	}
	h.client.seen.raise(entry.Revision)
	return itemOf(entry)
}

// List returns the items under prefix in key order with the revision at which
// they were read. Values that are not enveloped are left out, counted and
// logged.
func (h *Handle) List(ctx context.Context, prefix string) ([]Item, Revision, error) {
	var entries []Entry
	var rev Revision
	err := h.retry(ctx, func(ctx context.Context) error {
		var err error
		entries, rev, err = h.client.store.List(ctx, prefix)
		return err
	})
	if err != nil {
		return nil, 0, fmt.Errorf("list %s: %w", prefix, err)
	}
	h.client.seen.raise(rev)
	items := make([]Item, 0, len(entries))
	for _, e := range entries {
		if item, ok := h.open(e); ok {
			items = append(items, item)
		}
	}
	return items, rev, nil
}

// open returns the item of an entry. A value that cannot be decoded is skipped, so
// that it does not hide the others.
func (h *Handle) open(e Entry) (Item, bool) {
	item, _, err := itemOf(e)
	if err != nil {
		h.client.metrics.of(h.role).undecodable.Add(1)
		h.client.options.Log.Warn().Err(err).Str("key", e.Key).Msg("store value without envelope skipped")
		return Item{}, false
	}
	return item, true
}

// retry makes a read, up to quickAttempts times if it fails without an answer.
func (h *Handle) retry(ctx context.Context, f func(context.Context) error) error {
	pause := newRetryBackoff()
	for attempt := 1; ; attempt++ {
		err := h.client.call(ctx, h, readCall, h.client.options.CallTimeout, f)
		if !transient(err) || attempt == quickAttempts || !h.client.Available() {
			return err
		}
		if sleep.For(ctx, pause.NextBackOff()) != nil {
			return err
		}
	}
}

// GrantLease opens a lease that expires ttl after its last renewal. A lease
// whose grant response was lost expires by itself.
func (h *Handle) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var id LeaseID
	err := h.write(ctx, func(ctx context.Context) error {
		var err error
		id, err = h.client.store.GrantLease(ctx, ttl)
		return err
	})
	if err != nil {
		return 0, fmt.Errorf("grant lease: %w", err)
	}
	return id, nil
}

// RenewLease restarts the lease's time to live. Callers must count the validity
// from before the call. It fails with ErrLeaseLost, ErrUnavailable,
// ErrOverBudget or ErrUnknownOutcome.
func (h *Handle) RenewLease(ctx context.Context, id LeaseID) error {
	err := h.write(ctx, func(ctx context.Context) error { return h.client.store.RenewLease(ctx, id) })
	if err != nil {
		return fmt.Errorf("renew lease %d: %w", id, err)
	}
	return nil
}

// RevokeLease ends the lease and removes every key bound to it.
func (h *Handle) RevokeLease(ctx context.Context, id LeaseID) error {
	err := h.write(ctx, func(ctx context.Context) error { return h.client.store.RevokeLease(ctx, id) })
	if err != nil {
		return fmt.Errorf("revoke lease %d: %w", id, err)
	}
	return nil
}

// write makes one call against the write budget.
func (h *Handle) write(ctx context.Context, f func(context.Context) error) error {
	return h.client.call(ctx, h, writeCall, h.client.options.CallTimeout, f)
}
