package slots

import (
	"sync"
	"time"

	"fennelshunt.example/fennelshunt/version/spec"
)

const (
	// AttemptFactor times a service's request_timeout is the longest time that
	// an attempt may last: the request may wait until just before its deadline
	// is over, and the gateway lets the attempt go on for up to the service's
	// request_timeout after the deadline, to learn its end.
	AttemptFactor = 2
	// configurationLag is how long a daemon may still begin requests under a
	// configuration that another daemon has replaced already.
	configurationLag = time.Minute
)

// AttemptLimit returns the longest time that an attempt of a service with this
// request timeout may last.
func AttemptLimit(requestTimeout time.Duration) time.Duration { return AttemptFactor * requestTimeout }

// LimitsOf returns a RequestLimit: the AttemptLimit of the services' request
// timeouts in the configuration in force.
func LimitsOf(source spec.Source) func(service string) (time.Duration, bool) {
	return func(service string) (time.Duration, bool) {
		job, ok := source.Current().Jobs[service]
		if !ok || job.Service == nil {
			return 0, false
		}
		if d := job.Service.RequestTimeout.Std(); d > 0 {
			return AttemptLimit(d), true
		}
		return AttemptLimit(DefaultRequestLimit), true
	}
}

// limits remembers the time limits of services.
//
// What could go wrong: the operators lower a service's limit, or remove the
// service, while requests begun under the longer one still run. One would
// notice an instance with more requests than slots. A limit counts on until
// every request begun under it has ended.
type limits struct {
	now func(service string) (time.Duration, bool)

	mu   sync.Mutex
	kept map[string]keptLimit
}

type keptLimit struct {
	limit time.Duration
	until time.Time
}

func newLimits(now func(service string) (time.Duration, bool)) *limits {
	return &limits{now: now, kept: map[string]keptLimit{}}
}

// of returns the longest limit of the service under which requests may still
// run; DefaultRequestLimit for a service that was never known.
func (l *limits) of(service string) time.Duration {
	current, known := l.now(service)
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	kept, ok := l.kept[service]
	if ok && (!known || kept.limit > current) && now.Before(kept.until) {
		return kept.limit
	}
	if !known {
		delete(l.kept, service)
		return DefaultRequestLimit
	}
	l.kept[service] = keptLimit{limit: current, until: now.Add(current + configurationLag)}
	return current
}
