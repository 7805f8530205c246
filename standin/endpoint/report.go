package endpoint

import (
	"fmt"
	"maps"
	"net"
	"net/http"
)

// maxKeys bounds Report.Runs; requests with further keys are counted without their key.
const maxKeys = 1 << 20

// Report has the counts of an endpoint.
type Report struct {
	Requests        int            `json:"requests"` // requests on which work began
	Completed       int            `json:"completed"`
	Refused         int            `json:"refused"` // requests refused before work
	PeakRunning     int            `json:"peak_running"`
	PeakConnections int            `json:"peak_connections"`
	Accepted        int            `json:"accepted"` // connections
	Running         int            `json:"running"`
	Connections     int            `json:"connections"`
	Violations      []string       `json:"violations,omitempty"` // the first ten
	ViolationCount  int            `json:"violation_count"`
	Runs            map[string]int `json:"runs,omitempty"` // per request key
}

// Report returns a copy of the counts.
func (e *Endpoint) Report() Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.report
	r.Runs = maps.Clone(r.Runs)
	r.Violations = append([]string(nil), r.Violations...)
	r.Running, r.Connections = e.running, len(e.conns)
	return r
}

// Runs returns how often work began on the request with the key.
func (e *Endpoint) Runs(key string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.report.Runs[key]
}

func (e *Endpoint) violate(format string, args ...any) {
	const kept = 10
	e.report.ViolationCount++
	if len(e.report.Violations) < kept {
		e.report.Violations = append(e.report.Violations, fmt.Sprintf(format, args...))
	}
}

// begin counts a request on which work begins; it returns false if the request is to be
// refused. A violation includes the source of the request.
func (e *Endpoint) begin(key string, r *http.Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	full := e.opts.Slots > 0 && e.running >= e.opts.Slots
	if full {
		e.violate("request %q (%s %s from %s, header %v): %d run already, %d slots",
			key, r.Method, r.URL, r.RemoteAddr, r.Header, e.running, e.opts.Slots)
	}
	if full && e.opts.RefuseWhenFull {
		e.report.Refused++
		return false
	}
	e.running++
	e.report.Requests++
	e.report.PeakRunning = max(e.report.PeakRunning, e.running)
	if _, known := e.report.Runs[key]; known || len(e.report.Runs) < maxKeys {
		e.report.Runs[key]++
	}
	return true
}

func (e *Endpoint) end(completed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	if completed {
		e.report.Completed++
	}
}

func (e *Endpoint) countRefused() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report.Refused++
}

func (e *Endpoint) connState(c net.Conn, s http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch s {
	case http.StateNew:
		e.report.Accepted++
		e.conns[c] = s
		e.report.PeakConnections = max(e.report.PeakConnections, len(e.conns))
		if e.opts.Connections > 0 && len(e.conns) > e.opts.Connections {
			e.violate("%d connections open, limit %d", len(e.conns), e.opts.Connections)
		}
	case http.StateClosed, http.StateHijacked:
		delete(e.conns, c)
	case http.StateIdle:
		e.conns[c] = s
		e.idleFaultLocked(c)
	default:
		e.conns[c] = s
	}
}
