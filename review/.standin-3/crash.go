package main

import (
	"fmt"
	"strings"
	"time"
)

// crashCase: a job of eight tasks that last, one on each of eight minions. One minion crashes three times, 6 s
// after it is back each time. The job must go on being shown as running.
func crashCase(w *world, trouble bool) string {
	const id, path = "00000000000000a1", "/jobs/00000000000000a1"
	w.addMinions(8)
	w.startDaemons(3)
	w.submit(path, map[string]any{"spec": "lasts", "phases": []map[string]any{
		{"count": 8, "cpu": 18000, "mem_mb": 33000, "est_runtime_ms": 4000, "long_running": true, "may_miss": 1, "max_per_server": 1}}})
	w.await("eight tasks are at work", 20*time.Second, func() bool { return w.countAtWork(id) == 8 })
	time.Sleep(2 * time.Second)
	m := w.minions[3]
	for i := range 3 {
		if trouble {
			m.crash(4500 * time.Millisecond)
		}
		for end := time.Now().Add(4500*time.Millisecond + 6*time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
			if s := w.state(path); s == "failed" || s == "cancelled" || s == "completed" || s == "410" {
				return fmt.Sprintf("LOST: the job is shown as %s after %d crashes of one minion; ends listed as failed: %d; tasks at work: %d of 8",
					s, i+1, w.ends["failed"], w.countAtWork(id))
			}
		}
	}
	if s := w.state(path); s != "running" || strings.TrimSpace(s) == "" {
		return "LOST: the job is shown as " + s
	}
	return ""
}
