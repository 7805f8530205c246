package partition

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/version/spec"
)

// resize changes the capacity of a VM in the list.
func (l *vmList) resize(name string, capacity spec.Resources) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.vms {
		if l.vms[i].Name == name {
			l.vms[i].Capacity = capacity
		}
	}
}

func TestSmallerVMInTheListTakesLess(t *testing.T) {
	// Guards against a VM filled beyond its capacity: the VM list shows a smaller
	// VM while its agent keeps its lease and still reports the old capacity, and
	// the capacity was read only when the worker was added or fenced. The VM
	// then grows again.
	inBubble(t, 1, 1, large, func(c *cell) {
		d := c.ready()
		c.vms.resize(string(workerID(0)), small)
		time.Sleep(10 * time.Second)
		require.Equal(t, small, c.workerState(d, workerID(0)).Capacity)
		require.Equal(t, plan.Accepted, c.author.commit(d, step(1, workerID(0)))[0].Outcome)
		require.Equal(t, plan.NoCapacity, c.author.commit(d, step(2, workerID(0)))[0].Outcome)
		c.vms.resize(string(workerID(0)), large)
		time.Sleep(10 * time.Second)
		require.Equal(t, plan.Accepted, c.author.commit(d, step(2, workerID(0)))[0].Outcome)
	})
}

func TestSmallerVMInTheListAppliesWhileItsAgentIsUnreachable(t *testing.T) {
	// Guards against the same fault when the agent of the smaller VM is
	// unreachable and its capacity was taken only from the agent.
	inBubble(t, 1, 1, large, func(c *cell) {
		d := c.ready()
		c.author.mustStart(d, step(1, workerID(0)), step(2, workerID(0)))
		c.rack.Cut(d.key(), workerID(0), true)
		c.vms.resize(string(workerID(0)), small)
		c.eventually(3*time.Second, "smaller", func() bool {
			return c.workerState(d, workerID(0)).Capacity == small
		})
		c.rack.Cut(d.key(), workerID(0), false)
		time.Sleep(30 * time.Second)
		require.Len(t, c.rack.Running(workerID(0)), 2, "running tasks are kept")
		require.Equal(t, plan.NoCapacity, c.author.commit(d, step(3, workerID(0)))[0].Outcome)
	})
}
