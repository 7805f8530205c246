package versions

import "expvar"

// metrics of one Replicator.
type metrics struct {
	vars                          *expvar.Map
	version, fromStore, fromPeers *expvar.Int
	failures, exchanges, refused  *expvar.Int
	invariant                     *expvar.Int
}

func (m *metrics) init() {
	m.vars = new(expvar.Map).Init()
	m.version = m.add("in_force")
	m.fromStore = m.add("fetches_from_store")
	m.fromPeers = m.add("fetches_from_peers")
	m.failures = m.add("fetch_failures")
	m.exchanges = m.add("exchanges")
	m.refused = m.add("unreadable_heads")
	m.invariant = m.add("invariants_broken")
}

func (m *metrics) add(name string) *expvar.Int {
	v := new(expvar.Int)
	m.vars.Set(name, v)
	return v
}

// Vars returns the metrics for publication.
func (r *Replicator) Vars() *expvar.Map { return r.metrics.vars }
