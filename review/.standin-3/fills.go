package main

import (
	"fmt"
	"strings"
	"time"
)

// fillsCase: a job of four tasks that last and fill, of which one may be missed, and one that serves its own users.
// The minion of the latter is emptied and taken away; it starts again on another minion, and most minions are empty.
func fillsCase(w *world, trouble bool) (broken string) {
	const serves, fills = "00000000000000e1", "00000000000000e2"
	w.addMinions(16)
	w.startDaemons(3)
	w.submit("/jobs/"+serves, map[string]any{"spec": "lasts", "phases": []map[string]any{
		{"count": 1, "cpu": 18000, "mem_mb": 20000, "est_runtime_ms": 4000, "long_running": true, "image": "shop", "target_ms": 50}}})
	w.await("the serving task is at work", 20*time.Second, func() bool { return w.countAtWork(serves) == 1 })
	w.submit("/jobs/"+fills, map[string]any{"spec": "lasts", "phases": []map[string]any{
		{"count": 4, "cpu": 4000, "mem_mb": 20000, "est_runtime_ms": 4000, "long_running": true, "fills": true, "image": "index", "may_miss": 1}}})
	w.await("four filling tasks are at work", 20*time.Second, func() bool { return w.countAtWork(fills) == 4 })
	time.Sleep(5 * time.Second) // longer than notice_ms
	ordered := 0
	w.mu.Lock()
	m := w.atWork(serves)[0].on
	stopHook = func(w *world, x *run) {
		// AVAIL: the run was at work, on a sound minion, and may_miss others or more are away by such an order.
		if strings.HasPrefix(x.task, fills) && x.percent(w.now()) >= 100 {
			if away := 3 - len(w.atWork(fills)); away >= 1 && broken == "" {
				broken = fmt.Sprintf("AVAIL: %s, at work on minion %s, is told to stop while %d other tasks of its step are away; may_miss is 1", x.task, x.on.id, away)
				w.note("%s", broken)
			}
			ordered++
		}
	}
	w.mu.Unlock()
	if trouble {
		m.drain()
	}
	time.Sleep(15 * time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.note("%d tasks that fill were told to stop", ordered)
	return broken
}
