// Package evidence tells for how long a leader may go on giving leases to workers.
//
// A successor that does not reach a worker takes its runs for ended MaxAge and the longest lease
// after the successor has begun. That holds if every lease is given within MaxAge of a moment at which
// no successor had begun. There are two kinds of evidence of such a moment:
//   - the store has confirmed the claim, by a write that is conditional on it or by a read;
//   - more than half of the workers that are listed in the store have answered under the leader's
//     epoch. A successor counts from the moment at which more than half of them have answered it,
//     since no worker answers an earlier epoch after that.
//
// Guarantees: evidence is dated by when it was asked for, so that an answer that is handled late
// counts as what it is. Dates are on the leader's steady clock; if that clock stood still, as on a
// suspended VM, Void drops all evidence.
package evidence

import (
	"iter"
	"math"
	"slices"
	"time"
)

const (
	// MaxAge is how old the evidence may be on which a lease is given.
	MaxAge = 2 * time.Second
	// ConfirmAfter is after what time without a confirmation by the store one is due, so that it is
	// there within MaxAge although the store is slow.
	ConfirmAfter = time.Second
)

// never is the date of what has not happened. A difference of dates does not overflow.
const never = time.Duration(math.MinInt64 / 4)

// Voter is a worker that may count towards a majority.
type Voter struct {
	// Listed: the list in the store has it; Pending: the list that was sent to the store last has it.
	Listed, Pending bool
	Answered        bool          // it has answered under the leader's epoch
	Asked           time.Duration // when the latest call that it has answered was sent
}

// Leadership is the evidence that one leader has. It is not safe for concurrent use.
type Leadership struct {
	store    time.Duration // date of the latest confirmation by the store
	majority time.Duration // date of the latest evidence by workers
	asked    time.Duration // when the store was last asked for a confirmation
	void     time.Duration // what was asked for until then does not count
	stale    bool          // majority has to be determined again: a worker has answered, or the list has changed

	listed, pending int  // sizes of the list in the store, and of the one that was sent last
	unconfirmed     bool // the list that was sent last may be in the store or not

	inherited, reached int // workers of the list that was loaded, and those of them that have answered
	dates              []time.Duration
}

// New returns the evidence of a leader whose claim was sent at a time.
func New(claimed time.Duration) *Leadership {
	return &Leadership{store: max(claimed, never), majority: never, asked: never, void: never}
}

// Asked records that a call is sent that confirms the claim.
func (l *Leadership) Asked(now time.Duration) { l.asked = now }

// Confirmed records that the store has confirmed the claim, to a call that was sent at a time.
func (l *Leadership) Confirmed(asked time.Duration) {
	if asked > l.void {
		l.store = max(l.store, asked)
	}
}

// Due reports whether the claim should be read from the store.
func (l *Leadership) Due(now time.Duration) bool { return now-max(l.store, l.asked) >= ConfirmAfter }

// Answer records that a worker has answered, under the leader's epoch, a call that was sent at a time.
func (l *Leadership) Answer(v *Voter, asked time.Duration) {
	v.Asked, v.Answered, l.stale = asked, true, true
}

// Void drops all evidence: the leader's clock has stood still.
func (l *Leadership) Void(now time.Duration) {
	l.void, l.store, l.majority, l.asked = now, never, never, never
}

// Recent reports whether there is evidence that no successor had begun MaxAge ago.
func (l *Leadership) Recent(now time.Duration, voters iter.Seq[*Voter]) bool {
	if now-max(l.store, l.majority) <= MaxAge {
		return true
	}
	if !l.stale {
		return false
	}
	l.stale = false
	l.majority = l.dateOf(voters, l.listed, func(v *Voter) bool { return v.Listed })
	if l.unconfirmed {
		l.majority = min(l.majority, l.dateOf(voters, l.pending, func(v *Voter) bool { return v.Pending }))
	}
	return now-l.majority <= MaxAge
}

// dateOf returns since when more than half of a list's workers have answered.
func (l *Leadership) dateOf(voters iter.Seq[*Voter], size int, counts func(*Voter) bool) time.Duration {
	l.dates = l.dates[:0]
	for v := range voters {
		if v.Answered && v.Asked > l.void && counts(v) {
			l.dates = append(l.dates, v.Asked)
		}
	}
	needed := size/2 + 1
	if len(l.dates) < needed {
		return never
	}
	slices.Sort(l.dates)
	return l.dates[len(l.dates)-needed]
}

// Inherited records the size of the list of workers that the leader has loaded.
func (l *Leadership) Inherited(size int) { l.listed, l.inherited = size, size }

// Reached records that one more of the workers of that list has answered, or has certainly ended. It
// reports whether these are more than half for the first time: an earlier leader has no evidence from
// workers after that.
func (l *Leadership) Reached() bool {
	l.reached++
	return l.reached == l.inherited/2+1
}

// ListSent records that the list of Pending workers is sent to the store.
func (l *Leadership) ListSent(size int) {
	l.pending, l.unconfirmed = size, true
	l.recount()
}

// ListStored records that the store has that list.
func (l *Leadership) ListStored(voters iter.Seq[*Voter]) {
	l.listed, l.unconfirmed = l.pending, false
	for v := range voters {
		v.Listed = v.Pending
	}
	l.recount()
}

// recount makes Recent determine anew what the workers' answers show: another list may count now.
func (l *Leadership) recount() { l.majority, l.stale = never, true }
