package store

import (
	"expvar"
	"sync"
)

// metrics counts calls by role.
type metrics struct {
	vars  *expvar.Map
	roles [roleCount]*roleMetrics
}

// roleMetrics are the counters of one role.
type roleMetrics struct {
	reads, writes expvar.Int // calls made
	failed        expvar.Int // no answer; nothing took effect
	unknown       expvar.Int // response lost; may have taken effect
	resolved      expvar.Int // lost responses whose outcome was determined
	unresolved    expvar.Int // lost responses reported as ErrUnknownOutcome
	conflicts     expvar.Int // failed compare-and-swaps
	overBudget    expvar.Int // refused by this daemon's call budget
	throttled     expvar.Int // refused by the service's rate limit
	refused       expvar.Int // refused by the circuit breaker
	undecodable   expvar.Int // values without envelope
}

func newMetrics() *metrics {
	m := &metrics{vars: new(expvar.Map).Init()}
	for i := range m.roles {
		r := &roleMetrics{}
		m.roles[i] = r
		m.vars.Set(Role(i).String(), r.export())
	}
	return m
}

func (r *roleMetrics) export() *expvar.Map {
	vars := new(expvar.Map).Init()
	vars.Set("reads", &r.reads)
	vars.Set("writes", &r.writes)
	vars.Set("failed", &r.failed)
	vars.Set("unknown", &r.unknown)
	vars.Set("resolved", &r.resolved)
	vars.Set("unresolved", &r.unresolved)
	vars.Set("conflicts", &r.conflicts)
	vars.Set("over_budget", &r.overBudget)
	vars.Set("throttled", &r.throttled)
	vars.Set("refused", &r.refused)
	vars.Set("undecodable", &r.undecodable)
	return vars
}

func (m *metrics) of(r Role) *roleMetrics { return m.roles[r] }

func (r *roleMetrics) count(class callClass) {
	if class == writeCall {
		r.writes.Add(1)
		return
	}
	r.reads.Add(1)
}

// revisionMark is the highest revision of the store that was read.
type revisionMark struct {
	mu  sync.Mutex
	rev Revision
}

func (m *revisionMark) raise(rev Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rev = max(m.rev, rev)
}

func (m *revisionMark) get() Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rev
}
