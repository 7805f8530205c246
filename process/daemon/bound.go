package daemon

import "time"

// handoverMargin is the time that a planned stop may take in addition to the requests in
// flight, to transfer resources.
const handoverMargin = 10 * time.Second

// stopBound returns how long a planned stop may take.
func (inc *incarnation) stopBound() time.Duration {
	return stopBound(inc.d.o.Settings.Drain.Std(), inc.path.slots.LongestAttempt())
}

// stopBound returns the drain setting, or more when requests may take longer.
//
// With the setting alone a planned stop would abort requests that their service allows to
// run for longer: slow requests would end as "may have run" at each upgrade.
func stopBound(drain, longestAttempt time.Duration) time.Duration {
	return max(drain, drainGrace+longestAttempt+handoverMargin)
}
