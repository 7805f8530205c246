package dispatch

import (
	"fmt"
	"testing"
	"time"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/version/work"
)

// BenchmarkRound measures one round of placement over a backlog when every worker is full,
// which is the usual state under overload.
func BenchmarkRound(b *testing.B) {
	for _, backlog := range []int{50, 500, 2000} {
		b.Run(fmt.Sprint(backlog), func(b *testing.B) { rounds(b, backlog, 0) })
	}
}

// BenchmarkRoundWithAccounts is BenchmarkRound over 500 waiting steps whose jobs are of
// 1,200 client accounts, each with a cap. Goal: at most 5 % more than without accounts.
func BenchmarkRoundWithAccounts(b *testing.B) {
	for _, accounts := range []int{0, 1200} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) { rounds(b, 500, accounts) })
	}
}

// rounds measures rounds over a backlog of jobs of that many accounts.
func rounds(b *testing.B, backlog, accounts int) {
	e := NewEngine(Options{Epoch: 1, Bounds: Bounds{Lease: 6 * time.Second, MaxLease: 6 * time.Second, Keep: time.Minute}})
	for i := range 48 {
		id := runner.WorkerID(fmt.Sprintf("w-%d", i))
		e.WorkerSeen(0, runner.Worker{Ref: runner.Ref{ID: id, Address: string(id)}, Service: "s", Capacity: work.Resources{CPU: 64000, Memory: 131072}, Labels: []string{"a", fmt.Sprint("r", i/8)}})
		w := e.workers[id]
		w.recorded, w.fenced = true, true
	}
	e.Members(0, []string{"a", "b", "c"})
	var list []work.Account
	for i := range accounts {
		list = append(list, work.Account{Name: fmt.Sprint("a", i), Weight: 5, Cap: work.Resources{CPU: 500000, Memory: 900000}})
	}
	known, err := work.NewAccounts(list)
	if err != nil {
		b.Fatal(err)
	}
	e.SetAccounts(0, known)
	for i := range backlog {
		spec := &work.Job{Queue: work.Queue{Name: "q", Service: "s", Attempts: 3, Priority: i % 3, Slack: 2, Advice: &work.Advice{Base: 50 * time.Millisecond, PerWorker: time.Millisecond, Valid: 2 * time.Second}},
			Steps: []work.Step{{Count: 10, Size: work.Resources{CPU: 9000, Memory: 20000}, Estimate: time.Second, Gang: i%10 == 0}}, Epoch: 1}
		if accounts > 0 {
			spec.Account = list[i%accounts].Name
		}
		e.add(work.JobID(fmt.Sprintf("%016x", i)), spec, 0)
	}
	for _, w := range e.workerList {
		w.used = work.Resources{CPU: 60000, Memory: 120000}
	}
	b.ResetTimer()
	for i := range b.N {
		e.now = time.Duration(i) * 5 * time.Millisecond
		e.schedule()
		e.effects = nil
	}
}

// BenchmarkEvacuate measures a look at the runs on workers that leave, in a cell of 350 workers with five
// runs each, none of which has to be stopped yet. The baseline is the same cell without a notice.
func BenchmarkEvacuate(b *testing.B) {
	for _, leaving := range []int{0, 35} {
		b.Run(fmt.Sprint(leaving), func(b *testing.B) {
			e := NewEngine(Options{Epoch: 1, Bounds: Bounds{Lease: 6 * time.Second, MaxLease: 6 * time.Second, Keep: time.Minute}})
			e.SetAccounts(0, nil)
			e.add("00000000000000aa", &work.Job{Queue: work.Queue{Name: "q", Service: "s", Attempts: 3, Slack: 2}, Epoch: 1,
				Steps: []work.Step{{Count: 350 * 5, Size: work.Resources{CPU: 2000, Memory: 20000}, Estimate: time.Minute, Checkpoints: true}}}, 0)
			s := e.jobs["00000000000000aa"].occurrences[0].steps[0]
			for i := range 350 {
				id := runner.WorkerID(fmt.Sprintf("w-%d", i))
				seen := runner.Worker{Ref: runner.Ref{ID: id, Address: string(id)}, Service: "s", Capacity: work.Resources{CPU: 10000, Memory: 131072}, Labels: []string{"a", "r"}}
				e.WorkerSeen(0, seen)
				w := e.workers[id]
				w.recorded, w.fenced = true, true
				for k := range 5 {
					e.confirm(e.start(w, s, i*5+k, 1, ""), 0)
				}
				if i < leaving {
					seen.Draining, seen.Notice = true, runner.Notice{Known: true, Remaining: 4 * time.Second}
					e.WorkerSeen(0, seen)
				}
			}
			b.ResetTimer()
			for range b.N {
				e.evacuating.at = 0
				e.evacuate()
			}
			if e.stats.Evacuated > 0 {
				b.Fatal("runs were stopped")
			}
		})
	}
}
