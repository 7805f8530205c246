package partition

import (
	"testing"
	"time"

	"fennelshunt.example/fennelshunt/process/plan"
)

// TestRestartOfAWorkerMakesTheNewestTaskSuspect guards against a shard that cannot tell
// a task that crashes its workers from the others on the worker: only the task that had
// just been started is reported as suspect.
func TestRestartOfAWorkerMakesTheNewestTaskSuspect(t *testing.T) {
	inBubble(t, 1, 1, large, func(c *cell) {
		d := c.ready()
		c.author.mustStart(d, step(1, workerID(0)))
		c.eventually(5*time.Second, "runs", func() bool { return len(c.rack.Running(workerID(0))) == 1 })
		time.Sleep(20 * time.Second)
		c.author.mustStart(d, step(2, workerID(0)))
		c.eventually(5*time.Second, "runs", func() bool { return len(c.rack.Running(workerID(0))) == 2 })
		c.rack.Restart(workerID(0))
		for index, suspect := range map[int]bool{1: false, 2: true} {
			c.eventually(time.Minute, "lost", func() bool {
				return c.author.received(func(e plan.Event) bool {
					return e.Task == taskID(index) && e.Lost && e.Suspect == suspect && e.Sole == suspect
				})
			})
		}
	})
}
