package dispatch

import (
	"time"

	"github.com/rs/zerolog"
)

// waitCause is what a step with tasks to start waits for, as of the last round of placement.
type waitCause uint8

const (
	waitNothing  waitCause = iota
	waitTakeover           // it is not known yet what an earlier leader started
	waitMembers            // runs of its gang have not ended yet
	waitQuota              // quota of its account
	waitAdvice             // an answer of the advice service
	waitCapacity           // capacity on workers that may run it
	waitCauses
)

var waitNames = [waitCauses]string{waitTakeover: "takeover", waitMembers: "members", waitQuota: "quota", waitAdvice: "advice", waitCapacity: "room"}

// String returns the cause's name.
func (c waitCause) String() string { return waitNames[c] }

// waits is how long a job's steps have waited, by cause. Steps that wait at the same time are
// added up.
type waits [waitCauses]time.Duration

// MarshalZerologObject writes the causes that took any time, in milliseconds.
func (w *waits) MarshalZerologObject(e *zerolog.Event) {
	for cause, d := range w {
		if d > 0 {
			e.Int64(waitNames[cause], d.Milliseconds())
		}
	}
}

// noteWait adds the time since the last round to the cause that the step waited for then, and
// records the cause that it waits for now.
func (e *Engine) noteWait(s *step, now waitCause) {
	if s.waitsFor != waitNothing {
		s.job.waits[s.waitsFor] += e.now - s.waitSince
	}
	s.waitsFor, s.waitSince = now, e.now
}

// causeOf returns what a step waits for after this round has tried to place it; waitNothing if
// all of its tasks have been started.
func (e *Engine) causeOf(s *step) waitCause {
	switch a := e.adviceOf(s); {
	case len(s.pending) == 0:
		return waitNothing
	case a != nil && (a.inFlight > 0 || len(a.toAsk) > 0 || !a.usable(e.now)):
		return waitAdvice
	}
	return waitCapacity
}
