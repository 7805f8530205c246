package cellnode

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/lead"
)

// lives is a directory in which each worker has begun another life.
type lives struct{ n int }

func (l lives) List(context.Context) (all []runner.Worker, _ store.Revision, _ error) {
	for i := range l.n {
		all = append(all, runner.Worker{Ref: runner.Ref{ID: runner.LifeID(fmt.Sprint("w-", i), 1)}})
	}
	return all, 1, nil
}

func (l lives) Watch(context.Context, store.Revision, time.Duration) (all []runner.Change, _ store.Revision, _ error) {
	for i := range l.n {
		all = append(all, runner.Change{Worker: runner.Worker{Ref: runner.Ref{ID: runner.WorkerID(fmt.Sprint("w-", i))}}, Gone: true},
			runner.Change{Worker: runner.Worker{Ref: runner.Ref{ID: runner.LifeID(fmt.Sprint("w-", i), 2)}}})
	}
	return all, 2, nil
}

// TestLivesUnderOneNameAreOfOnePart guards against a part that does not hear of the end of
// its worker's entry, and another one that takes the worker's next life.
func TestLivesUnderOneNameAreOfOnePart(t *testing.T) {
	names := func(s share) (listed, gone, next []string) {
		all, _, err := s.List(t.Context())
		require.NoError(t, err)
		for _, w := range all {
			listed = append(listed, w.ID.Name())
		}
		changes, _, err := s.Watch(t.Context(), 1, time.Second)
		require.NoError(t, err)
		for _, c := range changes {
			if c.Gone {
				gone = append(gone, c.Worker.ID.Name())
			} else {
				next = append(next, c.Worker.ID.Name())
			}
		}
		return listed, gone, next
	}
	const workers = 20
	sum := 0
	for part := range 3 {
		listed, gone, next := names(share{lives{workers}, lead.Layout{Parts: 3}, part})
		require.Equal(t, listed, gone)
		require.Equal(t, listed, next)
		sum += len(listed)
	}
	require.Equal(t, workers, sum)
}
