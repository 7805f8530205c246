package partition

import (
	"slices"
	"time"

	"fennelshunt.example/fennelshunt/process/crash"
)

// suspects are the tasks that may have crashed their worker: those that had not lived on
// when it was last heard of. sole tells that they are of one job.
type suspects struct {
	tasks []*task
	sole  bool
}

// suspectsOn returns the suspects among what runs on a worker that has died.
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

// livedOn reports whether the task is known to have run for a while at some time.
func (t *task) outlasted(at time.Time) bool {
	return !t.started.IsZero() && !at.Before(t.started.Add(crash.Window))
}

// restarted reports whether a worker that lists refs has lost all that ran there.
func (n *node) restarted(listed func(*task) bool) bool {
	for _, t := range n.tasks {
		if t.mayRun() && listed(t) {
			return false
		}
	}
	return true
}
