package store_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/standin/kv"
)

// TestBreakerSparesCallersAndServiceInAnOutage guards against an outage in which every
// call waits for its timeout and loads the service, and after which daemons make no calls
// for long: without a breaker, or with one that probes too rarely. The service hangs for
// an hour, then answers again.
func TestBreakerSparesCallersAndServiceInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		c := store.NewClient(m, store.Options{})
		h := c.Role(store.RoleMembers)
		const outage = time.Hour
		m.SetFaults(kv.Faults{Hang: true})
		begun := time.Now()
		var waited, longest time.Duration
		calls := 0
		for time.Since(begun) < outage {
			callBegun := time.Now()
			_, err := h.Get(t.Context(), "k")
			require.ErrorIs(t, err, store.ErrUnavailable)
			waited += time.Since(callBegun)
			longest = max(longest, time.Since(callBegun))
			calls++
			time.Sleep(50 * time.Millisecond)
		}
		require.False(t, c.Available())
		require.LessOrEqual(t, longest, 4*store.DefaultCallTimeout)
		made := m.Counts().Total()
		t.Logf("%d calls tried, %d reached the service", calls, made)
		require.Less(t, made, int(outage/time.Second), "fewer than one a second")

		m.SetFaults(kv.Faults{})
		back := time.Now()
		for !c.Available() {
			_, _ = h.Get(t.Context(), "k")
			time.Sleep(10 * time.Millisecond)
		}
		require.Less(t, time.Since(back), 5*time.Second)
	})
}

// TestFollowSurvivesOutageAndCompaction guards against a daemon's view that becomes empty
// or misses changes after an outage: if an outage counts as an empty list, or the watch
// resumes after lost events. Keys change and events are compacted while the service is
// down.
func TestFollowSurvivesOutageAndCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		h := store.NewClient(m, store.Options{}).Role(store.RoleVersions)
		writer := store.NewClient(m, store.Options{}).Role(store.RoleVersions)
		put := func(key, data string) {
			_, err := writer.Update(t.Context(), key, func([]byte, bool) ([]byte, error) { return []byte(data), nil })
			require.NoError(t, err)
		}
		view, resets := map[string]string{}, 0
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() {
			ended <- h.Follow(ctx, "p/", func(items []store.Item, deleted []string, reset bool) {
				if reset {
					clear(view)
					resets++
				}
				for _, i := range items {
					view[i.Key] = string(i.Data)
				}
				for _, key := range deleted {
					delete(view, key)
				}
			})
		}()
		put("p/1", "a")
		put("q/1", "other prefix")
		put("p/2", "b")
		time.Sleep(time.Second)
		synctest.Wait()
		require.Equal(t, map[string]string{"p/1": "a", "p/2": "b"}, view)

		m.SetFaults(kv.Faults{Down: true})
		time.Sleep(time.Minute)
		synctest.Wait()
		require.Equal(t, map[string]string{"p/1": "a", "p/2": "b"}, view)
		m.SetFaults(kv.Faults{})
		item, err := writer.Get(t.Context(), "p/1")
		for errors.Is(err, store.ErrUnavailable) {
			time.Sleep(100 * time.Millisecond)
			item, err = writer.Get(t.Context(), "p/1")
		}
		require.NoError(t, err)
		require.NoError(t, writer.Delete(t.Context(), "p/1", item.Revision))
		put("p/2", "c")
		time.Sleep(5 * time.Second)
		synctest.Wait()
		require.Equal(t, map[string]string{"p/2": "c"}, view)

		before := resets
		m.SetFaults(kv.Faults{Down: true})
		time.Sleep(10 * time.Second)
		m.SetFaults(kv.Faults{})
		_, err = m.Put(t.Context(), "p/foreign", []byte("no envelope"), 0, 0)
		require.NoError(t, err)
		m.Compact()
		time.Sleep(5 * time.Second)
		synctest.Wait()
		require.Equal(t, map[string]string{"p/2": "c"}, view)
		require.Equal(t, before+1, resets)
		cancel()
		require.ErrorIs(t, <-ended, context.Canceled)
	})
}

// TestFollowKeepsThePollFloor guards against a watch call per event and watcher on a busy
// prefix, if a watch that returns at once is sent again at once. A key changes every
// 10 ms while a daemon follows it.
func TestFollowKeepsThePollFloor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		h := store.NewClient(m, store.Options{}).Role(store.RoleProgress)
		changes := 0
		go func() {
			_ = h.Follow(t.Context(), "p", func(items []store.Item, _ []string, _ bool) { changes += len(items) })
		}()
		value, err := store.SealEnvelope(store.WriteID{}, nil)
		require.NoError(t, err)
		var rev store.Revision
		const duration = 10 * time.Second
		for begun := time.Now(); time.Since(begun) < duration; time.Sleep(10 * time.Millisecond) {
			rev, err = m.Put(t.Context(), "p", value, rev, 0)
			require.NoError(t, err)
		}
		synctest.Wait()
		most := int(duration/store.DefaultWatchFloor) + 2
		require.LessOrEqual(t, m.Counts().Watch, most)
		require.Greater(t, changes, most/2)
	})
}

// TestLeaseCountsFromTheBeginningOfTheRenewal guards against a holder that relies on a
// lease another daemon has by now: if validity counted from the renewal's response, and
// the holder is paused beyond the time to live before it handles the response.
func TestLeaseCountsFromTheBeginningOfTheRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		h := store.NewClient(m, store.Options{}).Role(store.RoleMembers)
		const ttl = 10 * time.Second
		l, err := h.OpenLease(t.Context(), ttl)
		require.NoError(t, err)
		_, err = h.Swap(t.Context(), "member", nil, 0, l.ID())
		require.NoError(t, err)
		m.SetFaults(kv.Faults{Delay: time.Second})
		require.NoError(t, l.Renew(t.Context()))
		require.Equal(t, ttl-time.Second, l.Remaining())

		m.SetFaults(kv.Faults{LoseAnswers: 1})
		renewed := l.Renewed()
		require.ErrorIs(t, l.Renew(t.Context()), store.ErrUnknownOutcome)
		require.Equal(t, renewed, l.Renewed())

		m.SetFaults(kv.Faults{})
		time.Sleep(2 * ttl)
		require.Zero(t, l.Remaining())
		require.ErrorIs(t, l.Renew(t.Context()), store.ErrLeaseLost)
		_, err = h.Get(t.Context(), "member")
		require.ErrorIs(t, err, store.ErrNotFound)
	})
}

// TestServedLeaseSurvivesShortOutages guards against losing a lease in an outage shorter
// than its time to live, if renewals stop too early, and against relying on an expired
// lease after a longer outage, if its loss is not reported.
func TestServedLeaseSurvivesShortOutages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		h := store.NewClient(m, store.Options{}).Role(store.RoleMembers)
		const ttl = 12 * time.Second
		l, err := h.OpenLease(t.Context(), ttl)
		require.NoError(t, err)
		ended := make(chan error, 1)
		go func() { ended <- l.Serve(t.Context()) }()
		for range 3 {
			m.SetFaults(kv.Faults{Down: true})
			time.Sleep(ttl / 3)
			m.SetFaults(kv.Faults{})
			time.Sleep(ttl)
			require.Positive(t, l.Remaining())
		}
		m.SetFaults(kv.Faults{Down: true})
		time.Sleep(3 * ttl)
		require.Zero(t, l.Remaining())
		m.SetFaults(kv.Faults{})
		require.ErrorIs(t, <-ended, store.ErrLeaseLost)
	})
}
