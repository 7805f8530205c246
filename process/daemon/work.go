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

// scheduling holds the components that place tasks: the partitions and shards that this
// daemon owns, and its view of all workers.
type scheduling struct {
	inc   *incarnation
	cache *sched.Cache
	host  *partition.Host
	jobs  *jobs.Manager
	sinks []cellview.Sink
}

func newScheduling(inc *incarnation) *scheduling {
	s := inc.d.o.Settings
	w := &scheduling{inc: inc, cache: sched.NewCache()}
	w.jobs = jobs.New(jobs.Options{
		Self: inc.self, Caller: inc.node, Registrar: inc.mux, Directory: inc.owners, Config: inc.versions,
		LatestVersion: inc.history.Version,
		Snapshots:     w.cache.Snapshot, Store: inc.store.Role(store.RoleProgress), Partitions: inc.racks.Partitions,
		Shards: s.Shards, Log: inc.log, Metrics: &inc.d.metrics.jobs, Violation: inc.violation("jobs"),
	})
	w.host = partition.New(partition.Options{
		Racks: inc.racks, Dialer: inc.d.o.Workers, Directory: inc.owners, Claims: inc.owners, Caller: inc.node, Registrar: inc.mux,
		View: inc.fleet, Config: inc.versions, RenewBound: s.Leases.Renew.Std(), ShardOf: w.shardOfJob,
		Log: inc.log, Metrics: &inc.d.metrics.partition,
	})
	inc.owners.Register(ownership.PartitionPrefix, w.host, inc.onceConfigured(w.host.Resources))
	inc.owners.Register(ownership.ShardPrefix, w.jobs, inc.onceConfigured(w.jobs.Resources))
	w.sinks = append(w.sinks, w.cache)
	return w
}

// shardOfJob returns the shard of a job's team. The team of a job that is no longer
// declared is unknown; the tasks of such a job are reported to the first shard.
func (w *scheduling) shardOfJob(job string) plan.Shard {
	if j := w.inc.versions.Current().Jobs[job]; j != nil {
		return w.jobs.ShardOf(j.Team)
	}
	return 0
}

func (w *scheduling) supervise() {
	w.inc.add(w.jobs)
	w.inc.add(&viewService{w})
}

// viewService runs the cell view. It is built when it starts, since the list of sinks is
// complete only then.
type viewService struct{ w *scheduling }

// Serve implements suture.Service.
func (v *viewService) Serve(ctx context.Context) error {
	inc := v.w.inc
	return cellview.New(cellview.Options{
		Directory: inc.owners, Caller: inc.node, Partitions: inc.racks.Partitions, Listed: inc.racks.Changed,
		Sinks: v.w.sinks, Log: inc.log,
	}).Serve(ctx)
}

// String implements fmt.Stringer for the supervisor's events.
func (v *viewService) String() string { return "cell view" }
