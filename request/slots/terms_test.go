package slots

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRepeatedGrantsCountOnce guards against an instance that runs more requests than it has
// slots, because terms of a pool that arrive twice add a credit again.
func TestRepeatedGrantsCountOnce(t *testing.T) {
	for name, use := range map[string]bool{"idle": false, "in use": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCell(t, 1, 1)
				defer c.close()
				c.setEndpoints(1, 4)
				h := c.daemons["d0"].holder(testService)
				h.mu.Lock()
				defer h.mu.Unlock()
				h.validUntil = time.Now().Add(time.Minute)
				e := c.endpoints[0]
				grants := terms{Batch: 1, Target: 1, Grants: []granted{{ID: newCreditID(1, 1), Instance: instanceOf(&e)}}}
				h.applyTerms(grants, time.Now())
				if use {
					require.NotNil(t, h.pick(time.Now()))
				}
				h.applyTerms(grants, time.Now())
				require.Len(t, h.credits, 1)
				if use {
					require.Nil(t, h.pick(time.Now()))
				}
				require.Empty(t, h.returned, "its slot would be freed while it is used")
				require.LessOrEqual(t, len(h.idle), 1)
			})
		})
	}
}
