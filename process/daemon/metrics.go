package daemon

import (
	"fennelshunt.example/fennelshunt/process/admin"
	"fennelshunt.example/fennelshunt/process/burn"
	"fennelshunt.example/fennelshunt/process/jobs"
	"fennelshunt.example/fennelshunt/process/partition"
)

// metrics holds what is counted over all incarnations of the process.
type metrics struct {
	jobs      jobs.Metrics
	partition partition.Metrics
	burn      *burn.Recorder
}

// reporter returns the reporter on service-level burn over all daemons.
func (inc *incarnation) reporter() admin.Reporter {
	return burn.NewReporter(inc.d.metrics.burn, inc.fleet, inc.node, inc.versions)
}
