// Package partition implements the owner of a partition: the workers of one
// rack. The owner fences earlier owners, holds one lease per worker, commits
// plans against its ledger, renews the leases of running tasks, and reports
// changes of tasks to the owners of their jobs.
//
// It guarantees that no task is started on a worker before every lease of
// earlier owners there is revoked and the tasks that it runs are known; that a
// lease is used for starts only after the claim was read from the store again,
// later than the lease was opened; that a commit never exceeds the ledger; and
// that capacity is freed only when a task is known not to run. See
// docs/OWNERSHIP.md for the reasoning.
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

// Claims gives a Host access to the claims in the store; *ownership.Manager
// implements it.
type Claims interface {
	// Confirm checks c against a read of the store that begins after the call.
	Confirm(ctx context.Context, c ownership.Claim) error
	// Epochs returns the epochs of the resources with a prefix, from a read of
	// the store that begins after the call.
	Epochs(ctx context.Context, prefix string) (map[ownership.Resource]uint64, error)
	// SaveMemo stores a memo for later owners.
	SaveMemo(ctx context.Context, c ownership.Claim, memo ownership.Memo) error
}

// Options configures a Host. Zero durations take the defaults.
type Options struct {
	Racks     *Racks
	Dialer    worker.Dialer
	Directory ownership.Directory
	Claims    Claims
	Caller    peer.Caller
	Registrar peer.Registrar
	View      fleet.View
	// Config provides the class, team and service of tasks found on workers.
	Config spec.Source
	// RenewBound is ownership.Options.RenewBound of the cell: how long an
	// earlier owner that is not known to have released its claim may renew tasks.
	RenewBound time.Duration
	// ShardOf returns the shard of a job found on a worker after a takeover,
	// according to the configuration in force. It is called only once that
	// configuration is as late as the task's generation.
	ShardOf func(job string) plan.Shard
	Log     zerolog.Logger
	Metrics *Metrics
	Timing  Timing
}

// Timing holds the durations of the protocol. Every daemon of a cell must use
// the same LeaseTTL and TaskTTL: an owner uses its own values to wait until its
// predecessor's leases have expired.
type Timing struct {
	// SyncInterval is the time between two heartbeats to a worker; it is longer
	// when the daemon owns many workers, see syncInterval.
	SyncInterval time.Duration
	// LeaseTTL is how long starts are accepted after the last heartbeat.
	LeaseTTL time.Duration
	// TaskTTL is how long tasks run on after the last heartbeat. It covers the
	// detection of a failed owner and the takeover.
	TaskTTL time.Duration
	// CallTimeout bounds one call to a worker.
	CallTimeout time.Duration
	// UnknownGrace is how long a start with an unknown outcome may show up in
	// heartbeats before the worker is fenced again to settle it.
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
	// DefaultTaskTTL is several times as long as the detection of a failed owner
	// and the takeover of its workers take. With a longer one tasks would survive
	// longer interruptions, but the tasks of a failed VM would wait that much
	// longer before they are started elsewhere.
	DefaultTaskTTL      = time.Minute
	DefaultUnknownGrace = 5 * time.Second
	DefaultVMDrain      = 10 * time.Second
	DefaultPreemptDrain = time.Second
	DefaultTick         = 100 * time.Millisecond
)

// The clocks of two machines drift apart. Waits for a deadline on another
// machine's clock are longer by this share and this margin.
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

// taskExpiry is how long a task may still run after the last call that may have
// renewed it. A heartbeat in flight when its sender stopped can renew the lease
// once more before it expires, hence the sum of both TTLs. The TTLs are measured
// by the worker's clock and this time by the owner's, hence the allowance for
// drift.
func (t Timing) taskExpiry() time.Duration {
	d := t.LeaseTTL + t.TaskTTL
	return d + time.Duration(float64(d)*driftShare) + driftMargin
}

// Size of a heartbeat and budget for all heartbeats of a daemon, see syncInterval.
// The budget is part of the 13 KB/s allowed for all control traffic.
const (
	heartbeatBytes  = 600  // one Sync without changes, both ways, with HTTP headers
	heartbeatBudget = 6000 // bytes per second
)

// syncInterval returns the heartbeat interval for a daemon with that many
// workers: longer with more workers, up to a quarter of the lease TTL, so that
// three heartbeats in a row may be lost.
func (t Timing) syncInterval(workers int) time.Duration {
	d := time.Duration(workers) * heartbeatBytes * time.Second / heartbeatBudget
	return min(max(d, t.SyncInterval), t.LeaseTTL/4)
}
