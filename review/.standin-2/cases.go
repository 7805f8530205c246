package main

import (
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Figures of the Authority's sheet: 48 minions of 64 cores, 8 a rack.
const minions = 48

func init() {
	cases["crash"] = caseCrash
	cases["rack"] = caseRack
	cases["spread"] = caseSpread
	cases["occupied"] = caseOccupied
	cases["foreign"] = caseForeign
	cases["fills"] = caseFills
	cases["unanswered"] = caseUnanswered
}

func plain(name string) *queue { return &queue{name: name, priority: 1, attempts: 3} }

// slowAdvice is a queue with the advice of structural-report.
func slowAdvice(name string) *queue {
	return &queue{name: name, priority: 1, attempts: 3, advice: true, decide: 410, each: 5.9, valid: 2 * time.Second}
}

func (b *bed) cell(daemons int, kind func(i int) string) {
	for i := range minions {
		b.addMinion(i, kind(i))
	}
	b.addDaemons(daemons)
	b.settle()
}

func kindA(int) string { return "a" }

// caseCrash: minions crash, one at a time, under a task that lasts.
func caseCrash(binary, record string, trouble bool) {
	q := plain("wide")
	b := newBed(binary, record, []*queue{q})
	b.cell(3, kindA)
	j := &job{id: "00000000000000aa", queue: q, spec: "a service", phases: []phase{{Count: 1, CPU: 2000, Mem: 1024, Est: 1000, LongRunning: true}}}
	if !b.submit(j) {
		b.cannot("the job is not accepted")
	}
	atWork := func() *run {
		for _, r := range b.runsOf(j) {
			b.mu.Lock()
			ok := r.atWork()
			b.mu.Unlock()
			if ok {
				return r
			}
		}
		return nil
	}
	for i := range 4 {
		var r *run
		if !await(14*time.Second, func() bool { r = atWork(); return r != nil }) {
			break
		}
		time.Sleep(1500 * time.Millisecond)
		if !trouble {
			time.Sleep(5 * time.Second)
			continue
		}
		r.m.crash()
		time.AfterFunc(4500*time.Millisecond, func() { b.addMinion(i, "a") }) // srv_crash, for_s = 4.5: it is back, with a new id
	}
	time.Sleep(8 * time.Second)
	state := b.state(j)
	b.mu.Lock()
	h := b.history[j.id+".0.0.0"]
	if state != "running" && state != "queued" {
		b.breaks("LOST", "the job is shown as %q; %d runs of its task ended failed, of %d", state, h.failed, h.starts)
	}
	if h.up == 0 && time.Since(h.lastEnd) > 12*time.Second {
		b.breaks("LOST", "the task that lasts does not run %.1f s after its last run", time.Since(h.lastEnd).Seconds())
	}
	b.mu.Unlock()
	b.finish("LOST")
}

// caseRack: six minions of a rack crash for good; then a gang that wants one rack comes.
func caseRack(binary, record string, trouble bool) {
	q, p := slowAdvice("wide"), plain("plain")
	b := newBed(binary, record, []*queue{q, p})
	b.cell(3, kindA)
	b.mu.Lock()
	index := map[*minion]int{}
	for i, m := range b.minions {
		index[m] = i
	}
	b.good = func(step string, m *minion) bool {
		i := index[m]
		return i/8 == 0 || i/8 == 5 || (i/8 < 3 && i%8 < 2)
	}
	all := b.minions
	b.mu.Unlock()
	if trouble {
		for _, m := range all[:6] {
			m.crash()
		}
	}
	time.Sleep(12 * time.Second)
	j := &job{id: "00000000000000ab", queue: q, spec: "a gang", phases: []phase{{Count: 8, CPU: 20000, Mem: 8192, Est: 3000, Gang: true, SameRack: true, takes: 3 * time.Second}}}
	if !b.submit(j) {
		b.cannot("the job is not accepted")
	}
	b.judgeFinish(j, 60*time.Second)
	b.finish("LOST")
}

// judgeFinish checks LOST for the last job of the traffic: it is asked for finish_s after the end of the traffic, and
// something of it must run within any 3 s from then on until it is completed.
func (b *bed) judgeFinish(j *job, limit time.Duration) {
	end := time.Now()
	if await(limit, func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		for i := range j.phases[0].Count {
			if h := b.history[fmt.Sprintf("%s.0.0.%d", j.id, i)]; h != nil && h.done {
				return true
			}
		}
		return false
	}) && await(5*time.Second, func() bool { return b.state(j) == "completed" }) {
		b.note("completed %.1f s after the end of the traffic", time.Since(end).Seconds())
		return
	}
	state := b.state(j)
	b.mu.Lock()
	defer b.mu.Unlock()
	starts := 0
	for i := range j.phases[0].Count {
		if h := b.history[fmt.Sprintf("%s.0.0.%d", j.id, i)]; h != nil {
			starts += h.starts
		}
	}
	b.breaks("LOST", "%.0f s after the end of the traffic the job is %q, %d of its tasks have ever started", time.Since(end).Seconds(), state, starts)
}

// caseSpread: a minion crashes on which a task of a step runs that lasts and allows one task a minion.
func caseSpread(binary, record string, trouble bool) {
	q, p := slowAdvice("wide"), plain("plain")
	b := newBed(binary, record, []*queue{q, p})
	b.cell(3, kindA)
	b.mu.Lock()
	index := map[*minion]int{}
	for i, m := range b.minions {
		index[m] = i
	}
	b.good = func(step string, m *minion) bool {
		i := index[m]
		return i >= 8 && (i%8 == 1 || i%8 == 2 || i%8 == 4 || i%8 == 5 || i%8 == 7)
	}
	b.mu.Unlock()
	j := &job{id: "00000000000000ac", queue: q, spec: "a service", phases: []phase{{Count: 18, CPU: 4000, Mem: 1024, Est: 1000, LongRunning: true, MaxPerServer: 1}}}
	if !b.submit(j) {
		b.cannot("the job is not accepted")
	}
	atWork := func() int {
		n := 0
		for _, r := range b.runsOf(j) {
			b.mu.Lock()
			if r.atWork() {
				n++
			}
			b.mu.Unlock()
		}
		return n
	}
	if !await(20*time.Second, func() bool { return atWork() == 18 }) {
		b.cannot("only %d of 18 tasks come to work", atWork())
	}
	time.Sleep(4 * time.Second)
	if trouble {
		b.runsOf(j)[0].m.crash()
	}
	time.Sleep(8 * time.Second)
	if !await(50*time.Second, func() bool { return atWork() == 18 }) {
		b.mu.Lock()
		for i := range 18 {
			if h := b.history[fmt.Sprintf("%s.0.0.%d", j.id, i)]; h.up == 0 {
				free := 0
				for _, m := range b.minions {
					if !m.down && b.good("", m) && len(m.running) == 0 {
						free++
					}
				}
				b.breaks("LOST", "task %d of the step that lasts does not run %.1f s after its last run, with %d minions idle that may run it", i, time.Since(h.lastEnd).Seconds(), free)
			}
		}
		b.mu.Unlock()
	}
	b.finish("LOST")
}

// caseOccupied: a minion crashes, and the task that lasts which ran there moves to another rack; then a gang that wants
// one rack comes.
func caseOccupied(binary, record string, trouble bool) {
	q := plain("wide")
	b := newBed(binary, record, []*queue{q})
	b.cell(3, func(i int) string {
		if i == 0 || i == 40 {
			return "b"
		}
		return "a"
	})
	lasting := func(n int, label string) {
		j := &job{id: fmt.Sprintf("%016x", 0x100+n), queue: q, spec: "a service", phases: []phase{{Count: 1, CPU: 30000, Mem: 8192, Est: 1000, LongRunning: true, Requirements: label}}}
		if !b.submit(j) {
			b.cannot("a job that lasts is not accepted")
		}
		if !await(15*time.Second, func() bool { return len(b.runsOf(j)) == 1 }) {
			b.cannot("a job that lasts does not start")
		}
	}
	for rack := range 5 {
		lasting(rack, fmt.Sprintf("r1-%d", rack))
	}
	lasting(9, "b")
	time.Sleep(2 * time.Second)
	b.mu.Lock()
	first := b.minions[0]
	if len(first.running) != 2 {
		b.note("minion 0 runs %d tasks", len(first.running))
	}
	b.mu.Unlock()
	if trouble {
		first.crash()
	}
	time.Sleep(14 * time.Second)
	j := &job{id: "00000000000000ad", queue: q, spec: "a gang", phases: []phase{{Count: 8, CPU: 40000, Mem: 8192, Est: 3000, Gang: true, SameRack: true, takes: 3 * time.Second}}}
	if !b.submit(j) {
		b.cannot("the job is not accepted")
	}
	b.judgeFinish(j, 40*time.Second)
	b.finish("LOST")
}

// caseForeign: two tenants use one id; then the leader is killed before the accepted job is due.
func caseForeign(binary, record string, trouble bool) {
	q := plain("wide")
	b := newBed(binary, record, []*queue{q}, "first", "second")
	b.cell(3, kindA)
	leader := b.leader()
	var d *daemon
	for _, x := range b.daemons {
		if x != leader {
			d = x
		}
	}
	j := &job{id: "0000000000000001", queue: q, spec: "survey of the first tenant", phases: []phase{{Count: 2, CPU: 2000, Mem: 1024, Est: 500, takes: 500 * time.Millisecond}},
		repeat: 1, startAt: time.Now().Add(8 * time.Second).UnixMilli(), interval: 1000}
	b.mu.Lock()
	b.jobs[j.id] = j
	b.mu.Unlock()
	post := func(spec string) int {
		code, text := b.call(d, "POST", q.prefix()+j.id, map[string]any{"spec": spec, "phases": j.phases, "repeat_count": 1, "start_at_ms": j.startAt, "interval_ms": 1000})
		b.note("client with %s: POST %s with spec %q at %s: %d %s", b.key, j.id, spec, d.name, code, text)
		return code
	}
	if post(j.spec) != 200 {
		b.cannot("the job is not accepted")
	}
	b.key = "key-of-second"
	if code := post("survey of the second tenant"); code == 200 {
		b.cannot("the second job is accepted")
	}
	b.key = "key-of-first"
	time.Sleep(time.Second)
	if trouble {
		leader.signal(syscall.SIGKILL)
		<-leader.done
		time.Sleep(time.Second)
		leader.start(2)
		leader.awaitURL(10 * time.Second)
	}
	await(25*time.Second, func() bool { return b.state(j) == "completed" })
	b.finish("UNASKED")
}

// caseFills: a minion crashes on which a task serves that has a target; it moves beside a task that fills and lasts.
func caseFills(binary, record string, trouble bool) {
	q := plain("wide")
	b := newBed(binary, record, []*queue{q})
	b.cell(3, kindA)
	lasting := func(id string, p phase) *job {
		j := &job{id: id, queue: q, spec: "a service", phases: []phase{p}}
		if !b.submit(j) {
			b.cannot("a job that lasts is not accepted")
		}
		if !await(20*time.Second, func() bool { return len(b.runsOf(j)) == p.Count }) {
			b.cannot("%d of %d tasks of a job that lasts start", len(b.runsOf(j)), p.Count)
		}
		return j
	}
	serving := lasting("00000000000000b1", phase{Count: 46, CPU: 4000, Mem: 1024, Est: 1000, LongRunning: true, Target: 50, MaxPerServer: 1})
	fill := lasting("00000000000000b2", phase{Count: 2, CPU: 4000, Mem: 1024, Est: 1000, LongRunning: true, Fills: true, MayMiss: 1, MaxPerServer: 1})
	time.Sleep(2 * time.Second)
	if trouble {
		all := b.runsOf(serving)
		all[0].m.crash()
		all[1].m.crash()
	}
	time.Sleep(25 * time.Second)
	b.mu.Lock()
	for i := range 2 {
		if h := b.history[fmt.Sprintf("%s.0.0.%d", fill.id, i)]; h.up == 0 {
			b.breaks("LOST", "task %d of the job that fills and lasts does not run %.1f s after its last run", i, time.Since(h.lastEnd).Seconds())
		}
	}
	b.mu.Unlock()
	b.finish("LOST")
}

// caseUnanswered: a minion is lost for good while jobs come, on a deployment on which minions keep their ids.
func caseUnanswered(binary, record string, trouble bool) {
	q := plain("wide")
	b := newBed(binary, record, []*queue{q})
	b.keepIDs = true
	b.cell(3, kindA)
	var jobs []*job
	var wg sync.WaitGroup
	var mu sync.Mutex
	for n := range 80 { // 20 jobs a second, 4 s long
		if n == 50 && trouble {
			b.mu.Lock()
			all := slices.Clone(b.minions)
			// Those with the most work that have room for more: the next starts go there.
			rank := func(m *minion) int {
				if n := len(m.running); n < 10 {
					return n
				}
				return -1
			}
			slices.SortStableFunc(all, func(x, y *minion) int { return rank(y) - rank(x) })
			b.mu.Unlock()
			all[0].vanish() // 0.021 of them; the site's "dark gone" has 0.041
		}
		j := &job{id: fmt.Sprintf("%016x", 0x200+n), queue: q, spec: "a survey", phases: []phase{{Count: 2, CPU: 6000, Mem: 2048, Est: 2000, takes: 2 * time.Second}}}
		wg.Go(func() {
			if b.submit(j) {
				mu.Lock()
				jobs = append(jobs, j)
				mu.Unlock()
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	end := time.Now()
	b.note("end of the traffic, %d jobs are accepted", len(jobs))
	time.Sleep(time.Until(end.Add(14 * time.Second))) // finish_s
	idle := map[*job]time.Time{}
	for time.Since(end) < 45*time.Second {
		left := 0
		b.mu.Lock()
		for _, j := range jobs {
			running := 0
			for i := range 2 {
				if h := b.history[fmt.Sprintf("%s.0.0.%d", j.id, i)]; h != nil {
					running += h.up
				}
			}
			switch {
			case b.notDone(j) == "":
				delete(idle, j)
				continue
			case running > 0:
				idle[j] = time.Now()
			case idle[j].IsZero():
				idle[j] = time.Now()
			case time.Since(idle[j]) > 3*time.Second:
				used := 0
				for _, m := range b.minions {
					used += len(m.running)
				}
				b.breaks("LOST", "%s has nothing running for 3 s, %.1f s after the end of the traffic, with %d runs in the whole cell", j.id, time.Since(end).Seconds(), used)
				idle[j] = time.Now().Add(time.Hour)
			}
			left++
		}
		b.mu.Unlock()
		if left == 0 {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	b.note("%.1f s after the end of the traffic %d jobs have been late or are open", time.Since(end).Seconds(), len(idle))
	b.finish("LOST")
}
