package store

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// unanswered is a call to a store that does not answer.
func unanswered(ctx context.Context) error {
	<-ctx.Done()
	return fmt.Errorf("%w: %w", ErrUnknownOutcome, ctx.Err())
}

func TestCancelledCallIsNotRecorded(t *testing.T) {
	// Guards against an additional read per submission while many callers cancel early,
	// if a write that its caller cancelled counted as one without an answer.
	synctest.Test(t, func(t *testing.T) {
		p := &AdaptiveTimeout{Min: 200 * time.Millisecond, Max: 1500 * time.Millisecond}
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(10*time.Millisecond, cancel)
		require.Error(t, p.Call(ctx, unanswered))
		require.False(t, p.Failing())
	})
}

func TestCallWithoutAnswerIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &AdaptiveTimeout{Min: 200 * time.Millisecond, Max: 1500 * time.Millisecond}
		for _, bound := range []time.Duration{200, 400, 800, 1500} {
			start := time.Now()
			require.Error(t, p.Call(t.Context(), unanswered))
			require.Equal(t, bound*time.Millisecond, time.Since(start))
			require.True(t, p.Failing())
		}
		// Also if the deadline of the request that makes the call is earlier.
		require.NoError(t, p.Call(t.Context(), func(context.Context) error { return nil }))
		require.False(t, p.Failing())
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		require.Error(t, p.Call(ctx, unanswered))
		require.True(t, p.Failing())
	})
}
