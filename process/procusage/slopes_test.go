package procusage_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/connection/vmlist"
	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/standin/cell"
	"fennelshunt.example/fennelshunt/standin/platform"
	"fennelshunt.example/fennelshunt/version/spec"
)

// The benchmarks of this file measure the unit costs that docs/CAPACITY.md
// multiplies: the sizes of messages, of the configuration in memory and of the
// store's contents, for workers, jobs and tasks of the expected size.

var size = spec.Resources{MilliCPU: 3000, MemoryMB: 6 << 10}

func taskRef(i int) worker.Ref {
	return worker.Ref{Task: spec.TaskID{Job: fmt.Sprintf("team-0417-render-%d", i/20), Generation: 38211, Index: i % 20}, Attempt: 1}
}

func running(i int) plan.RunningTask {
	return plan.RunningTask{Ref: taskRef(i), Size: size, Class: spec.Normal, Team: "team-0417", Kind: spec.Batch, StartedMillis: 81234, Work: 0.37}
}

// workerState returns a worker with that many tasks. With partial it is marked as
// a delta, which repeats the zone, rack and capacity, as the protocol does.
func workerState(tasks int, partial bool) plan.WorkerState {
	s := plan.WorkerState{ID: "worker-12345", Zone: "gulberg-hall", Rack: "rack-1543", Partial: partial,
		Capacity: spec.Resources{MilliCPU: 64_000, MemoryMB: 128 << 10, Accelerators: 2}, Reserved: size.Times(int64(tasks))}
	for i := range tasks {
		s.Tasks = append(s.Tasks, running(i))
	}
	return s
}

func step() plan.Step {
	return plan.Step{Worker: "worker-12345", Class: spec.Normal, Team: "team-0417", Start: worker.Start{
		Task: taskRef(1).Task, Attempt: 1, Kind: spec.Batch, Size: size, RunTime: spec.Duration(10 * time.Minute),
		Parameters: map[string]string{"input": "batch-123456789"}}}
}

// BenchmarkMessageBytes reports the size of each message between daemons.
func BenchmarkMessageBytes(b *testing.B) {
	delta := workerState(1, true)
	delta.Ended = []worker.Ref{taskRef(21)}
	endpoint := plan.Endpoint{Service: "survey-desk", Task: taskRef(1).Task, Attempt: 1, Worker: "worker-12345", Zone: "gulberg-hall",
		Address: "10.12.13.14:31234", Slots: 8, Conns: 64}
	event := plan.Event{Task: taskRef(1).Task, Attempt: 1, Worker: "worker-12345", State: worker.Running}
	for _, m := range []struct {
		name  string
		value any
	}{
		{"worker/empty", workerState(0, false)}, {"worker/10 tasks", workerState(10, false)},
		{"worker/one started one ended", delta}, {"worker/reserved only", plan.WorkerState{ID: "worker-12345", Partial: true, Reserved: size.Times(7)}},
		{"endpoint", endpoint}, {"step", step()}, {"event", event},
	} {
		b.Run(m.name, func(b *testing.B) {
			var data []byte
			for b.Loop() {
				var err error
				data, err = peer.Marshal(m.value)
				require.NoError(b, err)
			}
			b.ReportMetric(float64(len(data)), "B")
		})
	}
}

// BenchmarkVMListBytes reports the size of the VM list per VM, plain and
// compressed with gzip.
func BenchmarkVMListBytes(b *testing.B) {
	for _, n := range []int{48, 2273, 25000} {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			var list []vmlist.VM
			for i := range n {
				list = append(list, vmlist.VM{Name: fmt.Sprintf("worker-%05d", i), Role: vmlist.RoleWorker, Zone: "gulberg-hall",
					Rack: fmt.Sprintf("rack-%d", i/8), Address: fmt.Sprintf("10.%d.%d.%d:31234", i>>16, i>>8&255, i&255),
					Capacity: spec.Resources{MilliCPU: 64_000, MemoryMB: 128 << 10, Accelerators: 2}})
			}
			var plain []byte
			var compressed bytes.Buffer
			for b.Loop() {
				var err error
				plain, err = json.Marshal(list)
				require.NoError(b, err)
				compressed.Reset()
				z := gzip.NewWriter(&compressed)
				_, err = z.Write(plain)
				require.NoError(b, err)
				require.NoError(b, z.Close())
			}
			b.ReportMetric(float64(len(plain))/float64(n), "B/VM")
			b.ReportMetric(float64(compressed.Len())/float64(n), "gzip-B/VM")
		})
	}
}

// BenchmarkConfigurationMemory reports the heap that a configuration uses per job.
func BenchmarkConfigurationMemory(b *testing.B) {
	const jobs = 25_000
	for b.Loop() {
		before := heap()
		c := &spec.Config{Teams: map[string]*spec.Team{}, Jobs: map[string]*spec.VersionedJob{}}
		for i := range jobs {
			name := fmt.Sprintf("team-%04d-render-%d", i%1200, i)
			c.Jobs[name] = &spec.VersionedJob{Generation: uint64(i), File: fmt.Sprintf("team-%04d", i%1200), Job: spec.Job{
				Name: name, Team: fmt.Sprintf("team-%04d", i%1200), Kind: spec.Batch, Count: 20, Size: size,
				Parameters: map[string]string{"input": fmt.Sprintf("batch-%d", i)}}}
		}
		b.ReportMetric(float64(heap()-before)/jobs, "B/job")
		runtime.KeepAlive(c)
	}
}

func heap() int64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}

// BenchmarkStoreContent reports the number of keys in the store and their mean
// value size by role, for an embedded cell of 48 workers in 6 racks and 3
// daemons that runs one service of 48 instances.
func BenchmarkStoreContent(b *testing.B) {
	for b.Loop() {
		c, err := cell.Start(b.Context(), cell.Options{Platform: platform.Options{Shape: platform.Authority(), Lag: time.Second, Seed: 1}, Daemons: 3, Log: zerolog.Nop()})
		require.NoError(b, err)
		ctx, cancel := context.WithTimeout(b.Context(), time.Minute)
		_, err = c.Apply(ctx, &spec.File{Name: "base", Teams: []spec.Team{{Name: "desk"}}, Jobs: []spec.Job{{Name: "survey-desk", Team: "desk",
			Kind: spec.Service, Count: 48, Size: size, Service: &spec.ServiceSettings{Slots: 8, Connections: 64}}}})
		require.NoError(b, err)
		require.NoError(b, c.WaitPlaced(ctx, 48, 0))
		entries, _, err := c.Platform.Store.List(ctx, "")
		require.NoError(b, err)
		cancel()
		report(b, entries)
		require.NoError(b, c.Close())
	}
}

func report(b *testing.B, entries []store.Entry) {
	keys, bytes := map[string]int{}, map[string]int{}
	for _, e := range entries {
		parts := strings.Split(e.Key, "/")
		role := strings.Join(parts[:min(2, len(parts)-1)], "/")
		keys[role]++
		bytes[role] += len(e.Value)
	}
	for role, n := range keys {
		b.ReportMetric(float64(n), role+"-keys")
		b.ReportMetric(float64(bytes[role])/float64(n), role+"-B")
	}
}
