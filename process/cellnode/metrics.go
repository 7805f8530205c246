package cellnode

import (
	"encoding/json"
	"errors"
	"expvar"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fennelshunt.example/fennelshunt/process/dispatch"
	"fennelshunt.example/fennelshunt/process/quota"
	"fennelshunt.example/fennelshunt/request/submit"
	"fennelshunt.example/fennelshunt/version/work"
)

// count publishes an engine's counters.
func (n *Node) count(s dispatch.Stats) {
	for _, c := range []struct {
		name string
		v    uint64
	}{
		{"starts", s.Starts}, {"resent", s.Resent}, {"stops", s.Stops}, {"done", s.Done}, {"failed", s.Failed},
		{"back", s.Requeued}, {"lost", s.Lost}, {"workers_gone", s.WorkersGone},
		{"lost_with_worker", s.LostWithWorker}, {"ends_missed", s.CompletionsMissed}, {"ends_unheard", s.CompletionsUnheard}, {"stalls", s.Stalls}, {"leases_withheld", s.LeasesWithheld}, {"starts_held", s.StartsHeld}, {"suspected", s.Suspected},
		{"trials", s.Trials}, {"given_up", s.GivenUp}, {"adopted", s.Adopted}, {"orphans", s.UntrackedRuns},
		{"commits", s.Commits}, {"bundles", s.Batches}, {"advised", s.Advised}, {"holds", s.GangReservations}, {"gangs_spread", s.GangsSpread}, {"beside_room", s.BesideRoom}, {"worker_claims", s.Claims}, {"worker_entries_refused", s.EntriesRefused}, {"worker_entries_refused_now", s.EntriesRefusedNow},
		{"late_starts", s.LateStarts}, {"late_starts_gone", s.LateStartsGone},
		{"late_starts_pinned", s.LateStartsPinned}, {"late_starts_adopted", s.LateStartsAdopted},
		{"open_orders", s.OpenOrders}, {"orders_fenced", s.OrdersFenced},
		{"aside", s.Quarantined}, {"workers_quarantined", s.WorkersQuarantined}, {"workers_on_probation", s.WorkersOnProbation},
		{"moved", s.Moved}, {"over_quota", s.OverQuota},
		{"preempted", s.Preempted}, {"preemptions", s.Preemptions}, {"preemption_wasted", s.PreemptionWasted},
		{"preempted_core_seconds", uint64(s.PreemptedCoreSeconds)},
		{"reclaimed", s.Reclaimed}, {"reclaimed_core_seconds", uint64(s.ReclaimedCoreSeconds)},
		{"engine_violations", s.Violations},
		{"load_digests", s.Digests}, {"load_digests_overloaded", s.DigestsOverloaded},
		{"speed_samples", s.SpeedSamples}, {"speed_clipped", s.SpeedClipped}, {"speed_changed", s.SpeedChanged}, {"speed_recovered", s.SpeedRecovered},
		{"slow_workers", s.SlowWorkers}, {"stragglers", s.Stragglers}, {"straggler_moves", s.StragglerMoves},
		{"stragglers_again", s.StragglersAgain},
		{"evacuated", s.Evacuated}, {"evacuations_late", s.EvacuationsLate}, {"evacuation_kept", s.EvacuationKept},
		{"evacuated_core_seconds", uint64(s.EvacuatedCoreSeconds)},
		{"advice_calls", s.AdviceCalls}, {"advice_calls_gangs", s.GangAdviceCalls},
		{"advice_names", s.AdviceNames}, {"advice_postponed", s.AdvicePostponed},
		{"advice_tickets_unused", s.TicketsUnused}, {"advice_failed", s.AdviceFailed},
		{"advice_proxies_unregistered", s.UnregisteredProxies}, {"advice_calls_unregistered", s.UnregisteredCalls},
		{"advice_slow_postponed", s.SlowPostponed}, {"advice_calls_second", s.SecondCalls},
	} {
		v := new(expvar.Int)
		v.Set(int64(c.v))
		n.metrics.Set(c.name, v)
	}
}

// Range of the histograms: from 0.1 ms, their unit, to ten minutes, with two
// significant digits.
const (
	histogramUnit   = 100 * time.Microsecond
	histogramMax    = int64(10 * time.Minute / histogramUnit)
	histogramDigits = 2
	// maxHistograms bounds the number of names, which come from the configuration; further
	// ones are counted under otherNames.
	maxHistograms = 64
	otherNames    = "others"
)

// latencies holds histograms by name.
type latencies struct {
	mu     sync.Mutex
	byName map[string]*hdrhistogram.Histogram
}

func (l *latencies) record(name string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.byName[name]
	if h == nil {
		if len(l.byName) >= maxHistograms {
			name = otherNames
			h = l.byName[name]
		}
		if l.byName == nil {
			l.byName = map[string]*hdrhistogram.Histogram{}
		}
		if h == nil {
			h = hdrhistogram.New(1, histogramMax, histogramDigits)
			l.byName[name] = h
		}
	}
	// A value out of range counts as the nearest bound.
	_ = h.RecordValue(min(max(int64(d/histogramUnit), 1), histogramMax))
}

// quantiles is the JSON form of one histogram, in milliseconds.
type quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// String implements expvar.Var.
func (l *latencies) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make(map[string]quantiles, len(l.byName))
	ms := func(units int64) float64 {
		return float64(time.Duration(units)*histogramUnit) / float64(time.Millisecond)
	}
	for name, h := range l.byName {
		all[name] = quantiles{Count: h.TotalCount(), P50: ms(h.ValueAtQuantile(50)), P95: ms(h.ValueAtQuantile(95)),
			P99: ms(h.ValueAtQuantile(99)), Max: ms(h.Max())}
	}
	data, err := json.Marshal(all)
	if err != nil {
		return "{}"
	}
	return string(data)
}

// observeSpan records the duration of one phase of a job.
func (n *Node) observeSpan(what dispatch.Span, queue, account string, d time.Duration) {
	n.latencies.record(string(what)+" "+queue, d)
	if what == dispatch.SpanComplete && account != "" {
		n.byAccount.record(account, d)
	}
}

// Answered records the duration and status of a caller's request.
func (n *Node) Answered(method string, status int, d time.Duration) {
	n.latencies.record("request "+method, d)
	if status >= http.StatusInternalServerError {
		n.metrics.Add("requests_failed", 1)
	}
	n.metrics.Add("requests", 1)
}

// accountRows returns the quota usage of the client accounts in the shards that this daemon
// leads.
func (n *Node) accountRows() []quota.Row {
	all := []quota.Row{}
	for _, s := range n.shards() {
		if rows := s.rows.Load(); rows != nil {
			all = append(all, *rows...)
		}
	}
	return all
}

// MetricsHandler serves the metrics as JSON, and explanations of why a job waits.
func (n *Node) MetricsHandler() http.Handler {
	s := &n.submitted
	n.metrics.Set("accepted", &s.Accepted)
	n.metrics.Set("not_accepted", &s.NotAccepted)
	n.metrics.Set("handed_over", &s.Forwarded)
	n.metrics.Set("cancelled", &s.Cancelled)
	n.metrics.Set("refused_at_once", &s.RefusedAtOnce)
	n.metrics.Set("outcomes_unknown", &s.Unknown)
	n.metrics.Set("store_probes", &s.Probes)
	n.metrics.Set("store_outages", &s.Outages)
	n.metrics.Set("longest_hold_ms", &s.LongestHold)
	n.metrics.Set("refused_for_load", &s.RefusedForLoad)
	n.metrics.Set("refusals_dropped", &s.RefusalsDropped)
	n.metrics.Set("digests_sent", &s.DigestsSent)
	n.metrics.Set("digests_outdated", &s.DigestsOutdated)
	n.metrics.Set("latency", &n.latencies)
	n.metrics.Set("completed_by_account", &n.byAccount)
	n.metrics.Set("traffic", n.o.Traffic)
	n.metrics.Set("configuration_version", expvar.Func(func() any { return n.catalogs.request().Version }))
	n.metrics.Set("configuration_age_ms", expvar.Func(func() any { return n.catalogs.age().Milliseconds() }))
	n.metrics.Set(quota.MetricAccounts, expvar.Func(func() any { return n.accountRows() }))
	n.relayed.Each(n.metrics.Set)
	n.relay.Stats().Each(n.metrics.Set)
	if n.o.Dropped != nil {
		n.metrics.Set("log_lines_dropped", expvar.Func(func() any { return n.o.Dropped() }))
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if _, err := w.Write([]byte(n.metrics.String())); err != nil {
			n.log.Debug().Err(err).Msg("metrics not written")
		}
	})
	mux.HandleFunc("GET "+submit.PathExplain, n.serveExplain)
	return mux
}

// serveExplain returns to operators why a job waits.
func (n *Node) serveExplain(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Query().Get("job")
	if id == "" {
		http.Error(w, "query: field job is missing; name a job's id", http.StatusBadRequest)
		return
	}
	x, err := submit.Shards{Of: n.shardOf}.Explain(r.Context(), work.JobID(id))
	switch {
	case errors.Is(err, submit.ErrNoJob):
		http.Error(w, "the leader knows no such job: it was never accepted, or ended long ago", http.StatusNotFound)
		return
	case err != nil:
		http.Error(w, "the leader does not answer; ask again, or another daemon: "+err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(x); err != nil {
		n.log.Debug().Err(err).Msg("explanation not written")
	}
}
