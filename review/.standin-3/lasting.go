package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// watcher samples which tasks run, on minions that are up.
type watcher struct {
	mu   sync.Mutex
	down map[string][2]time.Duration // longest time without a run, by task
	from map[string]time.Duration    // since when a task has no run
}

// watch samples the tasks named until the process ends.
func (w *world) watch(tasks ...string) *watcher {
	x := &watcher{down: map[string][2]time.Duration{}, from: map[string]time.Duration{}}
	go func() {
		for ; ; time.Sleep(10 * time.Millisecond) {
			w.mu.Lock()
			now := w.now()
			running := map[string]bool{}
			for _, m := range w.minions {
				for task := range m.running {
					running[task] = true
				}
			}
			w.mu.Unlock()
			x.mu.Lock()
			for _, t := range tasks {
				from, isDown := x.from[t]
				switch {
				case running[t] && isDown:
					delete(x.from, t)
				case !running[t] && !isDown:
					x.from[t] = now
				case isDown:
					if d := x.down[t]; now-from > d[1]-d[0] {
						x.down[t] = [2]time.Duration{from, now}
					}
				}
			}
			x.mu.Unlock()
		}
	}()
	return x
}

// lost applies the rule LOST for a task that lasts: for 3 s it has no run, from 6 s after its last run, and neither
// these 3 s nor the 4 s before them have a disruption. The caller has made sure of capacity twice over.
func (x *watcher) lost(w *world, task string) (why string) {
	x.mu.Lock()
	d := x.down[task]
	x.mu.Unlock()
	w.mu.Lock()
	events := slices.Clone(w.events)
	w.mu.Unlock()
	w.note("longest time without a run of %s: %.2f s to %.2f s", task, d[0].Seconds(), d[1].Seconds())
	for a := d[0] + 6*time.Second; a+3*time.Second <= d[1]; a += 10 * time.Millisecond {
		if !slices.ContainsFunc(events, func(e time.Duration) bool { return e > a-4*time.Second && e < a+3*time.Second }) {
			return fmt.Sprintf("LOST: %s has no run from %.2f s to %.2f s, of which %.2f s to %.2f s and the 4 s before are calm; seven of eight minions have room",
				task, d[0].Seconds(), d[1].Seconds(), a.Seconds(), (a + 3*time.Second).Seconds())
		}
	}
	return ""
}

// takeoverCase: a job of four tasks that last on eight minions. A minion that runs one of them is lost for good; 3 s
// later the daemon that leads is killed.
func takeoverCase(w *world, trouble bool) string {
	const id, path = "00000000000000b1", "/jobs/00000000000000b1"
	w.addMinions(8)
	w.startDaemons(3)
	w.submit(path, map[string]any{"spec": "lasts", "phases": []map[string]any{
		{"count": 4, "cpu": 18000, "mem_mb": 33000, "est_runtime_ms": 4000, "long_running": true, "max_per_server": 1}}})
	w.await("four tasks are at work", 20*time.Second, func() bool { return w.countAtWork(id) == 4 })
	time.Sleep(2 * time.Second)
	var victim *run
	w.mu.Lock()
	victim = w.atWork(id)[0]
	w.mu.Unlock()
	x := w.watch(victim.task)
	if trouble {
		victim.on.crash(0)
		time.Sleep(3 * time.Second)
		w.leader().crash(time.Second)
	}
	time.Sleep(20 * time.Second)
	return x.lost(w, victim.task)
}
