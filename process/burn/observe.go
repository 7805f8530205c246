package burn

import (
	"time"

	"fennelshunt.example/fennelshunt/request/verdict"
	"fennelshunt.example/fennelshunt/version/spec"
)

// ObserveFunc is called at the end of each request.
type ObserveFunc = func(service, team, caller string, status int, v verdict.Verdict, latency time.Duration)

// Observer returns a function that records requests, judged by the objectives
// of the configuration in force. Requests to services that are not configured
// are left out, since callers could otherwise fill the series with arbitrary names.
func (r *Recorder) Observer(config spec.Source) ObserveFunc {
	return func(service, team, _ string, status int, v verdict.Verdict, latency time.Duration) {
		job, ok := config.Current().Jobs[service]
		if !ok || job.Service == nil {
			return
		}
		good, counted := Judge(job.Service.Objective, status, latency)
		if counted {
			r.Observe(service, team, good, latency, v.String(), time.Now())
		}
	}
}
