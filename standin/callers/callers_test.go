package callers

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// slowTransport answers each request after the given time.
type slowTransport time.Duration

func (s slowTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	_ = r.Body.Close() // not read
	time.Sleep(time.Duration(s))
	return &http.Response{StatusCode: http.StatusBadGateway, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("")), Request: r}, nil
}

// Symptom: a report shows a median of 1 µs for a service that works for 5 ms.
// Sequence: the next request becomes due before a goroutine has begun with its
// own.
// Cause: all goroutines read one variable for the time at which they were due.
func TestLatencyCountsFromTheRequestsOwnTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const answer = 20 * time.Millisecond
		r := Run(t.Context(), Options{
			Client: &http.Client{Transport: slowTransport(answer)}, Service: "s", Rate: 100, Count: 200, Tries: 1, Seed: 1,
		})
		require.Len(t, r.Outcomes, 200)
		for _, o := range r.Outcomes {
			require.GreaterOrEqual(t, o.Latency, answer)
		}
	})
}
