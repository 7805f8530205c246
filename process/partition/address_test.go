package partition

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/process/plan"
)

func TestAddressOfAnInstanceIsPublishedSoon(t *testing.T) {
	// Symptom:  callers wait about a second longer than needed for a service.
	// Sequence: an instance starts and listens; its worker tells the address
	//           with the next heartbeat only.
	// Cause:    the heartbeat came in its turn.
	inBubble(t, 1, 1, large, func(c *cell) {
		d := c.ready()
		// betweenHeartbeats waits until none is due: a count that begins or ends
		// at the very time of one would or would not include it.
		betweenHeartbeats := func() {
			before := d.metrics.Syncs.Value()
			c.eventually(2*time.Second, "heartbeat", func() bool { return d.metrics.Syncs.Value() > before })
			time.Sleep(100 * time.Millisecond)
		}
		heartbeats := func() int64 {
			time.Sleep(5 * time.Second)
			betweenHeartbeats()
			before := d.metrics.Syncs.Value()
			time.Sleep(30 * time.Second)
			return d.metrics.Syncs.Value() - before
		}
		steady := heartbeats()

		betweenHeartbeats()
		require.Equal(t, plan.Accepted, c.author.commit(d, service(1, workerID(0)))[0].Outcome)
		known := c.eventually(time.Minute, "address", func() bool { return len(c.state(d).Endpoints) == 1 })
		require.Less(t, known, 200*time.Millisecond)

		require.Equal(t, steady, heartbeats(), "steady heartbeats are as before")
	})
}
