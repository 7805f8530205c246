package daemon

import (
	"fennelshunt.example/fennelshunt/process/admin"
	"fennelshunt.example/fennelshunt/process/burn"
	"fennelshunt.example/fennelshunt/process/jobs"
	"fennelshunt.example/fennelshunt/process/partition"
)

// metrics lives as long as the daemon.
type metrics struct {
	jobs      jobs.Metrics
	partition partition.Metrics
	burn      *burn.Recorder
}

// reporter makes the reports on service-level burn, over all daemons.
func (l *life) reporter() admin.Reporter {
	return burn.NewReporter(l.d.metrics.burn, l.fleet, l.node, l.versions)
}
