package idem

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

func TestKeptHeadersCountAsMemory(t *testing.T) {
	// Symptom: a daemon was killed for its memory.
	// Sequence: an instance answers keyed requests with empty bodies and large
	//   headers or trailers.
	// Cause: a kept answer was charged with its body only, so that the bound on
	//   kept answers held a hundred times as much.
	synctest.Test(t, func(t *testing.T) {
		large := http.Header{"X-Large": {strings.Repeat("h", 3000)}}
		c := newCell(t, 1, func(o *Options) { o.AnswerMemory = 8000 })
		defer c.close()
		daemon := c.daemons[0]
		for n := range Shards {
			c.own(n, daemon)
		}
		answers := []*Answer{{Header: large}, {Trailer: large}, {Header: large}}
		for i, answer := range answers {
			answer.Status = http.StatusOK
			a := begun(t, daemon, newRequest(strings.Repeat("k", i+1)))
			require.NoError(t, a.Intend(t.Context()))
			a.Finish(answer)
		}
		_, _, err := daemon.Begin(t.Context(), newRequest("k"))
		require.ErrorContains(t, err, CodeAnswerNotKept, "the oldest has made room")
		for _, key := range []string{"kk", "kkk"} {
			_, kept, err := daemon.Begin(t.Context(), newRequest(key))
			require.NoError(t, err)
			require.NotNil(t, kept)
		}
	})
}
