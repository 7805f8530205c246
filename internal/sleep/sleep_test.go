package sleep

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestFor(t *testing.T) {
	tests := []struct {
		name  string
		ends  time.Duration // of the context
		sleep time.Duration
		err   error
		took  time.Duration
	}{
		{"to the end", time.Hour, time.Minute, nil, time.Minute},
		{"cut short", time.Second, time.Minute, context.DeadlineExceeded, time.Second},
		{"no wait", time.Second, 0, nil, 0},
		{"in the past", time.Second, -time.Second, nil, 0},
		{"ended context", 0, time.Minute, context.DeadlineExceeded, 0},
		{"ended context, no wait", 0, 0, context.DeadlineExceeded, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), tt.ends)
				defer cancel()
				began := time.Now()
				require.ErrorIs(t, For(ctx, tt.sleep), tt.err)
				require.Equal(t, tt.took, time.Since(began))
			})
		})
	}
}
