package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"fennelshunt.example/fennelshunt/standin/kv"
)

func init() { cases["soak"] = caseSoak }

// caseSoak hands in jobs of many forms while faults come, and then looks for what does not end.
func caseSoak(binary, record string, trouble bool) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	rng := rand.New(rand.NewPCG(seed, 1))
	qs := []*queue{plain("wide"), {name: "quick", priority: 0, attempts: 4, advice: true, decide: 7.4, each: 0.11, valid: 2 * time.Second}, slowAdvice("slow")}
	var tenants []string
	if os.Getenv("CAP") != "" {
		tenants = []string{"one", "two", "three"}
	}
	b := newBed(binary, record, qs, tenants...)
	b.rng = rand.New(rand.NewPCG(seed, 2))
	b.good = func(step string, m *minion) bool {
		h := uint64(14695981039346656037)
		for _, c := range []byte(step + fmt.Sprint(m.index)) {
			h = (h ^ uint64(c)) * 1099511628211
		}
		return (h>>20)%10 < 5
	}
	b.keepIDs = os.Getenv("BORN") != ""
	b.cell(4, func(i int) string { return []string{"a", "b"}[i%2] })
	var jobs []*job
	var mu sync.Mutex
	var wg sync.WaitGroup
	stop := time.Now().Add(40 * time.Second)
	pause, n := 400, 0
	if x, err := strconv.Atoi(os.Getenv("PAUSE")); err == nil {
		pause = x
	}
	newJob := func() *job {
		n++
		j := &job{id: fmt.Sprintf("%016x", 0x5000+n), queue: qs[[]int{0, 1, 0, 1, 0, 1, 0, 1, 0, 1, 0, 2}[rng.IntN(12)]], spec: fmt.Sprintf("spec %d", n)}
		if rng.IntN(10) == 0 {
			j.spec = ""
		}
		if len(tenants) > 0 {
			j.tenant = tenants[rng.IntN(len(tenants))]
		}
		for i := range 1 + rng.IntN(3) {
			p := phase{Count: 1 + rng.IntN(8), CPU: 500 + rng.IntN(20000), Mem: 100 + rng.IntN(20000), takes: time.Duration(100+rng.IntN(3000)) * time.Millisecond}
			if rng.IntN(5) > 0 {
				p.Est = int(float64(p.takes.Milliseconds()) * (0.3 + 2*rng.Float64()))
			}
			if i > 0 && rng.IntN(2) == 0 {
				p.After = []int{rng.IntN(i)}
			}
			switch rng.IntN(8) {
			case 0, 1:
				p.Gang = true
				p.SameRack = rng.IntN(2) == 0 && os.Getenv("NORACK") == ""
			case 2:
				p.MaxPerServer = 1 + rng.IntN(2)
			case 3:
				p.Requirements = []string{"a", "b", "r1-1", "r1-4"}[rng.IntN(4)]
			case 4:
				p.Fills = true
			}
			j.phases = append(j.phases, p)
		}
		switch rng.IntN(14) {
		case 0:
			j.phases = j.phases[:1]
			j.phases[0].LongRunning, j.phases[0].After, j.phases[0].Gang, j.phases[0].SameRack, j.phases[0].Fills = true, nil, false, false, rng.IntN(3) == 0
			j.phases[0].MayMiss = rng.IntN(3)
			j.phases[0].CPU = 500 + rng.IntN(4000)
			if rng.IntN(3) == 0 && !j.phases[0].Fills {
				j.phases[0].Target = 50
			}
		case 1, 2:
			j.repeat, j.startAt, j.interval = 1+rng.IntN(5), time.Now().UnixMilli()+int64(rng.IntN(4000)), int64(rng.IntN(4000))
		}
		if rng.IntN(6) == 0 {
			j.fails = 0.1
		}
		return j
	}
	wg.Go(func() {
		for time.Now().Before(stop) {
			j := newJob()
			wg.Go(func() {
				if b.submit(j) {
					mu.Lock()
					j.accepted = time.Now()
					jobs = append(jobs, j)
					mu.Unlock()
				}
				if rand.IntN(12) == 0 {
					time.Sleep(time.Duration(rand.IntN(3000)) * time.Millisecond)
					if b.cancel(j) == 200 {
						b.mu.Lock()
						j.cancelled = time.Now()
						b.mu.Unlock()
					}
				}
			})
			time.Sleep(time.Duration(rng.IntN(pause)) * time.Millisecond)
		}
	})
	asked := 0
	wg.Go(func() {
		for time.Now().Before(stop) {
			time.Sleep(15 * time.Millisecond)
			mu.Lock()
			if len(jobs) == 0 {
				mu.Unlock()
				continue
			}
			j := jobs[rand.IntN(len(jobs))]
			if rand.IntN(2) == 0 {
				j = jobs[max(0, len(jobs)-1-rand.IntN(10))]
			}
			mu.Unlock()
			d := b.daemons[rand.IntN(len(b.daemons))]
			sent := time.Now()
			code, text := b.callWith(b.keyOf(j), d, "GET", j.queue.prefix()+j.id, nil)
			b.mu.Lock()
			asked++
			switch {
			case code == 410 && sent.Sub(j.accepted) > 3*time.Second:
				b.breaks("LOST", "GET %s at %s: 410, %v after its acceptance", j.id, d.name, sent.Sub(j.accepted))
			case strings.Contains(text, "completed"):
				if missing := b.notDone(j); missing != "" {
					b.breaks("MIXED", "%s is shown as completed by %s, and %s isn't done", j.id, d.name, missing)
				}
			}
			b.mu.Unlock()
		}
	})
	frng := rand.New(rand.NewPCG(seed, 3))
	for trouble && time.Now().Before(stop) {
		d := b.daemons[frng.IntN(len(b.daemons))]
		for _, x := range b.daemons {
			if l := b.leader(); frng.IntN(2) == 0 && l == x {
				d = x
			}
		}
		span := time.Duration(300+frng.IntN(4000)) * time.Millisecond
		b.mu.Lock()
		var up []*minion
		for _, m := range b.minions {
			if !m.down {
				up = append(up, m)
			}
		}
		b.mu.Unlock()
		m := up[frng.IntN(len(up))]
		switch frng.IntN(11) {
		case 0, 1:
			d.signal(syscall.SIGKILL)
			<-d.done
			time.Sleep(span / 8)
			d.start(100 + int(time.Since(b.began).Milliseconds()))
			d.awaitURL(10 * time.Second)
		case 2:
			d.signal(syscall.SIGSTOP)
			time.Sleep(span)
			d.signal(syscall.SIGCONT)
		case 3:
			d.store.silent.Store(true)
			time.Sleep(span)
			d.store.silent.Store(false)
		case 4:
			m.crash()
			time.AfterFunc(span, func() {
				if b.keepIDs {
					b.addLife(m.index, m.kind, m)
					return
				}
				b.addMinion(m.index, m.kind)
			})
		case 5:
			b.mu.Lock()
			m.cut = true
			b.mu.Unlock()
			b.note("%s is cut off", m.id)
			time.AfterFunc(span+time.Second, func() {
				b.mu.Lock()
				defer b.mu.Unlock()
				m.cut = false
				b.note("%s is back", m.id)
			})
		case 7:
			for _, x := range b.daemons {
				x.signal(syscall.SIGKILL)
			}
			time.Sleep(span / 4)
			for _, x := range b.daemons {
				<-x.done
				x.start(100 + int(time.Since(b.began).Milliseconds()))
			}
			for _, x := range b.daemons {
				x.awaitURL(10 * time.Second)
			}
		case 8:
			b.note("the store loses answers")
			b.kv.SetFaults(kv.Faults{LoseAnswers: 0.3, Delay: 2 * time.Second, DelayChance: 0.05})
			time.AfterFunc(span, func() { b.kv.SetFaults(kv.Faults{}) })
		case 9:
			b.note("the store is down")
			b.kv.SetFaults(kv.Faults{Down: true, FreezeLeases: frng.IntN(2) == 0})
			time.AfterFunc(span, func() { b.kv.SetFaults(kv.Faults{}) })
			time.Sleep(span)
		case 10:
			d.signal(syscall.SIGTERM)
			<-d.done
			d.start(100 + int(time.Since(b.began).Milliseconds()))
			d.awaitURL(10 * time.Second)
		case 6:
			b.mu.Lock()
			b.late = 0.06
			b.mu.Unlock()
			time.AfterFunc(span, func() {
				b.mu.Lock()
				defer b.mu.Unlock()
				b.late = 0
			})
		}
		time.Sleep(time.Duration(frng.IntN(3000)) * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(30 * time.Second)
	b.mu.Lock()
	for _, d := range b.daemons {
		select {
		case <-d.done:
			b.breaks("FAULT", "%s ended by itself", d.name)
		default:
		}
	}
	b.mu.Unlock()
	for _, j := range jobs {
		if !j.cancelled.IsZero() {
			continue
		}
		state := b.state(j)
		ok := state == "completed"
		b.mu.Lock()
		switch {
		case j.phases[0].LongRunning:
			ok = state == "running"
			for i := range j.phases[0].Count {
				h := b.history[fmt.Sprintf("%s.0.0.%d", j.id, i)]
				if h == nil || h.up == 0 {
					b.breaks("LOST", "%+v: lasting task %d does not run", j, i)
				}
			}
		case state == "failed":
			for k := range max(1, j.repeat) {
				for s, p := range j.phases {
					for i := range p.Count {
						if h := b.history[fmt.Sprintf("%s.%d.%d.%d", j.id, k, s, i)]; h != nil && h.failed >= j.queue.attempts || p.Gang && j.fails > 0 {
							ok = true
						}
					}
				}
			}
		}
		if !ok {
			b.breaks("LOST", "%s %s repeat %d: %+v", j.id, state, j.repeat, j.phases)
		}
		b.mu.Unlock()
	}
	fmt.Println(len(jobs), "jobs", asked, "looks at a job")
	wanted := "LOST"
	if b.cap > 0 {
		wanted = "QUOTA"
	}
	b.finish(wanted)
}

// notDone returns a task of a job that has not ended done, "" for none. It is called with mu held.
func (b *bed) notDone(j *job) string {
	for k := range max(1, j.repeat) {
		for s := range j.phases {
			for i := range j.phases[s].Count {
				name := fmt.Sprintf("%s.%d.%d.%d", j.id, k, s, i)
				if h := b.history[name]; h == nil || !h.done {
					return name
				}
			}
		}
	}
	return ""
}
