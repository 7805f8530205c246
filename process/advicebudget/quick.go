package advicebudget

import (
	"math"
	"time"
)

const (
	// leastSlowShare of all proxies may have slow calls however many quick calls wait, so that
	// steps with slow calls do not starve.
	leastSlowShare = 0.25
	// quickWindow is the time over which the rate of quick calls is averaged, and quickMemory how
	// long the rate counts after the last quick step waited: bursts last some seconds, and a share
	// given back between two peaks is missing for the duration of a slow call.
	quickWindow = time.Second
	quickMemory = 2 * time.Second
	// quickClears is the time within which the proxies are to answer the quick steps that wait: a
	// small part of the objective of a quick job.
	quickClears = 100 * time.Millisecond
	// quickHeadroom is the factor on the proxies that the rate needs: calls do not arrive evenly.
	quickHeadroom = 1.25
	// initialHold is the assumed time for which a quick call occupies a proxy before any is answered.
	initialHold = 25 * time.Millisecond
	// holdDecay is the weight of the newest call in that time.
	holdDecay = 0.05
)

// QuickDemand estimates how many proxies quick calls need. The zero value is one without calls.
type QuickDemand struct {
	calls       float64       // that were sent, each weighted by exp(-age/quickWindow), at the time at
	at          time.Duration // when the last one was sent
	hold        time.Duration // moving average of how long a call occupies its proxy, 0 before the first answer
	waiting     int           // quick steps that wait for a proxy
	waitedUntil time.Duration // when the demand is no longer taken into account
}

// Sent notes that a quick call was sent.
func (d *QuickDemand) Sent(now time.Duration) { d.calls, d.at = d.callsAt(now)+1, now }

// Answered notes for how long a quick call occupied its proxy.
func (d *QuickDemand) Answered(took time.Duration) {
	if d.hold == 0 {
		d.hold = initialHold
	}
	d.hold += time.Duration(holdDecay * float64(took-d.hold))
}

// Waiting notes how many quick steps wait for a proxy.
func (d *QuickDemand) Waiting(now time.Duration, n int) {
	d.waiting = n
	if n > 0 {
		d.waitedUntil = now + quickMemory
	}
}

// Proxies returns how many proxies quick calls need: enough for their rate and to answer those that
// wait within quickClears; 0 if no quick step has waited for a proxy within quickMemory.
func (d *QuickDemand) Proxies(now time.Duration) int {
	if now >= d.waitedUntil {
		return 0
	}
	hold := d.hold
	if hold == 0 {
		hold = initialHold
	}
	rate := d.callsAt(now) / quickWindow.Seconds()
	return int(math.Ceil(quickHeadroom*rate*hold.Seconds() + float64(d.waiting)*hold.Seconds()/quickClears.Seconds()))
}

// callsAt returns the weighted number of calls at a later time.
func (d *QuickDemand) callsAt(now time.Duration) float64 {
	return d.calls * math.Exp(-float64(now-d.at)/float64(quickWindow))
}
