// Package vms is a stand-in for the platform's list of VMs, which shows changes with a lag.
package vms

import (
	"context"
	"encoding/json"
	"net/http"
	"sort"
	"sync"
	"time"

	"fennelshunt.example/fennelshunt/connection/vmlist"
)

// List is a list of VMs whose readers see changes only after the lag.
type List struct {
	lag time.Duration

	mu      sync.Mutex
	current map[string]vmlist.VM
	shown   []vmlist.VM
	pending []pending
}

type pending struct {
	at  time.Time
	vms []vmlist.VM
}

// New returns an empty list that shows changes after lag.
func New(lag time.Duration) *List {
	return &List{lag: lag, current: map[string]vmlist.VM{}}
}

// Set adds or replaces a VM.
func (l *List) Set(v vmlist.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current[v.Name] = v
	l.publish()
}

// Remove removes a VM from the list.
func (l *List) Remove(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.current, name)
	l.publish()
}

// SetLeaving marks a VM as leaving.
func (l *List) SetLeaving(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if v, ok := l.current[name]; ok {
		v.Leaving = true
		l.current[name] = v
		l.publish()
	}
}

// publish queues the current content, to be shown after the lag.
func (l *List) publish() {
	vms := make([]vmlist.VM, 0, len(l.current))
	for _, v := range l.current {
		vms = append(vms, v)
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i].Name < vms[j].Name })
	l.pending = append(l.pending, pending{at: time.Now().Add(l.lag), vms: vms})
}

// List implements vmlist.Lister.
func (l *List) List(context.Context) ([]vmlist.VM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for len(l.pending) > 0 && !l.pending[0].at.After(now) {
		l.shown = l.pending[0].vms
		l.pending = l.pending[1:]
	}
	return l.shown, nil
}

// Handler serves the list over HTTP: GET returns the list, PUT sets a VM, DELETE
// removes one by name.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+vmlist.Path, func(w http.ResponseWriter, r *http.Request) {
		vms, _ := l.List(r.Context()) // never fails
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(vms) // the client cannot decode a truncated response
	})
	mux.HandleFunc("PUT "+vmlist.Path, func(w http.ResponseWriter, r *http.Request) {
		var v vmlist.VM
		if err := json.NewDecoder(r.Body).Decode(&v); err != nil || v.Name == "" {
			http.Error(w, "want a VM with a name", http.StatusBadRequest)
			return
		}
		l.Set(v)
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("DELETE "+vmlist.Path+"/{name}", func(w http.ResponseWriter, r *http.Request) {
		l.Remove(r.PathValue("name"))
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

var _ vmlist.Lister = (*List)(nil)
