package burn

import "time"

const (
	// fineStep and fineBuckets cover the windows up to one hour.
	fineStep    = 15 * time.Second
	fineBuckets = int(Window1h / fineStep)
	// coarseStep and coarseBuckets cover six hours, for the longest window and
	// for plots.
	coarseStep    = 2 * time.Minute
	coarseBuckets = int(Window6h / coarseStep)
)

// Counts are numbers of good and bad requests.
type Counts struct {
	Good uint64 `json:"good" cbor:"1,keyasint,omitempty"`
	Bad  uint64 `json:"bad" cbor:"2,keyasint,omitempty"`
}

// Total returns the number of requests.
func (c Counts) Total() uint64 { return c.Good + c.Bad }

// ErrorRatio returns the share of bad requests, 0 when there were none at all.
func (c Counts) ErrorRatio() float64 {
	if c.Total() == 0 {
		return 0
	}
	return float64(c.Bad) / float64(c.Total())
}

func (c *Counts) add(o Counts) {
	c.Good += o.Good
	c.Bad += o.Bad
}

// bucket counts the requests of one step.
type bucket struct{ good, bad uint32 }

func (b bucket) counts() Counts { return Counts{Good: uint64(b.good), Bad: uint64(b.bad)} }

// ring holds the last len(buckets) steps. The step with index i is at i modulo
// the length.
type ring struct {
	step    time.Duration
	buckets []bucket
	last    int64 // index of the newest step
}

func newRing(step time.Duration, buckets int) ring {
	return ring{step: step, buckets: make([]bucket, buckets)}
}

// index returns the step that contains the time at, which counts from the Unix epoch.
func (r *ring) index(at time.Duration) int64 { return int64(at / r.step) }

// advance makes the step at index the newest and clears the skipped ones.
func (r *ring) advance(index int64) {
	skipped := index - r.last
	if skipped <= 0 {
		return
	}
	if skipped >= int64(len(r.buckets)) {
		clear(r.buckets)
	} else {
		for i := r.last + 1; i <= index; i++ {
			r.buckets[i%int64(len(r.buckets))] = bucket{}
		}
	}
	r.last = index
}

// observe counts a request; one older than the ring's oldest step is dropped.
func (r *ring) observe(at time.Duration, good bool) {
	index := r.index(at)
	r.advance(index)
	if index < 0 || index <= r.last-int64(len(r.buckets)) {
		return
	}
	b := &r.buckets[index%int64(len(r.buckets))]
	if good {
		b.good++
	} else {
		b.bad++
	}
}

// sum returns the counts of the last window up to the time at.
func (r *ring) sum(at, window time.Duration) Counts {
	r.advance(r.index(at))
	var total Counts
	for _, b := range r.recent(int(window / r.step)) {
		total.add(b.counts())
	}
	return total
}

// recent returns the newest n buckets, the oldest first.
func (r *ring) recent(n int) []bucket {
	out := make([]bucket, 0, n)
	for i := r.last - int64(n) + 1; i <= r.last; i++ {
		if i >= 0 {
			out = append(out, r.buckets[i%int64(len(r.buckets))])
		}
	}
	return out
}
