package dispatch

import (
	"context"
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

// slowLists is a store whose listings take a while, as a long one does over a small link.
type slowLists struct {
	store.Transactor
	takes time.Duration
}

func (s slowLists) List(ctx context.Context, prefix string) ([]store.Entry, store.Revision, error) {
	if err := sleep.For(ctx, s.takes); err != nil {
		return nil, 0, err
	}
	return s.Transactor.List(ctx, prefix)
}

// noWorkers is a directory without workers.
type noWorkers struct{}

func (noWorkers) List(context.Context) ([]runner.Worker, store.Revision, error) { return nil, 1, nil }

func (noWorkers) Watch(ctx context.Context, after store.Revision, wait time.Duration) ([]runner.Change, store.Revision, error) {
	return nil, after, sleep.For(ctx, wait)
}

func TestLargeStateIsReadInTheEnd(t *testing.T) {
	// Symptom: a new leader reads the state for as long as its term lasts, and nothing is
	//   served.
	// Sequence: the state takes four seconds over a small link.
	// Cause: each reading is given up after three, and begun anew.
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		patience := &store.Patience{Min: 200 * time.Millisecond, Max: 1500 * time.Millisecond}
		var loaded atomic.Bool // written by a goroutine of each term
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		defer cancel()
		var e *lead.Elector
		e = lead.New(lead.Options{Self: lead.Member{Name: "a", Peer: "a"}, Store: m, Patience: patience, Log: zerolog.Nop(), Lead: func(term *lead.Term) {
			h := NewHost(HostOptions{Store: slowLists{m, 4 * time.Second}, Patience: patience, Directory: noWorkers{}, View: e.View(), Log: zerolog.Nop(),
				Bounds: Bounds{Lease: 6 * time.Second, MaxLease: 6 * time.Second, Gang: 3 * time.Second, Keep: time.Minute}}, term)
			go func() {
				_, _, err := h.State(ctx, testJob)
				if err == nil {
					loaded.Store(true)
				}
			}()
			h.Run()
		}})
		_ = e.Run(ctx) // ends with its time
		require.True(t, loaded.Load())
	})
}
