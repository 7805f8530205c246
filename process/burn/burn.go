// Package burn measures how fast each service consumes its error budget.
//
// Every daemon records the requests it served in a Recorder of bounded memory.
// Snapshots of several daemons are merged into one, from which Evaluate makes a
// Report: per service and team, the burn rate over several windows and an alert
// level. A burn rate of 1 consumes the error budget exactly in the period of the
// objective; 10 consumes it in a tenth of that.
package burn

import (
	"net/http"
	"time"

	"fennelshunt.example/fennelshunt/version/spec"
)

// DefaultTarget is the target share of good requests of a service whose
// specification gives none.
const DefaultTarget = 0.999

// Windows over which burn is measured, the shortest first.
const (
	Window5m  = 5 * time.Minute
	Window30m = 30 * time.Minute
	Window1h  = time.Hour
	Window6h  = 6 * time.Hour
)

// windows lists the windows in the order in which reports show them.
var windows = [...]time.Duration{Window5m, Window30m, Window1h, Window6h}

// Key names one series: the requests of one team to one service.
type Key struct {
	Service string `json:"service" cbor:"1,keyasint"`
	Team    string `json:"team" cbor:"2,keyasint"`
}

// Other is the series of requests beyond the limit on series.
var Other = Key{Service: "(other)", Team: "(other)"}

// Judge reports whether a request was good under the objective. counted is false for a
// request that failed because of the caller and so says nothing about the service: any
// status from 400 to 499.
func Judge(o spec.Objective, status int, latency time.Duration) (good, counted bool) {
	switch {
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		return false, false
	case status >= http.StatusInternalServerError:
		return false, true
	}
	limit := o.Latency.Std()
	return limit <= 0 || latency <= limit, true
}
