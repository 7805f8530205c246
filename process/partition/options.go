// Package partition owns the workers of a rack on behalf of the cell: it
// fences earlier owners, keeps one lease per worker, commits plans against a
// fresh ledger, renews what runs, and tells the owners of the jobs what became
// of their tasks.
//
// Guarantees: nothing is started at a worker before every lease of earlier
// owners there is revoked and the tasks it runs are known; a lease is used for
// starts only after the claim was read from the store again, later than the
// lease was opened; the ledger is never exceeded by a commit, and capacity is
// freed only when a task is known not to run. docs/OWNERSHIP.md argues why.
package partition

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/fleet"
	"fennelshunt.example/fennelshunt/process/ownership"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/version/spec"
)

// Claims is what a Host needs of the store's claims; *ownership.Manager
// implements it.
type Claims interface {
	// Confirm reads the claim from the store, after the call began.
	Confirm(ctx context.Context, c ownership.Claim) error
	// Epochs reads the epochs of a prefix from the store, after the call began.
	Epochs(ctx context.Context, prefix string) (map[ownership.Resource]uint64, error)
	// Remember leaves a memo for later owners.
	Remember(ctx context.Context, c ownership.Claim, memo ownership.Memo) error
}

// Options of a Host. Zero durations take the defaults.
type Options struct {
	Racks     *Racks
	Dialer    worker.Dialer
	Directory ownership.Directory
	Claims    Claims
	Caller    peer.Caller
	Registrar peer.Registrar
	View      fleet.View
	// Config tells class, team and service of tasks found at workers.
	Config spec.Source
	// RenewBound is ownership.Options.RenewBound of the cell: how long an
	// earlier owner that is not known to have let go may renew tasks.
	RenewBound time.Duration
	// ShardOf tells the shard of a job found at a worker after a takeover, by
	// the configuration in force. It is asked once that is as late as the task.
	ShardOf func(job string) plan.Shard
	Log     zerolog.Logger
	Metrics *Metrics
	Timing  Timing
}

// Timing holds the durations of the protocol. Every daemon of a cell uses the
// same LeaseTTL and TaskTTL: an owner waits for its predecessor's leases to
// run out by its own values.
type Timing struct {
	// SyncInterval is the time between two heartbeats of a worker; it is
	// stretched when the daemon owns many workers, see syncInterval.
	SyncInterval time.Duration
	// LeaseTTL is how long starts are accepted after the last heartbeat.
	LeaseTTL time.Duration
	// TaskTTL is how long tasks go on after the last heartbeat. It covers the
	// detection of a dead owner and the takeover.
	TaskTTL time.Duration
	// CallTimeout bounds one call to a worker.
	CallTimeout time.Duration
	// UnknownGrace is how long a start with an unknown outcome may show up in
	// heartbeats before the worker is fenced anew to settle it.
	UnknownGrace time.Duration
	// VMDrain is how long the endpoints of a leaving VM finish their requests.
	VMDrain time.Duration
	// PreemptDrain is how long a preempted service instance may finish.
	PreemptDrain time.Duration
	// Tick is the resolution of deadlines.
	Tick time.Duration
}

// Defaults of Timing.
const (
	DefaultSyncInterval = time.Second
	DefaultLeaseTTL     = 10 * time.Second
	// DefaultTaskTTL is several times what it takes to find an owner dead and to
	// take its workers over. Longer would let tasks survive more, and have the
	// tasks of a lost VM wait as much longer before they start elsewhere.
	DefaultTaskTTL      = time.Minute
	DefaultUnknownGrace = 5 * time.Second
	DefaultVMDrain      = 10 * time.Second
	DefaultPreemptDrain = time.Second
	DefaultTick         = 100 * time.Millisecond
)

// Clocks of two machines drift apart; waits for somebody else's clock are
// longer by this share and this margin.
const (
	driftShare  = 0.01
	driftMargin = 5 * time.Second
)

func (t Timing) withDefaults() Timing {
	for _, f := range []struct {
		d *time.Duration
		v time.Duration
	}{
		{&t.SyncInterval, DefaultSyncInterval},
		{&t.LeaseTTL, DefaultLeaseTTL},
		{&t.TaskTTL, DefaultTaskTTL},
		{&t.CallTimeout, worker.DefaultCallTimeout},
		{&t.UnknownGrace, DefaultUnknownGrace},
		{&t.VMDrain, DefaultVMDrain},
		{&t.PreemptDrain, DefaultPreemptDrain},
		{&t.Tick, DefaultTick},
	} {
		if *f.d == 0 {
			*f.d = f.v
		}
	}
	return t
}

// runOut is how long after the last call that may have renewed it a task may
// still run, by a clock that is not ours. A heartbeat on its way when the
// sender stopped can renew the lease once more before it lapses, hence both
// times to live.
func (t Timing) taskExpiry() time.Duration {
	d := t.LeaseTTL + t.TaskTTL
	return d + time.Duration(float64(d)*driftShare) + driftMargin
}

// Heartbeats of a daemon stay below heartbeatBudget bytes a second, of the 13
// KB/s that all control may use.
const (
	heartbeatBytes  = 600 // one Sync without changes, both ways, with HTTP headers
	heartbeatBudget = 6000
)

// syncInterval stretches the interval when the daemon has many workers, up to
// a quarter of the lease's time to live, so that three in a row may be lost.
func (t Timing) syncInterval(workers int) time.Duration {
	d := time.Duration(workers) * heartbeatBytes * time.Second / heartbeatBudget
	return min(max(d, t.SyncInterval), t.LeaseTTL/4)
}
