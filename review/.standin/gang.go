package main

import (
	"fmt"
	"slices"
	"time"
)

func init() {
	cases["gang"] = playGang
	cases["lasting"] = playLasting
}

// The labels of minions are their kind and their rack. Kind b is on one rack.
const (
	minions     = 48
	kindB       = 4 // minions of kind b: 4 of 48, under the share of 0.085 of srv_grey
	cpuOfMinion = 16000
	memOfMinion = 32768
)

// playGang: gang jobs run on the minions of kind b. These fail all that they start for 6.5 s (srv_grey).
// After that they are sound again, and gang jobs must start there.
func playGang(w *world) (int, string, error) {
	return w.playProbation(nil, map[string]any{"spec": "800 gang 2", "phases": []map[string]any{
		{"count": 2, "cpu": 4500, "mem_mb": 4600, "est_runtime_ms": 800, "gang": true, "requirements": "b"}}})
}

// playLasting: two tasks that last run on each minion of kind b, beside jobs of plain tasks. The minions
// fail all that they start for 6.5 s (srv_grey). After that they are sound again, and jobs must start there.
// Two of the tasks that last fail later, as such tasks may at any time, and must start again.
func playLasting(w *world) (int, string, error) {
	serve := map[string]any{"spec": "0 lasts", "phases": []map[string]any{
		{"count": 2 * kindB, "cpu": 1000, "mem_mb": 500, "long_running": true, "max_per_server": 2, "est_runtime_ms": 1000, "requirements": "b"}}}
	return w.playProbation(serve, map[string]any{"spec": "800", "phases": []map[string]any{
		{"count": 2, "cpu": 4500, "mem_mb": 4600, "est_runtime_ms": 800, "requirements": "b"}}})
}

// playProbation hands in serve, if there is one, and then jobs like render for the minions of kind b, beside
// jobs for those of kind a.
func (w *world) playProbation(serve, render map[string]any) (int, string, error) {
	w.config([]map[string]any{route("render", 1, 4), route("check", 0, 4), route("serve", 0, 4)})
	for i := range minions {
		kind := "a"
		if i < kindB {
			kind = "b"
		}
		if err := w.fleet.add([]string{kind, fmt.Sprintf("r1-%d", i/kindB)}, cpuOfMinion, memOfMinion); err != nil {
			return notRun, "", err
		}
	}
	if err := w.startDaemons(); err != nil {
		return notRun, "", err
	}
	time.Sleep(2 * time.Second)
	const traffic, greyFrom, greyFor = 22 * time.Second, 4 * time.Second, 6500 * time.Millisecond
	if serve != nil {
		lasting := w.submit("serve", serve)
		time.Sleep(2 * time.Second)
		time.AfterFunc(greyFrom+greyFor+5*time.Second, func() { w.fleet.failLasting(lasting.id, 2) })
	}

	begun := time.Now()
	if w.trouble {
		time.AfterFunc(greyFrom, func() { w.grey(true) })
		time.AfterFunc(greyFrom+greyFor, func() { w.grey(false) })
	}
	// Traffic: three jobs a second for kind b, under half of its capacity, and ten small jobs for kind a.
	const tick = 100 * time.Millisecond
	for i := 0; time.Since(begun) < traffic; i++ {
		go w.submit("check", map[string]any{"spec": "400", "phases": []map[string]any{{"count": 2, "cpu": 1400, "mem_mb": 1400, "est_runtime_ms": 400, "requirements": "a"}}})
		if i%3 == 0 {
			go w.submit("render", render)
		}
		time.Sleep(time.Until(begun.Add(time.Duration(i+1) * tick)))
	}
	w.rec.add("traffic ends")
	for end := time.Now(); time.Since(end) < 14*time.Second; time.Sleep(time.Second) { // finish_s
		w.askAll()
	}
	return w.judgeIdle()
}

// failLasting lets so many tasks of a job that lasts fail, on different minions.
func (f *fleet) failLasting(id string, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.slots {
		for _, r := range m.runs {
			if jobOf(r.task) == id && n > 0 && !r.stopping {
				m.finish(r, "failed")
				n--
				break
			}
		}
	}
}

func (w *world) grey(on bool) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	for _, m := range w.fleet.slots[:kindB] {
		m.fails = on
	}
	w.rec.add("grey", "minions", kindB, "on", on)
}

// judgeIdle checks the last sentence of the rule LOST: for 3 s, after finish_s, a job has nothing running
// while its turn has come, there is capacity for it twice over, and under half of the capacity is in use.
// No minion is disrupted any more, and no task that lasts is judged.
func (w *world) judgeIdle() (int, string, error) {
	open := map[string]*job{}
	for _, j := range w.acceptedJobs() {
		if !final(w.ask(j)) && j.queue != "serve" {
			open[j.id] = j
		}
	}
	inUse, room, missing := 0.0, 1<<30, 0
	for _, j := range w.acceptedJobs() {
		if j.queue == "serve" {
			w.fleet.mu.Lock()
			missing = j.count - w.fleet.running[j.id] // over 15 s after their last run
			w.rec.add("lasting", "job", j.id, "tasks", j.count, "at_work", w.fleet.running[j.id])
			w.fleet.mu.Unlock()
		}
	}
	for until := time.Now().Add(4 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		w.fleet.mu.Lock()
		for id, j := range open {
			if w.fleet.running[id] > 0 || time.Since(w.fleet.lastRun[id]) < time.Second {
				delete(open, id)
				continue
			}
			used, slots := w.fleet.capacityFor(j)
			inUse, room = max(inUse, used), min(room, slots)
			if used >= 0.5 || slots < 2*j.count {
				delete(open, id)
			}
		}
		w.fleet.mu.Unlock()
	}
	stuck := 0
	for _, j := range open {
		if state := w.ask(j); state != "" && !final(state) {
			stuck++
			w.fleet.mu.Lock()
			w.rec.add("stuck", "job", j.id, "queue", j.queue, "state", state, "starts", w.fleet.started[j.id], "ends_failed", w.fleet.failed[j.id])
			w.fleet.mu.Unlock()
		}
	}
	all := w.acceptedJobs()
	if stuck > 0 {
		return broken, fmt.Sprintf("LOST: %d of %d accepted jobs have nothing running for 4 s, 14 s after the traffic, and %d tasks that last are missing; there is room for %d tasks, and at most %.0f %% of the service is in use", stuck, len(all), missing, room, 100*inUse), nil
	}
	if missing > 0 {
		return broken, fmt.Sprintf("LOST: %d tasks that last have not started again", missing), nil
	}
	return held, fmt.Sprintf("held: none of %d accepted jobs waits", len(all)), nil
}

// capacityFor returns the share of the service's processors that is in use, and how many of the job's tasks
// fit into what is free on sound minions that have its label. f.mu is held.
func (f *fleet) capacityFor(j *job) (used float64, slots int) {
	total, busy := 0, 0
	for _, m := range f.slots {
		if m.dead || m.fails {
			continue
		}
		cpu, mem := m.cpu, m.mem
		for _, r := range m.runs {
			cpu, mem = cpu-r.cpu, mem-r.mem
		}
		total, busy = total+m.cpu, busy+m.cpu-cpu
		if j.label == "" || slices.Contains(m.labels, j.label) {
			slots += max(0, min(cpu/j.cpu, mem/j.mem))
		}
	}
	return float64(busy) / float64(total), slots
}
