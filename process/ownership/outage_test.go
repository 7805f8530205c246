package ownership_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/standin/kv"
)

// joinOne adds a member, to which some resources are then assigned.
func (c *cell) joinOne() {
	c.members = append(c.members, nil)
	c.start(len(c.members)-1, 1)
}

func (c *cell) owned() int {
	total := 0
	for _, m := range c.members {
		total += m.load()
	}
	return total
}

func TestOutageKeepsWhatWasToBeTransferred(t *testing.T) {
	// Guards against a partition without an owner in a store outage, whose tasks end when
	// their lease expires: a member joins, the store goes down before the hold-down time
	// ends, and the handler stopped serving a resource before it was certain that the claim
	// can be released.
	inBubble(t, 2, 12, func(c *cell) {
		c.eventually(10*time.Second, "all owned", c.allOwned)
		time.Sleep(20 * time.Second)
		c.joinOne()
		time.Sleep(10 * time.Second)
		c.kv.SetFaults(kv.Faults{Down: true})
		time.Sleep(10 * time.Minute)
		require.Equal(t, 12, c.owned(), "resources with an owner")
		c.kv.SetFaults(kv.Faults{})
		c.eventually(10*time.Minute, "moved", func() bool { return c.allOwned() && c.members[2].load() > 0 })
	})
}

func TestOutageDuringAHandoverKeepsTheResource(t *testing.T) {
	// Guards against the same loss when the store goes down while the handler prepares the
	// release: the claim was confirmed only before that.
	inBubble(t, 2, 12, func(c *cell) {
		c.eventually(10*time.Second, "all owned", c.allOwned)
		c.releasing = func() { c.kv.SetFaults(kv.Faults{Down: true}) }
		c.joinOne()
		time.Sleep(10 * time.Minute)
		require.Equal(t, 12, c.owned(), "resources with an owner")
		require.NotEmpty(t, c.resumed)
		c.releasing = nil
		c.kv.SetFaults(kv.Faults{})
		c.eventually(10*time.Minute, "moved", func() bool { return c.allOwned() && c.members[2].load() > 0 })
	})
}
