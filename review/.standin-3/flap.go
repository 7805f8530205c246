package main

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// lateBy is how much later an order that gets no answer is carried out (2 to 12 s).
const lateBy = 9 * time.Second

// flapCase: the start of one task gets no answer, in both of its tries, and is carried out 9 s later. Its minion flaps
// meanwhile, under the id that it had.
func flapCase(w *world, trouble bool) string {
	return lateCase(w, trouble, 2, func(m *minion) {
		time.Sleep(600 * time.Millisecond)
		for range 2 { // down and up by turns, 1.4 s each, for 4.2 s
			m.crash(1400 * time.Millisecond)
			time.Sleep(2800 * time.Millisecond)
		}
	})
}

// againCase: the first try of a start gets no answer and is carried out 9 s later; the second is answered, and the task
// runs. After 3 s its minion crashes, and is back 2 s later under the id that it had.
func againCase(w *world, trouble bool) string {
	return lateCase(w, trouble, 1, func(m *minion) {
		time.Sleep(3 * time.Second)
		m.crash(2 * time.Second)
	})
}

// lateCase: a job of forty tasks. The first tries of the start of one of them get no answer and are carried out 9 s later,
// by the minion that is then there under that id.
func lateCase(w *world, trouble bool, tries int, disturb func(m *minion)) (broken string) {
	const id, path = "00000000000000f1", "/jobs/00000000000000f1"
	w.addMinions(10)
	for _, m := range w.minions {
		w.mu.Lock()
		m.keepsID = true
		w.mu.Unlock()
	}
	time.Sleep(2 * heartbeat) // all entries have `born`
	var mu sync.Mutex
	var first *minion
	var task string
	if trouble {
		lateHook = func(m *minion, r *http.Request, in *order, body []byte) bool {
			if r.URL.Path != "/fennelshunt/run-start" || r.Header.Get("X-Late") != "" {
				return false
			}
			mu.Lock()
			defer mu.Unlock()
			if first == nil {
				first, task = m, in.Task
			}
			if m != first || in.Task != task || in.Run != 1 || tries == 0 {
				return false
			}
			tries--
			w.disrupt("minion %s: the start of %s run %d gets no answer, and is carried out %v later", m.id, in.Task, in.Run, lateBy)
			header := r.Header.Clone()
			header.Set("X-Late", "1")
			time.AfterFunc(lateBy, func() {
				w.mu.Lock()
				up := m.up
				w.mu.Unlock()
				if !up {
					return // nobody is there
				}
				late := httptest.NewRequest(http.MethodPost, "/fennelshunt/run-start", bytes.NewReader(body))
				late.Header = header
				rw := httptest.NewRecorder()
				m.ServeHTTP(rw, late)
				w.disrupt("minion %s: the start of %s run %d is carried out late: %d", m.id, in.Task, in.Run, rw.Code)
			})
			return true
		}
	}
	w.startDaemons(3)
	w.submit(path, map[string]any{"spec": "takes 40s", "phases": []map[string]any{{"count": 40, "cpu": 4000, "mem_mb": 7000, "est_runtime_ms": 40000, "max_per_server": 6}}})
	if trouble {
		w.await("a start gets no answer", 20*time.Second, func() bool { mu.Lock(); defer mu.Unlock(); return first != nil })
		disturb(first)
	}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end) && broken == ""; time.Sleep(10 * time.Millisecond) {
		w.mu.Lock()
		here := map[string][]string{}
		for _, m := range w.minions {
			for _, x := range m.running {
				here[x.task] = append(here[x.task], fmt.Sprintf("run %d on %s (life %d)", x.number, m.id, m.life))
			}
		}
		w.mu.Unlock()
		for task, all := range here {
			if len(all) > 1 {
				broken = fmt.Sprintf("TWICE: %s has two runs at the same time, on minions that are up: %v", task, all)
			}
		}
	}
	return broken
}
