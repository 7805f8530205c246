package fair

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestUnknownPolicyIsNamed(t *testing.T) {
	for _, p := range []Policy{"", Due, Dominant, Risk} {
		require.NoError(t, p.Check())
	}
	require.EqualError(t, Policy("newest").Check(), `is "newest"; use due, dominant, risk, or leave it out`)
}

func TestEntitlementIsUsedUpAndComesBack(t *testing.T) {
	b := New(Due, Entitlement{Window: 5 * time.Second, Slack: 20})
	b.SetWeight("north", 10)
	for i := range 70 { // ten a second over five seconds, and twenty more
		require.True(t, b.Submitted("north", 0), "submission %d", i)
	}
	require.False(t, b.Submitted("north", 0))
	require.Equal(t, uint64(1), b.OverEntitlement("north"))
	require.True(t, b.Submitted("south", 0), "another account has its own entitlement")
	require.Zero(t, b.OverEntitlement("south"))
	require.Zero(t, b.OverEntitlement("nobody"))
	for i := range 10 {
		require.True(t, b.Submitted("north", time.Second), "submission %d a second later", i)
	}
	require.False(t, b.Submitted("north", time.Second))
	require.False(t, b.Submitted("north", 500*time.Millisecond), "a submission with an earlier time adds no tokens")
}

func TestLastingExcessIsTold(t *testing.T) {
	// Guards against judging an account by a single submission beyond its entitlement, and by an
	// excess that is over.
	b := New(Due, Entitlement{Window: 5 * time.Second, Slack: 20})
	b.SetWeight("north", 10)
	at := time.Duration(0)
	submit := func(n int, pause time.Duration) {
		for range n {
			at += pause
			b.Submitted("north", at)
		}
	}
	submit(500, 100*time.Millisecond) // ten a second
	require.Less(t, b.Exceeds("north", at), 0.2)
	submit(400, 10*time.Millisecond) // ten times that, at first within the burst
	require.Greater(t, b.Exceeds("north", at), 0.8)
	require.Less(t, b.Exceeds("north", at+maxSkew+exceedsRefill+time.Second), 0.2, "refused submissions are not seen, and its entitlement comes back")
	submit(100, 100*time.Millisecond)
	require.Less(t, b.Exceeds("north", at), 0.2)
	require.Less(t, b.Exceeds("south", at), 0.2)
	require.Equal(t, 10.0, b.Weight("north"))
	require.Equal(t, 1.0, b.Weight("south"))
}

func TestWithoutWindowEverythingIsWithin(t *testing.T) {
	b := New(Due, Entitlement{})
	for range 1000 {
		require.True(t, b.Submitted("north", 0))
		require.True(t, b.Submitted("", 0))
	}
}

// TestEntitlementHoldsOverAnySpan checks that over any span, no more submissions are
// within the entitlement than the rate over the span and the window plus the slack, and
// that an account that keeps to its rate is always within it.
func TestEntitlementHoldsOverAnySpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := Entitlement{Window: time.Duration(rapid.IntRange(1, 10).Draw(t, "window")) * time.Second,
			Slack: float64(rapid.IntRange(1, 30).Draw(t, "slack")), Share: rapid.SampledFrom([]float64{1, 0.5, 0.1}).Draw(t, "share")}
		b := New(Due, e)
		weight := float64(rapid.IntRange(1, 40).Draw(t, "weight"))
		b.SetWeight("hot", weight)
		b.SetWeight("calm", weight)
		rate := weight * e.Share
		var within []time.Duration
		var at, calm time.Duration
		for range rapid.IntRange(1, 200).Draw(t, "hand-ins") {
			at += time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond
			if b.Submitted("hot", at) {
				within = append(within, at)
			}
			calm += time.Duration(float64(time.Second) / rate)
			require.True(t, b.Submitted("calm", calm))
		}
		for i := range within {
			for j := i; j < len(within); j++ {
				most := rate*(within[j]-within[i]+e.Window).Seconds() + e.Slack
				require.LessOrEqual(t, float64(j-i+1), most+1e-6)
			}
		}
	})
}

// TestAccountThatWouldLoseMostGoesFirst guards against treating a small and a large
// account alike. A gang of either waits for the same capacity with the same due time;
// if it is late, half of the small account's work is late and a tenth of the large
// one's.
func TestAccountThatWouldLoseMostGoesFirst(t *testing.T) {
	const now, due, objective = 10 * time.Second, 20 * time.Second, 10 * time.Second
	b := New(Risk, Entitlement{})
	b.Completed("large", now, 900, true)
	b.Completed("small", now, 100, true)
	small, large := b.OrderTime("small", now, due, objective, 100), b.OrderTime("large", now, due, objective, 100)
	require.InDelta(t, 17.5, small.Seconds(), 0.001, "half of its work: a quarter of the objective ahead")
	require.InDelta(t, 19.5, large.Seconds(), 0.001, "a tenth of its work")
	b.Completed("large", now, 900, false)
	require.Less(t, b.OrderTime("large", now, due, objective, 100), small, "more than half of its recent work would be late by now")
}

func TestAccountThatUsesLessThanItsShareGoesFirst(t *testing.T) {
	const now, due, objective = 10 * time.Second, 20 * time.Second, 10 * time.Second
	b := New(Dominant, Entitlement{})
	b.SetWeight("north", 3)
	b.SetWeight("south", 1)
	b.Used("north", now, 100)
	b.Used("south", now, 100)
	require.Less(t, b.OrderTime("north", now, due, objective, 1), due, "a third of the other account's usage relative to its weight")
	require.Greater(t, b.OrderTime("south", now, due, objective, 1), due)
	later := now + 20*useDecay
	b.Used("north", later, 100)
	require.Less(t, b.OrderTime("south", later, due, objective, 1), b.OrderTime("north", later, due, objective, 1), "old usage has decayed")
}

// TestOrderTimeStaysNearTheDueTime checks that, however accounts behave, a job is
// ordered at most maxShift of its objective after its due time, so that no job waits
// for ever.
func TestOrderTimeStaysNearTheDueTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(rapid.SampledFrom([]Policy{Due, Dominant, Risk}).Draw(t, "way"), Entitlement{})
		names := []string{"a", "b", "c"}
		var now time.Duration
		for range rapid.IntRange(0, 60).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 5000).Draw(t, "pause")) * time.Millisecond
			name := rapid.SampledFrom(names).Draw(t, "account")
			work := float64(rapid.IntRange(0, 5000).Draw(t, "work"))
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				b.Completed(name, now, work, rapid.Bool().Draw(t, "in time"))
			case 1:
				b.Used(name, now, work)
			case 2:
				b.SetWeight(name, float64(rapid.IntRange(-1, 50).Draw(t, "weight")))
			}
			const due, objective = time.Hour, 10 * time.Second
			orderTime := b.OrderTime(name, now, due, objective, work)
			require.LessOrEqual(t, (orderTime - due).Abs(), time.Duration(maxShift*float64(objective)))
		}
	})
}
