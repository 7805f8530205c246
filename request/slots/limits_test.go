package slots

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/version/spec"
)

// fixedConfig is a configuration that never changes.
type fixedConfig struct{ config *spec.Config }

func (f fixedConfig) Current() *spec.Config    { return f.config }
func (f fixedConfig) Changed() <-chan struct{} { return nil }

// limitCell returns a cell whose request limit the test can change.
func limitCell(t *testing.T, daemons, slots int) (*cell, *atomic.Int64) {
	limit := &atomic.Int64{}
	limit.Store(int64(testLimit))
	c := newCell(t, 1, 0)
	c.change = func(o *Options) {
		o.RequestLimit = func(string) (time.Duration, bool) { return time.Duration(limit.Load()), true }
	}
	for i := range daemons {
		c.start(peer.Ref{ID: memberID(i), Incarnation: 1})
	}
	c.setEndpoints(1, slots)
	c.own(c.daemons["d0"])
	time.Sleep(time.Second)
	return c, limit
}

// TestRaisedLimitHoldsSlotOfUnknownEnd guards against an instance that runs more requests than
// it has slots: after a service's request_timeout was raised, a request's connection breaks, its
// outcome is unknown, and the daemon keeps the slot only for the old, shorter time.
func TestRaisedLimitHoldsSlotOfUnknownEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, limit := limitCell(t, 1, 1)
		defer c.close()
		limit.Store(int64(10 * testLimit))
		time.Sleep(time.Second)
		d := c.daemons["d0"]
		c.hold(d, 1)[0].Release(Unknown)
		time.Sleep(2*testLimit + DefaultMargin)
		require.Zero(t, c.available(d), "the request may still run")
		time.Sleep(8 * testLimit)
		require.Equal(t, 1, c.available(d))
	})
}

// TestChangedLimitHoldsSlotsOfFailedDaemon guards against an instance that runs more requests
// than it has slots. A service's request_timeout changes, a daemon with requests in progress
// fails, and the pool may get a new owner; the pool must not free the daemon's slots by the
// limit at its own start, or by a lowered one while requests begun under the longer one still
// run.
func TestChangedLimitHoldsSlotsOfFailedDaemon(t *testing.T) {
	const long = 20 * testLimit
	for _, c := range []struct {
		name    string
		lowered bool // after the requests began
		owner   bool // the pool gets a new owner
		fresh   bool // the new owner's daemon has started after the change
	}{
		{"raised", false, false, false},
		{"raised, new owner", false, true, false},
		{"lowered", true, false, false},
		{"lowered, new owner", true, true, false},
		{"lowered, fresh owner", true, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cell, limit := limitCell(t, 3, 8)
				defer cell.close()
				limit.Store(int64(long))
				time.Sleep(time.Second)
				cell.hold(cell.daemons["d1"], 8)
				if c.lowered {
					limit.Store(int64(testLimit))
				}
				cell.crash("d1")
				owner := cell.daemons["d0"]
				if c.owner {
					owner = cell.daemons["d2"]
					if c.fresh {
						owner = cell.start(peer.Ref{ID: memberID(3), Incarnation: 1})
						time.Sleep(time.Second)
					}
					cell.own(owner)
				}
				time.Sleep(DefaultTTL + testLimit + 8*DefaultMargin)
				require.Zero(t, cell.available(owner), "its requests may still run")
				time.Sleep(long + DefaultTTL)
				require.Equal(t, 8, cell.available(owner))
			})
		})
	}
}

// TestRequestLimitsCoverAnAttemptPastItsDeadline guards against an instance that runs more requests
// than it has slots: an attempt continues past its deadline, to determine its outcome, its daemon
// fails, and the credit records allow for request_timeout only.
func TestRequestLimitsCoverAnAttemptPastItsDeadline(t *testing.T) {
	of := RequestLimits(fixedConfig{&spec.Config{Jobs: map[string]*spec.VersionedJob{
		testService: {Job: spec.Job{Service: &spec.ServiceSettings{RequestTimeout: spec.Duration(20 * time.Second)}}},
		"default":   {Job: spec.Job{Service: &spec.ServiceSettings{}}},
		"batch":     {},
	}}})
	for name, want := range map[string]time.Duration{testService: 40 * time.Second, "default": time.Minute} {
		limit, ok := of(name)
		require.True(t, ok, name)
		require.Equal(t, want, limit, name)
	}
	for _, name := range []string{"batch", "unknown"} {
		_, ok := of(name)
		require.False(t, ok, name)
	}
}

// TestLongestAttemptFollowsChangesLate guards against a planned stop that cuts off a request in
// progress because request_timeout was lowered, or the service removed, after the request began,
// and the time limit of the stop followed the new value at once.
func TestLongestAttemptFollowsChangesLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inForce := map[string]time.Duration{"a": 10 * time.Second, "b": time.Minute}
		l := newLimits(func(service string) (time.Duration, bool) {
			d, ok := inForce[service]
			return d, ok
		})
		require.Zero(t, l.longest())
		l.of("a")
		l.of("b")
		require.Equal(t, time.Minute, l.longest())
		inForce["b"] = time.Second
		time.Sleep(time.Minute)
		require.Equal(t, time.Minute, l.longest())
		delete(inForce, "a")
		time.Sleep(2 * time.Minute)
		require.Equal(t, time.Second, l.longest(), "removed or lowered long ago")
	})
}
