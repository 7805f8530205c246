package dispatch

import (
	"sync"
	"time"
)

// responseTimes tracks the average round trip of start orders, to set the timeouts of all calls
// to workers.
//
// When the link or the processor of the leader or of a relay is saturated, calls queue up.
// With fixed timeouts a call would be abandoned just before its answer and sent again, which
// adds load, and healthy workers would count as unresponsive.
type responseTimes struct {
	mu      sync.Mutex
	average time.Duration
}

const (
	// responseFactor times the average is how long a call may take.
	responseFactor = 6
	// responseDecay: a new response time enters the average with weight 1/responseDecay.
	responseDecay = 32
)

func (r *responseTimes) observe(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.average += (d - r.average) / responseDecay
}

// timeout returns the timeout of the next call.
func (r *responseTimes) timeout(least, most time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return min(max(least, responseFactor*r.average), most)
}
