package gateway

import (
	"expvar"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"fennelshunt.example/fennelshunt/request/verdict"
)

// Counters are the gateway's metrics, which the daemon publishes.
type Counters struct {
	Requests   expvar.Int
	Ran        expvar.Int
	NotRun     expvar.Int
	MayHaveRun expvar.Int
	Retries    expvar.Int
	Cut        expvar.Int // truncated answers, whose callers' connections were aborted
	Codes      expvar.Map // error answers by code
}

// Publish adds the counters and the gauges of requests in progress to m.
func (g *Gateway) Publish(m *expvar.Map) {
	m.Set("requests", &g.counts.Requests)
	m.Set("ran", &g.counts.Ran)
	m.Set("not_run", &g.counts.NotRun)
	m.Set("may_have_run", &g.counts.MayHaveRun)
	m.Set("retries", &g.counts.Retries)
	m.Set("cut", &g.counts.Cut)
	m.Set("errors", &g.counts.Codes)
	m.Set("waiting", expvar.Func(func() any { return g.opts.Admission.TotalWaiting() }))
	if g.opts.Outliers != nil {
		m.Set("ejected", expvar.Func(func() any { return g.opts.Outliers.Ejected() }))
	}
	m.Set("in_flight", expvar.Func(func() any { return g.inFlight.Load() }))
}

// recordOutcome counts, observes and logs the outcome of a call. It is deferred,
// so that it also runs when the caller's connection is aborted.
func (g *Gateway) recordOutcome(c *call) {
	status, v, code, latency := c.reply.outcome(c.start)
	g.counts.Requests.Add(1)
	if c.cut {
		g.counts.Cut.Add(1)
	}
	if code != "" && !c.fromOwner {
		g.counts.Codes.Add(code, 1)
	}
	switch v {
	case verdict.Ran:
		g.counts.Ran.Add(1)
	case verdict.NotRun:
		g.counts.NotRun.Add(1)
	default:
		g.counts.MayHaveRun.Add(1)
	}
	if c.service != "" && !c.forwarded {
		g.opts.Observe(c.service, c.identity.Team, c.identity.Caller, status, v, latency)
	}
	g.log(c, status, v, code, latency)
}

// log writes an access log line, without the caller's query, headers and body,
// which may hold secrets. Successful requests are logged at level debug, because
// a line per request costs a tenth of the whole request path; failures of the
// daemon or of an endpoint at warn, and the rest at info.
func (g *Gateway) log(c *call, status int, v verdict.Verdict, code string, latency time.Duration) {
	var e *zerolog.Event
	switch {
	case status >= http.StatusInternalServerError || v == verdict.MayHaveRun:
		e = g.opts.Log.Warn()
	case v == verdict.NotRun:
		e = g.opts.Log.Info()
	default:
		e = g.opts.Log.Debug()
	}
	if !e.Enabled() {
		return
	}
	e.Str("request", c.id).Str("service", c.service).Str("team", c.identity.Team).Str("caller", c.identity.Caller).
		Str("method", c.in.Method).Str("path", c.in.URL.Path).Int("status", status).
		Str("verdict", v.String()).Str("code", code).Str("endpoint", c.endpoint).
		Int("attempts", c.attempts).Bool("forwarded", c.forwarded).Dur("latency", latency).Msg("request")
}
