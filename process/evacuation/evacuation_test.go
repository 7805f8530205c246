package evacuation

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// withCheckpoints returns a run with checkpoints that cannot end in time, on a worker with enough time
// for a stop.
func withCheckpoints() Case {
	return Case{Left: 1600 * ms, LongestStop: 400 * ms, UsualStop: 200 * ms, Remaining: 5 * time.Second, Deviation: 0.2, Checkpoints: true}
}

// TestDecisions guards against runs that are stopped although they end in time, or that go on until
// their worker has left.
func TestDecisions(t *testing.T) {
	for name, x := range map[string]struct {
		change func(c *Case)
		want   Action
	}{
		"checkpoints, time left":              {func(*Case) {}, Wait},
		"checkpoints, no time left":           {func(c *Case) { c.Left = 400 * ms }, Stop},
		"checkpoints, start elsewhere ready":  {func(c *Case) { c.Ready = true }, Stop},
		"no checkpoints":                      {func(c *Case) { c.Checkpoints = false }, Stop},
		"no checkpoints, may end in time":     {func(c *Case) { c.Checkpoints, c.Remaining = false, 1500*ms }, Wait},
		"ends in time":                        {func(c *Case) { c.Remaining = 900 * ms }, Keep},
		"ends in time if nothing goes wrong":  {func(c *Case) { c.Remaining = 1400 * ms }, Wait},
		"ends in time, start elsewhere ready": {func(c *Case) { c.Remaining, c.Ready = 900*ms, true }, Keep},
		"ends in time, uncertain":             {func(c *Case) { c.Remaining, c.Deviation = 900*ms, 0.9 }, Wait},
		"a lot of time left":                  {func(c *Case) { c.Checkpoints, c.Left, c.Remaining = false, Horizon+ms, time.Hour }, Wait},
		"long-running, time left":             {func(c *Case) { c.Endless, c.Checkpoints, c.Remaining = true, false, 0 }, Wait},
		"long-running, no time left":          {func(c *Case) { c.Endless, c.Left, c.Remaining = true, 300*ms, 0 }, Stop},
		"ends before a stop would":            {func(c *Case) { c.Left, c.Remaining = 100*ms, 100*ms }, Keep},
		"time has passed, it would go on":     {func(c *Case) { c.Left = -100 * ms }, Stop},
	} {
		c := withCheckpoints()
		x.change(&c)
		require.Equal(t, x.want, c.Decide(), name)
	}
}

func drawTime(t *rapid.T, name string, least, most int) time.Duration {
	return time.Duration(rapid.IntRange(least, most).Draw(t, name)) * ms
}

func drawCase(t *rapid.T) Case {
	c := Case{Left: drawTime(t, "left", -2000, 20000), UsualStop: drawTime(t, "usual", 10, 900), Endless: rapid.Bool().Draw(t, "endless"), Remaining: drawTime(t, "remaining", 0, 60000),
		Deviation: rapid.Float64Range(0, 2).Draw(t, "deviation"), Checkpoints: rapid.Bool().Draw(t, "checkpoints"), Ready: rapid.Bool().Draw(t, "ready")}
	c.LongestStop = c.UsualStop + drawTime(t, "lead", 0, 500)
	return c
}

// TestStopsAreNeededAndInTime guards against needless stops, stops before the time at which they are
// needed, and runs that go on with no time left for a stop.
func TestStopsAreNeededAndInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawCase(t)
		latest := c.Remaining.Seconds() * math.Exp(keepDeviations*c.Deviation)
		switch action := c.Decide(); {
		case c.Left > Horizon:
			require.NotEqual(t, Stop, action)
		case !c.Endless && latest+reportTime.Seconds() < c.Left.Seconds()-1e-6:
			require.Equal(t, Keep, action)
		case action == Stop && c.Left > c.LongestStop:
			require.False(t, c.Endless)
			require.True(t, (c.Ready && c.Checkpoints) || (!c.Checkpoints && c.Remaining+reportTime > c.Left), "checkpoints keep its work")
		case c.Left <= c.LongestStop && c.Left >= c.UsualStop:
			require.Equal(t, Stop, action)
		case c.Left <= c.LongestStop:
			require.Equal(t, !c.Endless && c.Remaining < c.UsualStop, action == Keep)
		}
	})
}

// TestPredictableRunEndsOrIsStoppedInTime guards against a run that is still going on when its worker
// leaves, or that is stopped too late or after it was expected to end in time.
func TestPredictableRunEndsOrIsStoppedInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const period = 100 * ms // between two looks
		c := drawCase(t)
		c.LongestStop += period
		c.Left = max(c.Left, c.LongestStop)
		kept := false
		for ; c.Endless || c.Remaining > 0; c.Left, c.Remaining = c.Left-period, c.Remaining-period {
			require.Positive(t, c.Left, "its worker has left")
			switch c.Decide() {
			case Keep:
				kept = true
			case Stop:
				require.False(t, kept)
				require.GreaterOrEqual(t, c.Left, c.LongestStop-period)
				return
			}
		}
	})
}

// TestNoticeThatArrivesLate guards against a remaining time that seems longer because the store was
// slow or the entry is read again.
func TestNoticeThatArrivesLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d Departure
		remaining, started := drawTime(t, "remaining", 0, 10000), drawTime(t, "started", -60000, 60000)
		written := 60000*ms + drawTime(t, "written", 1, 60000)
		clock := func(now time.Duration) time.Duration { return now - started }
		withClock := rapid.Bool().Draw(t, "clock")
		var entryClock time.Duration
		if withClock {
			entryClock = clock(written)
		}
		now := written + drawTime(t, "late", 0, 20000)
		seen := now
		for range rapid.IntRange(1, 4).Draw(t, "seen") {
			d.Notice(now, remaining, entryClock)
			left, known := d.Left(now, clock(now))
			truth := written + remaining - now
			switch {
			case withClock:
				require.Equal(t, truth >= -passedFor, known)
				require.Equal(t, truth, left)
			default:
				require.Equal(t, seen+remaining-now, left, "counted from the first time it was seen")
			}
			now += drawTime(t, "then", 0, 2000)
		}
	})
}

// TestClocksThatCannotBeUsed guards against notices of another writer or incarnation.
func TestClocksThatCannotBeUsed(t *testing.T) {
	var d Departure
	_, known := d.Left(0, time.Second)
	require.False(t, known, "no notice")
	d.Notice(time.Second, 2*time.Second, time.Hour)
	left, known := d.Left(2*time.Second, time.Minute)
	require.True(t, known)
	require.Equal(t, time.Second, left, "the clock is ahead: it counts from when the entry was seen")
	d.Clear()
	d.Notice(time.Second, 2*time.Second, time.Second)
	_, known = d.Left(2*time.Second, time.Hour)
	require.False(t, known, "it has long passed, and the worker is still there")
	d.Clear()
	d.Notice(time.Second, 2*time.Second, time.Second)
	left, _ = d.Left(2*time.Second, 0)
	require.Equal(t, time.Second, left, "the worker has not reported its clock")
}

// TestRepeatedNotice guards against a repeated notice that makes the time longer although nothing tells
// that it is a new one.
func TestRepeatedNotice(t *testing.T) {
	var d Departure
	d.Notice(time.Second, 2*time.Second, 0)
	d.Notice(2*time.Second, 2*time.Second+ms, 0)
	left, _ := d.Left(2*time.Second, 0)
	require.Equal(t, time.Second, left)
	d.Notice(2*time.Second, 2*time.Second, 10*time.Second)
	left, _ = d.Left(2*time.Second, 10*time.Second)
	require.Equal(t, 2*time.Second, left, "its clock tells that it is a new one")
}

// TestStopTimesAreLearned guards against stops that are ordered too late where they take long, or
// needlessly early where they do not.
func TestStopTimesAreLearned(t *testing.T) {
	var times StopTimes
	require.Equal(t, initialLongest, times.Longest(), "stops take up to 900 ms on some platforms")
	times.Observe(200 * ms)
	require.Equal(t, initialLongest, times.Longest(), "one stop says little")
	for range window {
		times.Observe(200 * ms)
	}
	require.Equal(t, 220*ms, times.Longest())
	require.InDelta(t, 200, times.Usual().Milliseconds(), 1)
	times.Observe(800 * ms)
	require.Equal(t, 880*ms, times.Longest())
	times.Observe(time.Minute)
	require.Equal(t, scale(maxTime, longestMargin), times.Longest())
	require.Less(t, times.Usual(), 450*ms)
	for range window {
		times.Observe(200 * ms)
	}
	require.Equal(t, 220*ms, times.Longest(), "it was slow for a while")
}
