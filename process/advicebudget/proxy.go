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
	// maxFactor bounds the learned speed: a proxy is given up after its call's timeout anyway.
	maxFactor = 4
)

// Proxy is what is known about a daemon through which the advice service is called. The zero
// value is one without a call so far.
type Proxy struct {
	failures int
	pausedTo time.Duration
	factor   float64 // duration of its calls relative to their cost, less 1
}

// Answered notes a call that was answered, and how long it took and should have taken.
func (p *Proxy) Answered(took, cost time.Duration) {
	p.failures, p.pausedTo = 0, 0
	if cost <= 0 {
		return
	}
	excess := min(max(float64(took)/float64(cost)-1, 0), maxFactor-1)
	p.factor += (excess - p.factor) * speedDecay
}

// AnsweredLate notes an answer to a call that was given up: the proxy works again.
func (p *Proxy) AnsweredLate() { p.failures, p.pausedTo = 0, 0 }

// Failed notes a call that failed or was not answered in time.
func (p *Proxy) Failed(now time.Duration) {
	p.pausedTo = now + min(pauseMin<<min(p.failures, 8), pauseMax)
	p.failures++
}

// Usable reports whether a call may be sent.
func (p *Proxy) Usable(now time.Duration) bool { return now >= p.pausedTo }

// Factor is how long its calls take relative to their cost, 1 or more.
func (p *Proxy) Factor() float64 { return 1 + p.factor }

// Slow reports whether its calls take so long that tickets and reservations made for their cost
// would be late: other proxies come first.
func (p *Proxy) Slow() bool { return p.factor > slowFactor }

// slowFactor: a call of 0.8 s that takes half as long again outlasts the time that is kept for it
// in a gang reservation.
const slowFactor = 0.5
