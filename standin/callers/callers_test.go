package callers

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/request/gateway"
	"fennelshunt.example/fennelshunt/request/idem"
	"fennelshunt.example/fennelshunt/request/verdict"
)

// slowTransport responds to each request after the given time.
type slowTransport time.Duration

func (s slowTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	_ = r.Body.Close() // not read
	time.Sleep(time.Duration(s))
	return &http.Response{StatusCode: http.StatusBadGateway, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("")), Request: r}, nil
}

// verdictTransport responds to each request with MayHaveRun and a code, and counts requests by key.
type verdictTransport struct {
	code  string
	after string // Retry-After, if any

	mu   sync.Mutex
	sent map[string]int
}

func (v *verdictTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	_ = r.Body.Close() // not read
	v.mu.Lock()
	defer v.mu.Unlock()
	v.sent[r.Header.Get(gateway.KeyHeader)]++
	h := http.Header{}
	h.Set(verdict.Header, verdict.MayHaveRun.String())
	h.Set(verdict.CodeHeader, v.code)
	if v.after != "" {
		h.Set("Retry-After", v.after)
	}
	return &http.Response{StatusCode: http.StatusGatewayTimeout, Header: h, Body: io.NopCloser(strings.NewReader("")), Request: r}, nil
}

// TestRetriesFollowTheCallersContract guards against stand-ins that give up on a request that may
// have run, or run it twice, contrary to the documented contract of callers.
func TestRetriesFollowTheCallersContract(t *testing.T) {
	for _, c := range []struct {
		name                 string
		nonIdempotent, keyed float64
		code                 string
		tries                int
	}{
		{"idempotent", 0, 0, "deadline_exceeded", 3},
		{"keyed", 0, 1, "deadline_exceeded", 3},
		{"keyed, outcome permanently unknown", 0, 1, idem.CodeOutcomeUnknown, 1},
		{"non-idempotent", 1, 0, "deadline_exceeded", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := &verdictTransport{code: c.code, sent: map[string]int{}}
				r := Run(t.Context(), Options{Client: &http.Client{Transport: v}, Service: "s", Rate: 100, Count: 1, Tries: 3, Seed: 1,
					NonIdempotent: c.nonIdempotent, Keyed: c.keyed})
				require.Equal(t, c.tries, r.Outcomes[0].Tries)
				require.Len(t, v.sent, 1, "one key for all tries")
			})
		})
	}
}

// TestRetriesWaitForRetryAfter guards against stand-ins that retry sooner than Retry-After says,
// and load a busy service with requests that it has to refuse.
func TestRetriesWaitForRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := &verdictTransport{after: "7", sent: map[string]int{}}
		r := Run(t.Context(), Options{Client: &http.Client{Transport: v}, Service: "s", Rate: 100, Count: 1, Tries: 3, Seed: 1})
		require.Equal(t, 3, r.Outcomes[0].Tries)
		require.GreaterOrEqual(t, r.Outcomes[0].Latency, 2*7*time.Second)
	})
}

// TestLatencyCountsFromTheScheduledTime guards against a shared variable for the scheduled time:
// the next request became due before a goroutine had read its own time, and a report showed a
// median of 1 µs for a service that takes 5 ms.
func TestLatencyCountsFromTheScheduledTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const latency = 20 * time.Millisecond
		r := Run(t.Context(), Options{
			Client: &http.Client{Transport: slowTransport(latency)}, Service: "s", Rate: 100, Count: 200, Tries: 1, Seed: 1,
		})
		require.Len(t, r.Outcomes, 200)
		for _, o := range r.Outcomes {
			require.GreaterOrEqual(t, o.Latency, latency)
		}
	})
}
