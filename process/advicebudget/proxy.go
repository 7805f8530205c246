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
	// answeredWithin is how recently a daemon must have answered to stay a proxy when it loses its
	// membership. Under load each proxy has a call every second or two.
	answeredWithin = 10 * time.Second
	// unregisteredMax is how long it stays one. The store rejects the calls of a daemon for up to some
	// ten seconds at a time; one that is away for three times that is not expected back.
	unregisteredMax = 30 * time.Second
)

// Proxy is what is known about a daemon through which the advice service is called. The zero
// value is one without a call so far.
type Proxy struct {
	failures    int
	pausedUntil time.Duration
	// excess is the moving average of the duration of its calls relative to their cost, less 1.
	excess float64
	// answered reports whether the last call was answered, answeredAt when one was answered last.
	answered   bool
	answeredAt time.Duration

	membership     membership
	unregisteredAt time.Duration // when the daemon lost its membership
}

// membership is whether a proxy's daemon is a member of the cell.
type membership uint8

const (
	member       membership = iota
	unregistered            // it has lost its membership, and answers
	excluded                // it is not used until it is a member again
)

// Registered notes that the daemon is a member.
func (p *Proxy) Registered() { p.membership = member }

// Unregistered notes that the daemon has lost its membership other than by a planned stop. It
// stays a proxy if it has answered recently and no call has failed since; kept is true if this is
// decided now.
func (p *Proxy) Unregistered(now time.Duration) (kept bool) {
	if p.membership != member {
		return false
	}
	p.membership, p.unregisteredAt = excluded, now
	if p.answered && now-p.answeredAt <= answeredWithin {
		p.membership = unregistered
		return true
	}
	return false
}

// Available reports whether the daemon is a proxy: it is a member, or lost its membership a short
// time ago and has answered all calls since.
func (p *Proxy) Available(now time.Duration) bool {
	return p.membership == member || p.membership == unregistered && now-p.unregisteredAt <= unregisteredMax
}

// Forget resets what is known about the daemon's calls, but not its membership.
func (p *Proxy) Forget() {
	p.failures, p.pausedUntil, p.excess = 0, 0, 0
}

// Answered notes a call that was answered, and how long it took and should have taken.
func (p *Proxy) Answered(now, took, cost time.Duration) {
	p.failures, p.pausedUntil, p.answered, p.answeredAt = 0, 0, true, now
	if cost <= 0 {
		return
	}
	excess := min(max(float64(took)/float64(cost)-1, 0), maxFactor-1)
	p.excess += (excess - p.excess) * speedDecay
}

// AnsweredLate notes an answer to a call that was given up: the proxy works again.
func (p *Proxy) AnsweredLate(now time.Duration) { p.Answered(now, 0, 0) }

// Failed notes a call that failed or was not answered in time.
func (p *Proxy) Failed(now time.Duration) {
	p.answered = false
	if p.membership == unregistered {
		p.membership = excluded
	}
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
