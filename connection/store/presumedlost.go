package store

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"
)

// ErrPresumedLost means that a call is presumed lost, since the store has answered one that
// was sent well after it.
var ErrPresumedLost = errors.New("store: no answer, while a later call was answered")

// pendingCall is a call in flight.
type pendingCall struct {
	sent     atomic.Pointer[time.Time] // nil once the response has started
	longPoll bool                      // the store answers when there are changes
	cancel   context.CancelCauseFunc
}

type pendingCallKey struct{}

// MarkSent is called by adapters when they send a request, with the call's context. A read
// of several pages sends several requests.
func MarkSent(ctx context.Context) {
	if c, ok := ctx.Value(pendingCallKey{}).(*pendingCall); ok {
		now := time.Now()
		c.sent.Store(&now)
	}
}

// MarkAnswering is called by adapters when the first byte of a response has arrived.
func MarkAnswering(ctx context.Context) {
	if c, ok := ctx.Value(pendingCallKey{}).(*pendingCall); ok {
		c.sent.Store(nil)
	}
}

// minOutage is the minimum time without an answered call after which the next answer counts
// as the end of an outage. A daemon renews its lease several times within it.
const minOutage = time.Second

// Read makes a read that may take long once its response has started. It cancels the read
// with ErrPresumedLost if it is presumed lost: no response has started, and the store has
// answered a call that was sent well after it.
//
// A read that is sent while the store is unresponsive is never answered. Its timeout allows
// for a large response over a slow link, so without Read the daemon would work with old data
// for seconds while its other calls are answered again.
func (a *AdaptiveTimeout) Read(ctx context.Context, f func(ctx context.Context) error) error {
	return a.guard(ctx, false, f)
}

// Watch makes a long poll and cancels it with ErrPresumedLost if an outage has ended since it
// was sent: the request or its response may have been lost in the outage.
func (a *AdaptiveTimeout) Watch(ctx context.Context, f func(ctx context.Context) error) error {
	return a.guard(ctx, true, f)
}

func (a *AdaptiveTimeout) guard(ctx context.Context, longPoll bool, f func(ctx context.Context) error) error {
	if a == nil {
		return f(ctx)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c := &pendingCall{longPoll: longPoll, cancel: cancel}
	ctx = context.WithValue(ctx, pendingCallKey{}, c)
	MarkSent(ctx)
	a.mu.Lock()
	if a.open == nil {
		a.open = map[*pendingCall]struct{}{}
	}
	a.open[c] = struct{}{}
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.open, c)
	}()
	err := f(ctx)
	if err != nil && errors.Is(context.Cause(ctx), ErrPresumedLost) {
		return fmt.Errorf("%w: %w", ErrPresumedLost, err)
	}
	return err
}

// overtake cancels the calls in flight that are presumed lost, given an answered call that
// was sent at the given time; outage says that it is the first answered call for minOutage.
// A read is presumed lost only if it was sent earlier by more than the usual timeout, since
// a list may take the store several times as long as another call.
func (a *AdaptiveTimeout) overtake(sent time.Time, outage bool) {
	minLead := max(a.average*timeoutFactor, a.Min)
	for c := range a.open {
		at := c.sent.Load()
		if at == nil {
			continue
		}
		lead := sent.Sub(*at)
		if (!c.longPoll && lead > minLead) || (c.longPoll && outage && lead > 0) {
			c.cancel(ErrPresumedLost)
		}
	}
}
