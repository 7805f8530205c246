package dispatch

import (
	"fmt"
	"math"
	"time"

	"fennelshunt.example/fennelshunt/process/straggler"
)

// This file collects what package straggler needs to decide whether runs that take much longer than
// expected start again elsewhere, and carries its decisions out.

const (
	// stragglerPeriod is between two comparisons of all runs with their predictions: a tenth of
	// a long run of the quickest work.
	stragglerPeriod = 200 * time.Millisecond
	// The bound on moves per comparison is one for each workersPerMove workers, and at least
	// minStragglerMoves. In a cell of 350 workers it is some 85 moves per second, well above the
	// 20 long runs per second that start there.
	minStragglerMoves = 2
	workersPerMove    = 20
	// maxStragglerTries bounds the stragglers per comparison for which all workers are searched:
	// a search takes 20 µs.
	maxStragglerTries = 20
	// resumeTime is what a start from a checkpoint takes longer than any other start.
	resumeTime = 100 * time.Millisecond
)

// checkStragglers compares runs with their predictions, and moves those that take much longer
// if that is worthwhile.
func (e *Engine) checkStragglers() {
	p := &e.o.Policy
	if !p.StragglerMoves || p.NoSpeedModel || e.now < e.stragglersAt {
		return
	}
	e.stragglersAt = e.now + stragglerPeriod
	moves, tries := e.scaledByWorkers(minStragglerMoves, workersPerMove), maxStragglerTries
	for _, w := range e.workerList {
		if w.misses > 0 || !e.anyStraggles(w) {
			continue // if the worker does not answer, the progress of its runs is outdated
		}
		for _, alloc := range sortedAllocs(w) {
			if moves == 0 || tries == 0 {
				return
			}
			if !e.straggles(alloc) {
				continue
			}
			tries--
			if e.moveStraggler(alloc) {
				moves--
			}
		}
	}
}

// anyStraggles reports whether any run on a worker takes much longer than it would elsewhere. Few
// workers have one, so that the runs of the others need not be sorted.
func (e *Engine) anyStraggles(w *worker) bool {
	for _, alloc := range w.allocs {
		if e.straggles(alloc) {
			return true
		}
	}
	return false
}

// straggles reports whether a run takes much longer than it would elsewhere.
func (e *Engine) straggles(alloc *allocation) bool {
	s := alloc.s
	if alloc.state != running || s.spec.LongRunning || s.spec.Estimate <= 0 || alloc.percent >= nearlyDone || !s.job.active() {
		return false
	}
	pace, ok := alloc.progress.Pace()
	if !ok || !straggler.Slow(e.estimate(s), s.work.Deviation(), pace) {
		return false
	}
	if !alloc.straggles {
		alloc.straggles = true
		e.stats.Stragglers++
		if alloc.stragglerMoves() > 0 {
			e.stats.StragglersAgain++
		}
	}
	return true
}

// stragglerMoves returns how often the run's task, or its gang, was moved.
func (alloc *allocation) stragglerMoves() int {
	if alloc.s.spec.Gang {
		return alloc.s.gang.moves
	}
	return alloc.task().moves
}

// moveStraggler stops a run, or its gang, if a start elsewhere is likely to end much sooner.
func (e *Engine) moveStraggler(alloc *allocation) bool {
	s := alloc.s
	if e.heldIfStopped(alloc) {
		return false
	}
	delay, ok := e.placeElsewhere(alloc)
	if !ok {
		return false
	}
	pace, _ := alloc.progress.Pace()
	c := straggler.Case{Moves: alloc.stragglerMoves(), Tasks: 1,
		Remaining: e.remaining(alloc), Elapsed: e.now - alloc.ackAt,
		Done: alloc.progress.Done(), Checkpoints: s.spec.Checkpoints,
		Whole: e.estimate(s), Pace: pace, LongShare: s.job.speeds.LongShare(),
		Delay: delay, Resume: resumeTime}
	if s.spec.Gang {
		c.Tasks = s.spec.Count
	}
	gain, move := c.Move()
	if !move {
		return false
	}
	e.stats.StragglerMoves++
	why := fmt.Sprintf("it takes %v instead of %v, a start elsewhere ends %v sooner",
		pace.Round(time.Millisecond), c.Whole.Round(time.Millisecond), gain.Round(time.Millisecond))
	e.decide(Decision{What: "straggler moved", Task: alloc.id(), Run: alloc.run, Worker: alloc.w.ID, Why: why, Age: c.Elapsed})
	alloc.task().avoidWorker(alloc.w.ID, e.now)
	if s.spec.Gang {
		s.gang.moves++
		e.stopGang(s, "a member takes much longer than expected")
		return true
	}
	alloc.task().moves++
	e.stop(alloc, "it takes much longer than expected")
	return true
}

// placeElsewhere reports whether another worker that is not slow has capacity for a run, and how long
// after its stop the new run can start there. Without enough workers known to be good, it adds up the
// probability that unknown ones are. For a gang one other worker is enough, since the other members
// can start again on the capacity that their stop frees.
func (e *Engine) placeElsewhere(alloc *allocation) (delay time.Duration, ok bool) {
	s, need := alloc.s, alloc.need
	a := e.adviceOf(s)
	expected := 0.0 // number of workers with capacity that are good
	for _, w := range e.workerList {
		if w == alloc.w || !need.Fits(w.free()) || !e.eligible(s, w) || e.capacityFor(s, w, need, 1) == 0 {
			continue
		}
		switch {
		case w.slow:
		case a == nil:
			return initialStopTime, true
		case a.verdictOf(w) == good:
			expected = 1
		case a.verdictOf(w) == unknown:
			expected += e.goodShare(s.job.spec.Queue.Name)
		}
	}
	if expected < 1 || !e.mayAsk(s) {
		return 0, false
	}
	names := 1.0
	if s.spec.Gang {
		names = float64(s.spec.Count)
	}
	names = math.Ceil(names * askFactor / e.goodShare(s.job.spec.Queue.Name))
	return initialStopTime + s.callCost(int(names)), true
}
