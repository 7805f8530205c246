package cellnode

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/internal/sleep"
	"fennelshunt.example/fennelshunt/process/lead"
	"fennelshunt.example/fennelshunt/process/quota"
	"fennelshunt.example/fennelshunt/process/settings"
	"fennelshunt.example/fennelshunt/version/work"
)

// slowSource answers each call after latency, with a version or nothing.
type slowSource struct {
	latency time.Duration
	next    *work.Catalog
}

func (s *slowSource) Current(ctx context.Context) (*work.Catalog, store.Revision, error) {
	return s.next, 1, sleep.For(ctx, s.latency)
}

func (s *slowSource) CurrentCached(ctx context.Context) (*work.Catalog, error) {
	return s.next, sleep.For(ctx, s.latency)
}

func (s *slowSource) Watch(ctx context.Context, after store.Revision, _ time.Duration) (*work.Catalog, store.Revision, error) {
	return s.next, after, sleep.For(ctx, s.latency)
}

func TestAgeOfTheConfigurationIsNeverUnderstated(t *testing.T) {
	// Guards against an answer that was long in flight making a version look more current
	// than it is, so that a key revoked meanwhile would still be accepted.
	synctest.Test(t, func(t *testing.T) {
		source := &slowSource{latency: 400 * time.Millisecond, next: &work.Catalog{Version: 1}}
		c := newCatalogs(source, nil, zerolog.Nop())
		_, err := c.read(t.Context())
		require.NoError(t, err)
		require.Equal(t, 400*time.Millisecond, c.age(), "a read shows the state at the time of the request")

		source.next, source.latency = nil, 1900*time.Millisecond
		_, err = c.watch(t.Context(), 1, 1500*time.Millisecond)
		require.NoError(t, err)
		require.Equal(t, 400*time.Millisecond, c.age(), "a watch without changes was answered after its wait at the earliest")

		source.latency = 200 * time.Millisecond // the answer comes before the requested wait is over
		_, err = c.watch(t.Context(), 1, 1500*time.Millisecond)
		require.NoError(t, err)
		require.Zero(t, c.age())

		source.next = &work.Catalog{Version: 2}
		_, err = c.watch(t.Context(), 1, 1500*time.Millisecond)
		require.NoError(t, err)
		require.Equal(t, 200*time.Millisecond, c.age(), "a change may have been the first of several")

		c.confirm(time.Now().Add(-time.Hour))
		require.Equal(t, 200*time.Millisecond, c.age(), "an older confirmation changes nothing")
		time.Sleep(5 * time.Second) // stands for a suspension of the process
		require.Equal(t, 5200*time.Millisecond, c.age())
	})
}

func TestAccountsOfLedShardsAreShown(t *testing.T) {
	led, followed := &shard{}, &shard{}
	led.rows.Store(&[]quota.Row{{Account: "north"}, {Account: "south"}})
	n := &Node{}
	n.built.Store(&[]*shard{followed, led})
	require.Equal(t, []quota.Row{{Account: "north"}, {Account: "south"}}, n.accountRows())
	led.rows.Store(nil)
	require.Empty(t, n.accountRows(), "another daemon leads")
}

func TestMembersAfterWrapsAround(t *testing.T) {
	var members []lead.Member
	for _, name := range []string{"a", "b", "c", "d"} {
		members = append(members, lead.Member{Name: name})
	}
	var names []string
	for _, m := range membersAfter(members, "c") {
		names = append(names, m.Name)
	}
	require.Equal(t, []string{"d", "a", "b"}, names)
	require.Empty(t, membersAfter(members[:1], "a"))
}

// unresponsiveSource never answers calls that are sent while it is unreachable, not even after that.
type unresponsiveSource struct {
	store       *catalogStore
	unreachable atomic.Bool
}

func (s *unresponsiveSource) reach(ctx context.Context) error {
	const latency = 2 * time.Millisecond
	if s.unreachable.Load() {
		<-ctx.Done()
		return fmt.Errorf("%w: %w", store.ErrUnavailable, ctx.Err())
	}
	return sleep.For(ctx, latency)
}

func (s *unresponsiveSource) Current(ctx context.Context) (*work.Catalog, store.Revision, error) {
	if err := s.reach(ctx); err != nil {
		return nil, 0, err
	}
	v := s.store.newest()
	return &work.Catalog{Version: v}, store.Revision(v), nil
}

func (s *unresponsiveSource) CurrentCached(ctx context.Context) (*work.Catalog, error) {
	c, _, err := s.Current(ctx)
	return c, err
}

func (s *unresponsiveSource) Watch(ctx context.Context, after store.Revision, wait time.Duration) (*work.Catalog, store.Revision, error) {
	if err := s.reach(ctx); err != nil {
		return nil, 0, err
	}
	const step = 10 * time.Millisecond
	for until := time.Now().Add(wait); time.Now().Before(until); {
		if err := sleep.For(ctx, step); err != nil {
			return nil, 0, err
		}
		if s.unreachable.Load() { // the answer is lost
			<-ctx.Done()
			return nil, 0, fmt.Errorf("%w: %w", store.ErrUnavailable, ctx.Err())
		}
		if v := s.store.newest(); store.Revision(v) > after {
			return &work.Catalog{Version: v}, store.Revision(v), nil
		}
	}
	return nil, after, nil
}

// TestConfigurationIsInForceSoonAfterAnOutage guards against waiting, after an outage of the
// store, for a read whose answer was lost in it: the old version stays in force meanwhile.
func TestConfigurationIsInForceSoonAfterAnOutage(t *testing.T) {
	const (
		bound  = 2 * time.Second // in which a version is to be in force
		lease  = 275 * time.Millisecond
		calm   = 5 * time.Second
		step   = 200 * time.Millisecond
		most   = 20 * time.Second
		phases = 3 // points of a watch's wait at which the outage begins
	)
	for phase := range phases {
		for outage := step; outage <= most; outage += step {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				source := &unresponsiveSource{store: &catalogStore{}}
				source.store.publish()
				storeTimeout := &store.AdaptiveTimeout{Min: minStoreTimeout, Max: maxStoreTimeout}
				c := newCatalogs(source, storeTimeout, zerolog.Nop())
				var running sync.WaitGroup
				running.Go(func() { _ = c.Serve(ctx) }) // ends with ctx
				running.Go(func() {                     // as a daemon's lease is renewed
					for sleep.For(ctx, lease) == nil {
						_ = storeTimeout.Call(ctx, source.reach) // the outcome only feeds the adaptive timeout
					}
				})
				time.Sleep(calm + time.Duration(phase)*catalogWait/phases)
				source.unreachable.Store(true)
				time.Sleep(outage)
				source.store.publish()
				source.unreachable.Store(false)
				time.Sleep(bound)
				assert.Equal(t, int64(2), c.Current().Version, "after an outage of %v that began in phase %d, known for %v only", outage, phase, c.age())
				cancel()
				running.Wait()
			})
		}
	}
}

// TestConfigurationIsUnconfirmedWithinTheBound guards against a daemon that counts a version as
// confirmed for longer than the next one may take to be in force.
func TestConfigurationIsUnconfirmedWithinTheBound(t *testing.T) {
	for _, bound := range []time.Duration{300 * time.Millisecond, time.Second, 2 * time.Second, 9 * time.Second} {
		n := &Node{o: Options{Settings: &settings.JobCell{Bounds: settings.JobCellBounds{ConfigMS: settings.Millis(bound.Milliseconds())}}}}
		n.catalogs = newCatalogs(nil, nil, zerolog.Nop())
		n.catalogs.follow(n.o.Settings.Bounds)
		n.catalogs.confirm(time.Now())
		require.False(t, n.configStatus().Unconfirmed, bound)
		n.catalogs.started = n.catalogs.started.Add(-min(bound, unconfirmedAfter)) // as if that long ago
		require.True(t, n.configStatus().Unconfirmed, bound)
		require.Less(t, n.catalogs.wait, bound, "a watch without changes returns before that")
	}
}
