package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/version/work"
)

// slowStore applies an engine's writes and answers each one some time after it was sent.
type slowStore struct {
	h        *harness
	answer   time.Duration
	rev      store.Revision
	entries  map[string]store.Entry
	inFlight []pendingWrite
	writes   int
}

type pendingWrite struct {
	due time.Duration
	c   SendCommit
}

func newSlowStore(h *harness, answer time.Duration) *slowStore {
	s := &slowStore{h: h, answer: answer, entries: map[string]store.Entry{}}
	h.wrote = s.apply
	return s
}

// apply carries out a write.
func (s *slowStore) apply(c SendCommit) {
	s.rev++
	for _, x := range c.Writes {
		s.entries[x.Key] = store.Entry{Key: x.Key, Value: x.Value, Revision: s.rev}
	}
	for _, key := range c.Deletes {
		delete(s.entries, key)
	}
}

func (s *slowStore) put(key string, value []byte) {
	s.rev++
	s.entries[key] = store.Entry{Key: key, Value: value, Revision: s.rev}
}

// step advances the engine by a tick and executes what is due.
func (s *slowStore) step() {
	h := s.h
	h.now += tickPeriod
	kept := s.inFlight[:0]
	for _, w := range s.inFlight {
		if w.due > h.now {
			kept = append(kept, w)
			continue
		}
		s.apply(w.c)
		h.e.Committed(h.now, w.c.Stream)
	}
	s.inFlight = kept
	h.e.Tick(h.now)
	for _, x := range h.e.Flush(h.now) {
		switch x := x.(type) {
		case SendCommit:
			s.writes++
			s.inFlight = append(s.inFlight, pendingWrite{h.now + s.answer, x})
		case SendStart:
			h.e.Started(h.now, x.To.ID, x.Start.Task, x.Start.Run, nil)
			h.effects = append(h.effects, x)
		case SendStop:
			h.effects = append(h.effects, x)
		}
	}
}

func (s *slowStore) run(d time.Duration) {
	for until := s.h.now + d; s.h.now < until; {
		s.step()
	}
}

func (s *slowStore) withPrefix(prefix string) []store.Entry {
	var found []store.Entry
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			found = append(found, e)
		}
	}
	return found
}

// runningJobs returns a harness with a slow store on which jobs of one task each run.
func runningJobs(t *testing.T, jobs int, policy Policy, answer time.Duration) (*harness, *slowStore, []SendStart) {
	h := newHarness(t, 1)
	h.e.o.Policy = policy.complete()
	h.e.WorkerSeen(h.now, runner.Worker{Ref: runner.Ref{ID: "w-a"}, Service: "s", Capacity: work.Resources{CPU: jobs * 1000, Memory: jobs * 100}})
	s := newSlowStore(h, answer)
	for i := range jobs {
		id := work.JobID(fmt.Sprintf("%016x", i))
		entry := changed(t, jobEntry(t, 1, 2, oneTask()), func(j *work.Job) { j.Spec, j.SpecStored = "", true })
		s.put(KeySubmission(id), entry.Value)
		s.put(KeySpec(id), []byte("x"))
	}
	require.NoError(t, h.e.Load(0, Saved{Accepted: s.withPrefix(PrefixJobs)}))
	s.run(2*answer + 100*time.Millisecond)
	h.e.Renewed(h.now, "w-a", runner.Report{Clock: h.now}, nil)
	s.run(time.Second)
	starts := h.starts()
	require.Len(t, starts, jobs)
	return h, s, starts
}

// completionsOf reports completions of starts, numbered from first+1 on.
func completionsOf(first int, outcome runner.Outcome, starts ...SendStart) runner.Report {
	var r runner.Report
	for i, x := range starts {
		r.Ended = append(r.Ended, runner.Completion{Number: int64(first + i + 1), Task: x.Start.Task, Run: x.Start.Run, Outcome: outcome})
	}
	return r
}

func TestCompletionsAreShownSoonWhileTheStoreIsSlow(t *testing.T) {
	// Jobs were shown as completed only long after a slow store was fast again. The store
	// answers in 300 ms and 200 jobs a second end for five seconds, but one write at a time,
	// with two keys for each ended job, carries 48 jobs a second.
	const perTick, ticks = 5, 200
	slowest := func(policy Policy) (slowest time.Duration, writes int) {
		h, s, starts := runningJobs(t, perTick*ticks, policy, 300*time.Millisecond)
		ended := map[work.JobID]time.Duration{}
		before := s.writes
		for i := 0; len(ended) > 0 || i < ticks; i++ {
			if i < ticks {
				some := starts[i*perTick : (i+1)*perTick]
				h.e.Renewed(h.now, "w-a", completionsOf(i*perTick, runner.Done, some...), nil)
				for _, x := range some {
					ended[x.Start.Task.Job] = h.now
				}
			}
			s.step()
			for id, at := range ended {
				if state, _ := h.e.State(id); state == work.Completed {
					slowest = max(slowest, h.now-at)
					delete(ended, id)
				}
			}
			require.Less(t, i, 100*ticks, "some are never shown")
		}
		return slowest, s.writes - before
	}
	one, _ := slowest(Policy{WriteStreams: 1, NoBatches: true})
	batches, _ := slowest(Policy{WriteStreams: 1})
	all, writes := slowest(Policy{})
	t.Logf("slowest end shown after %v with one write at a time, %v with batches, %v with write streams as well", one, batches, all)
	require.Greater(t, one, 5*time.Second)
	require.LessOrEqual(t, batches, 700*time.Millisecond, "an answer for the write before, and one for its own")
	require.LessOrEqual(t, all, 450*time.Millisecond)
	require.Less(t, writes, 120, "at most one per overlapDelay")
}

func TestQuickStoreHasOneWriteAtATime(t *testing.T) {
	// With a fast store, several write streams must not cost more writes than one.
	const jobs = 400
	counts := map[int]int{}
	for _, streams := range []int{1, 4} {
		h, s, starts := runningJobs(t, jobs, Policy{WriteStreams: streams}, 0)
		before := s.writes
		for i := range jobs {
			h.e.Renewed(h.now, "w-a", completionsOf(i, runner.Done, starts[i]), nil)
			s.step()
			require.LessOrEqual(t, len(s.inFlight), 1)
		}
		counts[streams] = s.writes - before
	}
	require.Equal(t, counts[1], counts[4])
}

func TestJobsMoveOutOfBatches(t *testing.T) {
	// Batches must not accumulate in the store, nor submissions of ended jobs remain.
	const jobs = 150
	h, s, starts := runningJobs(t, jobs, Policy{}, 300*time.Millisecond)
	h.e.Renewed(h.now, "w-a", completionsOf(0, runner.Done, starts...), nil)
	s.run(400 * time.Millisecond)
	require.NotEmpty(t, s.withPrefix(PrefixBatches), "a batch has what did not fit under separate keys")
	for _, x := range starts {
		state, _ := h.e.State(x.Start.Task.Job)
		require.Equal(t, work.Completed, state)
	}
	s.run(15 * time.Second)
	require.Empty(t, s.withPrefix(PrefixBatches))
	require.Empty(t, s.withPrefix(PrefixJobs))
	require.Empty(t, s.withPrefix(prefixSpec), "specs are removed with their jobs")
	require.Len(t, s.withPrefix(PrefixState), jobs)
}

func TestSuccessorReadsBatches(t *testing.T) {
	// Completions that the store has only in a batch must not be lost with the leader, or
	// their tasks would run again after the completion was acknowledged. Half of many jobs end
	// as done, the others fail once; the leader fails right after the write, or after some
	// jobs have moved to their own keys and failed a second time.
	const jobs = 100
	for _, later := range []time.Duration{400 * time.Millisecond, 800 * time.Millisecond} {
		h, s, starts := runningJobs(t, jobs, Policy{}, 300*time.Millisecond)
		done, failed := starts[:jobs/2], starts[jobs/2:]
		h.e.Renewed(h.now, "w-a", completionsOf(0, runner.Done, done...), nil)
		h.e.Renewed(h.now, "w-a", completionsOf(jobs/2, runner.Failed, failed...), nil)
		s.run(later)
		require.NotEmpty(t, s.withPrefix(PrefixBatches))
		next := newHarness(t, 2)
		require.NoError(t, next.e.Load(0, Saved{Accepted: s.withPrefix(PrefixJobs), States: s.withPrefix(PrefixState), Batches: s.withPrefix(PrefixBatches)}))
		for _, x := range done {
			state, known := next.e.State(x.Start.Task.Job)
			require.True(t, known)
			require.Equal(t, work.Completed, state)
		}
		for _, x := range failed {
			j := next.e.jobs[x.Start.Task.Job]
			require.False(t, j.state.Final())
			require.Len(t, j.occurrences[0].steps[0].tasks[0].failed, 1)
		}
		took := newSlowStore(next, 0)
		took.entries, took.rev = s.entries, s.rev
		took.run(5 * time.Second)
		require.Empty(t, took.withPrefix(PrefixBatches), "the successor moves jobs out of batches as well")
		require.Len(t, took.withPrefix(PrefixJobs), jobs/2)
	}
}

func TestNewestProgressWins(t *testing.T) {
	// A job that failed twice must not be tried as if it had failed once, whether its own key
	// has older progress than a batch, or a batch older progress than its own key.
	failedRuns := func(runs ...uint64) work.Progress {
		return work.Progress{State: work.Running, Completions: []work.StepCompletions{{Failed: []work.TaskFailures{{Runs: runs}}}}}
	}
	once, twice := failedRuns(1), failedRuns(1, 2)
	for _, inBatch := range []bool{true, false} {
		own, batched := once, twice
		if !inBatch {
			own, batched = twice, once
		}
		state, err := work.EncodeProgress(&own)
		require.NoError(t, err)
		value, err := work.EncodeBatch([]work.JobProgress{{Job: testJob, Progress: batched}})
		require.NoError(t, err)
		revs := map[bool]store.Revision{true: 9, false: 8}
		h := newHarness(t, 2)
		require.NoError(t, h.e.Load(0, Saved{Accepted: []store.Entry{jobEntry(t, 1, 3, oneTask())},
			States:  []store.Entry{{Key: KeyState(testJob), Value: state, Revision: revs[!inBatch]}},
			Batches: []store.Entry{{Key: PrefixBatches + "x", Value: value, Revision: revs[inBatch]}}}))
		require.Equal(t, []uint64{1, 2}, h.e.jobs[testJob].occurrences[0].steps[0].tasks[0].failed)
	}
}

func TestBatchThatCanNotBeReadIsLeftAlone(t *testing.T) {
	h := newHarness(t, 2)
	err := h.e.Load(0, Saved{Accepted: []store.Entry{jobEntry(t, 1, 2, oneTask())}, Batches: []store.Entry{{Key: PrefixBatches + "x", Value: []byte("?"), Revision: 1}}})
	require.ErrorContains(t, err, PrefixBatches+"x")
	require.NotNil(t, h.e.jobs[testJob], "the other entries are loaded")
	s := newSlowStore(h, 0)
	s.put(PrefixBatches+"x", nil)
	s.run(time.Second)
	require.Len(t, s.withPrefix(PrefixBatches), 1)
}

// TestSlowStoreUnderRandomFaults is TestJobsUnderRandomFaults with a store that is sometimes slow
// and writes of few keys, so that batches are in use all the time.
func TestSlowStoreUnderRandomFaults(t *testing.T) {
	first, seeds := seedsOfRun(t, 4)
	batches := uint64(0)
	for seed := first; seed < first+seeds; seed++ {
		t.Run(seedName(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCellOf(t, seed, 16, 3, Policy{WriteKeys: minWriteKeys, WriteStreams: 2}, usualBehaviour(0.05))
				randomFaultsOf(t, c, func(rng *rand.Rand) *work.Job { return drawJob(rng, rng.IntN(2) == 0) }, func(c *cell) {
					c.injectFaultOf(0, 1, 2, 3, 4, 5, 6, 7, 9, 9, 9)
				})
				batches += c.batches.Load()
			})
		})
	}
	require.Positive(t, batches, "no batch was written")
}

// TestEndIsKeptFromWhenItIsShown guards against a job that is forgotten right after it was shown as completed,
// because the store did not answer for as long as ended jobs are kept.
func TestEndIsKeptFromWhenItIsShown(t *testing.T) {
	h, s, starts := runningJobs(t, 1, Policy{}, 0)
	id := starts[0].Start.Task.Job
	s.answer = 2 * h.e.o.Bounds.Keep
	h.e.Renewed(h.now, "w-a", completionsOf(0, runner.Done, starts...), nil)
	s.run(s.answer + time.Second)
	s.answer = 0
	state, _ := h.e.State(id)
	require.Equal(t, work.Completed, state)
	s.run(h.e.o.Bounds.Keep - 2*time.Second)
	state, known := h.e.State(id)
	require.True(t, known)
	require.Equal(t, work.Completed, state)
	require.Len(t, s.withPrefix(PrefixState), 1)
	s.run(2*time.Second + 2*prunePause)
	_, known = h.e.State(id)
	require.False(t, known)
	require.Empty(t, s.withPrefix(PrefixState))
}

// TestEndFoundInABatchIsKeptFromTheLoading guards against the same with a successor that has read the end from a
// batch, after its reads went without an answer for as long as ended jobs are kept.
func TestEndFoundInABatchIsKeptFromTheLoading(t *testing.T) {
	value, err := work.EncodeBatch([]work.JobProgress{{Job: testJob, Progress: work.Progress{State: work.Completed}}})
	require.NoError(t, err)
	h := newHarness(t, 2)
	h.now = 2 * h.e.o.Bounds.Keep
	s := newSlowStore(h, 0)
	s.put(KeySubmission(testJob), jobEntry(t, 1, 2, oneTask()).Value)
	s.put(PrefixBatches+"x", value)
	require.NoError(t, h.e.Load(h.now, Saved{Accepted: s.withPrefix(PrefixJobs), Batches: s.withPrefix(PrefixBatches)}))
	s.run(h.e.o.Bounds.Keep - 2*time.Second)
	state, known := h.e.State(testJob)
	require.True(t, known)
	require.Equal(t, work.Completed, state)
}

// TestCancellationOfAnEndInABatchIsRemoved guards against a key of a cancellation that stays: a successor finds the
// submission, its cancellation, and in a batch that the job had ended otherwise before.
func TestCancellationOfAnEndInABatchIsRemoved(t *testing.T) {
	value, err := work.EncodeBatch([]work.JobProgress{{Job: testJob, Progress: work.Progress{State: work.Completed}}})
	require.NoError(t, err)
	h := newHarness(t, 2)
	s := newSlowStore(h, 0)
	s.put(KeySubmission(testJob), jobEntry(t, 1, 2, oneTask()).Value)
	s.put(KeyCancel(testJob), nil)
	s.put(PrefixBatches+"x", value)
	accepted := s.withPrefix(PrefixJobs)
	slices.SortFunc(accepted, func(a, b store.Entry) int { return strings.Compare(a.Key, b.Key) }) // as listed
	require.NoError(t, h.e.Load(h.now, Saved{Accepted: accepted, Batches: s.withPrefix(PrefixBatches)}))
	s.run(time.Second)
	state, _ := h.e.State(testJob)
	require.Equal(t, work.Completed, state)
	s.run(h.e.o.Bounds.Keep + 3*prunePause)
	require.Empty(t, s.entries)
}

// TestMarkOfACancelledIDIsRemovedByASuccessor guards against the state of an id that was cancelled without a job
// staying in the store, or going without its cancellation: a later leader would then remove what a new job under
// the id has stored. The successor reads both, or the state only, as earlier versions wrote it or as it was listed
// just before the other.
func TestMarkOfACancelledIDIsRemovedByASuccessor(t *testing.T) {
	mark, err := work.EncodeProgress(&work.Progress{State: work.Refused})
	require.NoError(t, err)
	for name, cancelled := range map[string]struct{ loaded, watched bool }{"both": {true, false}, "state": {false, false}, "state first": {false, true}} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2)
			s := newSlowStore(h, 300*time.Millisecond)
			s.put(KeyState(testJob), mark)
			if cancelled.loaded || cancelled.watched {
				s.put(KeyCancel(testJob), CancelAbsent)
			}
			saved := Saved{States: s.withPrefix(PrefixState)}
			if cancelled.loaded {
				saved.Accepted = s.withPrefix(PrefixJobs)
			}
			require.NoError(t, h.e.Load(h.now, saved))
			if cancelled.watched {
				h.e.Heard(1)
				require.NoError(t, h.e.Accepted(h.now, s.entries[KeyCancel(testJob)]))
			}
			s.run(h.e.o.Bounds.Keep - time.Second)
			_, known := h.e.State(testJob)
			require.False(t, known)
			all := len(s.entries)
			for until := h.now + 3*prunePause + time.Second; h.now < until && len(s.entries) > 0; {
				require.Len(t, s.entries, all, "one goes without the other")
				s.step()
			}
			require.Empty(t, s.entries)
		})
	}
}

// leftBehind is the state in which a leader leaves the store if it is lost between two removals on different write
// streams: a job's end is forgotten, and a batch that has older progress of it is not removed yet.
func leftBehind(t *testing.T, h *harness, progress work.Progress) *slowStore {
	value, err := work.EncodeBatch([]work.JobProgress{{Job: testJob, Progress: progress}})
	require.NoError(t, err)
	s := newSlowStore(h, 0)
	s.put(PrefixBatches+"x", value)
	return s
}

// TestBatchOfAForgottenJobIsRemoved guards against a batch that no leader ever removes, because the job whose progress
// it has does not exist any more, and against the job coming back.
func TestBatchOfAForgottenJobIsRemoved(t *testing.T) {
	for _, state := range []work.State{work.Running, work.Completed} {
		h := newHarness(t, 2)
		s := leftBehind(t, h, work.Progress{State: state})
		require.NoError(t, h.e.Load(h.now, Saved{Batches: s.withPrefix(PrefixBatches)}))
		_, known := h.e.State(testJob)
		require.False(t, known, "it comes back")
		s.run(time.Second)
		require.Empty(t, s.entries)
	}
}

// TestProgressOfAForgottenJobIsNotThatOfANewOne guards against a job that is shown as running or completed before
// anything of it has run: a job under its id was forgotten, and a batch still has progress of that.
func TestProgressOfAForgottenJobIsNotThatOfANewOne(t *testing.T) {
	done := []work.StepCompletions{{All: true}}
	for _, progress := range []work.Progress{{State: work.Running, Completions: done}, {State: work.Completed}} {
		h := newHarness(t, 2)
		s := leftBehind(t, h, progress)
		s.put(KeySubmission(testJob), jobEntry(t, 1, 2, oneTask()).Value)
		require.NoError(t, h.e.Load(h.now, Saved{Accepted: s.withPrefix(PrefixJobs), Batches: s.withPrefix(PrefixBatches)}))
		state, _ := h.e.State(testJob)
		require.Equal(t, work.Queued, state)
		s.run(time.Second)
		require.Empty(t, s.withPrefix(PrefixBatches))
		require.NotEmpty(t, s.withPrefix(PrefixJobs))
	}
}
