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
	sent   atomic.Pointer[time.Time] // nil once its answer has begun
	waits  bool                      // the store answers when there is news
	giveUp context.CancelCauseFunc
}

type exchangeKey struct{}

// Sent is to be told by adapters when they send a call, with the call's context. A reading
// of several pages sends several.
func Sent(ctx context.Context) {
	if x, ok := ctx.Value(exchangeKey{}).(*exchange); ok {
		now := time.Now()
		x.sent.Store(&now)
	}
}

// Begun is to be told by adapters when the first byte of the answer is there.
func Begun(ctx context.Context) {
	if x, ok := ctx.Value(exchangeKey{}).(*exchange); ok {
		x.sent.Store(nil)
	}
}

// outageMin is for how long no call must have been answered before the next answer ends an
// outage: a daemon renews its lease several times in it.
const outageMin = time.Second

// Read makes a reading that may take long once its answer has begun, and gives it up with
// ErrOvertaken when it was lost: no answer has begun, and the store has answered a call
// that was sent well after it.
//
// Failure prevented: a reading that is sent while the store is silent is never answered. A
// bound that leaves time for a large answer over a small link then keeps a daemon for seconds
// to what it knew before, while its other calls are answered again.
func (p *Patience) Read(ctx context.Context, f func(ctx context.Context) error) error {
	return p.guard(ctx, false, f)
}

// Watch makes a call that the store may answer late, and gives it up with ErrOvertaken when
// an outage has ended since it was sent: what it waits for may have been lost in it.
func (p *Patience) Watch(ctx context.Context, f func(ctx context.Context) error) error {
	return p.guard(ctx, true, f)
}

func (p *Patience) guard(ctx context.Context, waits bool, f func(ctx context.Context) error) error {
	if p == nil {
		return f(ctx)
	}
	ctx, giveUp := context.WithCancelCause(ctx)
	defer giveUp(nil)
	x := &exchange{waits: waits, giveUp: giveUp}
	ctx = context.WithValue(ctx, exchangeKey{}, x)
	Sent(ctx)
	p.mu.Lock()
	if p.open == nil {
		p.open = map[*exchange]struct{}{}
	}
	p.open[x] = struct{}{}
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.open, x)
	}()
	err := f(ctx)
	if err != nil && errors.Is(context.Cause(ctx), ErrOvertaken) {
		return fmt.Errorf("%w: %w", ErrOvertaken, err)
	}
	return err
}

// overtake gives up what a call that was sent at a time, and has been answered, shows to be
// lost; outage tells that it is the first to be answered for outageMin. The lead asked of it
// before a reading is lost is what a lost call is given elsewhere: a listing may take the
// store several times as long as another call.
func (p *Patience) overtake(sent time.Time, outage bool) {
	lead := max(p.average*patienceFactor, p.Min)
	for x := range p.open {
		at := x.sent.Load()
		if at == nil {
			continue
		}
		ahead := sent.Sub(*at)
		if (!x.waits && ahead > lead) || (x.waits && outage && ahead > 0) {
			x.giveUp(ErrOvertaken)
		}
	}
}
