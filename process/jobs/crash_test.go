package jobs

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/version/spec"
)

// crashLocked crashes a worker because of a task that has just started there. The worker
// restarts at once without tasks.
func (c *cell) crashLocked(by *fakeTask) {
	sole := true
	for _, t := range by.worker.tasks {
		sole = sole && (t.ended() || t == by)
	}
	for _, t := range by.worker.tasks {
		if !t.ended() {
			c.endLocked(t, lostEvent(t == by, sole && t == by))
		}
	}
}

// TestDeclaredTasksThatCrashTheirWorkersAreGivenUp guards against a declared task that
// crashes one worker after another, also when the shard's owner changes.
func TestDeclaredTasksThatCrashTheirWorkersAreGivenUp(t *testing.T) {
	inCell(t, 1, func(ctx context.Context, c *cell) {
		c.runTime = func(s worker.Start) (time.Duration, worker.TaskState) { return s.RunTime.Std(), worker.Succeeded }
		c.crashes = func(id spec.TaskID) bool { return id.Job == "bomb" && id.Index == 1 }
		bomb := batch("bomb", "a", 3, time.Second)
		c.apply(nil, bomb, batch("good", "a", 200, time.Second))
		d := c.startDaemon(ctx, "d1")
		d.own(0)
		c.await(time.Minute, "the task has started twice", func() bool { return c.startsOf("bomb", 1) >= 2 })
		d.kill()
		next := c.startDaemon(ctx, "d2")
		next.own(0)
		c.await(10*time.Minute, "the task has failed", func() bool { return next.tasks(ctx, "bomb")[TaskFailed] == 1 })
		c.await(10*time.Minute, "all healthy tasks are done", func() bool { return c.succeeded("good") == 200 && c.succeeded("bomb") == 2 })
		require.LessOrEqual(t, c.startsOf("bomb", 1), 5)
	})
}

func (c *cell) startsOf(job string, index int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, r := range c.runs {
		if id.Job == job && id.Index == index {
			return r.starts
		}
	}
	return 0
}

func lostEvent(suspect, sole bool) plan.Event {
	return plan.Event{State: worker.Running, Lost: true, Suspect: suspect, Sole: sole}
}
