package slots

import "expvar"

// Counters are the metrics of a Manager; the daemon publishes them.
type Counters struct {
	Waited         expvar.Int // requests that found no idle credit
	Reports        expvar.Int // reports sent to pools
	ReportsFailed  expvar.Int // reports without an answer
	Pushes         expvar.Int // pushes sent to holders
	Granted        expvar.Int // credits granted by pools here
	HoldersExpired expvar.Int // holders whose slots were freed by timeout
	Orphaned       expvar.Int // credits that a pool did not count as ours
}

// Counters returns the live metrics.
func (m *Manager) Counters() *Counters { return &m.counts }
