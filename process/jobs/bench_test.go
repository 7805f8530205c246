package jobs

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/jobs/progress"
	"fennelshunt.example/fennelshunt/process/ownership"
	"fennelshunt.example/fennelshunt/process/ownership/ownershiptest"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/process/sched"
	"fennelshunt.example/fennelshunt/standin/kv"
	"fennelshunt.example/fennelshunt/version/spec"

	"github.com/fxamacker/cbor/v2"
)

// benchPartitions stands for all partition owners. It accepts every plan and ends
// each task immediately, or never when keepRunning is set. It counts the bytes of
// messages.
type benchPartitions struct {
	mu          sync.Mutex
	keepRunning bool
	bytes       int64
	events      func(plan.Events)
	started     chan int
	stopped     chan int
}

func (p *benchPartitions) Call(_ context.Context, _ peer.Ref, method peer.Method, req, resp any) error {
	data, err := cbor.Marshal(req)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.bytes += int64(len(data))
	p.mu.Unlock()
	switch method {
	case plan.MethodCommit:
		p.commit(req.(*plan.Plan), resp.(*plan.Result))
	case plan.MethodStop:
		p.end(req.(*plan.Stop).Partition, req.(*plan.Stop).Tasks, worker.Stopped)
		p.stopped <- len(req.(*plan.Stop).Tasks)
	}
	return nil
}

func (p *benchPartitions) commit(req *plan.Plan, resp *plan.Result) {
	resp.Steps = make([]plan.StepResult, len(req.Steps))
	refs := make([]worker.Ref, len(req.Steps))
	for i := range req.Steps {
		resp.Steps[i].Outcome = plan.Accepted
		refs[i] = worker.Ref{Task: req.Steps[i].Start.Task, Attempt: req.Steps[i].Start.Attempt}
	}
	if !p.keepRunning {
		p.end(req.Partition, refs, worker.Succeeded)
	}
	p.started <- len(req.Steps)
}

func (p *benchPartitions) end(partition string, refs []worker.Ref, state worker.TaskState) {
	events := plan.Events{Partition: partition, Epoch: 1}
	for _, ref := range refs {
		events.Events = append(events.Events, plan.Event{Task: ref.Task, Attempt: ref.Attempt, State: state})
	}
	go p.events(events)
}

type benchMux struct{}

func (benchMux) Handle(peer.Method, peer.Handler) {}

// benchCell returns a manager over the given number of workers with 64 cores
// each, eight to a rack.
func benchCell(b testing.TB, workers int, jobs ...spec.Job) (*cell, *Manager, *benchPartitions, *kv.Memory) {
	c := newCell(b, 1)
	self := peer.Ref{ID: "d", Incarnation: 1}
	memory := kv.New()
	cache := sched.NewCache()
	var names []string
	for rack := range workers / 8 {
		name := fmt.Sprintf("r%d", rack)
		names = append(names, name)
		c.claims.Set(ownership.Resource(ownership.PartitionPrefix+name), peer.Ref{ID: "p"})
		state := plan.State{Partition: name, Epoch: 1, Seq: 1, Full: true}
		for i := range 8 {
			state.Workers = append(state.Workers, plan.WorkerState{ID: worker.ID(fmt.Sprintf("%s-w%d", name, i)),
				Zone: "z", Rack: name, Capacity: core.Times(64)})
		}
		cache.Apply(state)
	}
	p := &benchPartitions{started: make(chan int, 1<<16), stopped: make(chan int, 1<<16)}
	m := New(Options{
		Self: self, Caller: p, Registrar: benchMux{}, Directory: c.claims.Directory(self), Config: c.config,
		Snapshots: cache.Snapshot, Store: store.NewClient(memory, store.Options{}).Role(store.RoleProgress),
		Partitions: func() []string { return names }, Shards: 1, Log: zerolog.Nop(),
		Tuning:    Tuning{StartsPerSecond: 1e9, StartBurst: 1 << 30, StartAhead: 1 << 20},
		Violation: func(err error) { b.Error(err) },
	})
	p.events = func(e plan.Events) {
		if s := m.shard(0); s != nil {
			_ = s.call(context.Background(), func(st *state) { st.applyEvents(&e) })
		}
	}
	c.apply(nil, jobs...)
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	go func() { _ = m.Serve(ctx) }()
	m.Acquired(ctx, c.claims.Set(Resource(0), self))
	return c, m, p, memory
}

var _ ownership.Directory = (*ownershiptest.Directory)(nil)
var _ progress.Store = (*store.Handle)(nil)

// BenchmarkStart measures the cost of a task in the shard's daemon, from the queue
// through the plan and the completion to the durable result.
func BenchmarkStart(b *testing.B) {
	for _, workers := range []int{48, 504, 2504} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			_, m, p, memory := benchCell(b, workers, batch("b", "a", b.N, time.Second))
			cpu := cpuTime()
			start := time.Now()
			b.ReportAllocs()
			b.ResetTimer()
			for n := 0; n < b.N; {
				n += <-p.started
			}
			b.StopTimer()
			b.ReportMetric(float64(cpuTime()-cpu)/float64(b.N)/1e3, "cpu-µs/start")
			p.mu.Lock()
			b.ReportMetric(float64(p.bytes)/float64(b.N), "sent-B/start")
			p.mu.Unlock()
			b.ReportMetric(float64(memory.Counts().Put)/time.Since(start).Seconds(), "writes/s")
			_ = m
		})
	}
}

// BenchmarkCancelWave measures the cancellation of 50,000 tasks of which 5,000
// run, until each stop was sent, and for comparison a naive implementation that
// visits every task.
func BenchmarkCancelWave(b *testing.B) {
	const tasks, live = 50_000, 5_000
	b.Run("shard", func(b *testing.B) {
		for b.Loop() {
			b.StopTimer()
			c, m, p, _ := benchCell(b, 104)
			p.keepRunning = true
			teams := []spec.Team{{Name: "a", Quota: core.Times(live)}}
			c.apply(teams, batch("wave", "a", tasks, time.Hour))
			for n := 0; n < live; {
				n += <-p.started
			}
			urgent := batch("urgent", "u", 1, time.Hour)
			urgent.Class = spec.Urgent
			b.StartTimer()
			at := time.Now()
			c.apply(teams, urgent)
			<-p.started
			b.ReportMetric(float64(time.Since(at).Microseconds()), "urgent-µs")
			for n := 0; n < live; {
				n += <-p.stopped
			}
			b.StopTimer()
			m.Lost(Resource(0), 1)
			b.StartTimer()
		}
	})
	b.Run("naive", func(b *testing.B) {
		for b.Loop() {
			b.StopTimer()
			type task struct{ ref worker.Ref }
			all := make(map[spec.TaskID]*task, tasks)
			for i := range tasks {
				id := spec.TaskID{Job: "wave", Generation: 1, Index: i}
				all[id] = &task{worker.Ref{Task: id}}
			}
			b.StartTimer()
			for id, t := range all {
				if _, err := cbor.Marshal(plan.Stop{Tasks: []worker.Ref{t.ref}}); err != nil {
					b.Fatal(err)
				}
				delete(all, id)
			}
		}
	})
}

// BenchmarkMemory measures the heap per task with 210,000 tasks in 100 jobs, of
// which 3,000 run.
func BenchmarkMemory(b *testing.B) {
	const jobs, each, live = 100, 2_100, 3_000
	for b.Loop() {
		before := heapInUse()
		c, m, p, _ := benchCell(b, 48)
		p.keepRunning = true
		var all []spec.Job
		for i := range jobs {
			all = append(all, batch(fmt.Sprintf("j%d", i), "a", each, time.Hour))
		}
		c.apply([]spec.Team{{Name: "a", Quota: core.Times(live)}}, all...)
		for n := 0; n < live; {
			n += <-p.started
		}
		b.ReportMetric(float64(heapInUse()-before)/jobs/each, "B/task")
		b.ReportMetric(float64(heapInUse()-before)/(1<<20), "MB")
		m.Lost(Resource(0), 1)
	}
}

func heapInUse() int64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}

// BenchmarkPacedStarts runs 1,600 starts a second for some seconds and reports
// CPU time, writes and bytes a second.
func BenchmarkPacedStarts(b *testing.B) {
	const perSecond, seconds = 1600, 5
	for b.Loop() {
		c, m, p, memory := benchCell(b, 48)
		var all []spec.Job
		for i := range 20 {
			all = append(all, batch(fmt.Sprintf("j%d", i), fmt.Sprintf("t%d", i%5), perSecond*seconds, time.Second))
		}
		_ = m.shard(0).call(context.Background(), func(st *state) {
			st.limiter.SetLimit(perSecond)
			st.limiter.SetBurst(perSecond / 50)
		})
		cpu, start, writes := cpuTime(), time.Now(), memory.Counts().Put
		c.apply(nil, all...)
		n := 0
		for n < perSecond*seconds {
			n += <-p.started
		}
		took := time.Since(start).Seconds()
		b.ReportMetric(float64(n)/took, "starts/s")
		b.ReportMetric(float64(cpuTime()-cpu)/1e9/took*100, "%core")
		b.ReportMetric(float64(memory.Counts().Put-writes)/took, "writes/s")
		p.mu.Lock()
		b.ReportMetric(float64(p.bytes)/took/1000, "sent-kB/s")
		p.mu.Unlock()
		m.Lost(Resource(0), 1)
	}
}
