package daemon

import (
	"time"

	"fennelshunt.example/fennelshunt/process/admin"
	"fennelshunt.example/fennelshunt/process/jobs"
	"fennelshunt.example/fennelshunt/process/partition"
	"fennelshunt.example/fennelshunt/request/verdict"
)

// metrics lives as long as the daemon.
type metrics struct {
	jobs      jobs.Metrics
	partition partition.Metrics
}

// observe takes the end of each request.
func (m *metrics) observe(service, team, caller string, status int, v verdict.Verdict, latency time.Duration) {
}

// reporter makes the reports on service-level burn.
func (d *Daemon) reporter(*life) admin.Reporter { return nil }
