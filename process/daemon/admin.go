package daemon

import (
	"encoding/json"
	"expvar"
	"fmt"
	"net/http"
	"time"

	"github.com/thejerf/suture/v4"

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

// adminSide serves health, metrics and the administration API.
type adminSide struct {
	l      *life
	server *http.Server
}

func newAdminSide(l *life) *adminSide {
	mux := http.NewServeMux()
	a := &adminSide{l: l, server: &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}}
	mux.HandleFunc("GET /readyz", l.path.gateway.ServeReady)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /debug/vars", a.serveVars)
	return a
}

// serveVars serves the metrics in expvar's format.
func (a *adminSide) serveVars(w http.ResponseWriter, _ *http.Request) {
	var m expvar.Map
	a.l.path.gateway.Publish(&m)
	m.Set("store", a.l.store.Vars())
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_ = json.NewEncoder(w).Encode(json.RawMessage(m.String())) // a cut answer fails to decode
}

func (a *adminSide) supervise(sup *suture.Supervisor) {
	sup.Add(&httpService{"administration", a.server, a.l.d.listen.admin, nil})
}
