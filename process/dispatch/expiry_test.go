package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/standin/epochworker"
	"fennelshunt.example/fennelshunt/version/work"
)

// TestRunsThatEndAfterTheirLeaseAreNotStartedBeside guards against a task that starts elsewhere while a silent
// worker, whose clock is slow, still ends the runs whose lease has expired.
func TestRunsThatEndAfterTheirLeaseAreNotStartedBeside(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := restartingCell(t, 4, 1, epochworker.Options{Seed: 1, ClockRate: 0.98, KillDelay: 400 * time.Millisecond,
			Work: func(work.TaskID, uint64, runner.WorkerID) epochworker.Behaviour {
				return epochworker.Behaviour{Takes: 15 * time.Second}
			}})
		time.Sleep(3 * time.Second)
		j := crashStep(16, false)
		id := c.submit(j)
		time.Sleep(5 * time.Second)
		for _, w := range c.fleet.IDs()[:2] {
			c.fleet.SetDisconnected(w, true)
		}
		time.Sleep(time.Minute)
		c.stop()
		require.Equal(t, work.Completed, c.state(id))
		require.Empty(t, c.fleet.Violations())
		require.Empty(t, c.broken)
	})
}
