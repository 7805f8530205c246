package store

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestReadIsCancelledOnlyIfPresumedLost(t *testing.T) {
	answered := func(context.Context) error { return nil }
	for _, x := range []struct {
		what  string
		begun time.Duration // when its response starts; 0: never
		later time.Duration // when another call is sent and answered
		lost  bool
	}{
		{"overtaken", 0, time.Second, true},
		{"sent at nearly the same time", 0, 150 * time.Millisecond, false},
		{"a large response that has started", 500 * time.Millisecond, time.Second, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			p := &AdaptiveTimeout{Min: 200 * time.Millisecond, Max: 1500 * time.Millisecond}
			go func() {
				time.Sleep(x.later)
				_ = p.Call(t.Context(), answered) // succeeds
			}()
			start := time.Now()
			err := p.Read(t.Context(), func(ctx context.Context) error {
				if x.begun > 0 {
					time.AfterFunc(x.begun, func() { MarkAnswering(ctx) })
				}
				select {
				case <-ctx.Done():
					return ctx.Err()
				case <-time.After(5 * time.Second):
					return nil
				}
			})
			if !x.lost {
				require.NoError(t, err, x.what)
				return
			}
			require.ErrorIs(t, err, ErrPresumedLost, x.what)
			require.Equal(t, x.later, time.Since(start), x.what)
			require.Empty(t, p.open)
		})
	}
}

func TestSecondPageOfAReadCanBePresumedLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &AdaptiveTimeout{Min: 200 * time.Millisecond, Max: 1500 * time.Millisecond}
		time.AfterFunc(3*time.Second, func() { _ = p.Call(t.Context(), func(context.Context) error { return nil }) }) // succeeds
		err := p.Read(t.Context(), func(ctx context.Context) error {
			MarkAnswering(ctx) // the first page
			time.Sleep(time.Second)
			MarkSent(ctx)
			<-ctx.Done()
			return ctx.Err()
		})
		require.ErrorIs(t, err, ErrPresumedLost)
	})
}
