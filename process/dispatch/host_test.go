package dispatch

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/lead"
	"fennelshunt.example/fennelshunt/standin/kv"
)

// heldHost returns a host that has loaded its state, whose events the test handles.
func heldHost(t *testing.T) *Host {
	storeTimeout := &store.AdaptiveTimeout{Min: 200 * time.Millisecond, Max: 1500 * time.Millisecond}
	terms := make(chan *lead.Term)
	e := lead.New(lead.Options{Self: lead.Member{Name: "a", Peer: "a"}, Store: kv.New(), StoreTimeout: storeTimeout, Log: zerolog.Nop(), RunTerm: func(term *lead.Term) {
		select {
		case terms <- term:
		case <-term.Context().Done():
		}
		<-term.Context().Done()
	}})
	ctx, cancel := context.WithCancel(t.Context())
	var elector sync.WaitGroup
	elector.Go(func() { _ = e.Run(ctx) }) // ends with its context
	t.Cleanup(func() {
		cancel()
		elector.Wait()
	})
	h := NewHost(HostOptions{Log: zerolog.Nop()}, <-terms)
	close(h.loaded)
	return h
}

// queries are the calls that wait for the engine's goroutine.
var queries = map[string]func(context.Context, *Host) error{
	"state": func(ctx context.Context, h *Host) error {
		_, _, err := h.State(ctx, testJob)
		return err
	},
	"explain": func(ctx context.Context, h *Host) error {
		_, _, err := h.Explain(ctx, testJob)
		return err
	},
	"pending": func(ctx context.Context, h *Host) error {
		_, err := h.Pending(ctx, "q")
		return err
	},
	"quota report": func(ctx context.Context, h *Host) error {
		_, err := h.QuotaReport(ctx, []string{"t"})
		return err
	},
}

// TestQueryThatIsGivenUpSharesNoResult guards, with the race detector, against a query that returns
// at the end of its context while the engine's goroutine still writes its result.
func TestQueryThatIsGivenUpSharesNoResult(t *testing.T) {
	for name, query := range queries {
		t.Run(name, func(t *testing.T) {
			h := heldHost(t)
			engine := NewEngine(Options{Bounds: Bounds{Lease: time.Second, Gang: time.Second, Keep: time.Minute}})
			ctx, cancel := context.WithCancel(t.Context())
			handled := make(chan struct{})
			go func() {
				defer close(handled)
				f := <-h.events
				cancel()
				f(engine, 0)
			}()
			if err := query(ctx, h); err != nil { // both results may be there at once
				require.ErrorIs(t, err, context.Canceled)
			}
			<-handled
		})
	}
}

// TestQueryOfABusyEngineEndsWithItsContext guards against a query that waits beyond its time because
// the engine's goroutine does not keep up with its events.
func TestQueryOfABusyEngineEndsWithItsContext(t *testing.T) {
	for name, query := range queries {
		t.Run(name, func(t *testing.T) {
			h := heldHost(t)
			for range eventBuffer {
				h.post(func(*Engine, time.Duration) {})
			}
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			ended := make(chan error, 1)
			go func() { ended <- query(ctx, h) }()
			select {
			case err := <-ended:
				require.ErrorIs(t, err, context.DeadlineExceeded)
			case <-time.After(10 * time.Second):
				require.Fail(t, "the query has not ended")
			}
		})
	}
}
