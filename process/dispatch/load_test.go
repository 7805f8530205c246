package dispatch

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/internal/sleep"
	"fennelshunt.example/fennelshunt/process/lead"
	"fennelshunt.example/fennelshunt/standin/kv"
)

// slowListing is a store whose listings are slow, as long ones are over a slow link.
type slowListing struct {
	store.Transactor
	takes time.Duration
}

func (s slowListing) List(ctx context.Context, prefix string) ([]store.Entry, store.Revision, error) {
	store.MarkAnswering(ctx)
	if err := sleep.For(ctx, s.takes); err != nil {
		return nil, 0, err
	}
	return s.Transactor.List(ctx, prefix)
}

// noWorkers is a directory without workers.
type noWorkers struct{}

func (noWorkers) List(context.Context) ([]runner.Worker, store.Revision, error) { return nil, 1, nil }

func (noWorkers) Has(context.Context, string) (bool, error) { return false, nil }

func (noWorkers) Watch(ctx context.Context, after store.Revision, wait time.Duration) ([]runner.Change, store.Revision, error) {
	return nil, after, sleep.For(ctx, wait)
}

// lostListing is a store that never answers the first listing of each prefix.
type lostListing struct {
	store.Transactor
	seen sync.Map // prefixes
}

func (s *lostListing) List(ctx context.Context, prefix string) ([]store.Entry, store.Revision, error) {
	if _, seen := s.seen.LoadOrStore(prefix, true); !seen {
		<-ctx.Done()
		return nil, 0, fmt.Errorf("%w: %w", store.ErrUnavailable, ctx.Err())
	}
	return s.Transactor.List(ctx, prefix)
}

// leadOnce runs a daemon that leads over a store, and returns how long after its start it
// answered a query of a job's state.
func leadOnce(t *testing.T, lists store.Transactor, m *kv.Memory, most time.Duration) (loaded time.Duration, ok bool) {
	storeTimeout := &store.AdaptiveTimeout{Min: 200 * time.Millisecond, Max: 1500 * time.Millisecond}
	ctx, cancel := context.WithTimeout(t.Context(), most)
	defer cancel()
	start := time.Now()
	var took atomic.Int64 // written by a goroutine of each term
	var e *lead.Elector
	e = lead.New(lead.Options{Self: lead.Member{Name: "a", Peer: "a"}, Store: m, StoreTimeout: storeTimeout, Log: zerolog.Nop(), RunTerm: func(term *lead.Term) {
		h := NewHost(HostOptions{Store: lists, StoreTimeout: storeTimeout, Directory: noWorkers{}, View: e.View(), Log: zerolog.Nop(),
			Bounds: Bounds{Lease: 6 * time.Second, MaxLease: 6 * time.Second, Gang: 3 * time.Second, Keep: time.Minute}}, term)
		go func() {
			if _, _, err := h.State(ctx, testJob); err == nil {
				took.CompareAndSwap(0, int64(time.Since(start)))
			}
		}()
		h.Run()
	}})
	_ = e.Run(ctx) // ends with its context
	return time.Duration(took.Load()), took.Load() > 0
}

// TestStateThatWasLostIsReadAgainSoon guards against a new leader that waits for a read whose
// response an outage has lost, while nothing is scheduled.
func TestStateThatWasLostIsReadAgainSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		loaded, ok := leadOnce(t, &lostListing{Transactor: m}, m, 30*time.Second)
		require.True(t, ok)
		require.Less(t, loaded, time.Second, "its lease is renewed four times in that time")
	})
}

func TestLargeStateIsReadInTheEnd(t *testing.T) {
	// A new leader read the state for the whole of its term without success: a read takes four
	// seconds over a slow link, and each attempt was abandoned after three and started again.
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		_, ok := leadOnce(t, slowListing{m, 4 * time.Second}, m, 30*time.Second)
		require.True(t, ok)
	})
}
