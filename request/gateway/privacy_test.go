package gateway

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/request/idem"
)

func TestKeptAnswerIsNotGivenToAnotherCaller(t *testing.T) {
	// Guards against a caller that gets the answer made for another one. Two
	// callers without a team, or of the same team, use the same key text, path and
	// body with different credentials, and neither scope nor fingerprint includes
	// the caller and its credentials.
	asha := []string{CallerHeader, "asha", "Authorization", "Bearer asha", "Cookie", "s=asha"}
	for _, differs := range []int{1, 3, 5} {
		bilal := append([]string(nil), asha...)
		bilal[differs] = "bilal"
		t.Run(bilal[differs-1], func(t *testing.T) {
			c := newCell(t, 2, 1, Options{})
			first := do(t, "POST", c.urls[0], "a", "mine", append(asha, KeyHeader, "1")...)
			require.Equal(t, http.StatusOK, first.status)
			second := do(t, "POST", c.urls[0], "a", "mine", append(bilal, KeyHeader, "1")...)
			require.Equal(t, "not-run", second.verdict(), "got the answer of asha's request")
			require.Equal(t, idem.CodeMismatch, second.header.Get("Fennel-Code"))
			// The key of the same caller is the same at every daemon.
			again := do(t, "POST", c.urls[1], "a", "mine", append(asha, KeyHeader, "1")...)
			require.Equal(t, first.body, again.body)
			require.Equal(t, 1, c.runs("a"))
		})
	}
}
