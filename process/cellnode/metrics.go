package cellnode

import (
	"expvar"
	"net/http"

	"fennelshunt.example/fennelshunt/process/dispatch"
)

// count publishes an engine's counters.
func (n *Node) count(s dispatch.Stats) {
	for _, c := range []struct {
		name string
		v    uint64
	}{
		{"starts", s.Starts}, {"resent", s.Resent}, {"stops", s.Stops}, {"done", s.Done}, {"failed", s.Failed},
		{"back", s.Back}, {"lost", s.Lost}, {"adopted", s.Adopted}, {"orphans", s.Orphans}, {"commits", s.Commits},
		{"advised", s.Advised}, {"aside", s.Aside}, {"moved", s.Moved}, {"engine_violations", s.Violations},
	} {
		v := new(expvar.Int)
		v.Set(int64(c.v))
		n.metrics.Set(c.name, v)
	}
}

// metricsHandler serves the counters as JSON.
func (n *Node) metricsHandler() http.Handler {
	s := n.jobs.Stats()
	n.metrics.Set("accepted", &s.Accepted)
	n.metrics.Set("not_accepted", &s.NotAccepted)
	n.metrics.Set("handed_over", &s.HandedOver)
	n.metrics.Set("cancelled", &s.Cancelled)
	if n.o.Dropped != nil {
		n.metrics.Set("log_lines_dropped", expvar.Func(func() any { return n.o.Dropped() }))
	}
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if _, err := w.Write([]byte(n.metrics.String())); err != nil {
			n.log.Debug().Err(err).Msg("metrics not written")
		}
	})
}
