package daemon

import (
	"context"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/cellview"
	"fennelshunt.example/fennelshunt/process/jobs"
	"fennelshunt.example/fennelshunt/process/ownership"
	"fennelshunt.example/fennelshunt/process/partition"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/process/sched"
)

// workSide places work: the partitions and shards that this daemon owns and
// its view of all workers.
type workSide struct {
	l     *life
	cache *sched.Cache
	host  *partition.Host
	jobs  *jobs.Manager
	sinks []cellview.Sink
}

func newWorkSide(l *life) *workSide {
	s := l.d.o.Settings
	w := &workSide{l: l, cache: sched.NewCache()}
	w.jobs = jobs.New(jobs.Options{
		Self: l.self, Caller: l.node, Registrar: l.mux, Directory: l.owners, Config: l.versions,
		LatestVersion: l.history.Version,
		Snapshots:     w.cache.Snapshot, Store: l.store.Role(store.RoleProgress), Partitions: l.racks.Partitions,
		Shards: s.Shards, Log: l.log, Metrics: &l.d.metrics.jobs, Violation: l.violation("jobs"),
	})
	w.host = partition.New(partition.Options{
		Racks: l.racks, Dialer: l.d.o.Workers, Directory: l.owners, Claims: l.owners, Caller: l.node, Registrar: l.mux,
		View: l.fleet, Config: l.versions, RenewBound: s.Leases.Renew.Std(), ShardOf: w.shardOfJob,
		Log: l.log, Metrics: &l.d.metrics.partition,
	})
	l.owners.Register(ownership.PartitionPrefix, w.host, l.whenConfigured(w.host.Resources))
	l.owners.Register(ownership.ShardPrefix, w.jobs, l.whenConfigured(w.jobs.Resources))
	w.sinks = append(w.sinks, w.cache)
	return w
}

// shardOfJob returns the shard of a job's team; a job that is no longer
// declared belongs to no known team and is looked for in the first shard.
func (w *workSide) shardOfJob(job string) plan.Shard {
	if j := w.l.versions.Current().Jobs[job]; j != nil {
		return w.jobs.ShardOf(j.Team)
	}
	return 0
}

func (w *workSide) supervise() {
	w.l.add(w.jobs)
	w.l.add(&viewService{w})
}

// viewService follows the partitions; the sinks are complete when it starts.
type viewService struct{ w *workSide }

// Serve implements suture.Service.
func (v *viewService) Serve(ctx context.Context) error {
	l := v.w.l
	return cellview.New(cellview.Options{
		Directory: l.owners, Caller: l.node, Partitions: l.racks.Partitions, Listed: l.racks.Changed,
		Sinks: v.w.sinks, Log: l.log,
	}).Serve(ctx)
}

// String implements fmt.Stringer for the supervisor's events.
func (v *viewService) String() string { return "cell view" }
