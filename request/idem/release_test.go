package idem

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestOwnerServesOnAfterFailedRelease(t *testing.T) {
	// Guards against a Releasing that drops the shard although it fails, because a
	// request with a key takes longer than ReleaseTimeout while the ownership
	// manager moves the shard. The daemon keeps the claim but would serve no keys
	// of the shard, an eighth of all, for seconds, and would have no record of its
	// running requests: retries of one that completed get outcome_unknown.
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 1, nil)
		defer c.close()
		owner, r := c.daemons[0], newRequest("slow")
		c.own(r.shard(), owner)
		a := begun(t, owner, r)
		require.NoError(t, a.Intend(t.Context()))
		release := func() error {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			return owner.Releasing(ctx, resource(r.shard()))
		}
		for range 2 {
			require.Error(t, release())
		}
		a.Finish(&Answer{Status: http.StatusOK, Body: []byte("whole")})
		_, answer, err := owner.Begin(t.Context(), r)
		require.NoError(t, err, "the claim is still this daemon's")
		require.Equal(t, "whole", string(answer.Body))

		require.NoError(t, release(), "no request is running")
		_, _, err = owner.Begin(t.Context(), r)
		require.Error(t, err, "the shard was released")
	})
}
