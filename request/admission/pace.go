package admission

import (
	"math"
	"time"
)

const (
	// memory is the time constant, in seconds of waiting, over which starts are
	// counted. It spans several bursts: slots that were taken together come
	// free together.
	memory = 1.0
	// fewStarts is how many starts are needed for an estimate.
	fewStarts = 4
	// firstShare is the part of the time to the deadline that may be spent
	// waiting by the estimate, to begin with; the rest covers its error. It
	// falls by missStep with each request that waited and came too late, and
	// rises by meetStep with each that came in time, so that about 1 in 70
	// that waited comes too late.
	firstShare = 0.8
	leastShare = 0.4
	missStep   = 0.95
	meetStep   = 0.0005
	// staleAfter is how long an estimate is believed when nobody has waited
	// since; load and instances change.
	staleAfter = 2 * time.Second
	// windowTime is how long a request should wait inside the window, in
	// seconds.
	windowTime = 0.05
	minWindow  = 4
	// forgetting moves the least service time up, so that an old one is
	// forgotten.
	forgetting = 1.001
)

// pace estimates how fast a service's requests start while some wait, and how
// long the shortest take.
type pace struct {
	busy     float64   // seconds during which some waited, fading
	starts   float64   // in busy, fading
	last     time.Time // of the last start or the wait's beginning; zero: nobody waits
	idle     time.Time // when the last wait ended
	shortest float64   // seconds from slot to end
	share    float64   // of the time to the deadline that may be waited
}

// backlog notes that a request has begun to wait; waiting includes it.
func (p *pace) backlog(waiting int, now time.Time) {
	if waiting != 1 {
		return
	}
	if now.Sub(p.idle) > staleAfter {
		p.busy, p.starts = 0, 0
	}
	p.last = now
}

// start notes a start; waiting tells how many wait behind it.
func (p *pace) start(waiting int, now time.Time) {
	if waiting == 0 {
		p.last, p.idle = time.Time{}, now
		return
	}
	if !p.last.IsZero() {
		p.busy, p.starts = p.faded(now)
		p.starts++
	}
	p.last = now
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

// met and missed tell how a request ended that had waited.
func (p *pace) met()    { p.share = min(1, p.share+meetStep) }
func (p *pace) missed() { p.share = max(leastShare, p.share*missStep) }

// interval returns the seconds between two starts; 0 when not known. The time
// since the last start counts, so that a stall shows at once.
func (p *pace) interval(now time.Time) float64 {
	if p.starts < fewStarts {
		return 0
	}
	if p.last.IsZero() {
		return p.busy / p.starts
	}
	busy, starts := p.faded(now)
	return busy / starts
}

// faded returns busy and starts as of now, while some wait.
func (p *pace) faded(now time.Time) (busy, starts float64) {
	passed := now.Sub(p.last).Seconds()
	fade := math.Exp(-passed / memory)
	return p.busy*fade + passed, p.starts * fade
}

// window returns how many requests may wait in the slots' own order, so that
// they wait there about windowTime: what waits there is beyond the fair order
// between teams.
func (p *pace) window(limit int, now time.Time) int {
	interval := p.interval(now)
	if interval <= 0 {
		return limit
	}
	return min(limit, max(minWindow, int(windowTime/interval)))
}

// wait estimates the wait of a request with that many ahead of it.
func (p *pace) wait(ahead int, now time.Time) time.Duration {
	if ahead == 0 {
		return 0
	}
	wait := float64(ahead) * p.interval(now)
	return time.Duration(wait * float64(time.Second))
}

// fits reports whether a request that waits that long from now can end by the
// deadline.
func (p *pace) fits(wait time.Duration, now, deadline time.Time) bool {
	return p.possible(time.Duration(float64(wait)/p.share), now, deadline)
}

// possible is fits without the part kept for the estimate's error: what was
// let in by fits is not given up on because the error has grown.
func (p *pace) possible(wait time.Duration, now, deadline time.Time) bool {
	return wait.Seconds()+p.shortest <= deadline.Sub(now).Seconds()
}
