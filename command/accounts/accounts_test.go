package accounts

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// daemonWith serves counters as a daemon does.
func daemonWith(t *testing.T, counters string) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(counters)) }))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func TestAccountsAreSummedOverShardLeaders(t *testing.T) {
	first := daemonWith(t, `{"starts":5,"accounts":[{"account":"south","weight":1,"cap":{"milli_cpu":0,"memory_mb":0},"held":{"milli_cpu":500,"memory_mb":7}},
{"account":"north","weight":2.5,"cap":{"milli_cpu":8000,"memory_mb":900},"held":{"milli_cpu":1500,"memory_mb":100},"waits":{"milli_cpu":2000,"memory_mb":0},"beyond":3}]}`)
	second := daemonWith(t, `{"accounts":[{"account":"north","weight":2.5,"cap":{"milli_cpu":8000,"memory_mb":900},"held":{"milli_cpu":2500,"memory_mb":50},"beyond":1}]}`)
	follower := daemonWith(t, `{"accounts":[]}`)
	var out, errOut bytes.Buffer
	require.NoError(t, Show(t.Context(), &out, &errOut, []string{first, follower, second}))
	require.Empty(t, errOut.String())
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 3)
	require.Equal(t, []string{"north", "2.5", "4.0", "8", "150", "900", "0.0", "2.0", "4"}, strings.Fields(lines[1]))
	require.Equal(t, []string{"south", "1", "0.5", "-", "7", "-", "0.0", "0.0", "0"}, strings.Fields(lines[2]))
}

func TestDaemonThatFailsIsReported(t *testing.T) {
	good := daemonWith(t, `{"accounts":[{"account":"north"}]}`)
	broken := daemonWith(t, `not JSON`)
	var out, errOut bytes.Buffer
	require.NoError(t, Show(t.Context(), &out, &errOut, []string{broken, good}))
	require.Contains(t, errOut.String(), broken)
	require.Contains(t, out.String(), "north")
	require.ErrorIs(t, Show(t.Context(), &out, &errOut, []string{broken}), errNoLeader)
}
