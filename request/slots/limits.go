package slots

import (
	"maps"
	"slices"
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

// LongestAttempt returns how long an attempt that is under way on this daemon
// may last at most, over all services; 0 when it has served none.
func (m *Manager) LongestAttempt() time.Duration { return m.limits.longest() }

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

// longest returns the longest limit, over all services that this daemon served,
// under which requests may still run.
func (l *limits) longest() time.Duration {
	l.mu.Lock()
	services := slices.Collect(maps.Keys(l.kept))
	l.mu.Unlock()
	var longest time.Duration
	for _, service := range services {
		if limit, ok := l.lookup(service); ok {
			longest = max(longest, limit)
		}
	}
	return longest
}

// of returns the longest limit of the service under which requests may still
// run; that of a service without a limit of its own when it is not known.
func (l *limits) of(service string) time.Duration {
	if limit, ok := l.lookup(service); ok {
		return limit
	}
	return AttemptLimit(DefaultRequestLimit)
}

// lookup is of; false when the service is not known, or was removed so long ago
// that every request has ended.
func (l *limits) lookup(service string) (time.Duration, bool) {
	current, known := l.now(service)
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	kept, ok := l.kept[service]
	if ok && (!known || kept.limit > current) && now.Before(kept.until) {
		return kept.limit, true
	}
	if !known {
		delete(l.kept, service)
		return 0, false
	}
	l.kept[service] = keptLimit{limit: current, until: now.Add(current + configurationLag)}
	return current, true
}
