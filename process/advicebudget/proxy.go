package advicebudget

import "time"

const (
	// pauseMin is how long a proxy is not used after a failed call; each further failure doubles
	// it, up to pauseMax, until it answers. A daemon that has crashed is gone from the members
	// within seconds; one that answers late is found to be back within pauseMax.
	pauseMin = 700 * time.Millisecond
	pauseMax = 4 * pauseMin
	// speedDecay is the weight of the newest call in a proxy's learned speed.
	speedDecay = 0.3
	// maxFactor bounds the duration of a call relative to its cost that is learned from: calls
	// that take much longer are given up at their timeout.
	maxFactor = 4
	// slowFactor is the excess duration, relative to the cost, from which a proxy counts as slow:
	// a call of 0.8 s that takes half as long again outlasts the time that a gang reservation
	// allows for it.
	slowFactor = 0.5
)

// Proxy is what is known about a daemon through which the advice service is called. The zero
// value is one without a call so far.
type Proxy struct {
	failures    int
	pausedUntil time.Duration
	// excess is the moving average of the duration of its calls relative to their cost, less 1.
	excess float64
}

// Answered notes a call that was answered, and how long it took and should have taken.
func (p *Proxy) Answered(took, cost time.Duration) {
	p.failures, p.pausedUntil = 0, 0
	if cost <= 0 {
		return
	}
	excess := min(max(float64(took)/float64(cost)-1, 0), maxFactor-1)
	p.excess += (excess - p.excess) * speedDecay
}

// AnsweredLate notes an answer to a call that was given up: the proxy works again.
func (p *Proxy) AnsweredLate() { p.failures, p.pausedUntil = 0, 0 }

// Failed notes a call that failed or was not answered in time.
func (p *Proxy) Failed(now time.Duration) {
	p.pausedUntil = now + min(pauseMin<<min(p.failures, 8), pauseMax)
	p.failures++
}

// Usable reports whether a call may be sent.
func (p *Proxy) Usable(now time.Duration) bool { return now >= p.pausedUntil }

// Factor is how long its calls take relative to their cost, 1 or more.
func (p *Proxy) Factor() float64 { return 1 + p.excess }

// Slow reports whether its calls take so long that tickets and reservations made for their cost
// would be late: other proxies come first.
func (p *Proxy) Slow() bool { return p.excess > slowFactor }
