package store_test

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"os"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/standin/kv"
)

const (
	fleetLeaseTTL = 15 * time.Second
	fleetOutage   = time.Hour
	fleetSteady   = 2 * time.Minute
)

// daemon makes the store calls of a daemon at about the same rate: it follows the
// prefixes, keeps a lease and writes progress in batches.
type daemon struct {
	client *store.Client
	name   string
	writes atomic.Int64 // progress written
}

func startDaemon(ctx context.Context, m *kv.Memory, n, fleet int) *daemon {
	d := &daemon{client: store.NewClient(m, store.Options{FleetSize: fleet}), name: fmt.Sprintf("d%03d", n)}
	for _, f := range []struct {
		role   store.Role
		prefix string
	}{{store.RoleClaims, "claims/"}, {store.RoleVersions, "versions/"}, {store.RoleMembers, "members/"}} {
		go func() { _ = d.client.Role(f.role).Follow(ctx, f.prefix, func([]store.Item, []string, bool) {}) }()
	}
	go d.register(ctx)
	go d.progress(ctx)
	return d
}

// register keeps the daemon's entry under a lease, and opens a new lease when it
// has expired.
func (d *daemon) register(ctx context.Context) {
	h := d.client.Role(store.RoleMembers)
	for ctx.Err() == nil {
		l, err := h.OpenLease(ctx, fleetLeaseTTL)
		if err == nil {
			_, err = h.Swap(ctx, "members/"+d.name, nil, 0, l.ID())
		}
		if err == nil {
			err = l.Serve(ctx)
		}
		if !errors.Is(err, store.ErrLeaseLost) {
			pause(ctx, time.Second)
		}
	}
}

// progress writes a batch every five seconds.
func (d *daemon) progress(ctx context.Context) {
	h := d.client.Role(store.RoleProgress)
	for ctx.Err() == nil {
		_, err := h.Update(ctx, "progress/"+d.name, func([]byte, bool) ([]byte, error) { return make([]byte, 256), nil })
		if err == nil {
			d.writes.Add(1)
		}
		pause(ctx, 5*time.Second)
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func fleetSizes() []int {
	if os.Getenv("FENNEL_LONG") == "" {
		return []int{8, 40}
	}
	return []int{8, 40, 160}
}

// callsByRole sums the calls of all daemons.
func callsByRole(daemons []*daemon) map[string]float64 {
	sum := map[string]float64{}
	for _, d := range daemons {
		d.client.Vars().Do(func(role expvar.KeyValue) {
			for _, kind := range []string{"reads", "writes"} {
				n, _ := strconv.ParseFloat(role.Value.(*expvar.Map).Get(kind).String(), 64)
				sum[role.Key+" "+kind] += n
			}
		})
	}
	return sum
}

// peak returns the largest number of calls in one second of the given time.
func peak(m *kv.Memory, during time.Duration) (reads, writes int) {
	for range int(during / time.Second) {
		before := m.Counts()
		time.Sleep(time.Second)
		after := m.Counts()
		reads = max(reads, after.Reads()-before.Reads())
		writes = max(writes, after.Writes()-before.Writes())
	}
	return reads, writes
}

// TestFleetReconnectsWithinTheBudget guards against overloading the service right after
// an outage, by probes at the same time or by sending all queued calls at once. During an
// outage of an hour every lease expires; then all daemons list, register and write what
// was queued.
func TestFleetReconnectsWithinTheBudget(t *testing.T) {
	for _, size := range fleetSizes() {
		t.Run(strconv.Itoa(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := kv.New()
				ctx, cancel := context.WithCancel(t.Context())
				daemons := make([]*daemon, size)
				for i := range daemons {
					daemons[i] = startDaemon(ctx, m, i, size)
				}
				time.Sleep(fleetSteady)
				before := callsByRole(daemons)
				reads, writes := peak(m, fleetSteady)
				t.Logf("steady: at most %d reads/s, %d writes/s", reads, writes)
				for role, n := range callsByRole(daemons) {
					if rate := (n - before[role]) / fleetSteady.Seconds(); rate > 0 {
						t.Logf("steady: %s %.2f/s", role, rate)
					}
				}

				m.SetFaults(kv.Faults{Hang: true})
				time.Sleep(fleetOutage)
				m.SetFaults(kv.Faults{})
				recovered := time.Now()
				reads, writes = peak(m, 10*time.Second)
				t.Logf("recovered: at most %d reads/s, %d writes/s", reads, writes)
				require.LessOrEqual(t, reads, store.DefaultReadsPerSecond)
				require.LessOrEqual(t, writes, store.DefaultWritesPerSecond)

				for _, d := range daemons {
					require.True(t, d.client.Available())
				}
				for registered := 0; registered < size; time.Sleep(time.Second) {
					entries, _, err := m.List(ctx, "members/")
					require.NoError(t, err)
					registered = len(entries)
					require.Less(t, time.Since(recovered), 2*time.Minute, "%d registered", registered)
				}
				t.Logf("recovered: all registered after %v", time.Since(recovered))
				cancel()
				time.Sleep(time.Minute) // the daemons stop
			})
		})
	}
}
