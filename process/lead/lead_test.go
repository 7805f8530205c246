package lead

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/standin/kv"
)

// daemon is an elector whose terms are recorded.
type daemon struct {
	e      *Elector
	cancel context.CancelFunc
	done   chan struct{}

	mu    sync.Mutex
	terms []*Term
}

func start(m *kv.Memory, name string, cores float64) *daemon {
	return startWith(Options{Self: Member{Name: name, Peer: name, Cores: cores}, Store: m, Log: zerolog.Nop()})
}

// startWith completes the options and starts a daemon.
func startWith(o Options) *daemon {
	d := &daemon{done: make(chan struct{})}
	o.StoreTimeout = &store.AdaptiveTimeout{Min: 200 * time.Millisecond, Max: 1500 * time.Millisecond}
	o.RunTerm = func(t *Term) {
		d.mu.Lock()
		d.terms = append(d.terms, t)
		d.mu.Unlock()
		<-t.Context().Done()
	}
	d.e = New(o)
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	go func() {
		defer close(d.done)
		_ = d.e.Run(ctx)
	}()
	return d
}

func (d *daemon) stop() {
	d.cancel()
	<-d.done
}

// term returns the daemon's term if it leads.
func (d *daemon) term() *Term {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n := len(d.terms); n > 0 && d.terms[n-1].Context().Err() == nil {
		return d.terms[n-1]
	}
	return nil
}

func leading(ds ...*daemon) (found []*daemon) {
	for _, d := range ds {
		if d.term() != nil {
			found = append(found, d)
		}
	}
	return found
}

func TestSuccessorLeadsWithinTheWorkersLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		a, b := start(m, "a", 1), start(m, "b", 1)
		time.Sleep(5 * time.Second)
		first := leading(a, b)
		require.Len(t, first, 1)
		epoch := first[0].term().Epoch
		first[0].stop()
		other := a
		if first[0] == a {
			other = b
		}
		killedAt := time.Now()
		for other.term() == nil {
			time.Sleep(10 * time.Millisecond)
		}
		t.Logf("a successor leads %v after the leader was stopped", time.Since(killedAt))
		require.Less(t, time.Since(killedAt), 2*time.Second)
		require.Greater(t, other.term().Epoch, epoch)
		other.stop()
	})
}

func TestLargerDaemonLeads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		small, large := start(m, "a-small", 0.2), start(m, "b-large", 0.8)
		time.Sleep(5 * time.Second)
		require.NotNil(t, large.term())
		small.stop()
		large.stop()
	})
}

func TestLeaderSurvivesAnOutageInWhichLeasesExpire(t *testing.T) {
	// Guards against a change of the leader with each store outage while all daemons are
	// running: the store is down for longer than a member's lease, which expires, so the
	// leader record is no longer there when the store is back.
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		a, b := start(m, "a", 1), start(m, "b", 1)
		time.Sleep(5 * time.Second)
		before := leading(a, b)[0]
		epoch := before.term().Epoch
		m.SetFaults(kv.Faults{Down: true})
		time.Sleep(6 * time.Second)
		require.NotNil(t, before.term(), "it continues to lead during the outage")
		m.SetFaults(kv.Faults{})
		time.Sleep(4 * time.Second)
		require.Equal(t, []*daemon{before}, leading(a, b))
		require.Equal(t, epoch, before.term().Epoch)
		a.stop()
		b.stop()
	})
}

func TestDeposedLeaderWritesNothing(t *testing.T) {
	// Guards against a former leader that was cut off from the store and overwrites its
	// successor's writes when it is back.
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		d := start(m, "a", 1)
		time.Sleep(2 * time.Second)
		old := d.term()
		d.stop()
		b := start(m, "b", 1)
		time.Sleep(4 * time.Second)
		require.NotNil(t, b.term())
		err := old.Commit(context.Background(), 0, []store.Write{{Key: "x", Value: []byte("old")}}, nil)
		require.ErrorIs(t, err, ErrDeposed)
		_, err = m.Get(t.Context(), "x")
		require.ErrorIs(t, err, store.ErrNotFound)
		b.stop()
	})
}

func TestRestartedLeaderNeedNotWaitForItsOwnLease(t *testing.T) {
	// Guards against a second without a leader after all daemons were killed and restarted
	// at once: the leader record, attached to a lease of the earlier incarnation, still
	// exists, and even the daemon that it names waited for it to expire.
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		d := start(m, "a", 1)
		time.Sleep(2 * time.Second)
		d.stop()
		again := start(m, "a", 1)
		began := time.Now()
		for again.term() == nil {
			time.Sleep(5 * time.Millisecond)
		}
		require.Less(t, time.Since(began), DefaultLease/2)
		again.stop()
	})
}

func TestWritesOfATermTakeEffectOnceAndInOrder(t *testing.T) {
	// Guards against an earlier write of the same leader that arrives after a later one
	// and reverts it, and against abandoning a write whose response was lost.
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			m := kv.NewSeeded(seed)
			d := start(m, "a", 1)
			time.Sleep(2 * time.Second)
			term := d.term()
			m.SetFaults(kv.Faults{LoseAnswers: 0.3, LoseRequests: 0.2, Delay: 3 * time.Second, DelayChance: 0.2, Refuse: 0.1})
			last := 0
			for i := range 30 {
				err := term.Commit(term.Context(), 0, []store.Write{{Key: "x", Value: fmt.Append(nil, i)}}, nil)
				if errors.Is(err, ErrDeposed) || term.Context().Err() != nil {
					break
				}
				require.NoError(t, err)
				last = i
				entry, err := m.Get(t.Context(), "x")
				if err == nil {
					require.Equal(t, fmt.Sprint(i), string(entry.Value), "seed %d", seed)
				}
			}
			require.Equal(t, 29, last, "seed %d: the term ended early", seed)
			m.SetFaults(kv.Faults{})
			time.Sleep(10 * time.Second)
			entry, err := m.Get(t.Context(), "x")
			require.NoError(t, err)
			require.Equal(t, fmt.Sprint(last), string(entry.Value), "seed %d: a late write took effect", seed)
			d.stop()
		})
	}
}

func TestEveryWriteStreamIsFencedByTheNextClaim(t *testing.T) {
	// Guards against a write of an earlier term, on a write stream that its successor has
	// not used yet, that takes effect after the successor has read the state.
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		d := start(m, "a", 1)
		time.Sleep(2 * time.Second)
		old := d.term()
		for stream := range WriteStreams {
			require.NoError(t, old.Commit(t.Context(), stream, []store.Write{{Key: fmt.Sprint("x", stream), Value: []byte("old")}}, nil))
		}
		d.stop()
		b := start(m, "b", 1)
		time.Sleep(4 * time.Second)
		require.NotNil(t, b.term())
		for stream := range WriteStreams {
			err := old.Commit(context.Background(), stream, []store.Write{{Key: fmt.Sprint("y", stream), Value: []byte("late")}}, nil)
			require.ErrorIs(t, err, ErrDeposed)
			_, err = m.Get(t.Context(), fmt.Sprint("y", stream))
			require.ErrorIs(t, err, store.ErrNotFound)
		}
		for stream := range WriteStreams {
			require.NoError(t, b.term().Commit(t.Context(), stream, []store.Write{{Key: fmt.Sprint("x", stream), Value: []byte("new")}}, nil), "the streams of the earlier term are taken over")
		}
		b.stop()
	})
}

func TestWriteStreamsAreIndependent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		d := start(m, "a", 1)
		time.Sleep(2 * time.Second)
		term := d.term()
		m.SetFaults(kv.Faults{Delay: 150 * time.Millisecond})
		began := time.Now()
		var wg sync.WaitGroup
		for stream := range WriteStreams {
			wg.Go(func() {
				for i := range 3 {
					assert.NoError(t, term.Commit(t.Context(), stream, []store.Write{{Key: fmt.Sprint("x", stream), Value: fmt.Append(nil, i)}}, nil))
				}
			})
		}
		wg.Wait()
		require.Less(t, time.Since(began), 4*150*time.Millisecond)
		d.stop()
	})
}

// TestTermWithASuccessorIsNotConfirmed guards against a leader that takes a read of another daemon's claim
// as evidence that it has no successor.
func TestTermWithASuccessorIsNotConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := kv.NewSeeded(1)
		began := time.Now()
		a := start(m, "a", 1)
		time.Sleep(time.Second)
		first := a.term()
		require.NotNil(t, first)
		require.False(t, first.ClaimSent().Before(began))
		require.NoError(t, first.Confirm(t.Context()))
		require.NoError(t, first.Context().Err())

		m.SetFaults(kv.Faults{Down: true})
		require.Error(t, first.Confirm(t.Context()))
		require.NoError(t, first.Context().Err(), "no answer says nothing of a successor")
		m.SetFaults(kv.Faults{})

		require.NoError(t, first.release(t.Context()))
		b := start(m, "b", 1)
		defer b.stop()
		a.stop()
		time.Sleep(2 * time.Second)
		require.NotNil(t, b.term())
		require.ErrorIs(t, first.Confirm(t.Context()), ErrDeposed)
	})
}
