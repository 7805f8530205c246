package main

import (
	"fmt"
	"time"
)

func init() { cases["crash"] = playCrash }

const (
	crashShare = 6 // minions that crash at once: 6 of 48, under the share of 0.14 of srv_crash
	crashEvery = 2500 * time.Millisecond
	crashFor   = 2 * time.Second // srv_crash has up to 4.5 s
)

// playCrash: minions that are picked at random crash and are back after two seconds. No task of this case
// ever ends 'failed', so no job may be shown as failed.
func playCrash(w *world) (int, string, error) {
	w.config([]map[string]any{route("render", 1, 4), route("serve", 0, 4)})
	for i := range minions {
		if err := w.fleet.add([]string{"a", fmt.Sprintf("r1-%d", i/6)}, cpuOfMinion, memOfMinion); err != nil {
			return notRun, "", err
		}
	}
	if err := w.startDaemons(); err != nil {
		return notRun, "", err
	}
	time.Sleep(2 * time.Second)

	begun := time.Now()
	const traffic = 62 * time.Second
	// One job that lasts, and four jobs a second of one task of seven seconds, which need 60 % of the service.
	go w.submit("serve", map[string]any{"spec": "0 lasts", "phases": []map[string]any{{"count": 8, "cpu": 1000, "mem_mb": 500, "long_running": true, "est_runtime_ms": 1000}}})
	crashAt := 5 * time.Second
	for i := 0; time.Since(begun) < traffic; i++ {
		go w.submit("render", map[string]any{"spec": "7000", "phases": []map[string]any{{"count": 1, "cpu": 9000, "mem_mb": 4600, "est_runtime_ms": 7000}}})
		if i%4 == 0 {
			go w.askAll()
		}
		if w.trouble && time.Since(begun) >= crashAt && crashAt < traffic-5*time.Second {
			w.crashSome()
			crashAt += crashEvery
		}
		time.Sleep(time.Until(begun.Add(time.Duration(i+1) * 250 * time.Millisecond)))
	}
	w.rec.add("traffic ends")
	for end := time.Now(); time.Since(end) < 14*time.Second; time.Sleep(time.Second) { // finish_s
		w.askAll()
	}
	return w.judgeFailed()
}

// crashSome crashes minions that are up, and begins their next lives crashFor later.
func (w *world) crashSome() {
	w.mu.Lock()
	picked := w.rng.Perm(minions)[:crashShare]
	w.mu.Unlock()
	for _, i := range picked {
		w.fleet.crash(i)
		time.AfterFunc(crashFor, func() { w.fleet.restart(i) })
	}
}

// judgeFailed checks that no job is shown as failed or cancelled: no task has ended 'failed', and nobody has
// cancelled anything.
func (w *world) judgeFailed() (int, string, error) {
	shown, ends, lasting := 0, 0, 0
	w.fleet.mu.Lock()
	for _, n := range w.fleet.failed {
		ends += n
	}
	w.fleet.mu.Unlock()
	if ends > 0 {
		return notRun, fmt.Sprintf("%d tasks ended failed", ends), nil
	}
	all := w.acceptedJobs()
	for _, j := range all {
		if w.ask(j); j.state == "failed" || j.state == "cancelled" {
			shown++
			if j.queue == "serve" {
				lasting++
			}
			w.fleet.mu.Lock()
			w.rec.add("shown without cause", "job", j.id, "queue", j.queue, "state", j.state, "starts", w.fleet.started[j.id], "ends_failed", w.fleet.failed[j.id])
			w.fleet.mu.Unlock()
		}
	}
	if shown > 0 {
		return broken, fmt.Sprintf("LOST: %d of %d accepted jobs (%d of them lasting) are shown as failed, and no task has ended failed", shown, len(all), lasting), nil
	}
	return held, fmt.Sprintf("held: none of %d accepted jobs is shown as failed", len(all)), nil
}
