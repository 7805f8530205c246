package partition

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/process/plan"
)

func TestAddressOfAnInstanceIsPublishedSoon(t *testing.T) {
	// Guards against callers waiting up to a second longer than needed for a
	// service, because a new instance's address was fetched only with the next
	// regular heartbeat.
	inBubble(t, 1, 1, large, func(c *cell) {
		d := c.ready()
		// betweenHeartbeats waits until no heartbeat is due: whether a count
		// includes a heartbeat at its very beginning or end would be random.
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

		require.Equal(t, steady, heartbeats(), "the regular heartbeats are as before")
	})
}
