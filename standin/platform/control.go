package platform

import (
	"encoding/json"
	"net/http"

	"fennelshunt.example/fennelshunt/standin/fault"
	"fennelshunt.example/fennelshunt/standin/kv"
	"fennelshunt.example/fennelshunt/standin/record"
)

// FullReport combines the counts of all stand-ins.
type FullReport struct {
	Tasks     record.Report `json:"tasks"`
	Endpoints Report        `json:"endpoints"`
	Store     kv.Counts     `json:"store"`
}

// FullReport returns the counts so far.
func (p *Platform) FullReport() FullReport {
	return FullReport{Tasks: p.Recorder.Report(), Endpoints: p.EndpointReport(), Store: p.Store.Counts()}
}

// Control returns a handler that serves the counts and controls the faults:
//
//	GET  /report                    FullReport
//	POST /fault/store               fault.Set
//	POST /fault/store/engine        kv.Faults
//	POST /fault/worker/{name}       fault.Set
//	POST /fault/endpoint/{address}  endpoint.Faults
//	POST /worker/{name}/kill        ends the VM
//	POST /worker/{name}/leaving     marks the VM as leaving
//	POST /worker/{name}/fail        every task started from now on fails
func (p *Platform) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(p.FullReport()) // the client cannot decode a truncated response
	})
	mux.HandleFunc("POST /fault/store", func(w http.ResponseWriter, r *http.Request) {
		fault.ServeSet(w, r, p.StoreFault.Set)
	})
	mux.HandleFunc("POST /fault/store/engine", func(w http.ResponseWriter, r *http.Request) {
		fault.ServeSet(w, r, p.Store.SetFaults)
	})
	mux.HandleFunc("POST /fault/worker/{name}", p.onWorker(func(w http.ResponseWriter, r *http.Request, wk *Worker) {
		fault.ServeSet(w, r, wk.Fault.Set)
	}))
	mux.HandleFunc("POST /fault/endpoint/{address}", func(w http.ResponseWriter, r *http.Request) {
		e := p.Endpoints()[r.PathValue("address")]
		if e == nil {
			http.Error(w, "no such endpoint", http.StatusNotFound)
			return
		}
		fault.ServeSet(w, r, e.SetFaults)
	})
	mux.HandleFunc("POST /worker/{name}/kill", p.onWorker(func(_ http.ResponseWriter, _ *http.Request, wk *Worker) { wk.Kill() }))
	mux.HandleFunc("POST /worker/{name}/leaving", p.onWorker(func(_ http.ResponseWriter, _ *http.Request, wk *Worker) {
		p.VMs.SetLeaving(wk.VM.Name)
		wk.Agent.SetDraining(true)
	}))
	mux.HandleFunc("POST /worker/{name}/fail", p.onWorker(func(_ http.ResponseWriter, _ *http.Request, wk *Worker) {
		wk.Agent.SetFailAll(true)
	}))
	return mux
}

func (p *Platform) onWorker(f func(http.ResponseWriter, *http.Request, *Worker)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		for _, wk := range p.Workers {
			if wk.VM.Name == r.PathValue("name") {
				f(w, r, wk)
				return
			}
		}
		http.Error(w, "no such worker", http.StatusNotFound)
	}
}
