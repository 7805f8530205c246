package why

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func daemon(t *testing.T, status int, body string) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/explain" || r.URL.Query().Get("job") != "00000000000000aa" {
			status = http.StatusTeapot
		}
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func TestFallsBackToTheNextDaemon(t *testing.T) {
	failing := daemon(t, http.StatusServiceUnavailable, "no leader")
	good := daemon(t, http.StatusOK, `{"job":"00000000000000aa","state":"running","account":"north","held":{"milli_cpu":7500,"memory_mb":100},"cap":{"milli_cpu":8000,"memory_mb":0},
"beyond":true,"waited_ms":{"quota":6200},"steps":[{"step":1,"tasks":5,"done":2,"running":1,"bound":"quota","open_ms":1500,"fit":4,"excluded":[{"why":"probation","workers":3,"since_ms":12400},{"why":"quarantine","workers":1,"since_ms":900,"ends_ms":1100}],"suspects":[{"index":3,"crashes":[{"Run":7,"Worker":"w-1","Sole":true}]}]}]}`)
	var out, errOut bytes.Buffer
	require.NoError(t, Show(t.Context(), &out, &errOut, "00000000000000aa", []string{failing, good}))
	require.Contains(t, errOut.String(), failing)
	for _, want := range []string{"north holds 7.5 of 8 cores, 100 of any number of MB in this shard; submitted over its entitlement", "quota 6.2 s", "1.5 s",
		"3 of 4 workers that fit step 0.1: probation for 12.4 s\n", "1 of 4 workers that fit step 0.1: quarantine for 0.9 s, the first ends in 1.1 s\n",
		"00000000000000aa.0.1.3", "run 7 on w-1, no run of another job had started there"} {
		require.Contains(t, out.String(), want)
	}
	require.Equal(t, []string{"0", "1", "5", "2", "1", "quota", "1.5", "s"}, strings.Fields(strings.Split(out.String(), "\n")[6]))
}

func TestUnknownJob(t *testing.T) {
	var out, errOut bytes.Buffer
	err := Show(t.Context(), &out, &errOut, "00000000000000aa", []string{daemon(t, http.StatusNotFound, "")})
	require.ErrorIs(t, err, errNotFound)
	require.Error(t, Command(&out, &errOut).Exec(t.Context(), []string{"00000000000000aa"}), "an address is missing")
}
