package daemon

import "time"

// handOverMargin is what a planned stop may take beside the requests in flight.
const handOverMargin = 10 * time.Second

// stopBound returns how long a planned stop may take.
func (l *life) stopBound() time.Duration {
	return stopBound(l.d.o.Settings.Drain.Std(), l.path.slots.LongestAttempt())
}

// stopBound returns the drain setting, or longer when requests may last longer.
//
// What goes wrong otherwise: a planned stop cuts a request that its service
// allows to run for longer than the setting. One would notice it as "may have
// run" of slow requests at each upgrade.
func stopBound(drain, longestAttempt time.Duration) time.Duration {
	return max(drain, drainGrace+longestAttempt+handOverMargin)
}
