package admission

import "time"

const (
	// paceWeight is how much one start moves the estimate of the interval
	// between starts.
	paceWeight = 0.05
	// paceSamples is how many starts are needed for an estimate.
	paceSamples = 8
	// waitShare is the part of the time to the deadline that may be spent
	// waiting by the estimate; the rest covers its error.
	waitShare = 0.9
	// staleAfter is how long an interval is believed; load and instances
	// change.
	staleAfter = 2 * time.Second
	// windowTime is how long a request should wait inside the window.
	windowTime = 0.05
	minWindow  = 4
	// forgetting moves the least service time up, so that an old one is
	// forgotten.
	forgetting = 1.001
)

// pace estimates how fast a service's requests start while some wait, and how
// long the shortest take.
type pace struct {
	interval  float64 // seconds between starts while others wait
	samples   int
	last      time.Time // of the last start with others waiting; zero: none
	sampled   time.Time // when interval was last measured
	shortest  float64   // seconds from slot to end
	estimated bool
}

// backlog notes that a request has begun to wait.
func (p *pace) backlog(waiting int, now time.Time) {
	if waiting == 1 {
		p.last = now
	}
}

// start notes a start; waiting tells how many wait behind it.
func (p *pace) start(waiting int, now time.Time) {
	if !p.last.IsZero() && waiting > 0 {
		p.sample(now.Sub(p.last).Seconds(), now)
	}
	p.last = now
	if waiting == 0 {
		p.last = time.Time{}
	}
}

func (p *pace) sample(seconds float64, now time.Time) {
	if p.stale(now) {
		p.samples = 0
	}
	p.sampled = now
	p.samples++
	weight := max(paceWeight, 1/float64(p.samples))
	p.interval += weight * (seconds - p.interval)
	p.estimated = p.samples >= paceSamples
}

// served notes the time from a slot to the end of the request.
func (p *pace) served(d time.Duration) {
	s := d.Seconds()
	if p.shortest == 0 || s < p.shortest {
		p.shortest = s
		return
	}
	p.shortest = min(s, p.shortest*forgetting)
}

// stale reports whether the interval is too old to be believed.
func (p *pace) stale(now time.Time) bool {
	return now.Sub(p.sampled).Seconds() > staleAfter.Seconds()+4*p.interval
}

// window returns how many requests may wait in the slots' own order, so that
// they wait there about windowTime: what waits there is beyond the fair order
// between teams.
func (p *pace) window(limit int) int {
	if !p.estimated || p.interval <= 0 {
		return limit
	}
	return min(limit, max(minWindow, int(windowTime/p.interval)))
}

// wait estimates the wait of a request with that many ahead of it. A stall
// counts: when nothing has started for longer than the estimate, the interval
// is at least that long.
func (p *pace) wait(ahead int, now time.Time) time.Duration {
	if ahead == 0 {
		return 0
	}
	interval := 0.0
	if p.estimated && !p.stale(now) {
		interval = p.interval
	}
	if !p.last.IsZero() {
		interval = max(interval, now.Sub(p.last).Seconds()/float64(max(1, ahead)))
	}
	return time.Duration(float64(ahead) * interval * float64(time.Second))
}

// fits reports whether a request that waits that long from now can end by the
// deadline.
func (p *pace) fits(wait time.Duration, now, deadline time.Time) bool {
	needed := wait.Seconds()/waitShare + p.shortest
	return needed <= deadline.Sub(now).Seconds()
}
