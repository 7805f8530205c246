package idem

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestHomeThatCouldNotHandOverGoesOn(t *testing.T) {
	// Symptom: after a daemon joined, an eighth of the keys is refused for
	//   seconds, and a key whose request ended whole is told outcome_unknown.
	// Sequence: the ownership manager moves a key shard; a request with a key
	//   takes longer than ReleaseTimeout; Releasing fails, and the manager
	//   keeps the claim.
	// Cause: Releasing drops the shard though it fails, so that the owner by
	//   the claim serves nothing and forgets its running requests.
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 1, nil)
		defer c.close()
		daemon, r := c.daemons[0], newRequest("slow")
		c.own(r.shard(), daemon)
		a := begun(t, daemon, r)
		require.NoError(t, a.Intend(t.Context()))
		release := func() error {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			return daemon.Releasing(ctx, resource(r.shard()))
		}
		for range 2 {
			require.Error(t, release())
		}
		a.Finish(&Answer{Status: http.StatusOK, Body: []byte("whole")})
		_, answer, err := daemon.Begin(t.Context(), r)
		require.NoError(t, err, "the claim is still this home's")
		require.Equal(t, "whole", string(answer.Body))

		require.NoError(t, release(), "nothing runs any more")
		_, _, err = daemon.Begin(t.Context(), r)
		require.Error(t, err, "handed over")
	})
}
