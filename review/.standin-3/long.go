package main

import (
	"fmt"
	"strings"
	"time"
)

// longCase: jobs whose tasks take much longer than estimated.
func longCase(w *world, trouble bool) string {
	w.addMinions(8)
	w.startDaemons(3)
	spec := "takes 4s"
	if trouble {
		spec = "takes 400s"
	}
	var tasks []string
	for i := range 6 {
		id := fmt.Sprintf("00000000000000c%d", i)
		w.submit("/jobs/"+id, map[string]any{"spec": spec, "phases": []map[string]any{{"count": 1, "cpu": 18000, "mem_mb": 33000, "est_runtime_ms": 4000}}})
		tasks = append(tasks, id+".0.0.0")
	}
	x := w.watch(tasks...)
	time.Sleep(60 * time.Second)
	for _, t := range tasks {
		x.mu.Lock()
		d := x.down[t]
		x.mu.Unlock()
		n := 0
		for _, r := range w.runs {
			if r.task == t {
				n++
			}
		}
		id := strings.Split(t, ".")[0]
		w.note("%s: %d runs, longest down %v", t, n, d)
		fmt.Println(t, n, d, w.state("/jobs/"+id))
	}
	return ""
}
