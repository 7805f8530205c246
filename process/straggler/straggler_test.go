package straggler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// long returns a run of a second that takes seven, of which a second has passed.
func long() Case {
	return Case{Tasks: 1, Remaining: 6 * time.Second, Elapsed: time.Second, Done: 1.0 / 7, Whole: time.Second, Pace: 7 * time.Second,
		LongShare: 0.03, Delay: 300 * time.Millisecond, Resume: 100 * time.Millisecond}
}

// TestLongRunIsMoved guards against a job that is late because one of its runs takes several times
// as long as the others.
func TestLongRunIsMoved(t *testing.T) {
	c := long()
	gain, move := c.Move()
	require.True(t, move)
	require.Greater(t, gain, 4*time.Second)
	require.True(t, Slow(c.Whole, 0.25, c.Pace))
}

// TestRunsThatStay guards against moves that cost more than they gain.
func TestRunsThatStay(t *testing.T) {
	for name, change := range map[string]func(c *Case){
		"moved twice":             func(c *Case) { c.Moves = MaxMoves },
		"nearly done":             func(c *Case) { c.Remaining, c.Elapsed, c.Done = time.Second, 6*time.Second, 6.0/7 },
		"more is lost than won":   func(c *Case) { c.Elapsed, c.Remaining = 4*time.Second, 3*time.Second },
		"no capacity for seconds": func(c *Case) { c.Delay = 5 * time.Second },
		"a gang that is likely to have a long member again": func(c *Case) { c.Tasks, c.LongShare = 150, 0.05 },
	} {
		c := long()
		change(&c)
		_, move := c.Move()
		require.False(t, move, name)
	}
	require.False(t, Slow(time.Second, 0.25, 1500*time.Millisecond), "usual variation")
	require.False(t, Slow(time.Second, 0.6, 5*time.Second), "a prediction that may be off by as much")
	require.False(t, Slow(0, 0.1, time.Second))
}

// TestCheckpointKeepsWhatIsDone guards against long runs that are not moved because most of their
// work is done, although a checkpoint keeps it.
func TestCheckpointKeepsWhatIsDone(t *testing.T) {
	c := long()
	c.Elapsed, c.Remaining, c.Done = 4*time.Second, 3*time.Second, 4.0/7
	_, move := c.Move()
	require.False(t, move)
	c.Checkpoints = true
	_, move = c.Move()
	require.True(t, move)
}

// TestRunIsNotMovedWithoutAGain guards against a stop of a run whose new run would be predicted to
// take no time: nothing is known of the new run, or the old one has no work left.
func TestRunIsNotMovedWithoutAGain(t *testing.T) {
	unknown := Case{Tasks: 1, Remaining: minGain, LongShare: 1}
	_, move := unknown.Move()
	require.False(t, move, "no predicted run time")
	atItsEnd := Case{Tasks: 1, Remaining: minGain, Done: 1, Checkpoints: true, Whole: time.Second, Pace: time.Second}
	_, move = atItsEnd.Move()
	require.False(t, move, "no work left")
}

// TestMovesAreWorthTheirLoss guards against any case in which a move costs more than it gains.
func TestMovesAreWorthTheirLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
		}
		c := Case{Moves: rapid.IntRange(0, 4).Draw(t, "moves"), Tasks: rapid.IntRange(1, 50).Draw(t, "tasks"), Remaining: d("remaining", 30000), Elapsed: d("elapsed", 30000),
			Done: rapid.Float64Range(0, 1).Draw(t, "done"), Checkpoints: rapid.Bool().Draw(t, "checkpoints"), Whole: d("whole", 10000), Pace: d("pace", 70000),
			LongShare: rapid.Float64Range(0, 1).Draw(t, "long"), Delay: d("delay", 3000), Resume: d("resume", 300)}
		gain, move := c.Move()
		if !move {
			return
		}
		require.Less(t, c.Moves, MaxMoves)
		require.GreaterOrEqual(t, gain, minGain)
		require.Less(t, gain, c.Remaining)
		if !c.Checkpoints {
			require.Greater(t, gain, c.Elapsed)
		}
	})
}
