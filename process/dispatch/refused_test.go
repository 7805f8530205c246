package dispatch

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/lead"
	"fennelshunt.example/fennelshunt/standin/epochworker"
	"fennelshunt.example/fennelshunt/standin/kv"
)

// oddDirectory is a directory of which some entries cannot be read.
type oddDirectory struct {
	runner.Directory
	refused runner.EntryErrors
}

func (d *oddDirectory) List(ctx context.Context) ([]runner.Worker, store.Revision, error) {
	all, rev, _ := d.Directory.List(ctx)
	return all, rev, d.refused.OrNil()
}

func (d *oddDirectory) Watch(ctx context.Context, after store.Revision, wait time.Duration) ([]runner.Change, store.Revision, error) {
	changes, rev, _ := d.Directory.Watch(ctx, after, wait)
	for _, x := range d.refused {
		changes = append(changes, runner.Change{Worker: runner.Worker{Ref: runner.Ref{ID: runner.WorkerID(x.Name)}}, Removed: true})
	}
	return changes, rev, d.refused.OrNil()
}

// TestRefusedEntryIsNoFailureOfTheStore guards against a leader that takes the store for failing, pauses, and logs at each reading, since one
// entry of the workers' cannot be read.
func TestRefusedEntryIsNoFailureOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		timeout := &store.AdaptiveTimeout{Min: 200 * time.Millisecond, Max: 1500 * time.Millisecond}
		fleet := epochworker.New(epochworker.Options{Seed: 1, Lease: testLease})
		fleet.Add(runner.Worker{Ref: runner.Ref{ID: "w-a", Address: "1"}, Service: "s"})
		directory := &oddDirectory{Directory: fleet, refused: runner.EntryErrors{{Name: "x", Err: errors.New("address is missing")}}}
		var last Stats
		var e *lead.Elector
		e = lead.New(lead.Options{Self: lead.Member{Name: "a", Peer: "a"}, Store: kv.New(), StoreTimeout: timeout, Log: zerolog.Nop(), RunTerm: func(term *lead.Term) {
			NewHost(HostOptions{Store: kv.New(), StoreTimeout: timeout, Runner: fleet, Directory: directory, View: e.View(), Log: zerolog.New(zerolog.SyncWriter(&log)),
				Count: func(s Stats) { last = s }, Bounds: Bounds{Lease: testLease, MaxLease: testLease, Gang: time.Second, Keep: time.Minute}}, term).Run()
		}})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = e.Run(ctx)
		}()
		time.Sleep(20 * time.Second)
		cancel()
		<-done
		require.Equal(t, 1, strings.Count(log.String(), "worker's entry refused"))
		require.Contains(t, log.String(), "address is missing")
		require.NotContains(t, log.String(), "reads or watches fail")
		require.Greater(t, last.EntriesRefused, uint64(5), "the directory is followed")
		require.EqualValues(t, 1, last.EntriesRefusedNow)
	})
}
