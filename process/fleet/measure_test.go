package fleet

import (
	"context"
	"fmt"
	"net"
	"os"
	"runtime"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/keys"
	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/standin/kv"
)

// Limits for all control work of a daemon, of which membership is a part.
const (
	controlBytes = 13_000 // per second
	controlCPU   = 0.036  // of a core
	controlRSS   = 128 << 20
)

var measuredSizes = []int{8, 40, 160}

// needsMeasure skips the measurements unless FENNEL_MEASURE=1: they take minutes, and
// CPU figures are unreliable on a busy machine.
func needsMeasure(t *testing.T) {
	if os.Getenv("FENNEL_MEASURE") != "1" {
		t.Skip("set FENNEL_MEASURE=1")
	}
}

func cpuTime(t *testing.T) time.Duration {
	var usage syscall.Rusage
	require.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// TestMeasureVirtual prints detection times, false suspicions and sent bytes of fleets in
// virtual time, and compares the traffic with its limit.
func TestMeasureVirtual(t *testing.T) {
	needsMeasure(t)
	for _, n := range measuredSizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { measureVirtual(t, n) })
		})
	}
}

func measureVirtual(t *testing.T, n int) {
	c := newCell(t, 1)
	defer c.close()
	for _, id := range ids(n) {
		c.start(id)
	}
	t.Logf("%d daemons converged after %s", n, c.within(time.Minute, "start", c.converged))
	time.Sleep(time.Minute)
	for _, d := range c.daemons {
		ttl := d.register.current.Load().ttl
		require.LessOrEqual(t, d.leaseTTL().Seconds(), outgrownBy*ttl.Seconds())
	}
	c.traffic("quiet", 5*time.Minute, func() {})
	c.net.SetLoss(0.05)
	before := c.total(func(s *Stats) int64 { return s.Suspicions.Value() })
	c.traffic("5 % loss", 10*time.Minute, func() {})
	falseSuspicions := c.total(func(s *Stats) int64 { return s.Suspicions.Value() }) - before
	t.Logf("false suspicions under 5 %% loss: %d in %.1f daemon-hours", falseSuspicions, float64(n)/6)
	c.measurePauses()
	c.measureCrashes()
	c.traffic("5 % loss and replacements at the specified rate", 5*time.Minute, func() {
		victim := sortedIDs(c.daemons)[n/3]
		c.crash(victim)
		c.start(victim)
	})
}

// traffic runs for the duration, calling replace every replacementEvery, and reports how
// much the daemons sent.
func (c *cell) traffic(what string, duration time.Duration, replace func()) {
	members := sortedIDs(c.daemons)
	start, calls := make(map[peer.MemberID]int64), c.mem.Counts().Total()
	for _, id := range members {
		start[id] = c.net.Traffic(id).Sent
	}
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(replacementEvery) {
		replace()
	}
	var rates []int64
	for _, id := range members {
		rates = append(rates, (c.net.Traffic(id).Sent-start[id])/int64(duration.Seconds()))
	}
	slices.Sort(rates)
	top := rates[len(rates)-1]
	c.t.Logf("%s: median %d B/s, highest %d B/s sent by a daemon; store %.2f calls/s by all",
		what, rates[len(rates)/2], top, float64(c.mem.Counts().Total()-calls)/duration.Seconds())
	require.Less(c.t, top, int64(controlBytes))
}

func (c *cell) total(f func(*Stats) int64) int64 {
	var sum int64
	for _, d := range c.daemons {
		sum += f(d.Stats())
	}
	return sum
}

const trials = 20

// measureCrashes reports how long it takes until every daemon suspects a crashed one, and
// until it is Ended in every view.
func (c *cell) measureCrashes() {
	var suspected, ended []time.Duration
	for i := range trials {
		all := sortedIDs(c.daemons)
		id := all[(i*7+3)%len(all)]
		start := time.Now()
		ref := c.crash(id)
		c.within(time.Minute, "suspect", c.everyone(func(d *daemon) bool {
			m, _ := d.Lookup(id)
			return m.State != Alive
		}))
		suspected = append(suspected, time.Since(start))
		c.within(3*time.Minute, "gone", c.everyone(func(d *daemon) bool { return d.HasEnded(ref) }))
		ended = append(ended, time.Since(start))
		c.start(id)
		c.within(time.Minute, "back", c.converged)
		time.Sleep(time.Duration(i) * 370 * time.Millisecond)
	}
	c.t.Logf("crash under 5 %% loss, %d trials: suspected everywhere after %s, ended everywhere after %s",
		trials, quantiles(suspected), quantiles(ended))
}

// measurePauses reports how many members are suspected when daemons are suspended for two
// seconds, and for five, and checks that none is evicted.
func (c *cell) measurePauses() {
	for _, length := range []time.Duration{2 * time.Second, 5 * time.Second} {
		seen, others := 0, 0
		for i := range trials {
			all := sortedIDs(c.daemons)
			paused := c.daemons[all[(i*5+1)%len(all)]]
			viewer := c.daemons[all[(i*5+2)%len(all)]]
			c.net.Pause(paused.self)
			paused.gate.setClosed(true)
			time.Sleep(length)
			if m, _ := viewer.Lookup(paused.self.ID); m.State == Suspect {
				seen++
			}
			paused.gate.setClosed(false)
			c.net.Resume(paused.self)
			time.Sleep(500 * time.Millisecond)
			for _, m := range viewer.Members() {
				if m.State == Suspect && m.ID != paused.self.ID {
					others++
				}
			}
			c.within(time.Minute, "refuted", c.converged)
		}
		c.t.Logf("pauses of %s, %d trials: the suspended daemon suspected by a peer in %d, %d suspicions of others half a second later", length, trials, seen, others)
	}
	require.Zero(c.t, c.restartEvicted())
}

func quantiles(d []time.Duration) string {
	slices.Sort(d)
	return fmt.Sprintf("p50 %s, max %s", d[len(d)/2].Round(10*time.Millisecond), d[len(d)-1].Round(10*time.Millisecond))
}

// countingConn is a socket that counts sent bytes, with 28 per packet for the IP and UDP
// headers.
type countingConn struct {
	net.PacketConn
	sent     atomic.Int64
	dropping atomic.Bool // sends nothing, as if its VM had been removed
}

const udpHeaders = 28

func (c *countingConn) WriteTo(p []byte, to net.Addr) (int, error) {
	if c.dropping.Load() {
		return len(p), nil
	}
	c.sent.Add(int64(len(p) + udpHeaders))
	return c.PacketConn.WriteTo(p, to)
}

// TestMeasureQUIC prints bytes on the wire, CPU and memory of fleets over QUIC
// with mutual TLS on loopback, all in this process, in real time.
func TestMeasureQUIC(t *testing.T) {
	needsMeasure(t)
	k, err := keys.Ephemeral()
	require.NoError(t, err)
	for _, n := range measuredSizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) { measureQUIC(t, n, k) })
	}
}

func measureQUIC(t *testing.T, n int, k *keys.Keys) {
	const settling, measured, lossMeasured = 15 * time.Second, 30 * time.Second, 10 * time.Second
	mem := kv.New()
	ctx, cancel := context.WithCancel(context.Background())
	var sockets []*countingConn
	var fleets []*Fleet
	var done []chan error
	for _, id := range ids(n) {
		socket, err := net.ListenPacket("udp", "127.0.0.1:0")
		require.NoError(t, err)
		counting := &countingConn{PacketConn: socket}
		handle := store.NewClient(mem, store.Options{Log: zerolog.Nop()}).Role(store.RoleMembers)
		claimed := ClaimIncarnation(ctx, handle, id, 0)
		mux := peer.NewMux()
		node, err := peer.NewNode(counting, claimed.Ref, k.PeerConfig(), mux, zerolog.Nop())
		require.NoError(t, err)
		f := New(Options{
			Self:        Member{Zone: "z", PeerAddr: node.Addr(), Protocol: peer.ProtocolMax},
			Incarnation: claimed,
			Store:       handle,
			Caller:      node,
			Registrar:   mux,
			Log:         zerolog.Nop(),
		})
		node.SetResolver(f.Resolve)
		sockets, fleets = append(sockets, counting), append(fleets, f)
		for _, serve := range []func(context.Context) error{node.Serve, f.Serve} {
			ended := make(chan error, 1)
			go func() { ended <- serve(ctx) }()
			done = append(done, ended)
		}
		defer node.Close()
	}
	require.Eventually(t, func() bool {
		return !slices.ContainsFunc(fleets, func(f *Fleet) bool { return len(f.Members()) != n })
	}, time.Minute, 100*time.Millisecond)
	time.Sleep(settling)
	cpu := cpuTime(t)
	rates := sendRates(sockets, measured)
	cpu = cpuTime(t) - cpu
	var mem1 runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&mem1)
	share := cpu.Seconds() / measured.Seconds() / float64(n)
	perDaemon := (mem1.HeapInuse + mem1.StackInuse) / uint64(n)
	t.Logf("%d daemons over QUIC: median %d B/s, highest %d B/s sent on the wire; %.2f %% of a core, %.1f MB each",
		n, rates[n/2], rates[n-1], 100*share, float64(perDaemon)/1e6)
	for _, s := range sockets[:n/3] {
		s.dropping.Store(true)
	}
	afterLoss := sendRates(sockets[n/3:], lossMeasured)
	t.Logf("%d of them not sending: median %d B/s, highest %d B/s sent on the wire by the others for %s",
		n/3, afterLoss[len(afterLoss)/2], afterLoss[len(afterLoss)-1], lossMeasured)
	require.Less(t, afterLoss[len(afterLoss)-1], int64(controlBytes))
	cancel()
	for _, ended := range done {
		<-ended
	}
	require.Less(t, rates[n-1], int64(controlBytes))
	require.Less(t, share, controlCPU)
	require.Less(t, perDaemon, uint64(controlRSS))
}

// sendRates returns the send rates of the sockets in bytes per second, in ascending order.
func sendRates(sockets []*countingConn, d time.Duration) []int64 {
	var rates []int64
	for _, s := range sockets {
		rates = append(rates, -s.sent.Load())
	}
	time.Sleep(d)
	for i, s := range sockets {
		rates[i] = (rates[i] + s.sent.Load()) / int64(d.Seconds())
	}
	slices.Sort(rates)
	return rates
}
