package dispatch

import (
	"time"

	"github.com/rs/zerolog"
)

// waitCause is what a step with tasks to start waits for, as of the last round of placement.
type waitCause uint8

const (
	waitNothing   waitCause = iota
	waitTakeover            // it is not known yet what an earlier leader started
	waitMembers             // runs of its gang have not ended yet
	waitQuota               // quota of its account
	waitAdvice              // an answer of the advice service
	waitProxy               // an idle proxy for a call to the advice service
	waitCapacity            // capacity on workers that may run it
	waitLateStart           // orders without an answer that may still start its tasks
	waitCauses
)

var waitNames = [waitCauses]string{waitTakeover: "takeover", waitMembers: "members", waitQuota: "quota",
	waitAdvice: "advice", waitProxy: "advice_proxy", waitCapacity: "room", waitLateStart: "late_start"}

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

// WaitedForProxy returns how long the steps of a job that has ended have waited for an idle proxy.
func (d Decision) WaitedForProxy() time.Duration {
	if d.waits == nil {
		return 0
	}
	return d.waits[waitProxy]
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
	a := e.adviceOf(s)
	switch {
	case len(s.pending) == 0:
		return waitNothing
	case !e.withinQuota(s):
		return waitQuota // this round has started as many of its tasks as the quota allows
	case a == nil || a.usable(e.now) || !e.roomToAsk(s):
		return waitCapacity
	case a.inFlight == 0 && len(a.toAsk) == 0 && e.now >= a.next && !e.mayAsk(s):
		return waitProxy
	}
	return waitAdvice
}

// roomPeriod is how long the result of roomToAsk is kept: a look at every worker for each
// waiting step in each round would take most of the round's time.
const roomPeriod = 100 * time.Millisecond

// roomToAsk reports whether a step could start if it had tickets: whether the workers without a
// bad verdict are likely to have capacity for the tasks that must start together.
//
// Without it, a step that waits for capacity would be shown as one that waits for advice,
// because nothing is asked about workers that are full.
func (e *Engine) roomToAsk(s *step) bool {
	if e.now < s.roomUntil {
		return s.room
	}
	s.roomUntil = e.now + roomPeriod
	need, together := s.spec.Need(), s.startsTogether()
	share := e.goodShare(s.job.spec.Queue.Name)
	expected := 0.0
	for _, w := range e.workerList {
		verdict := s.advice.verdictOf(w)
		if verdict == bad || !e.eligible(s, w) {
			continue
		}
		slots := float64(e.capacityFor(s, w, need, s.perWorker(together)))
		if verdict == unknown && s.spec.Gang {
			slots *= share
		}
		if expected += slots; expected >= float64(together) {
			break
		}
	}
	s.room = expected >= float64(together)
	return s.room
}
