package partition

import "expvar"

// Metrics holds the counters of a Host. The daemon publishes them under the
// names of the fields.
type Metrics struct {
	Takeovers    expvar.Int // partitions acquired
	Fenced       expvar.Int // workers fenced
	Revoked      expvar.Int // leases of other owners revoked
	Starts       expvar.Int // task starts sent
	Unknown      expvar.Int // starts whose outcome was unknown at first
	NotStarted   expvar.Int // starts refused by a worker or not sent
	Refused      expvar.Int // plan steps refused
	Rebound      expvar.Int // plan steps moved to another worker than the named one
	Stale        expvar.Int // requests refused because of an old shard epoch or sequence number
	Lost         expvar.Int // tasks lost with their worker
	Preempted    expvar.Int // tasks stopped for a higher class
	SetAside     expvar.Int // workers quarantined
	Overshoots   expvar.Int // countermeasures against usage beyond a worker's capacity
	Syncs        expvar.Int // heartbeats sent
	SyncFailures expvar.Int
	// DoubleRuns counts tasks found running twice; any value but 0 indicates a bug.
	DoubleRuns expvar.Int
}
