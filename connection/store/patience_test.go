package store

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func silent(ctx context.Context) error {
	<-ctx.Done()
	return fmt.Errorf("%w: %w", ErrUnknownOutcome, ctx.Err())
}

func TestCallersThatLeaveSayNothingOfTheStore(t *testing.T) {
	// Symptom: while many callers leave early, each hand-in costs a read more.
	// Sequence: a caller leaves during the write of its hand-in.
	// Cause: the write that was taken back counted as one without an answer.
	synctest.Test(t, func(t *testing.T) {
		p := &Patience{Min: 200 * time.Millisecond, Max: 1500 * time.Millisecond}
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(10*time.Millisecond, cancel)
		require.Error(t, p.Call(ctx, silent))
		require.False(t, p.Suspect())
	})
}

func TestCallWithoutAnswerIsNoted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &Patience{Min: 200 * time.Millisecond, Max: 1500 * time.Millisecond}
		for _, bound := range []time.Duration{200, 400, 800, 1500} {
			start := time.Now()
			require.Error(t, p.Call(t.Context(), silent))
			require.Equal(t, bound*time.Millisecond, time.Since(start))
			require.True(t, p.Suspect())
		}
		// Also when the time of the request that makes the call ends first.
		require.NoError(t, p.Call(t.Context(), func(context.Context) error { return nil }))
		require.False(t, p.Suspect())
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		require.Error(t, p.Call(ctx, silent))
		require.True(t, p.Suspect())
	})
}
