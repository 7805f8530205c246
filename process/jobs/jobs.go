// Package jobs runs the shards of the teams that this daemon owns. For each
// shard it reconciles the declared jobs with the state of their tasks, queues
// the tasks that should start, proposes plans to the owners of the partitions,
// applies the events that they report, and keeps the progress durable.
//
// Guarantees, each asserted at run time: a task has at most one live attempt; a
// task recorded as done is not started again; a task of a non-idempotent job
// starts at most once; the tasks of a team never hold more than its quota.
// docs/JOBS.md states the assumptions behind each of them.
package jobs

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/process/jobs/progress"
	"fennelshunt.example/fennelshunt/process/ownership"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/process/sched"
	"fennelshunt.example/fennelshunt/version/spec"
)

// CodeNotOwner is the code of the remote error that refuses events for a shard
// that this daemon does not own; the sender repeats them to the owner.
const CodeNotOwner = "not_owner"

// CodeBusy is the code of the remote error that refuses events for now; the
// sender repeats them after a short delay.
const CodeBusy = "busy"

// Options of a Manager. All fields but those with a default are required.
type Options struct {
	Self      peer.Ref
	Caller    peer.Caller
	Registrar peer.Registrar
	Directory ownership.Directory
	Config    spec.Source
	// LatestVersion reads the version of the configuration from the store. A
	// takeover waits until Config has reached it, because the previous owner
	// may have acted on it without writing any progress. While the call fails,
	// the takeover retries it. With nil, the takeover waits only for the version
	// recorded in the progress.
	LatestVersion func(ctx context.Context) (uint64, error)
	// Snapshots returns the newest snapshot of the workers; it must be cheap.
	Snapshots func() *sched.Snapshot
	// Store holds the progress, for example a *store.Handle of RoleProgress.
	Store progress.Store
	// Partitions lists the names of the current partitions, without prefix.
	Partitions func() []string
	// Shards is the number of shards of the cell and must be the same for all
	// daemons. The first daemon stores it; a daemon with another number serves
	// no shard.
	Shards int
	Log    zerolog.Logger
	// Metrics may be nil.
	Metrics *Metrics
	// Tuning holds intervals and limits; zero fields take their defaults.
	Tuning Tuning
	// Violation, when set, is called with each violated invariant, for tests;
	// violations are logged and counted in any case.
	Violation func(error)

	// countConfirmed is closed once Shards is confirmed to be the number of
	// shards stored for the cell.
	countConfirmed chan struct{}
}

// Manager runs the shards that this daemon owns. It implements ownership.Handler
// for ownership.ShardPrefix.
type Manager struct {
	options     Options
	supervisor  *suture.Supervisor
	confirmOnce sync.Once

	mu     sync.Mutex // guards shards
	shards map[plan.Shard]*ownedShard
}

// ownedShard is a shard under supervision.
type ownedShard struct {
	shard *shard
	token suture.ServiceToken
}

// New returns a manager and registers its peer methods.
func New(o Options) *Manager {
	o.Tuning = o.Tuning.withDefaults()
	if o.Metrics == nil {
		o.Metrics = &Metrics{}
	}
	o.countConfirmed = make(chan struct{})
	m := &Manager{options: o, shards: map[plan.Shard]*ownedShard{}}
	m.supervisor = suture.New("jobs", suture.Spec{EventHook: m.logEvent})
	m.supervisor.Add(&exchange{manager: m})
	m.supervisor.Add(&shardCountCheck{manager: m})
	o.Registrar.Handle(plan.MethodEvents, m.handleEvents)
	o.Registrar.Handle(MethodTotals, m.handleTotals)
	m.registerReports()
	return m
}

func (m *Manager) logEvent(e suture.Event) {
	m.options.Log.Warn().Str("event", e.String()).Msg("supervisor of the job shards: a service failed or did not stop in time, or restarts were paused or resumed")
}

// Serve runs the shards until ctx ends.
func (m *Manager) Serve(ctx context.Context) error {
	return m.supervisor.Serve(ctx)
}

// ShardOfTeam returns the shard of a team among n shards.
func ShardOfTeam(team string, n int) plan.Shard {
	return plan.Shard(xxhash.Sum64String(team) % uint64(n))
}

// ShardOf returns the shard of a team in this cell.
func (m *Manager) ShardOf(team string) plan.Shard { return ShardOfTeam(team, m.options.Shards) }

// Resource returns the resource name of a shard.
func Resource(n plan.Shard) ownership.Resource {
	return ownership.Resource(ownership.ShardPrefix + strconv.Itoa(int(n)))
}

// Resources lists the resources of all shards of the cell. It returns none until
// this daemon's number of shards is confirmed to be the cell's, so that the
// daemon claims no shard before.
func (m *Manager) Resources() []ownership.Resource {
	if !m.shardCountConfirmed() {
		return nil
	}
	all := make([]ownership.Resource, m.options.Shards)
	for i := range all {
		all[i] = Resource(plan.Shard(i))
	}
	return all
}

func shardOf(r ownership.Resource) (plan.Shard, error) {
	name, ok := strings.CutPrefix(string(r), ownership.ShardPrefix)
	n, err := strconv.Atoi(name)
	if !ok || err != nil {
		return 0, fmt.Errorf("jobs: %q is not a shard", r)
	}
	return plan.Shard(n), nil
}

// Acquired implements ownership.Handler.
func (m *Manager) Acquired(_ context.Context, g ownership.Grant) {
	n, err := shardOf(g.Resource)
	if err != nil {
		m.options.Log.Error().Err(err).Msg("ignoring claim of an invalid shard resource")
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.drop(n)
	s := newShard(&m.options, n, g.Claim)
	m.shards[n] = &ownedShard{shard: s, token: m.supervisor.Add(s)}
}

// Lost implements ownership.Handler.
func (m *Manager) Lost(r ownership.Resource, epoch uint64) {
	n, err := shardOf(r)
	if err != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if run := m.shards[n]; run != nil && run.shard.claim.Epoch <= epoch {
		m.drop(n)
	}
}

// drop stops a shard without waiting for it. The caller holds mu.
func (m *Manager) drop(n plan.Shard) {
	run := m.shards[n]
	if run == nil {
		return
	}
	delete(m.shards, n)
	run.shard.abandon()
	_ = m.supervisor.Remove(run.token)
}

// Releasing implements ownership.Handler: it stops new starts, waits until the
// progress is durable and stops the shard. On an error the shard keeps running.
func (m *Manager) Releasing(ctx context.Context, r ownership.Resource) error {
	n, err := shardOf(r)
	if err != nil {
		return err
	}
	s := m.shard(n)
	if s == nil {
		return nil
	}
	if err := s.release(ctx); err != nil && !errors.Is(err, errShardEnded) {
		return fmt.Errorf("release %s: %w", r, err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if run := m.shards[n]; run != nil && run.shard == s {
		m.drop(n)
	}
	return nil
}

func (m *Manager) shard(n plan.Shard) *shard {
	m.mu.Lock()
	defer m.mu.Unlock()
	if run := m.shards[n]; run != nil {
		return run.shard
	}
	return nil
}

func (m *Manager) handleEvents(ctx context.Context, _ peer.Ref, payload []byte) (any, error) {
	var events plan.Events
	if err := cbor.Unmarshal(payload, &events); err != nil {
		return nil, fmt.Errorf("events: %w", err)
	}
	s := m.shard(events.Shard)
	if s == nil {
		return nil, &peer.RemoteError{Code: CodeNotOwner, Message: "shard not owned here"}
	}
	applied := false
	if err := s.call(ctx, func(st *state) { applied = st.applyEvents(&events) }); err != nil {
		return nil, err
	}
	if !applied {
		return nil, &peer.RemoteError{Code: CodeBusy, Message: "a list of the partition's tasks is on its way"}
	}
	return nil, nil
}

// Tuning holds the intervals and limits of a shard.
type Tuning struct {
	// CommitInterval is the minimum average time between two writes of
	// progress, and CommitBurst the number of writes that may exceed that rate.
	CommitInterval time.Duration
	CommitBurst    int
	// CommitGather is how long changes are collected before a write.
	CommitGather time.Duration
	// RoundInterval is the time between two passes over the queue when nothing
	// changes, RoundGap the minimum time between two passes.
	RoundInterval, RoundGap time.Duration
	// SliceLimit bounds the placement decisions made before pending commands
	// are served.
	SliceLimit int
	// StartAhead is how many tasks of a job may be started without another
	// write of progress. It bounds the tasks that a takeover has to keep
	// blocked while a worker is unreachable.
	StartAhead int
	// PlanSteps bounds the steps of one plan.
	PlanSteps int
	// StartsPerSecond and StartBurst limit the rate of starts of a shard.
	StartsPerSecond float64
	StartBurst      int
	// CallTimeout bounds one call to a partition's owner.
	CallTimeout time.Duration
	// RetryFirst and RetryLast bound the backoff of a failed task.
	RetryFirst, RetryLast time.Duration
	// LossSpread is the time over which batch tasks lost with their workers
	// are put back into the queue.
	LossSpread time.Duration
	// StopResendInterval is the time after which a stop without a visible
	// effect is sent again.
	StopResendInterval time.Duration
	// FenceRetryInterval is the time between two attempts to fence a partition.
	FenceRetryInterval time.Duration
	// PartitionTimeout is the time without an owner after which a partition
	// that is no longer listed is removed, and its tasks count as ended. It must
	// exceed the time for which an owner may renew leases plus the task lease at
	// the workers.
	PartitionTimeout time.Duration
	// GangReservationTTL is the time to live of a gang's reservations.
	GangReservationTTL time.Duration
	// GangRetry is the mean time between two attempts to reserve capacity for a
	// gang.
	GangRetry time.Duration
	// ShareInterval is the time between two messages with the totals of the
	// teams to the owners of the other shards.
	ShareInterval time.Duration
	// Drain bounds the time a service instance gets to finish its requests.
	Drain time.Duration
}

func (t Tuning) withDefaults() Tuning {
	t.CommitInterval = cmp.Or(t.CommitInterval, time.Second)
	t.CommitBurst = cmp.Or(t.CommitBurst, 4)
	t.CommitGather = cmp.Or(t.CommitGather, 10*time.Millisecond)
	t.RoundInterval = cmp.Or(t.RoundInterval, 500*time.Millisecond)
	t.RoundGap = cmp.Or(t.RoundGap, 5*time.Millisecond)
	t.SliceLimit = cmp.Or(t.SliceLimit, 256)
	t.StartAhead = cmp.Or(t.StartAhead, 1024)
	t.PlanSteps = cmp.Or(t.PlanSteps, 256)
	if t.StartsPerSecond == 0 {
		t.StartsPerSecond = 2000
	}
	t.StartBurst = cmp.Or(t.StartBurst, 1000)
	t.CallTimeout = cmp.Or(t.CallTimeout, 2*time.Second)
	t.RetryFirst = cmp.Or(t.RetryFirst, time.Second)
	t.RetryLast = cmp.Or(t.RetryLast, time.Minute)
	t.LossSpread = cmp.Or(t.LossSpread, 5*time.Second)
	t.StopResendInterval = cmp.Or(t.StopResendInterval, 5*time.Second)
	t.FenceRetryInterval = cmp.Or(t.FenceRetryInterval, time.Second)
	t.PartitionTimeout = cmp.Or(t.PartitionTimeout, 2*time.Hour)
	t.GangReservationTTL = cmp.Or(t.GangReservationTTL, 10*time.Second)
	t.GangRetry = cmp.Or(t.GangRetry, 500*time.Millisecond)
	t.ShareInterval = cmp.Or(t.ShareInterval, 2*time.Second)
	t.Drain = cmp.Or(t.Drain, 30*time.Second)
	return t
}
