package store

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/internal/sleep"
)

func TestTrackerReadsThenWatchesAndReadsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var calls []string
		watches := []struct {
			next Revision
			err  error
		}{{7, nil}, {7, errors.New("cut")}, {0, errors.New("must be read again")}, {9, nil}, {9, ErrCompacted}}
		ctx, cancel := context.WithCancel(t.Context())
		reads := 0
		k := &Tracker{Name: "test", Log: zerolog.Nop(), ReadLimit: 2 * time.Second, Wait: time.Second, Grace: time.Second, ErrorPause: time.Second,
			Read: func(ctx context.Context) (Revision, error) {
				calls = append(calls, "read")
				if reads++; reads == 1 {
					<-ctx.Done() // the connection is dead; the read times out
					return 0, ctx.Err()
				}
				return 5, nil
			},
			Watch: func(_ context.Context, after Revision, _ time.Duration) (Revision, error) {
				calls = append(calls, "watch "+string('0'+rune(after)))
				if len(watches) == 0 {
					cancel()
					return after, nil
				}
				w := watches[0]
				watches = watches[1:]
				return w.next, w.err
			}}
		start := time.Now()
		k.Run(ctx)
		require.Equal(t, []string{"read", "read", "watch 5", "watch 7", "watch 7", "read", "watch 5", "watch 9", "read", "watch 5"}, calls)
		require.Equal(t, 5*time.Second, time.Since(start), "one read that timed out and a pause after each of three errors")
	})
}

// TestWatchLostInAnOutageIsSentAgain guards against trackers that keep waiting for
// a watch that was lost in an outage although the store answers again, and against
// sending a watch again for each lost response.
func TestWatchLostInAnOutageIsSentAgain(t *testing.T) {
	for _, x := range []struct {
		what   string
		outage time.Duration
		again  bool
	}{{"one call without an answer", 150 * time.Millisecond, false}, {"an outage", 1500 * time.Millisecond, true}} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			p := &AdaptiveTimeout{Min: 200 * time.Millisecond, Max: 1500 * time.Millisecond}
			var down atomic.Bool
			watched := make(chan Revision, 8) // start revisions of watches
			k := &Tracker{Name: "test", Log: zerolog.Nop(), ReadLimit: time.Second, Wait: 5 * time.Second, Grace: time.Second, ErrorPause: 100 * time.Millisecond, Timeout: p,
				Read: func(context.Context) (Revision, error) { return 5, nil },
				Watch: func(ctx context.Context, after Revision, _ time.Duration) (Revision, error) {
					watched <- after
					<-ctx.Done()
					return 0, ctx.Err()
				}}
			var running sync.WaitGroup
			running.Go(func() { k.Run(ctx) })
			running.Go(func() {
				for sleep.For(ctx, 100*time.Millisecond) == nil {
					_ = p.Call(ctx, func(ctx context.Context) error { // p records the result
						if down.Load() {
							return unanswered(ctx)
						}
						return nil
					})
				}
			})
			require.Equal(t, Revision(5), <-watched)
			time.Sleep(time.Second)
			down.Store(true)
			time.Sleep(x.outage)
			down.Store(false)
			time.Sleep(time.Second)
			require.Equal(t, x.again, len(watched) == 1, x.what)
			if x.again {
				require.Equal(t, Revision(5), <-watched, "from the same revision")
			}
			cancel()
			running.Wait()
		})
	}
}
