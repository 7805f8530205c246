package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// finishTime is finish_s.
const finishTime = 14 * time.Second

// room returns how many more tasks of a size fit on the minions that are up, and whether under half of their
// processors are in use, by what runs there; w.mu is held.
func (w *world) room(cpu int) (n int, mostlyIdle bool) {
	used, all := 0, 0
	for _, m := range w.minions {
		if !m.up {
			continue
		}
		here := len(m.running) * cpu // all tasks of these cases are of one size
		used, all = used+here, all+m.cpu
		n += (m.cpu - here) / cpu
	}
	return n, 2*used < all
}

// longCase: for 30 s four jobs a second come, each of one task that takes 4 s, as estimated. Of each twenty, one takes
// 150 times as long. From 14 s after the end of the traffic on, no job may have nothing running for 3 s beside room.
func longCase(w *world, trouble bool) string {
	const cpu, jobs = 18000, 120
	w.addMinions(8)
	w.startDaemons(3)
	waiting := map[string]time.Duration{} // accepted jobs that are not done: since when nothing of them runs beside room
	var mu sync.Mutex
	for i := range jobs {
		id, spec := fmt.Sprintf("%016x", 0xd100+i), "takes 4s"
		if trouble && i%20 == 10 {
			spec = "takes 600s"
			w.disrupt("job %s takes 150 times as long", id)
		}
		go func() {
			job := map[string]any{"spec": spec, "phases": []map[string]any{{"count": 1, "cpu": cpu, "mem_mb": 33000, "est_runtime_ms": 4000}}}
			for k := range 5 {
				if status, _ := w.call(w.daemons[(i+k)%3], http.MethodPost, "/jobs/"+id, job); status/100 == 2 {
					mu.Lock()
					waiting[id] = -1
					mu.Unlock()
					return
				}
				time.Sleep(300 * time.Millisecond)
			}
		}()
		time.Sleep(250 * time.Millisecond)
	}
	time.Sleep(finishTime)
	w.note("%v after the end of the traffic: the check begins", finishTime)
	longest, which := time.Duration(0), ""
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		w.mu.Lock()
		now := w.now()
		runs := map[string]string{}
		for _, r := range w.runs {
			id := r.task[:16]
			if r.ended == 0 {
				runs[id] = "runs"
			} else if r.how == "done" {
				runs[id] = "done"
			}
		}
		room, idle := w.room(cpu)
		mu.Lock()
		for id, since := range waiting {
			switch {
			case runs[id] != "" || room < 2 || !idle:
				waiting[id] = -1
			case since < 0:
				waiting[id] = now
			case now-since > longest:
				longest, which = now-since, id
			}
		}
		accepted := len(waiting)
		mu.Unlock()
		w.mu.Unlock()
		if accepted < jobs/2 {
			cannotRun("most jobs are not accepted")
		}
	}
	w.note("longest time that a job had nothing running beside room: %v (%s); state now %q", longest, which, w.state("/jobs/"+which))
	if longest <= 3*time.Second {
		return ""
	}
	w.mu.Lock()
	n := 0
	for _, r := range w.runs {
		if r.task[:16] == which {
			n++
		}
	}
	w.mu.Unlock()
	return fmt.Sprintf("LOST: job %s had nothing running for %.2f s while all minions had room and under half of the capacity was in use, later than %v after the end of the traffic; it was started %d times, and no minion ended it but by order",
		which, longest.Seconds(), finishTime, n)
}
