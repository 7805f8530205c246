package dispatch

import "time"

// presence is evidence of when an incarnation of a worker was there.
//
// An answer is handled some time after it was given: this process may have stood still with the
// answer in its buffers. What counts is therefore not when it is handled, but a time that it was
// certainly not given before.
type presence struct {
	at time.Duration // the incarnation was there at this time
	// base is such a time of an earlier answer, baseClock the worker's clock in that answer.
	base, baseClock time.Duration
}

// clockAhead is the share of the time by which a worker's clock may gain on the leader's.
const clockAhead = 0.001

// note records an answer to a call that was sent at the given time; clock is the worker's clock at
// the answer, 0 if it gave none. The answer was given after its call was sent, and after an earlier
// answer by what the worker's clock has advanced since: an answer that has waited a second for a
// completion is dated to within milliseconds.
func (p *presence) note(now, sent, clock time.Duration) {
	at := sent
	if clock > 0 && p.baseClock > 0 {
		at = max(at, p.base+scale(clock-p.baseClock, 1-clockAhead))
	}
	if at > now { // the leader's clock stood still, and so it does not tell the age of an answer
		at = sent
	}
	if at == sent {
		p.base, p.baseClock = sent, clock
	}
	p.at = max(p.at, at)
}
