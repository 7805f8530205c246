package dispatch

import (
	"sync"
	"time"
)

// answers learns how long workers take to answer, the way there and back included.
//
// Load pattern: the link or the processor of the leader or of a relay is full, and
// calls wait for each other. What goes wrong with fixed timeouts: a call is given up
// just before its answer and made again, which makes more calls, and workers that
// are well are taken for silent.
type answers struct {
	mu      sync.Mutex
	average time.Duration
}

const (
	// answerFactor times the average is how long a call may take.
	answerFactor = 6
	// answerDecay: a new answer enters the average with 1/answerDecay.
	answerDecay = 32
)

func (a *answers) note(d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.average += (d - a.average) / answerDecay
}

// timeout returns the bound for the next call.
func (a *answers) timeout(least, most time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return min(max(least, answerFactor*a.average), most)
}
