package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/process/ownership"
	"fennelshunt.example/fennelshunt/request/idem"
)

// keyOwnedElsewhere returns a key that is owned by another daemon than the first.
func (c *cell) keyOwnedElsewhere(t *testing.T) string {
	t.Helper()
	for i := range 1000 {
		key := fmt.Sprintf("order-%d", i)
		if _, self, ok := c.keys[0].Owner(idem.Key{Service: testService, Text: key}); ok && !self {
			return key
		}
	}
	t.Fatal("every key is owned by the first daemon")
	return ""
}

func TestKeyedRequestsAreServedWhileTheirOwnerDrains(t *testing.T) {
	// Guards against refusals during a planned upgrade: a key's owner refuses with
	// "draining" before its claim moves to another daemon, and the refusal is
	// passed on to the caller instead of looking up the owner again.
	c := newCell(t, 2, 1, Options{})
	key := c.keyOwnedElsewhere(t)
	c.gateways[1].state.Store(refusing)
	answer := make(chan result, 1)
	go func() { answer <- do(t, "POST", c.urls[0], key, "x", KeyHeader, key) }()
	refused := func() bool { return c.gateways[1].counts.Codes.Get(CodeDraining) != nil }
	require.Eventually(t, refused, 10*time.Second, time.Millisecond)
	c.kill(t, 1, 0)
	r := <-answer
	require.NoError(t, r.err)
	require.Equal(t, http.StatusOK, r.status, "%s", r.body)
	require.Equal(t, 1, c.runs(key))
}

func TestOwnerWaitExceedsReleaseTimeout(t *testing.T) {
	require.Greater(t, DefaultOwnerWait, ownership.DefaultReleaseTimeout)
}

// TestForwardedTimeoutLeavesAMargin guards against a "may have run" for requests that their key
// owner refuses as not run, but a little after the deadline.
func TestForwardedTimeoutLeavesAMargin(t *testing.T) {
	c := newCell(t, 2, 1, Options{})
	for left, margin := range map[time.Duration]time.Duration{
		20 * time.Millisecond: 10 * time.Millisecond, time.Second: 100 * time.Millisecond,
		5 * time.Second: 250 * time.Millisecond, time.Minute: 250 * time.Millisecond,
	} {
		h := http.Header{}
		c.gateways[0].forwardHeader(&call{deadline: time.Now().Add(left)}, h)
		given, err := time.ParseDuration(h.Get(TimeoutHeader))
		require.NoError(t, err)
		require.LessOrEqual(t, given, left-margin)
		require.Positive(t, given)
	}
}
