// Package outlier ejects instances that fail, or that are slow compared with the other instances
// of their service: they get no new requests for a while.
//
// Guarantee: at most the share Options.MaxEjected of a service's known instances is ejected at
// the same time, and never the last one, so that a faulty signal cannot take a whole service out
// of use.
package outlier

import (
	"cmp"
	"sync"
	"sync/atomic"
	"time"

	"fennelshunt.example/fennelshunt/process/plan"
)

// Defaults of Options.
const (
	DefaultFailures    = 5
	DefaultMaxEjected  = 0.34
	DefaultEjection    = 5 * time.Second
	DefaultMaxEjection = 60 * time.Second
	DefaultMinSamples  = 20
	DefaultErrorMargin = 0.3
	DefaultSlowFactor  = 4
	DefaultSlowMinimum = 100 * time.Millisecond
	DefaultIdleExpiry  = 10 * time.Minute
	smoothing          = 0.1
	maxDoublings       = 6
	reviewEverySamples = 16
)

// Options configure a Tracker; zero values take the defaults.
type Options struct {
	// Failures is how many consecutive failures eject an instance.
	Failures int
	// MaxEjected is the largest share of a service's instances that may be ejected.
	MaxEjected float64
	// Ejection is the duration of the first ejection; it doubles, up to MaxEjection, with each
	// further ejection that begins within MaxEjection of the end of the previous one.
	Ejection, MaxEjection time.Duration
	// MinSamples is how many answers an instance must have returned before it is compared with
	// others.
	MinSamples int
	// ErrorMargin is by how much an instance's share of error answers must exceed the median of
	// its service's other instances to eject it.
	ErrorMargin float64
	// SlowFactor and SlowMinimum apply to the mean time until the answer's header. An instance is
	// ejected when its mean exceeds SlowFactor times the median of its service's other instances,
	// and exceeds that median by more than SlowMinimum.
	SlowFactor  float64
	SlowMinimum time.Duration
}

func (o *Options) setDefaults() {
	o.Failures = cmp.Or(o.Failures, DefaultFailures)
	o.MaxEjected = cmp.Or(o.MaxEjected, DefaultMaxEjected)
	o.Ejection = cmp.Or(o.Ejection, DefaultEjection)
	o.MaxEjection = cmp.Or(o.MaxEjection, DefaultMaxEjection)
	o.MinSamples = cmp.Or(o.MinSamples, DefaultMinSamples)
	o.ErrorMargin = cmp.Or(o.ErrorMargin, DefaultErrorMargin)
	o.SlowFactor = cmp.Or(o.SlowFactor, DefaultSlowFactor)
	o.SlowMinimum = cmp.Or(o.SlowMinimum, DefaultSlowMinimum)
}

// Outcome is the result of an attempt with regard to the instance.
type Outcome int

// Outcomes. Failed means that the instance could not be reached, broke the connection, sent no
// complete answer, or refused. Errored means that it answered with an error status: the request
// itself may be at fault, so it counts only in comparison with the other instances.
const (
	OK Outcome = iota
	Failed
	Errored
)

// instance is the record of one instance.
type instance struct {
	service   string
	failures  int // consecutive
	samples   int
	errors    float64 // smoothed share of error answers
	seconds   float64 // smoothed time to the answer's header
	until     time.Time
	ejections int
	lastSeen  time.Time
}

// Tracker records the outcomes of instances. It is safe for concurrent use. It implements
// slots.Health and receives the state of the partitions from the cell's view.
type Tracker struct {
	opts Options
	// ejected maps addresses to the end of their ejection, for readers without the lock.
	ejected atomic.Pointer[map[string]time.Time]

	mu         sync.Mutex
	instances  map[string]*instance
	partitions map[string][]plan.Endpoint
}

// New returns a tracker without instances.
func New(o Options) *Tracker {
	o.setDefaults()
	t := &Tracker{opts: o, instances: map[string]*instance{}, partitions: map[string][]plan.Endpoint{}}
	t.ejected.Store(&map[string]time.Time{})
	return t
}

// Usable reports whether the instance may get new requests.
func (t *Tracker) Usable(address string) bool {
	until, ok := (*t.ejected.Load())[address]
	return !ok || !time.Now().Before(until)
}

// Ejected returns how many instances are ejected now.
func (t *Tracker) Ejected() int {
	n, now := 0, time.Now()
	for _, until := range *t.ejected.Load() {
		if now.Before(until) {
			n++
		}
	}
	return n
}

// Apply takes a partition's state and drops instances that are no longer listed.
func (t *Tracker) Apply(s plan.State) {
	if !s.EndpointsChanged {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := map[string]bool{}
	for _, e := range s.Endpoints {
		listed[e.Address] = true
		t.instance(e.Service, e.Address)
	}
	for _, e := range t.partitions[s.Partition] {
		if !listed[e.Address] {
			delete(t.instances, e.Address)
		}
	}
	t.partitions[s.Partition] = s.Endpoints
	t.publish()
}

func (t *Tracker) instance(service, address string) *instance {
	i := t.instances[address]
	if i == nil || i.service != service {
		i = &instance{service: service}
		t.instances[address] = i
	}
	i.lastSeen = time.Now()
	return i
}

// Report records the outcome of an attempt; d is the time until the answer's header, or until
// the failure.
func (t *Tracker) Report(service, address string, o Outcome, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := t.instance(service, address)
	if o == Failed {
		i.failures++
		if i.failures >= t.failureLimit(i) {
			t.eject(i)
		}
		return
	}
	i.failures = 0
	i.sample(o == Errored, d.Seconds())
	if i.samples >= t.opts.MinSamples && i.samples%reviewEverySamples == 0 && t.isOutlier(i) {
		t.eject(i)
	}
}

// failureLimit returns the number of consecutive failures that eject the instance. After an
// ejection the first failure ejects it again.
func (t *Tracker) failureLimit(i *instance) int {
	if i.ejections > 0 && i.samples == 0 {
		return 1
	}
	return t.opts.Failures
}

func (i *instance) sample(failed bool, seconds float64) {
	i.samples++
	weight := max(smoothing, 1/float64(i.samples))
	share := 0.0
	if failed {
		share = 1
	}
	i.errors += weight * (share - i.errors)
	i.seconds += weight * (seconds - i.seconds)
}
