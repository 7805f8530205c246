package dispatch

import (
	"time"

	"github.com/rs/zerolog"
)

// waitCause tells what a step with tasks to start waits for, as of a round of placement.
type waitCause uint8

const (
	waitNothing  waitCause = iota
	waitTakeover           // it is not known yet what an earlier leader started
	waitMembers            // runs of its gang are being stopped
	waitQuota              // its account's quota
	waitAdvice             // an answer of the advice service
	waitCapacity           // room on workers that may run it
	waitCauses
)

var waitNames = [waitCauses]string{waitTakeover: "takeover", waitMembers: "members", waitQuota: "quota", waitAdvice: "advice", waitCapacity: "room"}

// String returns the cause's name.
func (c waitCause) String() string { return waitNames[c] }

// waits is how long a job's steps have waited, by cause; of steps that wait at the same
// time each counts.
type waits [waitCauses]time.Duration

// MarshalZerologObject writes the causes that took any time, in milliseconds.
func (w *waits) MarshalZerologObject(e *zerolog.Event) {
	for cause, d := range w {
		if d > 0 {
			e.Int64(waitNames[cause], d.Milliseconds())
		}
	}
}

// noteWait counts the time since the last round for what the step waited for then, and
// notes what it waits for now.
func (e *Engine) noteWait(s *step, now waitCause) {
	if s.waitsFor != waitNothing {
		s.job.waits[s.waitsFor] += e.now - s.waitSince
	}
	s.waitsFor, s.waitSince = now, e.now
}

// causeOf tells what a step waits for that was tried and still has tasks to start.
func (e *Engine) causeOf(s *step) waitCause {
	switch a := e.adviceOf(s); {
	case len(s.pending) == 0:
		return waitNothing
	case a != nil && (a.inFlight > 0 || len(a.toAsk) > 0 || !a.usable(e.now)):
		return waitAdvice
	}
	return waitCapacity
}
