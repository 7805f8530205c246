package dispatch

import (
	"sync"
	"time"
)

// responseTimes learns how long workers take to answer, the way there and back included.
//
// Load pattern: the link or the processor of the leader or of a relay is full, and
// calls wait for each other. What goes wrong with fixed timeouts: a call is given up
// just before its answer and made again, which makes more calls, and workers that
// are well are taken for silent.
type responseTimes struct {
	mu      sync.Mutex
	average time.Duration
}

const (
	// responseFactor times the average is how long a call may take.
	responseFactor = 6
	// responseDecay: a new answer enters the average with 1/answerDecay.
	responseDecay = 32
)

func (r *responseTimes) observe(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.average += (d - r.average) / responseDecay
}

// timeout returns the bound for the next call.
func (r *responseTimes) timeout(least, most time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return min(max(least, responseFactor*r.average), most)
}
