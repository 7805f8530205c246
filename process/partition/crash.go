package partition

import (
	"slices"
	"time"

	"fennelshunt.example/fennelshunt/process/crash"
)

// suspects are the tasks that may have crashed their worker: those that had run for less
// than crash.Window when the worker last answered. sole is set if all are of one job.
type suspects struct {
	tasks []*task
	sole  bool
}

// suspectsOn returns the suspects among the tasks of a worker that has crashed.
func suspectsOn(n *node) suspects {
	var s suspects
	for _, t := range n.tasks {
		if t.live() && !t.outlasted(n.lastReply) {
			s.tasks = append(s.tasks, t)
		}
	}
	s.sole = !slices.ContainsFunc(s.tasks, func(t *task) bool { return t.ref.Task.Job != s.tasks[0].ref.Task.Job })
	return s
}

// outlasted reports whether the task is known to have run for crash.Window by the given time.
func (t *task) outlasted(at time.Time) bool {
	return !t.started.IsZero() && !at.Before(t.started.Add(crash.Window))
}

// restarted reports whether the worker's inventory lists none of the tasks that ran there,
// as after a restart.
func (n *node) restarted(listed func(*task) bool) bool {
	for _, t := range n.tasks {
		if t.mayRun() && listed(t) {
			return false
		}
	}
	return true
}
