package idem

import (
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/standin/kv"
)

// maxWritesPerIntent bounds the store writes per intent when no intents are
// grouped into one write.
const maxWritesPerIntent = 1.5

// TestCostOfIntents measures, in virtual time with 3 ms per store write, the
// latency that a durable intent adds to a request, and the store writes it takes.
func TestCostOfIntents(t *testing.T) {
	rates := []int{20}
	if os.Getenv("FENNEL_LONG") != "" {
		rates = []int{1, 5, 20, 50, 100, 400}
	}
	t.Log("intents/s | added mean p50 p99 (ms) | store writes/s, per intent | bytes/s per daemon")
	for _, perSecond := range rates {
		synctest.Test(t, func(t *testing.T) { costOf(t, perSecond) })
	}
}

func costOf(t *testing.T, perSecond int) {
	const daemons, seconds = 6, 60
	c := newCell(t, daemons, nil)
	defer c.close()
	for n := range Shards {
		c.own(n, c.daemons[n%daemons])
	}
	time.Sleep(time.Second)
	c.kv.SetFaults(kv.Faults{Delay: 3 * time.Millisecond})
	before := c.kv.Counts().Writes()
	h := hdrhistogram.New(0, int64(time.Minute/time.Microsecond), 3)
	r := rand.New(rand.NewPCG(1, 1))
	var mu sync.Mutex
	var running sync.WaitGroup
	n := perSecond * seconds
	for i := range n {
		time.Sleep(time.Duration(r.ExpFloat64() / float64(perSecond) * float64(time.Second)))
		running.Go(func() {
			o := newRequest(fmt.Sprint(i))
			a := begun(t, c.daemons[o.shard()%daemons], o)
			began := time.Now()
			if err := a.Intend(t.Context()); err != nil {
				t.Errorf("intent refused: %v", err)
			}
			mu.Lock()
			_ = h.RecordValue(int64(time.Since(began) / time.Microsecond))
			mu.Unlock()
			time.Sleep(300 * time.Millisecond)
			a.Finish(&Answer{Status: 200})
		})
	}
	running.Wait()
	writes := c.kv.Counts().Writes() - before
	var bytes int64
	for _, m := range c.daemons {
		bytes += m.counts.WrittenBytes.Value()
	}
	t.Logf("%9d | %.2f %.2f %.2f | %.1f %.2f | %d", perSecond, h.Mean()/1000,
		float64(h.ValueAtQuantile(50))/1000, float64(h.ValueAtQuantile(99))/1000,
		float64(writes)/seconds, float64(writes)/float64(n), bytes/seconds/daemons)
	require.LessOrEqual(t, float64(writes), maxWritesPerIntent*float64(n)+seconds*Shards/DefaultOutcomeFlush.Seconds())
}

// BenchmarkKeyMemory reports the memory used per key of the log, in comparison
// with a plain map of the same keys.
func BenchmarkKeyMemory(b *testing.B) {
	const keys = 200_000
	measure := func(fill func() any) float64 {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		kept := fill()
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(kept)
		return float64(after.HeapAlloc-before.HeapAlloc) / keys
	}
	for b.Loop() {
		b.ReportMetric(measure(func() any {
			s := &shard{m: New(Options{}), logged: map[keyHash]loggedKey{}}
			for i := range keys {
				s.noteRecord(record{Key: newRequest(fmt.Sprint(i)).Key.hash(), At: time.Now().Unix()})
			}
			return s
		}), "B/key")
		b.ReportMetric(measure(func() any {
			m := map[string]Request{}
			for i := range keys {
				o := newRequest(fmt.Sprintf("%036d", i))
				m[o.Key.Text] = o
			}
			return m
		}), "B/key-plain-map")
	}
}

// BenchmarkJoin measures an arrival for which an answer is kept.
func BenchmarkJoin(b *testing.B) {
	c := newCell(b, 1, nil)
	defer c.close()
	r := newRequest("a")
	r.NonIdempotent = false
	c.own(r.shard(), c.daemons[0])
	begun(b, c.daemons[0], r).Finish(&Answer{Status: 200, Body: []byte("ok")})
	for b.Loop() {
		_, _, _ = c.daemons[0].Begin(b.Context(), r)
	}
}
