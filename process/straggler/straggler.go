// Package straggler decides whether a run that takes much longer than expected is stopped, so
// that its task starts again on another worker.
//
// Load: a few runs in a hundred take seven times as long as the others, for reasons other than
// their task, and workers become slow during a run. One such run delays its job, and in a gang all
// members.
//
// The remaining time of a run at its present pace is compared with the time that a new run needs: to
// stop the old one, to find capacity, to be advised, and to do the remaining work, or all of it if
// the step writes no checkpoints. The new run may take several times too long as well.
//
// Guarantees:
//   - A task, or a gang as a whole, is moved at most MaxMoves times.
//   - It is moved only if the time gained exceeds the work that is thrown away. Whether its job can
//     still be in time does not matter, since the capacity saved is of use to other work.
//   - Without a predicted run time it is not moved, since the gain is not known.
//   - A run is a straggler only if it is slower than the caller's prediction of a new run by several
//     standard deviations.
package straggler

import (
	"math"
	"time"
)

const (
	// MaxMoves is how often a task, or a gang, is moved. If 3 runs in 100 are long, one task in
	// 37,000 has a third long run.
	MaxMoves = 2
	// deviations is the number of standard deviations of the prediction by which a run has to be
	// slower than expected. With normally distributed errors one run in 700 is, by chance.
	deviations = 3
	// minRatio is the least ratio of the time at a run's pace to the prediction: tasks of a step
	// vary by some 15 % each way, and a stop and a start take a tenth of a usual run.
	minRatio = 1.6
	// minGain is the least gain: more than the 200 ms that a stop may take.
	minGain = 300 * time.Millisecond
)

// Slow reports whether a run is a straggler. predicted is the expected time of a whole run elsewhere,
// deviation the standard deviation of its logarithm, and pace the time of a whole run at the run's
// present pace.
func Slow(predicted time.Duration, deviation float64, pace time.Duration) bool {
	if predicted <= 0 || pace <= 0 {
		return false
	}
	off := math.Log(pace.Seconds() / predicted.Seconds())
	return off > deviations*deviation && off > math.Log(minRatio)
}

// Case is a straggler, or a gang with one.
type Case struct {
	Moves int // so far
	Tasks int // that would start again: 1, or all of the gang
	// Remaining is the time until its end at its present pace, Elapsed the time since its start.
	Remaining, Elapsed time.Duration
	// Done is the share of the work that is done, from 0 to 1. It is kept if Checkpoints is set.
	Done        float64
	Checkpoints bool
	// Whole is the predicted time of a whole run elsewhere; Pace is that at its present pace.
	Whole, Pace time.Duration
	// LongShare is the share of runs of the queue that take several times too long.
	LongShare float64
	// Delay is the time from the stop to the new start, Resume the additional time of a start from
	// a checkpoint.
	Delay, Resume time.Duration
}

// newRun returns the expected time of the new run.
func (c *Case) newRun() time.Duration {
	left, extra := 1.0, time.Duration(0)
	if c.Checkpoints {
		left, extra = 1-c.Done, c.Resume
	}
	anyLong := 1 - math.Pow(1-c.LongShare, float64(c.Tasks))
	whole := c.Whole.Seconds() + anyLong*max(c.Pace-c.Whole, 0).Seconds()
	return time.Duration(math.Ceil(left*whole*float64(time.Second))) + extra
}

// Move reports whether to move the run or gang, and by how much sooner it is then expected to end.
func (c *Case) Move() (gain time.Duration, move bool) {
	if c.Moves >= MaxMoves || c.Whole <= 0 {
		return 0, false
	}
	if c.Checkpoints && c.Done >= 1 {
		return 0, false // it has no work left: it is about to report its end
	}
	gain = c.Remaining - c.Delay - c.newRun()
	lost := time.Duration(0)
	if !c.Checkpoints {
		lost = c.Elapsed
	}
	return gain, gain >= minGain && gain > lost
}
