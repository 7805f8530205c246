package cellview

import (
	"time"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/plan"
)

// tasks holds the running tasks of one worker, as received so far.
type tasks map[worker.Ref]received

// received is a task with the time at which it was received, from which its age counts.
type received struct {
	task plan.RunningTask
	at   time.Time
}

// merger completes partial states of workers with the tasks received before.
type merger struct {
	workers map[worker.ID]tasks
}

func newMerger() *merger { return &merger{workers: make(map[worker.ID]tasks)} }

// complete fills in the tasks that a partial state leaves out. It returns false if
// the worker's earlier tasks are not known; then the full state must be requested.
func (m *merger) complete(s *plan.State, now time.Time) bool {
	if s.Full {
		clear(m.workers)
	}
	for i := range s.Workers {
		if !m.completeWorker(&s.Workers[i], now) {
			return false
		}
	}
	return true
}

func (m *merger) completeWorker(w *plan.WorkerState, now time.Time) bool {
	if w.Removed {
		delete(m.workers, w.ID)
		return true
	}
	running := m.workers[w.ID]
	switch {
	case !w.Partial:
		running = make(tasks, len(w.Tasks))
		m.workers[w.ID] = running
	case running == nil:
		return false
	}
	for _, ref := range w.Ended {
		delete(running, ref)
	}
	for _, t := range w.Tasks {
		running[t.Ref] = received{t, now}
	}
	if !w.Partial {
		return true
	}
	w.Partial, w.Ended = false, nil
	w.Tasks = make([]plan.RunningTask, 0, len(running))
	for _, r := range running {
		t := r.task
		if t.StartedMillis > 0 {
			t.StartedMillis += now.Sub(r.at).Milliseconds()
		}
		w.Tasks = append(w.Tasks, t)
	}
	return true
}
