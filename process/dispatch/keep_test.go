package dispatch

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/standin/epochworker"
	"fennelshunt.example/fennelshunt/standin/kv"
	"fennelshunt.example/fennelshunt/version/work"
)

// keptJobs follows what the store shows of the jobs of a cell that forgets them soon.
type keptJobs struct {
	c     *cell
	final map[work.JobID]work.State // the final states that were seen
	since map[work.JobID]time.Time  // when they were seen first
	gone  map[work.JobID]bool
}

// lookPause is the time between two looks.
const lookPause = 100 * time.Millisecond

// follow looks at the store until the context ends.
func (k *keptJobs) follow(ctx context.Context) {
	for ctx.Err() == nil {
		k.look()
		time.Sleep(lookPause)
	}
}

// look reports ends of jobs that change, come back or are forgotten too early.
func (k *keptJobs) look() {
	stored := map[work.JobID]work.State{}
	newest, errs := (&Engine{}).newest(k.c.kv.Entries(PrefixState), k.c.kv.Entries(PrefixBatches))
	assert.Empty(k.c.t, errs)
	for id, s := range newest {
		stored[id] = s.progress.State
	}
	for id, state := range stored {
		switch was, ended := k.final[id]; {
		case ended:
			assert.Equal(k.c.t, was, state, "%s changes after its end", id)
			assert.False(k.c.t, k.gone[id], "%s comes back as %s", id, state)
		case state.Final():
			k.final[id], k.since[id] = state, time.Now()
		}
	}
	for id := range k.final {
		if _, found := stored[id]; !found && !k.gone[id] {
			k.gone[id] = true
			assert.GreaterOrEqual(k.c.t, time.Since(k.since[id]), k.c.keep-lookPause, "%s is forgotten", id)
		}
	}
}

// lateKeep is how long ended jobs are kept in the test below: longer than a submission may come and
// take effect late there, and short enough that most jobs are forgotten during the faults.
const lateKeep = 7 * time.Second

// again submits an accepted job again, once, as an accepting daemon does for a caller that repeats its request, and
// tells the leader of the entry it found with a delay.
func (c *cell) again(id work.JobID, value []byte, offerAfter time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := c.kv.Commit(ctx, store.Txn{Checks: []store.Check{{Key: KeySubmission(id)}, {Key: KeyState(id)}},
		Writes: []store.Write{{Key: KeySubmission(id), Value: value}}})
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) {
		return
	}
	found, exists := conflict.Find(KeySubmission(id))
	if !exists {
		return
	}
	time.Sleep(offerAfter)
	if h := c.leader(); h != nil {
		h.Offer(found)
	}
}

// cancelAbsent marks an id that has no job, as an accepting daemon does for a caller that cancels it.
func (c *cell) cancelAbsent(id work.JobID) {
	mark, err := work.EncodeProgress(&work.Progress{State: work.Refused})
	require.NoError(c.t, err)
	c.write(store.Txn{Checks: []store.Check{{Key: KeyState(id)}, {Key: KeySubmission(id)}},
		Writes: []store.Write{{Key: KeyState(id), Value: mark}, {Key: KeyCancel(id), Value: CancelAbsent}}})
}

// TestForgottenJobsUnderRandomFaults guards against jobs that run again, come back, are forgotten early or leave
// keys behind: every job is submitted a second time within seconds, and is forgotten soon after its end, by this
// leader or a later one.
func TestForgottenJobsUnderRandomFaults(t *testing.T) {
	overSeeds(t, 4, func(t *testing.T, seed uint64) {
		c := newKeepCell(t, seed, 24, 3, lateKeep, Policy{WriteKeys: minWriteKeys, WriteStreams: 2}, usualBehaviour(0.05))
		randomKeep(t, c, func(rng *rand.Rand) *work.Job { return drawJob(rng, rng.IntN(2) == 0) })
	})
}

func randomKeep(t *testing.T, c *cell, draw func(*rand.Rand) *work.Job) {
	k := &keptJobs{c: c, final: map[work.JobID]work.State{}, since: map[work.JobID]time.Time{}, gone: map[work.JobID]bool{}}
	ctx, cancel := context.WithCancel(context.Background())
	followed := make(chan struct{})
	go func() {
		defer close(followed)
		k.follow(ctx)
	}()
	time.Sleep(2 * time.Second)
	next := time.Now().Add(2 * time.Second)
	for i := range 200 {
		j := draw(c.rng)
		id := c.submit(j)
		value, err := work.EncodeJob(j)
		require.NoError(t, err)
		after := time.Duration(c.rng.IntN(20000)) * time.Millisecond
		time.AfterFunc(time.Duration(c.rng.IntN(3000))*time.Millisecond, func() { c.again(id, value, after) })
		if c.rng.IntN(10) == 0 {
			time.AfterFunc(time.Duration(c.rng.IntN(3000))*time.Millisecond, func() { c.cancelJob(id) })
		}
		if c.rng.IntN(10) == 0 {
			c.cancelAbsent(work.JobID(fmt.Sprintf("f%015x", i)))
		}
		time.Sleep(time.Duration(c.rng.IntN(300)) * time.Millisecond)
		if i < 180 && time.Now().After(next) {
			c.injectFaultOf(0, 1, 2, 3, 4, 5, 6, 7, 8, 9)
			next = time.Now().Add(time.Duration(500+c.rng.IntN(3000)) * time.Millisecond)
		}
	}
	time.Sleep(5 * time.Second)
	c.kv.SetFaults(kv.Faults{})
	c.fleet.SetFaults(epochworker.Faults{})
	time.Sleep(3 * time.Minute)
	cancel()
	<-followed
	for _, id := range c.order {
		assert.True(t, k.final[id].Final(), "%s was never shown as ended", id)
		if k.final[id] == work.Completed {
			assert.Empty(t, c.fleet.NotDone(id), "%s was shown as completed", id)
		}
	}
	assert.Zero(t, c.fleet.Running())
	c.stop()
	for _, prefix := range []string{PrefixJobs, PrefixState, PrefixBatches, prefixSpec} {
		assert.Empty(t, c.kv.Entries(prefix), "keys that stay")
	}
	assert.Empty(t, c.fleet.Violations())
	assert.Empty(t, c.broken)
}
