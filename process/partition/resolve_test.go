package partition

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/version/spec"
)

// declare puts a configuration into force that declares the job of the tests.
func (c *cell) declare(version, generation uint64, job spec.Job) {
	job.Name, job.Team, job.Size = taskID(0).Job, "a", small
	c.jobs.Store(&spec.Config{Version: version, Jobs: map[string]*spec.VersionedJob{
		job.Name: {Generation: generation, Job: job},
	}})
}

func declaredService(slots int) spec.Job {
	return spec.Job{Kind: spec.Service, Count: 5, Service: &spec.ServiceSettings{Slots: slots, Connections: 8 * slots}}
}

func endpointsOf(c *cell, d *daemon) []plan.Endpoint {
	o, err := d.host.owner(testPartition)
	require.NoError(c.t, err)
	list, err := call(c.ctx, o, o.endpoints)
	require.NoError(c.t, err)
	return list
}

// adoptedEndpoint has another daemon take the partition over and returns that
// daemon and the endpoint of the only instance.
func (c *cell) adoptedEndpoint(old *daemon) (*daemon, plan.Endpoint) {
	old.kill()
	d := c.takeOver(old)
	c.eventually(time.Minute, "adopted", func() bool { return len(endpointsOf(c, d)) == 1 })
	return d, endpointsOf(c, d)[0]
}

func TestAdoptedInstanceOfAJobLearnedLaterTakesRequests(t *testing.T) {
	// Guards against running instances that callers cannot reach after a
	// takeover: a daemon adopted them before it had the configuration, and their
	// jobs were looked up only at adoption.
	inBubble(t, 2, 1, large, func(c *cell) {
		d := c.ready()
		c.author.mustStart(d, service(1, workerID(0)))
		c.eventually(time.Minute, "listens", func() bool { return len(endpointsOf(c, d)) == 1 })
		c.jobs.Store(&spec.Config{})
		next, _ := c.adoptedEndpoint(d)
		c.declare(1, 1, declaredService(8))
		c.eventually(time.Minute, "described", func() bool {
			e := endpointsOf(c, next)[0]
			return e.Service == taskID(1).Job && e.Slots == 8 && e.Conns == 64 && !e.Leaving
		})
	})
}

func TestAdoptedInstanceOfAnotherGenerationIsNotGivenTheNewLimits(t *testing.T) {
	// Guards against callers' requests failing with refused connections: a
	// service is declared with more slots, and before an instance is replaced its
	// partition moves to another owner, which gave it the newly declared slots.
	inBubble(t, 2, 1, large, func(c *cell) {
		d := c.ready()
		c.author.mustStart(d, service(1, workerID(0)))
		c.eventually(time.Minute, "listens", func() bool { return len(endpointsOf(c, d)) == 1 })
		c.declare(2, 2, declaredService(16))
		time.Sleep(time.Second)
		require.Equal(t, 8, endpointsOf(c, d)[0].Slots)
		_, e := c.adoptedEndpoint(d)
		require.Equal(t, []any{8, 64, false}, []any{e.Slots, e.Conns, e.Leaving})
	})
}

func TestAdoptedInstanceOfUnknownLimitsTakesNoNewRequests(t *testing.T) {
	// Guards against the same fault when the owner fails before it has written
	// the limits to its memo.
	inBubble(t, 2, 1, large, func(c *cell) {
		d := c.ready()
		d.gate.setCut(true)
		c.author.mustStart(d, service(1, workerID(0)))
		c.eventually(time.Minute, "listens", func() bool { return len(endpointsOf(c, d)) == 1 })
		c.declare(2, 2, declaredService(16))
		_, e := c.adoptedEndpoint(d)
		require.True(t, e.Leaving, "%+v", e)
	})
}

func TestLimitsOfUnusedGenerationsAreDropped(t *testing.T) {
	var l serviceLimits
	require.Equal(t, []string{"vm-1"}, l.load([]string{"limits desk 7 8 64", "limits of a later release", "vm-1"}))
	require.Equal(t, map[generation]instanceLimits{{"desk", 7}: {8, 64}}, l.known)
	require.Equal(t, []string{"limits desk 7 8 64"}, l.notes())
	o := &owner{limits: l}
	o.pruneLimits()
	require.Empty(t, o.limits.known)
}

func TestAdoptedTaskOfAJobLearnedLaterIsNotLost(t *testing.T) {
	// Guards against a task that runs on two workers, or is stopped by the owner
	// of another shard: a daemon takes a rack over before it has the
	// configuration, the task is lost, the configuration arrives. Tasks of
	// unknown jobs were assigned to the first shard.
	inBubble(t, 2, 1, large, func(c *cell) {
		d := c.ready()
		c.author.mustStart(d, step(1, workerID(0)))
		c.jobs.Store(&spec.Config{})
		d.kill()
		next := c.takeOver(d)
		c.eventually(time.Minute, "adopted", func() bool { return c.hasTask(next, 1) })
		c.author.mu.Lock()
		c.author.events = nil
		c.author.mu.Unlock()
		reply, err := c.author.fenceFor(next, "another")
		require.NoError(t, err)
		require.Empty(t, reply.Tasks, "the shard is not known yet")
		require.Equal(t, []worker.ID{workerID(0)}, reply.Unaccounted, "the worker may run a task of the shard")
		c.rack.Restart(workerID(0))
		c.eventually(time.Minute, "lost", func() bool { return next.metrics.Lost.Value() == 1 })
		time.Sleep(time.Minute)
		lost := func(e plan.Event) bool { return e.Task == taskID(1) && e.Lost }
		require.False(t, c.author.received(lost), "the shard is not known yet")
		c.declare(1, 1, spec.Job{Kind: spec.Batch, Count: 5})
		c.eventually(time.Minute, "reported", func() bool { return c.author.received(lost) })
		reply, err = c.author.fenceFor(next, "another")
		require.NoError(t, err)
		require.Empty(t, reply.Unaccounted)
	})
}

// hasTask reports whether the daemon's owner records task i as live.
func (c *cell) hasTask(d *daemon, i int) bool {
	o, err := d.host.owner(testPartition)
	require.NoError(c.t, err)
	held, err := call(c.ctx, o, func() bool { return o.live[taskID(i)] != nil })
	require.NoError(c.t, err)
	return held
}
