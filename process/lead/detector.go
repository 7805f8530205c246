package lead

import (
	"slices"
	"time"
)

// Failure detection for a leader that does not answer while its lease is renewed.
//
// A leader whose link or processor is overloaded answers late and looks dead. Its
// successor has the same load, and in addition reads the whole state and opens
// connections to every worker, so it looks dead even sooner. With links of 2 Mbit/s
// and 85 workers, replacing leaders at once led to 13 leaders in 45 s, and nothing was
// served. Recent takeovers therefore raise the number of missed pings that is tolerated.
//
// A leader that has failed, or cannot reach the store, loses its lease, which bounds
// every delay here.
const (
	// takeoverWindow is how long a takeover raises the number of missed pings that is
	// tolerated.
	takeoverWindow = 20 * time.Second
	// maxDoublings bounds the doublings of pingsMissed: with three the leader has 2 s
	// to answer one ping.
	maxDoublings = 3
	// weakerShare: a daemon with less than this share of the leader's processor time
	// or link bandwidth would do worse, and claims only after weakerMissed pings.
	weakerShare  = 0.75
	weakerMissed = 16
	// claimPause and claimPauseMax bound the pause after a claim that did not succeed;
	// each such claim doubles it.
	claimPause    = 200 * time.Millisecond
	claimPauseMax = 3200 * time.Millisecond
)

// detector is the state of the failure detector for the current leader, and the recent
// takeovers.
type detector struct {
	epoch  uint64      // of the monitored leader
	missed int         // consecutive missed pings
	taken  []time.Time // recent takeovers from leaders whose record still existed
	pause  time.Duration
	next   time.Time // earliest time of the next claim
}

// observe records who leads.
func (d *detector) observe(l Leader, now time.Time) {
	d.taken = slices.DeleteFunc(d.taken, func(at time.Time) bool { return now.Sub(at) > takeoverWindow })
	if l.Epoch == d.epoch {
		return
	}
	if l.TookOver {
		d.taken = append(d.taken, now)
	}
	d.epoch, d.missed, d.pause, d.next = l.Epoch, 0, 0, time.Time{}
}

// missedLimit returns the number of consecutive missed pings at which self may ask others
// about the leader.
func (d *detector) missedLimit(self, leader Member) int {
	n := pingsMissed << min(len(d.taken), maxDoublings)
	if self.weakerThan(leader) {
		n = max(n, weakerMissed)
	}
	return n
}

// mayClaim reports whether a daemon may ask others about the leader, and then claim.
func (d *detector) mayClaim(self, leader Member, now time.Time) bool {
	return d.missed >= d.missedLimit(self, leader) && !now.Before(d.next)
}

// recordClaim records a claim and schedules the earliest next one.
func (d *detector) recordClaim(now time.Time) {
	d.pause = min(max(2*d.pause, claimPause), claimPauseMax)
	d.next = now.Add(d.pause)
}

// weakerThan reports whether m has much less processor time or link bandwidth than n.
func (m Member) weakerThan(n Member) bool {
	return m.Cores < weakerShare*n.Cores || (m.LinkMbps > 0 && m.LinkMbps < weakerShare*n.LinkMbps)
}
