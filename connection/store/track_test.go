package store

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

func TestTrackerReadsThenWatchesAndReadsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var calls []string
		watches := []struct {
			next Revision
			err  error
		}{{7, nil}, {7, errors.New("cut")}, {0, errors.New("to be read again")}, {9, nil}, {9, ErrCompacted}}
		ctx, cancel := context.WithCancel(t.Context())
		reads := 0
		k := &Tracker{What: "test", Log: zerolog.Nop(), ReadLimit: 2 * time.Second, Wait: time.Second, Grace: time.Second, ErrorPause: time.Second,
			Read: func(ctx context.Context) (Revision, error) {
				calls = append(calls, "read")
				if reads++; reads == 1 {
					<-ctx.Done() // a silent connection is given up
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
		require.Equal(t, 5*time.Second, time.Since(start), "one silent read and a pause after each of three errors")
	})
}
