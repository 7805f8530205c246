package versions

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/standin/kv"
	"fennelshunt.example/fennelshunt/version/history"
	"fennelshunt.example/fennelshunt/version/spec"
)

// callOverhead is an allowance for the headers of one call to the store and its
// answer over HTTP, in bytes.
const callOverhead = 400

// meteredStore counts a daemon's traffic with the store and can cut it off.
type meteredStore struct {
	store.Store
	cut          atomic.Bool
	bytes, calls atomic.Int64
}

func (m *meteredStore) count(size int) error {
	m.calls.Add(1)
	m.bytes.Add(callOverhead)
	if m.cut.Load() {
		return store.ErrUnavailable
	}
	m.bytes.Add(int64(size))
	return nil
}

func (m *meteredStore) Get(ctx context.Context, key string) (store.Entry, error) {
	e, err := m.Store.Get(ctx, key)
	if cut := m.count(len(e.Value)); cut != nil {
		return store.Entry{}, cut
	}
	return e, err
}

func (m *meteredStore) Put(ctx context.Context, key string, value []byte, prev store.Revision, lease store.LeaseID) (store.Revision, error) {
	if cut := m.count(len(value)); cut != nil {
		return 0, cut
	}
	return m.Store.Put(ctx, key, value, prev, lease)
}

func (m *meteredStore) List(ctx context.Context, prefix string) ([]store.Entry, store.Revision, error) {
	entries, rev, err := m.Store.List(ctx, prefix)
	size := 0
	for _, e := range entries {
		size += len(e.Value)
	}
	if cut := m.count(size); cut != nil {
		return nil, 0, cut
	}
	return entries, rev, err
}

func (m *meteredStore) Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
	events, rev, err := m.Store.Watch(ctx, prefix, after, wait)
	size := 0
	for _, e := range events {
		size += len(e.Value)
	}
	if cut := m.count(size); cut != nil {
		return nil, 0, cut
	}
	return events, rev, err
}

// changeInterval is the mean time between changes at 40,000 a day.
const changeInterval = 24 * time.Hour / 40000

// measurement is the propagation of some versions over one cell.
type measurement struct {
	cell  *cell
	mu    sync.Mutex
	times []time.Duration
}

// watch records when each version comes into force on d.
func (m *measurement) watch(ctx context.Context, d *daemon, applied *sync.Map) {
	seen := d.replicator.Current().Version
	for ctx.Err() == nil {
		changed := d.replicator.Changed()
		for now := d.replicator.Current().Version; seen < now; {
			seen++
			if at, ok := applied.Load(seen); ok {
				m.mu.Lock()
				m.times = append(m.times, time.Since(at.(time.Time)))
				m.mu.Unlock()
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// run applies n versions at the rate of 40,000 a day.
func (m *measurement) run(n int, random *rand.Rand) {
	ctx, cancel := context.WithCancel(context.Background())
	var watching sync.WaitGroup
	var applied sync.Map
	for _, d := range m.cell.daemons {
		watching.Go(func() { m.watch(ctx, d, &applied) })
	}
	for range n {
		time.Sleep(changeInterval/2 + time.Duration(random.Int64N(int64(changeInterval))))
		d := m.cell.daemons[0]
		base := d.replicator.Current().Version
		applied.Store(base+1, time.Now())
		_, err := d.applier.Apply(ctx, teamFile(random.IntN(20), random), base, history.By{Author: "operator@example"})
		require.NoError(m.cell.t, err)
	}
	time.Sleep(PropagationLimit)
	cancel()
	watching.Wait()
}

// teamFile returns a file of 10 jobs as one team would write it.
func teamFile(i int, random *rand.Rand) *spec.File {
	name := fmt.Sprintf("team-%02d", i)
	file := &spec.File{Name: name, Teams: []spec.Team{{Name: name, Weight: 1}}}
	for j := range 10 {
		file.Jobs = append(file.Jobs, spec.Job{Name: fmt.Sprintf("%s-job-%d", name, j), Team: name, Kind: spec.Batch, Count: 1 + random.IntN(1000),
			Size: spec.Resources{MilliCPU: 1000, MemoryMB: 2048}, RunTime: spec.Duration(time.Minute), Retries: 3,
			Parameters: map[string]string{"input": fmt.Sprintf("batch-%d", random.IntN(1e9))}})
	}
	return file
}

func (m *measurement) quantile(q float64) time.Duration {
	slices.Sort(m.times)
	return m.times[min(len(m.times)-1, int(q*float64(len(m.times))))].Round(100 * time.Microsecond)
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// TestPropagation measures the time from the start of an apply until a version
// is in force on each daemon, in virtual time: 2 ms to a peer and to the store,
// 40,000 changes a day. With the store cut off, only the daemon that applies
// reaches it. FENNEL_LONG=1 adds the larger fleets.
func TestPropagation(t *testing.T) {
	sizes, versions := []int{8}, 30
	if os.Getenv("FENNEL_LONG") != "" {
		sizes, versions = []int{8, 40, 160}, 300
	}
	for _, size := range sizes {
		for _, cut := range []bool{false, true} {
			t.Run(fmt.Sprintf("daemons=%d/cut=%v", size, cut), func(t *testing.T) { measure(t, size, versions, cut) })
		}
	}
}

func measure(t *testing.T, size, versions int, cut bool) {
	inBubble(t, size, func(c *cell) {
		c.kv.SetFaults(kv.Faults{Delay: 2 * time.Millisecond})
		time.Sleep(time.Minute)
		for _, d := range c.daemons[1:] {
			d.store.cut.Store(cut)
		}
		m := &measurement{cell: c}
		begun, cpu := time.Now(), cpuTime()
		peers, calls, bytes := c.traffic()
		m.run(versions, rand.New(rand.NewPCG(1, 1)))
		seconds := time.Since(begun).Seconds() * float64(size)
		cpu = cpuTime() - cpu
		morePeers, moreCalls, moreBytes := c.traffic()
		require.Len(t, m.times, size*versions, "every version on every daemon")
		require.Less(t, m.quantile(1), PropagationLimit)
		c.check()
		t.Logf("p50 %v p99 %v max %v; per daemon: peers %.0f B/s, store %.2f calls/s %.0f B/s, CPU at most %.3f %% of a core",
			m.quantile(0.5), m.quantile(0.99), m.quantile(1), float64(morePeers-peers)/seconds,
			float64(moreCalls-calls)/seconds, float64(moreBytes-bytes)/seconds, 100*cpu.Seconds()/seconds)
	})
}

// traffic returns the traffic of all daemons so far.
func (c *cell) traffic() (peers, storeCalls, storeBytes int64) {
	for _, d := range c.daemons {
		traffic := c.net.Traffic(d.id)
		peers += traffic.Sent + traffic.Received
		storeCalls += d.store.calls.Load()
		storeBytes += d.store.bytes.Load()
	}
	return peers, storeCalls, storeBytes
}
