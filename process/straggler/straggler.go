// Package straggler decides whether a run that takes much longer than expected is stopped, so
// that its task starts again on another worker.
//
// The load: a few runs in a hundred take seven times as long as the others, for no reason that
// lies in their task, and workers become slow during a run. One such run delays its job, and in
// a gang all members.
//
// A run is compared with a new one: what is left of it at its own pace, with the time to stop it,
// to find capacity, to be advised, and to do the work that is left, or all of it if the step
// writes no checkpoints. The new run may be a long one as well.
//
// Guarantees:
//   - A task, or a gang as a whole, is moved at most MaxMoves times.
//   - It is moved only if the time gained exceeds the work that is thrown away. The capacity that
//     this saves is of use to other work even if the job itself is late in any case.
//   - A run that is as slow as its step, its queue and its worker let expect is not a straggler.
package straggler

import (
	"math"
	"time"
)

const (
	// MaxMoves is how often a task, or a gang, is moved. If 3 runs in 100 are long, a third
	// move would be for one task in 30,000.
	MaxMoves = 2
	// deviations is by how many standard deviations of the prediction a run has to be slower
	// than expected: one run in 700 is, if predictions are as good as they claim.
	deviations = 3
	// minRatio is the least ratio of pace to prediction: tasks of a step vary by some 15 % each
	// way, and a stop and a start take as long as a tenth of a usual run.
	minRatio = 1.6
	// minGain is the least gain: a stop takes effect within 200 ms, which may be late.
	minGain = 300 * time.Millisecond
)

// Slow reports whether a run is a straggler by its pace: the predicted time of a whole run
// elsewhere, the standard deviation of its logarithm, and the time at the run's pace.
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
	// Done is the share of the work that is done, from 0 to 1; Checkpoints tells whether it is
	// kept.
	Done        float64
	Checkpoints bool
	// Whole is the predicted time of a whole run elsewhere; Pace is that at its present pace.
	Whole, Pace time.Duration
	// LongShare is the share of runs that take long.
	LongShare float64
	// Delay is the time from the stop to the new start, Resume what a start from a checkpoint
	// takes longer.
	Delay, Resume time.Duration
}

// again returns the expected time of the new run.
func (c *Case) again() time.Duration {
	left, extra := 1.0, time.Duration(0)
	if c.Checkpoints {
		left, extra = 1-c.Done, c.Resume
	}
	anyLong := 1 - math.Pow(1-c.LongShare, float64(c.Tasks))
	whole := c.Whole.Seconds() + anyLong*max(c.Pace-c.Whole, 0).Seconds()
	return time.Duration(left*whole*float64(time.Second)) + extra
}

// Move reports whether to move it, and by how much sooner it is then expected to end.
func (c *Case) Move() (gain time.Duration, move bool) {
	if c.Moves >= MaxMoves {
		return 0, false
	}
	gain = c.Remaining - c.Delay - c.again()
	lost := time.Duration(0)
	if !c.Checkpoints {
		lost = c.Elapsed
	}
	return gain, gain >= minGain && gain > lost
}
