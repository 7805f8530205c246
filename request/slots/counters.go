package slots

import "expvar"

// Counters are the metrics of a Manager, as the daemon publishes them.
type Counters struct {
	Waited         expvar.Int // requests that had to wait for a credit
	Reports        expvar.Int // reports sent to pools
	ReportsFailed  expvar.Int // reports without an answer
	Pushes         expvar.Int // pushes sent to holders
	Granted        expvar.Int // credits granted by this daemon's pools
	HoldersExpired expvar.Int // holders whose slots were freed after their credits expired
	Orphaned       expvar.Int // credits that a pool did not record as this holder's
}

// Counters returns the live metrics.
func (m *Manager) Counters() *Counters { return &m.counts }
