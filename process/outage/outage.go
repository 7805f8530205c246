// Package outage decides what a daemon does with a submission while the store may not answer:
// write it, try it through another daemon, test the store first, wait for a turn, or refuse it.
//
// Load: the store answers none of the calls for seconds, then answers slowly for seconds, and
// callers return all the while; or it rejects the calls of some daemons only. Callers wait 3 s for
// a submission and repeat it up to four times within that time.
//
// Guarantees: no decision lets a submission wait beyond its time (Request.Left); a submission is
// neither written nor forwarded when its answer can no longer arrive in time; a submission of
// which a write may still take effect is never refused as not run (Decision.Verdict of End); after
// a forward whose target may have written the job, there is no further forward; a submission is
// forwarded to at most MaxTargets daemons; Retry-After is a whole number of seconds between
// MinRetryAfter and MaxRetryAfter.
//
// All state is in the memory of one daemon and is relearned from its next calls after a restart.
// The package has no clock, makes no calls and is not safe for concurrent use.
package outage

import (
	"time"
)

// Time limits and delays.
const (
	// AnswerTime is reserved for an answer to reach its caller, beyond the margin of the
	// platform's adapter: daemons of 0.144 of a core with links of 10 Mbit/s take tens of
	// milliseconds for an answer in a burst.
	AnswerTime = 50 * time.Millisecond
	// JoinProbe is how long a submission waits for the answer to a probe once an earlier probe has
	// failed. The submissions that wait when the store returns are the first to be written: with
	// 200 ms, 2 % fewer jobs are accepted over three outages of 2 s. Before a probe has failed, a
	// submission waits for ProbeTimeout, since a store that has just become slow makes calls time
	// out but answers a probe.
	JoinProbe = 300 * time.Millisecond
	// ProbeInterval is the minimum time between two probes of a failing store by one daemon. All
	// calls are billed, so it is not shorter. It is not longer than JoinProbe, so that the next
	// probe is due before the submission that sent the last one stops waiting for it.
	ProbeInterval = 200 * time.Millisecond
	// ProbeTimeout is when a probe without an answer counts as failed. A slow store answers within
	// 350 ms, so a shorter limit would take it for one that does not answer.
	ProbeTimeout = 500 * time.Millisecond

	// forwardPause is how long nothing is forwarded after failuresBeforePause consecutive
	// submissions were accepted by none of their targets. If the store rejects a third of the
	// daemons, both targets of one submission fail in one case of nine, those of two submissions in
	// one of 81.
	forwardPause        = 500 * time.Millisecond
	failuresBeforePause = 2
	// targetPause is how long a target is left out after it could not write a job.
	targetPause = time.Second
	// preferredFor is how long the daemon that accepted last is tried first.
	preferredFor = 10 * time.Second
	// maxFailedTargets bounds the memory for targets that could not write. It is far above the
	// number of daemons of a cell.
	maxFailedTargets = 256

	// pacedOutage is the shortest outage after which writes are paced. After a single lost answer,
	// calls fail for less than that.
	pacedOutage = time.Second
	// recoveryTime ends the pacing of a daemon that has too few submissions for its window to grow.
	// An outage that begins within it halves the window with which the next recovery begins.
	recoveryTime = 10 * time.Second
	// maxHold bounds the wait for a turn to write: a caller waits 3 s in all, and a refused one
	// needs time for another attempt.
	maxHold = time.Second
	// unreadyAfter is how long a daemon must have got nothing accepted to report itself not ready.
	// Readiness is read once a second or less often, and most outages end sooner.
	unreadyAfter = 3 * time.Second
)

// Limits of numbers.
const (
	// MaxTargets is the number of daemons that a submission is forwarded to.
	MaxTargets = 2
	// maxWrites bounds the writes of one submission, each of which may be hedged.
	maxWrites = 3
	// firstWindow is the number of submissions that a daemon may be writing at once when an outage
	// ends, and fullWindow the number from which on it is no longer paced. With a first window of 4 or
	// 8, more callers with little time left are refused while they wait for a turn
	// (docs/design/store-outages.md).
	firstWindow = 16
	fullWindow  = 64
	// slowerFactor times the duration of the shortest write since the end of the outage is the
	// duration above which a write does not enlarge the window: the store is queueing writes.
	slowerFactor = 2
	// maxHeld bounds the submissions that wait for a turn, each with its job in memory.
	maxHeld = 256
)

// Store is what the calls of this daemon have shown of the store.
type Store struct {
	// Failing means that the last call had no answer or was refused, and Since when the first one
	// of that series ended.
	Failing bool
	Since   time.Time
	// Refused means that a call was refused so recently that a probe would be refused as well.
	Refused    bool
	AnsweredAt time.Time     // last answer; zero for none
	Usual      time.Duration // usual duration of a call
	Latest     time.Duration // duration of the last answered call
	Overdue    time.Duration // age from which an open call suggests that the store does not answer
}

// Action is what to do with a submission.
type Action int

// Actions.
const (
	// Write sends the job to the store. The caller calls Leave when that has ended.
	Write Action = iota
	// Forward has other daemons write the job.
	Forward
	// Probe waits for the answer to a read for up to Decision.Wait, and sends one first if
	// Decision.Send is set.
	Probe
	// Wait waits up to Decision.Wait for a turn to write.
	Wait
	// End answers the caller now, with Decision.Verdict.
	End
)

// Verdict is what is certain about a submission that is not acknowledged.
type Verdict int

// Verdicts.
const (
	NotRun Verdict = iota
	MayHaveRun
)

// Request is a submission and what has been done with it so far.
type Request struct {
	// Left is the time in which it can still be answered.
	Left time.Duration
	// Writes counts the attempts of this daemon.
	Writes int
	// Forwarded means that it has been forwarded, and TargetUncertain that a target may have
	// written it.
	Forwarded, TargetUncertain bool
	// Unconfirmed means that a write of this daemon or of another may still take effect.
	Unconfirmed bool
	// SentProbe means that it has sent a probe itself. Probed is the time since its first wait for
	// one began.
	SentProbe bool
	Probed    time.Duration
	// Held is the time since its first wait for a turn to write began, and Waiting the number of
	// other submissions that wait for one.
	Held    time.Duration
	Waiting int
}

// Decision is what to do with a submission next.
type Decision struct {
	Action  Action
	Send    bool          // for Probe: send one first
	Wait    time.Duration // for Probe and Wait: the longest time to wait
	Verdict Verdict       // for End
	// AtOnce means that it is refused without having been tried, because of what earlier calls
	// have shown.
	AtOnce bool
}

// Tracker is what one daemon knows about the store and about the daemons it forwards to.
type Tracker struct {
	store Store

	since       time.Time            // start of the outage; zero for none
	probed      time.Time            // when the last probe was sent
	probes      map[uint64]time.Time // when each open probe was sent, by its number
	probeFailed bool                 // a probe has failed in this outage
	reported    bool                 // the outage has been reported by Begun
	counts      Counts

	writes   map[uint64]time.Time // when each open write was sent, by its number
	entered  int                  // submissions that are being written
	lastCall uint64

	endedAt    time.Time     // end of the last paced outage
	window     int           // submissions that may be written at once; 0 for no limit
	lastWindow int           // window with which the last recovery began
	shortest   time.Duration // duration of the shortest write since then

	failedTargets  map[string]time.Time // when a target last failed to write a job
	preferred      string               // daemon that accepted last
	preferredAt    time.Time            // when it did
	failedForwards int                  // consecutive submissions that no target accepted
	pausedUntil    time.Time            // nothing is forwarded until then

	acceptedAt      time.Time // last acceptance, by this daemon or through another
	refusedSince    time.Time // first request since acceptedAt that was not accepted
	otherAnsweredAt time.Time // when another daemon last said that the store answers it
}

// Counts are the submissions of one outage.
type Counts struct {
	Refused, Unknown, Forwarded, Probes int
}

// New returns a tracker that knows of no failure.
func New() *Tracker {
	return &Tracker{probes: map[uint64]time.Time{}, writes: map[uint64]time.Time{}, failedTargets: map[string]time.Time{}}
}

// Event reports the start or the end of an outage, for the log.
type Event struct {
	Begun, Ended bool
	Length       time.Duration
	Counts       Counts
}

// Observe records what the daemon's calls have shown. An outage is reported as begun only once a
// probe has failed or a submission was refused, so that a lost answer is not reported.
func (t *Tracker) Observe(now time.Time, s Store) Event {
	t.store = s
	var e Event
	switch {
	case s.Failing && t.since.IsZero():
		t.since = s.Since
		if t.since.IsZero() || t.since.After(now) {
			t.since = now
		}
		t.probeFailed, t.counts = false, Counts{}
	case !s.Failing && !t.since.IsZero():
		e = t.end(now)
	}
	t.expireProbes(now)
	if !t.since.IsZero() && !t.reported && (t.probeFailed || t.counts.Refused > 0) {
		t.reported = true
		e.Begun, e.Length = true, now.Sub(t.since)
	}
	if t.window > 0 && now.Sub(t.endedAt) >= recoveryTime {
		t.window = 0
	}
	return e
}

func (t *Tracker) end(now time.Time) (e Event) {
	at := now
	if t.store.AnsweredAt.After(t.since) && t.store.AnsweredAt.Before(now) {
		at = t.store.AnsweredAt // a daemon without submissions observes the end late
	}
	length := at.Sub(t.since)
	if t.reported {
		e = Event{Ended: true, Length: length, Counts: t.counts}
	}
	if length >= pacedOutage {
		t.window = firstWindow
		if !t.endedAt.IsZero() && t.since.Sub(t.endedAt) < recoveryTime {
			// It failed again soon after the last outage: begin with fewer writes.
			t.window = max(1, t.lastWindow/2)
		}
		t.lastWindow, t.shortest, t.endedAt = t.window, 0, at
	}
	t.since, t.reported, t.probeFailed = time.Time{}, false, false
	t.failedForwards, t.pausedUntil = 0, time.Time{}
	return e
}

// expireProbes counts probes without an answer as failed.
func (t *Tracker) expireProbes(now time.Time) {
	for id, sent := range t.probes {
		switch {
		case sent.Before(t.store.AnsweredAt):
			delete(t.probes, id) // the store has answered since
		case now.Sub(sent) >= ProbeTimeout:
			delete(t.probes, id)
			t.probeFailed = t.probeFailed || !t.since.IsZero()
		}
	}
}

// suspect reports whether an open write is overdue, and the store has answered no call since that
// write was sent.
func (t *Tracker) suspect(now time.Time) bool {
	for _, sent := range t.writes {
		if !sent.Before(t.store.AnsweredAt) && now.Sub(sent) >= t.store.Overdue {
			return true
		}
	}
	return false
}

// Fails reports whether the store fails, or an overdue write suggests that it does.
func (t *Tracker) Fails(now time.Time) bool { return !t.since.IsZero() || t.suspect(now) }

// Enter asks for permission to write one submission of another daemon, and Leave ends it. Decide
// enters by itself when it returns Write.
func (t *Tracker) Enter() bool {
	if t.window > 0 && t.entered >= t.window {
		return false
	}
	t.entered++
	return true
}

// Leave records that a submission for which Enter or Decide gave permission has been written, or
// that its writes have failed.
func (t *Tracker) Leave() { t.entered-- }

// Decide returns what to do next with a submission. The caller has called Observe at the same
// time.
func (t *Tracker) Decide(now time.Time, r Request) Decision {
	end := Decision{Action: End}
	if r.Unconfirmed {
		end.Verdict = MayHaveRun
	}
	if r.Left <= 0 || r.Writes >= maxWrites {
		return end
	}
	if t.Fails(now) {
		return t.decideFailing(now, r, end)
	}
	if r.Left < t.expected() {
		// A write could not be answered in time, and its outcome would stay unknown to the caller.
		end.AtOnce = r.Writes == 0 && !r.Forwarded
		return end
	}
	if t.Enter() {
		return Decision{Action: Write}
	}
	return t.decideWait(r, end)
}

// expected returns how long a write is expected to take. After an outage the store may be much
// slower than its average, so the last call counts as well.
func (t *Tracker) expected() time.Duration {
	if t.window == 0 {
		return t.store.Usual
	}
	return max(t.store.Usual, t.store.Latest)
}

// decideFailing decides while the store fails, or an overdue write suggests that it does.
func (t *Tracker) decideFailing(now time.Time, r Request, end Decision) Decision {
	if !r.Forwarded && !r.TargetUncertain && !now.Before(t.pausedUntil) {
		return Decision{Action: Forward}
	}
	end.AtOnce = r.Writes == 0 && r.Probed == 0
	hold := ProbeTimeout
	if t.probeFailed {
		hold = JoinProbe
	}
	wait := min(hold-r.Probed, r.Left)
	switch {
	case wait <= 0, t.store.Refused:
		return end
	case r.SentProbe:
		return Decision{Action: Probe, Wait: wait}
	case t.ProbeDue(now):
		// This submission is the first to be written if the probe is answered.
		return Decision{Action: Probe, Send: true, Wait: wait}
	case !t.probeFailed:
		// The failed calls may be no sign of an outage, as after one lost answer or a suspension of
		// the daemon.
		return Decision{Action: Probe, Wait: wait}
	}
	return end
}

// decideWait decides on a submission that cannot be written at once because the window is full.
func (t *Tracker) decideWait(r Request, end Decision) Decision {
	answer := t.expected()
	turn := answer * time.Duration(1+r.Waiting/t.window)
	hold := min(maxHold-r.Held, r.Left-answer)
	if r.Waiting >= maxHeld || turn > hold || hold <= 0 {
		end.AtOnce = r.Held == 0
		return end
	}
	return Decision{Action: Wait, Wait: hold}
}

// SentWrite records that a write was sent and returns its number.
func (t *Tracker) SentWrite(now time.Time) uint64 {
	t.lastCall++
	t.writes[t.lastCall] = now
	return t.lastCall
}

// EndedWrite records the end of a write, and whether the store answered it.
func (t *Tracker) EndedWrite(now time.Time, id uint64, answered bool) {
	sent, open := t.writes[id]
	delete(t.writes, id)
	if !open || t.window == 0 || sent.Before(t.endedAt) {
		return
	}
	if !answered {
		t.window = max(1, t.window/2)
		return
	}
	took := now.Sub(sent)
	if t.shortest == 0 || took < t.shortest {
		t.shortest = took
	}
	if took <= t.shortest*slowerFactor {
		t.window++
	}
	if t.window >= fullWindow {
		t.window = 0
	}
}

// SentProbe records that a probe was sent and returns its number.
func (t *Tracker) SentProbe(now time.Time) uint64 {
	t.lastCall++
	t.probes[t.lastCall], t.probed = now, now
	t.counts.Probes++
	return t.lastCall
}

// EndedProbe records the end of a probe.
func (t *Tracker) EndedProbe(id uint64, answered bool) {
	if _, open := t.probes[id]; !open {
		return // it has expired
	}
	delete(t.probes, id)
	if !answered {
		t.probeFailed = t.probeFailed || !t.since.IsZero()
	}
}

// ProbeDue reports whether a probe may be sent.
func (t *Tracker) ProbeDue(now time.Time) bool { return now.Sub(t.probed) >= ProbeInterval }

// Refused counts a submission that is answered with the verdict, and not accepted.
func (t *Tracker) Refused(now time.Time, v Verdict) {
	if !t.refusedSince.After(t.acceptedAt) {
		t.refusedSince = now
	}
	if v == MayHaveRun {
		t.counts.Unknown++
		return
	}
	t.counts.Refused++
}

// Accepted records that a job was accepted by this daemon or through another.
func (t *Tracker) Accepted(now time.Time) { t.acceptedAt = now }
