package burn

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// DefaultMaxSeries is the default bound on the series that a Recorder keeps.
const DefaultMaxSeries = 256

const (
	// idleAfter is the time without a request after which a series may be dropped
	// to make space for another.
	idleAfter = Window6h
	// sweepEvery is the minimum time between two searches for idle series.
	sweepEvery = time.Minute

	// Latencies are kept in milliseconds to one significant digit.
	minLatency    = 1
	maxLatency    = int64(10 * time.Minute / time.Millisecond)
	latencyDigits = 1
	// latencyAge is how long one of the two latency histograms is filled, so that
	// quantiles cover the last one to two hours.
	latencyAge = time.Hour
)

func newLatencies() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatency, maxLatency, latencyDigits)
}

// series counts the requests of one key.
type series struct {
	mu       sync.Mutex
	fine     ring
	coarse   ring
	seen     time.Duration // end of the last request, since the Unix epoch
	verdicts Verdicts
	// latency holds the current and the previous hour.
	latency [2]*hdrhistogram.Histogram
	hour    int64
}

func newSeries() *series {
	return &series{
		fine:    newRing(fineStep, fineBuckets),
		coarse:  newRing(coarseStep, coarseBuckets),
		latency: [2]*hdrhistogram.Histogram{newLatencies(), newLatencies()},
	}
}

func (s *series) observe(at time.Duration, good bool, latency time.Duration, verdict string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen = max(s.seen, at)
	s.fine.observe(at, good)
	s.coarse.observe(at, good)
	s.verdicts.count(verdict)
	s.rotate(at)
	_ = s.latency[0].RecordValue(min(max(latency.Milliseconds(), 0), maxLatency)) // in range
}

// rotate makes the current hour the previous one when an hour has ended.
func (s *series) rotate(at time.Duration) {
	hour := int64(at / latencyAge)
	if hour <= s.hour {
		return
	}
	s.latency[0], s.latency[1] = s.latency[1], s.latency[0]
	s.latency[0].Reset()
	if hour > s.hour+1 {
		s.latency[1].Reset()
	}
	s.hour = hour
}

func (s *series) idle(at time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return at-s.seen > idleAfter
}

// Options configure a Recorder. The zero value of a field means its default.
type Options struct {
	// MaxSeries bounds the number of series, and so the memory; requests of further
	// keys count as Other.
	MaxSeries int
	// Start is the time from which the recorder counts; default now.
	Start time.Time
}

// Recorder counts the requests of one daemon. It is safe for concurrent use.
//
// Time is measured by the monotonic clock from the start. A wall clock that jumps
// forward and back would empty the windows and then drop requests as too old.
type Recorder struct {
	start time.Time
	limit int

	mu     sync.RWMutex
	series map[Key]*series
	swept  time.Duration

	overflow expvar.Int // requests counted as Other
	evicted  expvar.Int // idle series dropped
}

// New returns an empty Recorder.
func New(o Options) *Recorder {
	if o.MaxSeries <= 0 {
		o.MaxSeries = DefaultMaxSeries
	}
	if o.Start.IsZero() {
		o.Start = time.Now()
	}
	return &Recorder{start: o.Start, limit: o.MaxSeries, series: make(map[Key]*series)}
}

// at returns the time from the Unix epoch to now, by the recorder's clock.
func (r *Recorder) at(now time.Time) time.Duration {
	return time.Duration(r.start.UnixNano()) + now.Sub(r.start)
}

// Observe counts one request that ended at now. verdict is the text form of a
// verdict.Verdict: what is known about the request's execution.
func (r *Recorder) Observe(service, team string, good bool, latency time.Duration, verdict string, now time.Time) {
	at := r.at(now)
	r.find(Key{service, team}, at).observe(at, good, latency, verdict)
}

func (r *Recorder) find(k Key, at time.Duration) *series {
	r.mu.RLock()
	s, ok := r.series[k]
	r.mu.RUnlock()
	if ok {
		return s
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, ok := r.series[k]; ok {
		return s
	}
	if !r.hasCapacity(at) {
		r.overflow.Add(1)
		k = Other
	}
	if s, ok := r.series[k]; ok {
		return s
	}
	s = newSeries()
	s.seen = at
	r.series[k] = s
	return s
}

// hasCapacity reports whether one more series may be kept, in addition to that of Other.
func (r *Recorder) hasCapacity(at time.Duration) bool {
	if len(r.series) >= r.limit && at-r.swept >= sweepEvery {
		r.swept = at
		r.sweep(at)
	}
	return len(r.series) < r.limit
}

func (r *Recorder) sweep(at time.Duration) {
	for k, s := range r.series {
		if s.idle(at) {
			delete(r.series, k)
			r.evicted.Add(1)
		}
	}
}

// Publish adds the recorder's metrics to m.
func (r *Recorder) Publish(m *expvar.Map) {
	m.Set("overflow", &r.overflow)
	m.Set("evicted", &r.evicted)
	m.Set("series", expvar.Func(func() any {
		r.mu.RLock()
		defer r.mu.RUnlock()
		return len(r.series)
	}))
}
