package lead

import (
	"slices"
	"time"
)

// Judging a leader that does not answer while its lease is renewed.
//
// Load pattern: more work than the leader's link or processor carries. Its answers
// are late, and it looks dead. What goes wrong if it is replaced at once: the next one
// has the same to carry, and besides reads the whole state and calls every worker
// anew; it looks dead sooner than the one before. On links of 2 Mbit/s and 85 workers
// there were 13 leaders in 45 s, and nothing was served.
//
// A leader that is dead, or can not reach the store, loses its lease: the end of the
// lease is the upper bound for all patience here.
const (
	// calmTime without a leader having been taken over from ends the patience.
	calmTime = 20 * time.Second
	// maxDoublings of pingsMissed: with three the leader has 2 s to answer once.
	maxDoublings = 3
	// weakerShare: a daemon with less than this share of the leader's processor time
	// or link would fare worse, and claims after weakerMissed pings only.
	weakerShare  = 0.75
	weakerMissed = 16
	// claimPause and claimPauseMax are between claims that did not succeed; each one
	// doubles the pause.
	claimPause    = 200 * time.Millisecond
	claimPauseMax = 3200 * time.Millisecond
)

// judgement is what a daemon has seen of the leader, and of those before.
type judgement struct {
	epoch  uint64      // of the leader that is watched
	missed int         // pings in a row
	taken  []time.Time // when leaders took over from one whose record stood
	pause  time.Duration
	next   time.Time // no claim before
}

// follow notes who leads.
func (j *judgement) follow(l Leader, now time.Time) {
	j.taken = slices.DeleteFunc(j.taken, func(at time.Time) bool { return now.Sub(at) > calmTime })
	if l.Epoch == j.epoch {
		return
	}
	if l.Taken {
		j.taken = append(j.taken, now)
	}
	j.epoch, j.missed, j.pause, j.next = l.Epoch, 0, 0, time.Time{}
}

// patience is how many pings in a row the leader may miss.
func (j *judgement) patience(self, leader Member) int {
	n := pingsMissed << min(len(j.taken), maxDoublings)
	if self.weakerThan(leader) {
		n = max(n, weakerMissed)
	}
	return n
}

// mayClaim reports whether a daemon may ask others about the leader, and claim.
func (j *judgement) mayClaim(self, leader Member, now time.Time) bool {
	return j.missed >= j.patience(self, leader) && !now.Before(j.next)
}

// tried notes a claim.
func (j *judgement) tried(now time.Time) {
	j.pause = min(max(2*j.pause, claimPause), claimPauseMax)
	j.next = now.Add(j.pause)
}

// weakerThan reports whether a daemon has much less to lead with than another one.
func (m Member) weakerThan(n Member) bool {
	return m.Cores < weakerShare*n.Cores || (m.LinkMbps > 0 && m.LinkMbps < weakerShare*n.LinkMbps)
}
