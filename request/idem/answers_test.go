package idem

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

func TestKeptHeadersCountAsMemory(t *testing.T) {
	// Guards against a daemon that runs out of memory because an instance answers
	// keyed requests with empty bodies and large headers or trailers. If only the
	// body of a kept answer is charged, the memory used is a hundred times
	// AnswerMemory.
	synctest.Test(t, func(t *testing.T) {
		large := http.Header{"X-Large": {strings.Repeat("h", 3000)}}
		c := newCell(t, 1, func(o *Options) { o.AnswerMemory = 8000 })
		defer c.close()
		owner := c.daemons[0]
		for n := range Shards {
			c.own(n, owner)
		}
		answers := []*Answer{{Header: large}, {Trailer: large}, {Header: large}}
		for i, answer := range answers {
			answer.Status = http.StatusOK
			a := begun(t, owner, newRequest(strings.Repeat("k", i+1)))
			require.NoError(t, a.Intend(t.Context()))
			a.Finish(answer)
		}
		_, _, err := owner.Begin(t.Context(), newRequest("k"))
		require.ErrorContains(t, err, CodeAnswerNotKept, "the oldest answer is evicted")
		for _, key := range []string{"kk", "kkk"} {
			_, kept, err := owner.Begin(t.Context(), newRequest(key))
			require.NoError(t, err)
			require.NotNil(t, kept)
		}
	})
}
