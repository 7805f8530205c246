package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"time"
)

func init() { cases["solo"] = caseSolo }

// caseSolo hands in one job after the other, each with capacity for it twice over and nothing else in the cell, and looks
// for those of which nothing starts. It has no disruption.
func caseSolo(binary, record string, _ bool) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	rng := rand.New(rand.NewPCG(seed, 1))
	qs := []*queue{plain("wide"), {name: "quick", priority: 0, attempts: 4, advice: true, decide: 7.4, each: 0.11, valid: 2 * time.Second},
		{name: "middle", priority: 2, attempts: 2, advice: true, decide: 53, each: 0.75, valid: 2 * time.Second}, slowAdvice("slow")}
	b := newBed(binary, record, qs)
	share := 0.3
	good := func(step string, i int) bool {
		h := uint64(14695981039346656037)
		for _, c := range []byte(fmt.Sprint(i, "/", step)) {
			h = (h ^ uint64(c)) * 1099511628211
		}
		return float64((h>>20)%1000) < 1000*share
	}
	b.good = func(step string, m *minion) bool { return good(step, m.index) }
	b.cell(3, func(i int) string { return []string{"a", "b"}[i%2] })
	b.mu.Lock()
	all := b.minions
	b.mu.Unlock()
	tried := 0
	for n := 0; time.Since(b.began) < 85*time.Second; n++ {
		share = 0.3 + 0.6*rng.Float64()
		j := &job{id: fmt.Sprintf("%016x", 0x9000+n), queue: qs[1+rng.IntN(3)], spec: "x"}
		p := phase{Count: 1 + rng.IntN(24), CPU: 500 + rng.IntN(30000), Est: 300, takes: 100 * time.Millisecond}
		p.Gang = rng.IntN(2) == 0
		p.SameRack = p.Gang && rng.IntN(3) == 0 && os.Getenv("NORACK") == ""
		if rng.IntN(3) == 0 {
			p.MaxPerServer = 1 + rng.IntN(2)
		}
		if rng.IntN(4) == 0 {
			p.Requirements = []string{"a", "b"}[rng.IntN(2)]
		}
		j.phases = []phase{p}
		slots := 0
		for _, m := range all {
			if good(j.id+".0.0", m.index) && (p.Requirements == "" || m.kind == p.Requirements) {
				k := m.cpu / p.CPU
				if p.MaxPerServer > 0 {
					k = min(k, p.MaxPerServer)
				}
				slots += k
			}
		}
		if slots < 2*p.Count {
			continue
		}
		tried++
		if !b.submit(j) {
			b.cannot("not accepted")
		}
		if !await(12*time.Second, func() bool {
			b.mu.Lock()
			defer b.mu.Unlock()
			return b.notDone(j) == ""
		}) {
			b.mu.Lock()
			b.breaks("LOST", "%s share %.2f slots %d: %+v", j.id, share, slots, p)
			b.mu.Unlock()
			b.cancel(j)
		}
	}
	fmt.Println(tried, "jobs")
	b.finish("LOST")
}
