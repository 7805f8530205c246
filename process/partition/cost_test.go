package partition

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/cellview"
	"fennelshunt.example/fennelshunt/process/partition/agenttest"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/version/spec"
)

// TestTakeoverTime measures, in virtual time with a network delay of 1 ms each
// way and up to 2 ms for each call to a worker and each reply, how long after
// the claim of a failed owner is taken over the first task runs, and the first on
// each reachable worker, with all workers reachable and with one unreachable.
func TestTakeoverTime(t *testing.T) {
	for _, unreachable := range []int{0, 1} {
		t.Run(fmt.Sprintf("%d of 8 workers unreachable", unreachable), func(t *testing.T) {
			inBubble(t, 3, 8, large, func(c *cell) {
				old := c.ready()
				c.net.SetDelay(time.Millisecond)
				c.rack.SetFaults(agenttest.Faults{MaxDelay: 2 * time.Millisecond})
				for i := range unreachable {
					c.rack.SetDown(workerID(i), true)
				}
				old.kill()
				d := c.takeOver(old)
				began := time.Now()
				id := workerID(unreachable)
				c.eventually(10*time.Second, "placed", func() bool {
					return c.author.commit(d, step(1, id))[0].Outcome == plan.Accepted
				})
				c.eventually(time.Second, "runs", func() bool { return len(c.rack.Running(id)) == 1 })
				first := time.Since(began)
				c.eventually(10*time.Second, "placed everywhere", func() bool {
					for i := unreachable; i < 8; i++ {
						r := c.author.commit(d, step(10+i, workerID(i)))[0]
						if r.Outcome != plan.Accepted && r.Outcome != plan.Duplicate {
							return false
						}
					}
					return true
				})
				t.Logf("first start %v, all reachable workers %v after the claim", first, time.Since(began))
				require.Less(t, first, time.Second)
			})
		})
	}
}

// countingConn counts the bytes of both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkWorkerCalls measures, over the HTTP adapter, the time of a heartbeat
// without changes and of a start, and their bytes on the TCP connection in both
// directions.
func BenchmarkWorkerCalls(b *testing.B) {
	rack := agenttest.NewRack()
	rack.Add("worker-0", spec.Resources{MilliCPU: 1 << 40, MemoryMB: 1 << 40}, true)
	server := httptest.NewServer(worker.ServeAgent(rack.Dialer("d").Dial("worker-0")))
	defer server.Close()
	var bytes atomic.Int64
	client := &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := new(net.Dialer).DialContext(ctx, network, addr)
			return countingConn{conn, &bytes}, err
		},
	}}
	agent := worker.NewHTTPDialer(client).Dial(server.Listener.Addr().String())
	lease, err := agent.OpenLease(b.Context(), worker.OpenLease{Owner: "d/1", Epoch: 1, TTL: spec.Duration(time.Hour), TaskTTL: spec.Duration(time.Hour)})
	require.NoError(b, err)
	b.Run("heartbeat", func(b *testing.B) {
		bytes.Store(0)
		for b.Loop() {
			_, err := agent.Sync(b.Context(), worker.SyncRequest{Lease: lease, Since: 1 << 40})
			require.NoError(b, err)
		}
		b.ReportMetric(float64(bytes.Load())/float64(b.N), "B/call")
	})
	for _, batch := range []int{1, 16} {
		b.Run(fmt.Sprintf("start of %d", batch), func(b *testing.B) {
			bytes.Store(0)
			n := 0
			for b.Loop() {
				starts := make([]worker.Start, batch)
				for i := range starts {
					n++
					starts[i] = step(batch*1000000+n, "worker-0").Start
				}
				_, err := agent.Start(b.Context(), lease, starts)
				require.NoError(b, err)
			}
			b.ReportMetric(float64(bytes.Load())/float64(b.N*batch), "B/task")
		})
	}
}

// TestControlBytesOfTheState bounds the CBOR bytes of the long polls by one view,
// idle and under starts. Sending whole task lists would exceed the bounds.
func TestControlBytesOfTheState(t *testing.T) {
	inBubble(t, 1, 8, small.Times(64), func(c *cell) {
		d := c.ready()
		viewer := peer.Ref{ID: "viewer", Incarnation: 1}
		caller, _ := c.net.Node(viewer)
		view := cellview.New(cellview.Options{
			Directory: d.manager, Caller: caller, Partitions: d.racks.Partitions, Listed: d.racks.Changed, Log: zerolog.Nop(),
		})
		go func() { _ = view.Serve(c.ctx) }()
		time.Sleep(10 * time.Second)
		traffic := func(during func()) float64 {
			before := c.net.Traffic(viewer.ID)
			began := time.Now()
			during()
			after := c.net.Traffic(viewer.ID)
			return float64(after.Received+after.Sent-before.Received-before.Sent) / time.Since(began).Seconds()
		}
		idle := traffic(func() { time.Sleep(10 * time.Minute) })
		const starts, perSecond = 2000, 50
		busy := traffic(func() {
			for i := range starts {
				s := step(i, workerID(i%8))
				s.Start.RunTime = spec.Duration(8 * time.Second)
				c.author.commit(d, s)
				if i%perSecond == perSecond-1 {
					time.Sleep(time.Second)
				}
			}
		})
		t.Logf("one view of one partition of 8 workers: idle %.1f B/s, at %d starts/s %.0f B/s, %.0f B per task", idle, perSecond, busy, busy/perSecond)
		require.Less(t, idle, 100.0)
		require.Less(t, busy/perSecond, 400.0)
	})
}

// nopAgent replies at once, so that only the owner's own work is measured.
type nopAgent struct{ worker.Agent }

func (nopAgent) OpenLease(context.Context, worker.OpenLease) (worker.LeaseID, error) { return "l", nil }
func (nopAgent) Inventory(context.Context) (worker.Inventory, error) {
	return worker.Inventory{Leases: []worker.LeaseID{"l"}}, nil
}
func (nopAgent) Sync(context.Context, worker.SyncRequest) (worker.SyncReply, error) {
	return worker.SyncReply{}, nil
}
func (nopAgent) Start(_ context.Context, _ worker.LeaseID, s []worker.Start) ([]worker.StartReply, error) {
	replies := make([]worker.StartReply, len(s))
	for i := range s {
		replies[i].Task = s[i].Task
	}
	return replies, nil
}

type nopDialer struct{}

func (nopDialer) Dial(string) worker.Agent { return nopAgent{} }

// BenchmarkCommit measures a plan of one step at the owner, from the call to its
// result, including the start and its event in the background, and, as the
// baseline, the same call with a plan that is refused as stale.
func BenchmarkCommit(b *testing.B) {
	o := benchOwner(b, 8)
	for _, epoch := range []uint64{0, 1} {
		name := "accepted"
		if epoch == 0 {
			name = "refused"
			o.h.fences.raise(testShard, 1, 0)
		}
		b.Run(name, func(b *testing.B) {
			author := plan.Authorship{Shard: testShard, Epoch: epoch}
			i := int(epoch) << 40
			for b.Loop() {
				i++
				p := plan.Plan{Partition: testPartition, Author: author, Seq: 1, Steps: []plan.Step{step(i, workerID(i%8))}}
				r, err := call(b.Context(), o, func() plan.Result { return o.commit(p) })
				require.NoError(b, err)
				require.Equal(b, epoch == 1, r.Steps[0].Outcome == plan.Accepted, "%v", r.Steps)
				if epoch == 1 && i%64 == 0 {
					_, err := call(b.Context(), o, func() bool { o.dropRunning(); return true })
					require.NoError(b, err)
				}
			}
		})
	}
}

// dropRunning drops every running task, so that their number stays bounded
// during a benchmark.
func (o *owner) dropRunning() {
	for _, n := range o.nodes {
		for _, t := range n.tasks {
			if t.phase == running {
				o.endWithoutResult(n, t, plan.Event{Lost: true})
			}
		}
	}
}

// BenchmarkTick measures one tick, of ten per second, of an owner of 16 workers
// with 32 running tasks each.
func BenchmarkTick(b *testing.B) {
	o := benchOwner(b, 16)
	_, err := call(b.Context(), o, func() bool {
		for i := range 16 * 32 {
			n := o.nodes[workerID(i%16)]
			s := step(i, n.id)
			t := newTask(testShard, &s)
			t.enter(running)
			n.tasks[t.ref] = t
			o.live[t.ref.Task] = t
			require.NoError(b, o.ledger.Reserve(n.id, t.holder(), small))
		}
		return true
	})
	require.NoError(b, err)
	b.ResetTimer()
	for b.Loop() {
		_, err := call(b.Context(), o, func() bool { o.tick(); return true })
		require.NoError(b, err)
	}
}

// benchOwner starts an owner whose workers reply at once.
func benchOwner(b *testing.B, workers int) *owner {
	c := newCell(b, 1, workers, 1, spec.Resources{MilliCPU: 1 << 40, MemoryMB: 1 << 40})
	b.Cleanup(c.cancel)
	d := c.daemons[0]
	d.host.o.Dialer = nopDialer{}
	require.Eventually(b, func() bool { return c.owner() != nil && c.acceptsPlans(d) }, 20*time.Second, time.Millisecond)
	o, err := d.host.owner(testPartition)
	require.NoError(b, err)
	time.Sleep(time.Second)
	return o
}
