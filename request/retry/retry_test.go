package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/request/verdict"
)

func TestOnlyTheVerdictPermitsARetry(t *testing.T) {
	for _, tc := range []struct {
		v          verdict.Verdict
		idempotent bool
		want       bool
	}{
		{verdict.NotRun, false, true}, {verdict.NotRun, true, true},
		{verdict.MayHaveRun, false, false}, {verdict.MayHaveRun, true, true},
		{verdict.Ran, false, false}, {verdict.Ran, true, false},
	} {
		require.Equal(t, tc.want, Permitted(tc.v, tc.idempotent), "%v %v", tc.v, tc.idempotent)
		a := NewBudget(Options{}).Request(tc.idempotent)
		_, ok := a.Next(tc.v, true, time.Minute)
		require.Equal(t, tc.want, ok, "%v %v", tc.v, tc.idempotent)
	}
}

func TestBudgetBoundsRetriesWhenEverythingFails(t *testing.T) {
	// Every attempt of every request fails. With retries limited per request only, the daemons'
	// own retries made an overload three times as large.
	b := NewBudget(Options{})
	const requests = 10000
	retries := 0
	for range requests {
		a := b.Request(true)
		for {
			if _, ok := a.Next(verdict.NotRun, true, time.Minute); !ok {
				break
			}
			retries++
		}
	}
	require.LessOrEqual(t, float64(retries), requests*DefaultRatio+DefaultBurst)
	require.Greater(t, float64(retries), requests*DefaultRatio*0.9)
	unreached := b.Request(false)
	_, ok := unreached.Next(verdict.NotRun, false, time.Minute)
	require.True(t, ok, "an attempt that reached no endpoint is not charged")
}

func TestBackoffGrowsWithJitterAndKeepsTheDeadline(t *testing.T) {
	b := NewBudget(Options{MaxAttempts: 10})
	a := b.Request(true)
	first, ok := a.Next(verdict.NotRun, true, time.Minute)
	require.True(t, ok)
	require.InDelta(t, float64(DefaultFirstDelay), float64(first), jitter*float64(DefaultFirstDelay))
	for range 8 {
		d, ok := a.Next(verdict.NotRun, true, time.Minute)
		require.True(t, ok)
		require.LessOrEqual(t, float64(d), (1+jitter)*float64(DefaultMaxDelay))
	}
	_, ok = a.Next(verdict.NotRun, true, time.Minute)
	require.False(t, ok, "the eleventh attempt")
	late := b.Request(true)
	_, ok = late.Next(verdict.NotRun, true, time.Nanosecond)
	require.False(t, ok, "the deadline comes before the retry")
}
