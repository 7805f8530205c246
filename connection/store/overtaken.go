package store

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"
)

// ErrOvertaken: a call is taken for lost, since the store has answered one that was sent
// well after it.
var ErrOvertaken = errors.New("store: no answer, while a later call was answered")

// exchange is a call that is under way.
type exchange struct {
	sent   atomic.Int64 // unix nanoseconds; 0 once its answer has begun
	giveUp context.CancelCauseFunc
}

type exchangeKey struct{}

// Sent is to be told by adapters when they send a call, with the call's context. A reading
// of several pages sends several.
func Sent(ctx context.Context) {
	if x, ok := ctx.Value(exchangeKey{}).(*exchange); ok {
		x.sent.Store(time.Now().UnixNano())
	}
}

// Begun is to be told by adapters when the first byte of the answer is there.
func Begun(ctx context.Context) {
	if x, ok := ctx.Value(exchangeKey{}).(*exchange); ok {
		x.sent.Store(0)
	}
}

// Read makes a reading that may take long once its answer has begun, and gives it up with
// ErrOvertaken when it was lost: no answer has begun, and the store has answered a call
// that was sent well after it.
//
// Failure prevented: a reading that is sent while the store is silent is never answered. A
// bound that leaves time for a large answer over a small link then keeps a daemon for seconds
// to what it knew before, while its other calls are answered again.
func (p *Patience) Read(ctx context.Context, f func(ctx context.Context) error) error {
	ctx, giveUp := context.WithCancelCause(ctx)
	defer giveUp(nil)
	x := &exchange{giveUp: giveUp}
	ctx = context.WithValue(ctx, exchangeKey{}, x)
	Sent(ctx)
	p.mu.Lock()
	if p.reads == nil {
		p.reads = map[*exchange]struct{}{}
	}
	p.reads[x] = struct{}{}
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.reads, x)
	}()
	err := f(ctx)
	if err != nil && errors.Is(context.Cause(ctx), ErrOvertaken) {
		return fmt.Errorf("%w: %w", ErrOvertaken, err)
	}
	return err
}

// overtake gives up the readings that an answered call has overtaken, which was sent at a
// time. The lead asked of it is what a lost call is given elsewhere: a listing may take
// the store several times as long as another call.
func (p *Patience) overtake(sent time.Time) {
	lead := max(p.average*patienceFactor, p.Min)
	for x := range p.reads {
		if at := x.sent.Load(); at != 0 && sent.Sub(time.Unix(0, at)) > lead {
			x.giveUp(ErrOvertaken)
		}
	}
}
