package dispatch

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/version/work"
)

// lives is a leader with one task whose first start order, to the worker w-a, has no answer. w-a crashes and is back under its
// name; w-b can run the task as well.
type lives struct {
	*harness
	start   runner.Start
	ordered time.Duration // when the call without an answer had ended
	current runner.WorkerID
	born    time.Duration // of the current incarnation
	running uint64        // the run that it has, 0 for none
	ended   []runner.Completion
	// mute: it leaves stops without an answer.
	mute bool
	// elsewhere are the times of the starts on w-b, here those of the later starts on w-a.
	elsewhere, here []time.Duration
}

// newLives leaves the first try of a step's first task without an answer. The second one is answered, if answered is set.
func newLives(t *testing.T, step work.Step, answered bool) *lives {
	x := &lives{harness: newHarness(t, 1, inheritedID), current: inheritedID, born: -time.Second}
	require.NoError(t, x.e.Load(0, Saved{Accepted: []store.Entry{jobEntry(t, 1, 4, step)}}))
	x.step(50 * time.Millisecond)
	x.report(inheritedID, runner.Report{Clock: time.Second})
	starts := x.starts()
	x.start = starts[0].Start
	for _, other := range starts[1:] {
		x.e.Started(x.now, inheritedID, other.Start.Task, other.Start.Run, nil)
	}
	x.e.Started(x.now, inheritedID, x.start.Task, x.start.Run, runner.ErrUnknown)
	x.ordered = x.now
	x.resize("w-b", work.Resources{CPU: 4000, Memory: 4000})
	if !answered {
		for range maxStarts - 1 {
			x.e.Started(x.now, inheritedID, x.start.Task, x.start.Run, runner.ErrUnknown)
		}
		x.dropEffects()
		return x
	}
	x.e.Started(x.now, inheritedID, x.start.Task, x.start.Run, nil)
	x.dropEffects()
	x.running = x.start.Run
	return x
}

// dropEffects drops the calls whose outcomes the engine has had.
func (x *lives) dropEffects() {
	x.flush()
	x.effects = nil
}

// free is from when on the order cannot be carried out any more.
func (x *lives) free() time.Duration {
	return x.ordered + x.e.o.Bounds.maxStartTimeout() + maxOrderDelay
}

func (x *lives) reportOf() runner.Report {
	r := runner.Report{Clock: x.now - x.born, Ended: x.ended}
	if x.running > 0 {
		r.Running = []runner.ActiveRun{{Task: x.start.Task, Run: x.running}}
	}
	return r
}

// end ends the run on the current incarnation.
func (x *lives) end(how runner.Outcome) {
	x.ended = append(x.ended, runner.Completion{Number: int64(len(x.ended) + 1), Task: x.start.Task, Run: x.running, Outcome: how})
	x.running = 0
	x.pass(300 * time.Millisecond)
}

// crash ends the current incarnation. The next one answers in its place.
func (x *lives) crash() {
	_, born := x.current.Incarnation()
	next := runner.IncarnationID("w-a", born+1)
	before := x.current
	x.current, x.born, x.running, x.ended = next, x.now-time.Second, 0, nil
	x.e.Renewed(x.now, before, runner.Report{}, &runner.IncarnationError{ID: next, Report: x.reportOf()})
	x.resize(next, work.Resources{CPU: 4000, Memory: 4000})
	x.pass(300 * time.Millisecond)
}

// pass passes a time, during which both workers answer.
func (x *lives) pass(d time.Duration) {
	for until := x.now + d; x.now < until; {
		for _, effect := range sent[Effect](x.harness) {
			switch effect := effect.(type) {
			case SendStart:
				if effect.To.ID == "w-b" {
					x.elsewhere = append(x.elsewhere, x.now)
				} else {
					require.Equal(x.t, x.current, effect.To.ID)
					x.here = append(x.here, x.now)
					x.running = effect.Start.Run
				}
				x.e.Started(x.now, effect.To.ID, effect.Start.Task, effect.Start.Run, nil)
			case SendStop:
				if effect.To.ID != x.current || x.mute {
					continue
				}
				if effect.Run == x.running {
					x.ended = append(x.ended, runner.Completion{Number: int64(len(x.ended) + 1), Task: x.start.Task, Run: x.running, Outcome: runner.Stopped})
					x.running = 0
				}
				x.e.StopAnswered(x.now, x.current, effect.Task, effect.Run, nil)
			case LookUpWorker:
				x.e.LookedUp(x.now, effect.Ref.ID, Lookup{Listed: true})
			}
		}
		r := runner.Report{Clock: time.Second + x.now}
		if len(x.elsewhere) > 0 {
			r.Running = []runner.ActiveRun{{Task: x.start.Task, Run: x.e.jobs[testJob].step(x.start.Task).tasks[0].runs}}
		}
		x.answerRenewal(x.current, x.reportOf())
		x.answerRenewal("w-b", r)
		x.step(tickPeriod)
	}
}

func (x *lives) answerRenewal(id runner.WorkerID, r runner.Report) {
	if w := x.e.workers[id]; w != nil && w.renewing {
		x.e.Renewed(x.now, id, r, nil)
	}
}

// TestTaskOfAnOpenOrderStartsNowhereElse guards against a second run of a task beside one that a later incarnation starts from an
// order without an answer, whatever has become of the run on the incarnations before.
func TestTaskOfAnOpenOrderStartsNowhereElse(t *testing.T) {
	for name, c := range map[string]struct {
		answered bool // a later try was
		do       func(x *lives)
	}{
		"a later try was answered, and the worker crashed": {true, func(x *lives) { x.crash() }},
		"the run was in a report, and the worker crashed":  {true, func(x *lives) { x.pass(time.Second); x.crash() }},
		"it crashed three times": {true, func(x *lives) {
			for range 3 {
				x.crash()
				x.pass(time.Second)
			}
		}},
		"the next incarnation has refused it, and crashed": {false, func(x *lives) { x.crash(); x.crash() }},
		"two have refused it, and crashed":                 {false, func(x *lives) { x.crash(); x.crash(); x.crash() }},
		"the same incarnation has refused it, and crashed": {false, func(x *lives) { x.pass(time.Second); x.crash() }},
		"the run failed, and the worker crashed":           {true, func(x *lives) { x.end(runner.Failed); x.crash() }},
		"the run failed":                                   {true, func(x *lives) { x.end(runner.Failed) }},
		"the run was stopped":                              {true, func(x *lives) { x.end(runner.Stopped) }},
		"the run lapsed, and the worker crashed":           {true, func(x *lives) { x.end(runner.Expired); x.crash() }},
		"the run vanished from the reports":                {true, func(x *lives) { x.pass(time.Second); x.running = 0; x.pass(time.Second); x.crash() }},
		"the worker was removed by its name": {true, func(x *lives) {
			x.e.removeWorker(x.e.workers[x.current], "removed by name", true)
			x.resize(x.current, work.Resources{CPU: 4000, Memory: 4000})
			x.running = 0
		}},
		"its clock went back": {true, func(x *lives) { x.pass(2 * time.Second); x.born, x.running = x.now, 0 }},
		"its lease expired, and it is back": {true, func(x *lives) {
			for until := x.e.workers[x.current].expiry + time.Second; x.now < until; {
				x.silent(x.current)
			}
			x.running = 0
		}},
	} {
		t.Run(name, func(t *testing.T) {
			x := newLives(t, oneTask(), c.answered)
			c.do(x)
			for x.now < x.free() {
				x.pass(100 * time.Millisecond)
			}
			require.Empty(t, x.elsewhere)
			if len(x.here) > 0 {
				x.crash() // what it had started there has ended
			}
			x.pass(3 * time.Second)
			require.NotEmpty(t, append(x.elsewhere, x.here...))
			require.Zero(t, x.e.Stats().LateStarts)
			require.Zero(t, x.e.orders.Len())
		})
	}
}

// TestCopyOfAnAnsweredOrderIsOpen guards against a second run of a task beside one that an incarnation starts from a copy of an order that
// has been answered, which a relay still had.
func TestCopyOfAnAnsweredOrderIsOpen(t *testing.T) {
	for name, refusal := range map[string]error{"it runs": nil, "refused": runner.ErrStaleRun} {
		t.Run(name, func(t *testing.T) {
			x := newLives(t, oneTask(), true)
			x.e.orders.Remove(x.e.orders.Of(x.start.Task)[0])
			x.e.orders.Sent(runner.Ref{ID: inheritedID}, x.start.Task, x.start.Run)
			x.e.Started(x.now, inheritedID, x.start.Task, x.start.Run, errors.Join(refusal, runner.ErrCopyOpen))
			require.Equal(t, refusal == nil, x.e.jobs[testJob].step(x.start.Task).tasks[0].alloc.state == running)
			if refusal != nil {
				x.running = 0
			}
			x.pass(time.Second)
			x.crash()
			for x.now < x.free() {
				x.pass(100 * time.Millisecond)
			}
			require.Empty(t, x.elsewhere)
		})
	}
}

// TestTaskOfAnOpenOrderStartsWhereItIsRefused guards against a task that waits for the age of an order though the worker that was
// ordered is back and refuses it.
func TestTaskOfAnOpenOrderStartsWhereItIsRefused(t *testing.T) {
	x := newLives(t, oneTask(), true)
	x.crash()
	x.pass(time.Second)
	require.Len(t, x.here, 1)
	require.Less(t, x.here[0], x.ordered+time.Second)
	require.EqualValues(t, 1, x.e.Stats().LateStartsPinned)
}

// TestFailedTaskIsNotTriedAgainWhereItFailed guards against a task that uses up its attempts on one worker, since an open order keeps it
// from all others.
func TestFailedTaskIsNotTriedAgainWhereItFailed(t *testing.T) {
	x := newLives(t, oneTask(), true)
	x.end(runner.Failed)
	x.pass(4 * time.Second)
	require.Empty(t, x.here)
	require.EqualValues(t, 1, x.e.Stats().LateStarts)
	for x.now < x.free()+time.Second {
		x.pass(100 * time.Millisecond)
	}
	require.Len(t, x.elsewhere, 1)
}

// TestWorkerGetsNoWorkBeforeItRefusesOpenOrders guards against work that is started on an incarnation beside a run that an order may start
// there without anybody's knowledge.
func TestWorkerGetsNoWorkBeforeItRefusesOpenOrders(t *testing.T) {
	two := oneTask()
	two.Count = 2
	x := newLives(t, two, true)
	x.e.workers["w-b"].Draining = true
	x.mute = true
	x.crash()
	x.pass(time.Second)
	require.Equal(t, excludedFenced, x.e.workers[x.current].exclusion(x.now))
	require.Empty(t, x.here)
	x.mute = false
	x.pass(time.Second)
	require.NotEmpty(t, x.here)
}

// TestEndedTasksOrderIsRefused guards against a task that is done, and that the next incarnation of its worker runs once more.
func TestEndedTasksOrderIsRefused(t *testing.T) {
	x := newLives(t, oneTask(), true)
	x.end(runner.Done)
	x.effects = nil
	x.mute = true
	x.crash()
	require.NotZero(t, x.e.Stats().OrdersFenced)
	require.Zero(t, x.e.Stats().LateStarts)
}

// TestRunThatWasStartedLateIsTakenOver guards against a run that is stopped though its task waits for nothing else.
func TestRunThatWasStartedLateIsTakenOver(t *testing.T) {
	x := newLives(t, oneTask(), true)
	x.e.workers[inheritedID].Draining = true // its worker leaves as planned, which is not the task's fault
	x.mute = true
	_, born := x.current.Incarnation()
	next := runner.IncarnationID("w-a", born+1)
	x.e.Renewed(x.now, x.current, runner.Report{}, runner.ErrRestarted)
	x.current, x.born, x.running = next, x.now-time.Second, x.start.Run
	x.resize(next, work.Resources{CPU: 4000, Memory: 4000})
	x.pass(time.Second)
	require.EqualValues(t, 1, x.e.Stats().LateStartsAdopted)
	require.Zero(t, x.e.Stats().Stops)
	x.end(runner.Done)
	state, _ := x.e.State(testJob)
	require.Equal(t, work.Completed, state)
	require.Empty(t, x.elsewhere)
}

// TestGangOfAnOpenOrderWaits guards against a gang that starts again as a whole while a member's order is open.
func TestGangOfAnOpenOrderWaits(t *testing.T) {
	gang := oneTask()
	gang.Gang, gang.Count = true, 2
	x := newLives(t, gang, true)
	x.crash()
	for x.now < x.free() {
		x.pass(100 * time.Millisecond)
		require.Empty(t, append(x.elsewhere, x.here...))
	}
	all, _ := x.e.Explain(x.now, testJob)
	require.Equal(t, waitLateStart.String(), all.Steps[0].WaitsFor)
	x.pass(3 * time.Second)
	require.NotEmpty(t, append(x.elsewhere, x.here...))
}

// TestStepWithCopiesDoesNotWaitForAnOpenOrder guards against a wait that a task that may run twice has no use for.
func TestStepWithCopiesDoesNotWaitForAnOpenOrder(t *testing.T) {
	copies := oneTask()
	copies.Speculative = true
	x := newLives(t, copies, true)
	x.mute = true
	x.crash()
	x.pass(time.Second)
	require.Len(t, x.elsewhere, 1)
}

// TestRefusalEndsWithItsWorker guards against a worker that counts as refusing a run since another one under its id did.
func TestRefusalEndsWithItsWorker(t *testing.T) {
	x := newLives(t, oneTask(), false)
	x.pass(time.Second)
	require.Len(t, x.here, 1, "it has refused the first run")
	x.e.removeWorker(x.e.workers[x.current], "its clock went back", true)
	x.resize(x.current, work.Resources{CPU: 4000, Memory: 4000})
	x.mute, x.running, x.ended, x.born = true, 0, nil, x.now
	x.pass(time.Second)
	require.Len(t, x.here, 1)
	require.Empty(t, x.elsewhere)
}

// TestSuccessorIsToldOpenOrders guards against a successor that starts a task elsewhere when the worker crashes that has its run, since the
// answer to the second try is all that it knows.
func TestSuccessorIsToldOpenOrders(t *testing.T) {
	x := newLives(t, oneTask(), true)
	fleet := map[string]store.Entry{}
	x.stepInto(fleet, 2*ordersPause)
	age := x.now - x.ordered
	require.Contains(t, fleet, keyOpen)
	var entries []store.Entry
	for _, entry := range fleet {
		entries = append(entries, entry)
	}
	next := newHarness(t, 2)
	require.NoError(t, next.e.Load(0, Saved{Accepted: []store.Entry{jobEntry(t, 1, 4, oneTask())}, Fleet: entries}))
	y := &lives{harness: next, start: x.start, current: inheritedID, born: -time.Minute, running: x.start.Run, ordered: -age}
	y.resize(inheritedID, work.Resources{CPU: 4000, Memory: 4000})
	y.resize("w-b", work.Resources{CPU: 4000, Memory: 4000})
	y.pass(500 * time.Millisecond)
	require.EqualValues(t, 1, y.e.Stats().Adopted)
	y.crash()
	y.e.workers[y.current].Draining = true
	for y.now < y.free()-ordersPause {
		y.pass(100 * time.Millisecond)
	}
	require.Empty(t, y.elsewhere)
	require.Positive(t, y.e.Stats().LateStarts)
	told := map[string]store.Entry{}
	y.stepInto(told, 100*time.Millisecond)
	y.pass(3 * time.Second)
	require.Len(t, y.elsewhere, 1)
}

// TestRunWithAnOpenOrderIsNotMoved guards against a run that is stopped to start elsewhere, or for other work, and whose task then waits
// for the age of an order.
func TestRunWithAnOpenOrderIsNotMoved(t *testing.T) {
	for name, step := range map[string]work.Step{"a task": stepOf(5, false), "a gang": stepOf(5, true)} {
		t.Run(name, func(t *testing.T) {
			h, long := longRun(t, Policy{}, step)
			task := long.Start.Task
			if step.Gang {
				task.Index = (task.Index + 1) % step.Count
			}
			alloc := h.e.allocOf(long.To.ID, long.Start.Task, long.Start.Run)
			o := h.e.orders.Add(runner.Ref{ID: "w-x"}, task, 1, h.now+time.Minute)
			require.True(t, h.e.heldIfStopped(alloc))
			h.e.o.Policy.StragglerMoves = true
			h.e.stragglersAt = 0
			h.e.checkStragglers()
			require.NotZero(t, h.e.Stats().Stragglers)
			require.Zero(t, h.e.Stats().StragglerMoves)
			h.e.orders.Remove(o)
			h.e.stragglersAt = 0
			h.e.checkStragglers()
			require.EqualValues(t, 1, h.e.Stats().StragglerMoves)
		})
	}
	h, _, _ := fullCell(t, nil)
	w := h.e.workerList[0]
	protected := func() (n int) {
		for _, x := range h.e.stoppable(w) {
			if x.Protected {
				n++
			}
		}
		return n
	}
	before, alloc := protected(), sortedAllocs(w)[0]
	h.e.orders.Add(runner.Ref{ID: "w-x"}, alloc.id(), 1, h.now+time.Minute)
	require.Equal(t, before+1, protected())
}

// TestStartIsSentAgainOnceTheListTellsOfTheFirstTry guards against a run that a successor takes for the only one that there can be, since
// its leader ended between the second try of a start and the list that tells of the first one.
func TestStartIsSentAgainOnceTheListTellsOfTheFirstTry(t *testing.T) {
	for name, stored := range map[string]bool{"the list is stored": true, "the store does not answer": false} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1, inheritedID)
			require.NoError(t, h.e.Load(0, Saved{Accepted: []store.Entry{jobEntry(t, 1, 4, oneTask())}}))
			h.step(50 * time.Millisecond)
			h.report(inheritedID, runner.Report{Clock: time.Second})
			start := h.starts()[0].Start
			h.e.Started(h.now, inheritedID, start.Task, start.Run, runner.ErrUnknown)
			began := h.now
			_, starts := h.tick(toldTimeout - tickPeriod)
			require.Empty(t, starts)
			if stored {
				require.NotNil(t, h.e.writes[fleetStream])
				h.e.Committed(h.now, fleetStream)
			}
			for len(starts) == 0 {
				_, starts = h.tick(tickPeriod)
			}
			require.Len(t, starts, 1)
			require.Equal(t, start.Run, starts[0].Start.Run)
			if stored {
				require.Less(t, h.now, began+toldTimeout+tickPeriod)
			} else {
				require.GreaterOrEqual(t, h.now, began+toldTimeout)
				require.LessOrEqual(t, h.now, began+toldTimeout+2*tickPeriod)
			}
		})
	}
}

// TestIncarnationFoundByALookupIsAskedToRefuse guards against a run that an incarnation starts late though it has answered a lookup before:
// it had no entry yet, and was asked nothing more.
func TestIncarnationFoundByALookupIsAskedToRefuse(t *testing.T) {
	x := newEndedStart(t)
	x.until(x.free()+entryDelay+time.Second, Lookup{Answers: true, Other: "w-a"}) // one that doesn't say when it started
	require.Positive(t, x.lookups)
	x.until(x.now+time.Second, Lookup{Answers: true, Other: followingID})
	require.Positive(t, x.lookups)
	w := x.e.workers[followingID]
	require.NotNil(t, w)
	require.False(t, w.listed)
	x.e.orders.Add(runner.Ref{ID: inheritedID}, work.TaskID{Job: testJob}, 1, x.now+time.Second) // one that is not too old yet
	x.effects = nil
	x.report(followingID, runner.Report{Clock: time.Second})
	x.step(50 * time.Millisecond)
	require.NotEmpty(t, sent[SendStop](x.harness))
}
