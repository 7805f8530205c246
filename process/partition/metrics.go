package partition

import "expvar"

// Metrics counts what a Host does; publish the fields as the daemon likes.
type Metrics struct {
	Takeovers    expvar.Int // partitions acquired
	Fenced       expvar.Int // workers fenced
	Revoked      expvar.Int // leases of others revoked
	Starts       expvar.Int // starts sent
	Unknown      expvar.Int // starts whose outcome was unknown for a time
	NotStarted   expvar.Int // starts refused by a worker or not sent
	Refused      expvar.Int // plan steps refused
	Rebound      expvar.Int // plan steps started on another worker than named
	Stale        expvar.Int // plans and fences of an old shard epoch
	Lost         expvar.Int // tasks lost with their worker
	Preempted    expvar.Int // tasks stopped for a higher class
	SetAside     expvar.Int // workers set aside
	Overshoots   expvar.Int // workers whose real usage passed their capacity
	Syncs        expvar.Int // heartbeats sent
	SyncFailures expvar.Int
	// DoubleRuns counts tasks found running twice; anything but 0 is a fault.
	DoubleRuns expvar.Int
}
