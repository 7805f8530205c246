package slots

import (
	"maps"
	"slices"
	"sync"
	"time"

	"fennelshunt.example/fennelshunt/version/spec"
)

const (
	// AttemptFactor times a service's request_timeout is the longest time that an attempt may
	// last: the request may wait until just before its deadline, and after the deadline the
	// gateway lets the attempt continue for up to the service's request_timeout, to determine
	// its outcome.
	AttemptFactor = 2
	// configurationLag is how long a daemon may still begin requests under a configuration that
	// has been replaced at another daemon.
	configurationLag = time.Minute
)

// AttemptLimit returns the longest time that an attempt of a service with this
// request timeout may last.
func AttemptLimit(requestTimeout time.Duration) time.Duration { return AttemptFactor * requestTimeout }

// RequestLimits returns a function for Options.RequestLimit: the AttemptLimit of the services'
// request timeouts in the configuration in force. For a service without a timeout it is that of
// DefaultRequestLimit.
func RequestLimits(source spec.Source) func(service string) (time.Duration, bool) {
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

// LongestAttempt returns the longest time that an attempt in progress on this daemon may last,
// over all services; 0 when it has served none.
func (m *Manager) LongestAttempt() time.Duration { return m.limits.longest() }

// limits keeps the time limits of services.
//
// Operators may lower a service's limit, or remove the service, while requests begun under the
// longer limit still run. If the new limit applied at once, an instance could get more requests
// than it has slots, so a limit remains in effect until every request begun under it has ended.
type limits struct {
	inForce func(service string) (time.Duration, bool)

	mu       sync.Mutex
	retained map[string]retainedLimit
}

type retainedLimit struct {
	limit time.Duration
	until time.Time
}

func newLimits(inForce func(service string) (time.Duration, bool)) *limits {
	return &limits{inForce: inForce, retained: map[string]retainedLimit{}}
}

// longest returns the longest limit, over all services that this daemon has served, under which
// requests may still run.
func (l *limits) longest() time.Duration {
	l.mu.Lock()
	services := slices.Collect(maps.Keys(l.retained))
	l.mu.Unlock()
	var longest time.Duration
	for _, service := range services {
		if limit, ok := l.lookup(service); ok {
			longest = max(longest, limit)
		}
	}
	return longest
}

// of returns the longest limit of the service under which requests may still run; for an unknown
// service, the AttemptLimit of DefaultRequestLimit.
func (l *limits) of(service string) time.Duration {
	if limit, ok := l.lookup(service); ok {
		return limit
	}
	return AttemptLimit(DefaultRequestLimit)
}

// lookup is like of, but returns false when the service is unknown, or was removed so long ago
// that every request has ended.
func (l *limits) lookup(service string) (time.Duration, bool) {
	current, known := l.inForce(service)
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	retained, ok := l.retained[service]
	if ok && (!known || retained.limit > current) && now.Before(retained.until) {
		return retained.limit, true
	}
	if !known {
		delete(l.retained, service)
		return 0, false
	}
	l.retained[service] = retainedLimit{limit: current, until: now.Add(current + configurationLag)}
	return current, true
}
