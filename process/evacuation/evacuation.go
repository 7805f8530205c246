// Package evacuation decides what happens to the runs on a worker that has given notice that it
// leaves.
//
// Load: workers are withdrawn at short notice, a tenth of the cell at once, while the cell is full.
// Everything on a worker ends when it leaves, and the tasks start again only once its lease has
// certainly expired. A run that is stopped in time starts again at once, from its checkpoint if its
// step writes checkpoints.
//
// Guarantees:
//   - a run that is expected to end before its worker leaves, with a margin for the error of the
//     prediction, is left alone;
//   - any other run is stopped, at the latest when a stop may take all of the time that is left;
//   - a run without checkpoints is stopped earlier if it is nearly certain that it cannot end in
//     time, one with checkpoints if its new start is ready;
//   - nothing is stopped on a worker that has more than Horizon left, or of which no time is known.
package evacuation

import (
	"math"
	"time"
)

const (
	// Horizon is the time left from which on runs are considered. It is longer than the notice of
	// workers that are withdrawn (1.6 to 3 s), and several times what a stop and a call for new
	// tickets take together (1 to 1.5 s).
	Horizon = 5 * time.Second
	// reportTime is how long the report of an end takes to arrive, so that a run has to end that much
	// earlier.
	reportTime = 100 * time.Millisecond
	// keepDeviations is by how many standard deviations a run may take longer than predicted and still
	// end in time, to be left alone: one run in 40 takes longer than that. A lost run waits for a lease
	// of 6 to 10 s, and a stopped one for half a second.
	keepDeviations = 2
	// stopDeviations is by how many standard deviations a run would have to take less than predicted
	// to end in time, to be stopped at once although it loses its work: one run in six does. What
	// the others gain is small, since nothing else uses the capacity that they free.
	stopDeviations = 1
)

// Case is a run, or a gang as a whole.
type Case struct {
	// Left is the time until the worker leaves at the earliest; for a gang, until the first of its
	// workers does. It is negative if that time has passed and the worker is still there.
	Left time.Duration
	// LongestStop is the longest time that a stop may take until the end of the run is known, UsualStop
	// the usual one.
	LongestStop, UsualStop time.Duration
	// Endless: it runs until it is stopped, and Remaining has no meaning.
	Endless bool
	// Remaining is the predicted time to its end, Deviation the standard deviation of its logarithm.
	Remaining   time.Duration
	Deviation   float64
	Checkpoints bool
	// Ready: there are capacity and a ticket for its new start now.
	Ready bool
}

// Action is what to do with a run.
type Action uint8

// Actions. Wait and Keep both leave a run alone for now; with Keep it is expected to end in time.
const (
	Wait Action = iota
	Keep
	Stop
)

// Decide returns what to do now.
func (c *Case) Decide() Action {
	switch {
	case c.endsInTime():
		return Keep
	case c.Left > Horizon:
		return Wait
	case c.Left > c.LongestStop:
		if c.lost() || (c.Ready && c.Checkpoints && !c.Endless) {
			return Stop
		}
		return Wait
	case !c.Endless && max(c.Left, c.Remaining) < c.UsualStop:
		return Keep // it ends before a stop does, and before a stop could be known to have ended
	}
	return Stop
}

// endsInTime reports whether the run is expected to end in time although it may take longer than
// predicted.
func (c *Case) endsInTime() bool {
	return !c.Endless && scale(c.Remaining, math.Exp(keepDeviations*c.Deviation))+reportTime <= c.Left
}

// lost reports whether the work of the run is lost whether it is stopped or not: it writes no
// checkpoints and is not expected to end in time although it may take less than predicted.
func (c *Case) lost() bool {
	return !c.Checkpoints && !c.Endless && scale(c.Remaining, math.Exp(-stopDeviations*c.Deviation))+reportTime > c.Left
}

func scale(d time.Duration, f float64) time.Duration {
	return time.Duration(min(float64(d)*f, math.MaxInt64/2))
}
