package store

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestReadTimeoutGrowsUntilTheReadSucceeds(t *testing.T) {
	// Guards against a list that never succeeds: it takes 19 s over a slow link, the
	// timeout of the first attempt is 3 s, and each attempt would start over with the
	// same timeout.
	synctest.Test(t, func(t *testing.T) {
		b := ReadTimeout{First: 3 * time.Second}
		read := func(takes time.Duration) error {
			return b.Try(t.Context(), func(ctx context.Context) error {
				select {
				case <-ctx.Done():
					return ctx.Err()
				case <-time.After(takes):
					return nil
				}
			})
		}
		began := time.Now()
		for range 3 {
			require.ErrorIs(t, read(19*time.Second), context.DeadlineExceeded)
		}
		require.Equal(t, 21*time.Second, time.Since(began), "3, 6 and 12 s")
		require.NoError(t, read(19*time.Second))
		began = time.Now()
		require.Error(t, read(time.Minute), "a successful read resets the timeout")
		require.Equal(t, 3*time.Second, time.Since(began))
	})
}

func TestReadTimeoutStaysWhereTheStoreRefuses(t *testing.T) {
	b := ReadTimeout{First: time.Second}
	refused := errors.New("refused")
	for range 5 {
		require.ErrorIs(t, b.Try(t.Context(), func(context.Context) error { return refused }), refused)
	}
	require.Zero(t, b.doublings, "a refusal says nothing about the duration of the read")
}
