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
	o.Patience = &store.Patience{Min: 200 * time.Millisecond, Max: 1500 * time.Millisecond}
	o.Lead = func(t *Term) {
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
		died := time.Now()
		for other.term() == nil {
			time.Sleep(10 * time.Millisecond)
		}
		t.Logf("a successor leads %v after a death", time.Since(died))
		require.Less(t, time.Since(died), 2*time.Second)
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

func TestLeaderSurvivesAnOutageInWhichLeasesLapse(t *testing.T) {
	// Symptom looked for: each outage of the store changes the leader, though
	//   all daemons live.
	// Sequence: the store is down for longer than a member's lease, which goes on
	//   running; when it is back, the leader's record is gone.
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		a, b := start(m, "a", 1), start(m, "b", 1)
		time.Sleep(5 * time.Second)
		before := leading(a, b)[0]
		epoch := before.term().Epoch
		m.SetFaults(kv.Faults{Down: true})
		time.Sleep(6 * time.Second)
		require.NotNil(t, before.term(), "it goes on leading what it has")
		m.SetFaults(kv.Faults{})
		time.Sleep(4 * time.Second)
		require.Equal(t, []*daemon{before}, leading(a, b))
		require.Equal(t, epoch, before.term().Epoch)
		a.stop()
		b.stop()
	})
}

func TestDeposedLeaderWritesNothing(t *testing.T) {
	// Symptom looked for: a leader that was cut off from the store overwrites
	//   its successor's writes when it is back.
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
	// Symptom: after all daemons were killed nobody leads for a second.
	// Sequence: they start again at once; the leader's record, bound to a lease
	//   of its former life, is still there.
	// Cause: the record was waited out, also by the very daemon it names.
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
	// Symptom looked for: an earlier write of the same leader arrives after a
	//   later one and undoes it, or a write whose answer was lost is given up.
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
			require.Equal(t, fmt.Sprint(last), string(entry.Value), "seed %d: a late write came on top", seed)
			d.stop()
		})
	}
}

func TestEveryChainIsFencedByTheNextClaim(t *testing.T) {
	// Symptom looked for: a write of an earlier term, on a chain that its successor
	//   has not used yet, takes effect after the successor has read the state.
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		d := start(m, "a", 1)
		time.Sleep(2 * time.Second)
		old := d.term()
		for chain := range Chains {
			require.NoError(t, old.Commit(t.Context(), chain, []store.Write{{Key: fmt.Sprint("x", chain), Value: []byte("old")}}, nil))
		}
		d.stop()
		b := start(m, "b", 1)
		time.Sleep(4 * time.Second)
		require.NotNil(t, b.term())
		for chain := range Chains {
			err := old.Commit(context.Background(), chain, []store.Write{{Key: fmt.Sprint("y", chain), Value: []byte("late")}}, nil)
			require.ErrorIs(t, err, ErrDeposed)
			_, err = m.Get(t.Context(), fmt.Sprint("y", chain))
			require.ErrorIs(t, err, store.ErrNotFound)
		}
		for chain := range Chains {
			require.NoError(t, b.term().Commit(t.Context(), chain, []store.Write{{Key: fmt.Sprint("x", chain), Value: []byte("new")}}, nil), "links of the earlier term are taken over")
		}
		b.stop()
	})
}

func TestChainsDoNotWaitForEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		d := start(m, "a", 1)
		time.Sleep(2 * time.Second)
		term := d.term()
		m.SetFaults(kv.Faults{Delay: 150 * time.Millisecond})
		began := time.Now()
		var wg sync.WaitGroup
		for chain := range Chains {
			wg.Go(func() {
				for i := range 3 {
					assert.NoError(t, term.Commit(t.Context(), chain, []store.Write{{Key: fmt.Sprint("x", chain), Value: fmt.Append(nil, i)}}, nil))
				}
			})
		}
		wg.Wait()
		require.Less(t, time.Since(began), 4*150*time.Millisecond)
		d.stop()
	})
}
