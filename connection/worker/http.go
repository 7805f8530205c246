package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
)

// Paths of the agent's HTTP interface. Every call is a POST with a JSON body.
const (
	PathInventory  = "/inventory"
	PathOpenLease  = "/lease/open"
	PathAdopt      = "/lease/adopt"
	PathRevoke     = "/lease/revoke"
	PathSync       = "/sync"
	PathStart      = "/start"
	PathStop       = "/stop"
	PathThrottle   = "/throttle"
	PathCheckpoint = "/checkpoint"
)

// Codes of typed errors in the agent's HTTP interface.
const (
	CodeLeaseInvalid = "lease_invalid"
	CodeStaleEpoch   = "stale_epoch"
)

// maxReply bounds an agent's reply, in bytes. The reply of a worker with a few
// thousand tasks is far smaller.
const maxReply = 8 << 20

// HTTPError is the JSON body of a refused call.
type HTTPError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// LeaseCall is the body of calls that name a lease and perhaps a task.
type LeaseCall struct {
	Lease    LeaseID `json:"lease"`
	Task     Ref     `json:"task,omitzero"`
	Tasks    []Ref   `json:"tasks,omitempty"`
	MilliCPU int64   `json:"milli_cpu,omitempty"`
}

// StartCall is the body of Start.
type StartCall struct {
	Lease LeaseID `json:"lease"`
	Tasks []Start `json:"tasks"`
}

// OpenLeaseReply answers OpenLease.
type OpenLeaseReply struct {
	Lease LeaseID `json:"lease"`
}

// HTTPDialer makes agents that speak HTTP+JSON over TCP.
type HTTPDialer struct{ client *http.Client }

// NewHTTPDialer returns a Dialer that uses the client. The client's transport
// is shared by all agents.
func NewHTTPDialer(client *http.Client) *HTTPDialer { return &HTTPDialer{client: client} }

// Dial implements Dialer. The address is host:port.
func (d *HTTPDialer) Dial(address string) Agent {
	return &httpAgent{client: d.client, base: "http://" + address}
}

type httpAgent struct {
	client *http.Client
	base   string
}

// call posts req and decodes the reply. If no connection could be made, nothing was
// sent; after any later failure the outcome is unknown.
func (a *httpAgent) call(ctx context.Context, path string, req, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, DefaultCallTimeout)
	defer cancel()
	body, err := json.Marshal(req)
	if err != nil {
		return fmt.Errorf("worker: encode %s: %w", path, err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, a.base+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("worker: %s: %w", path, err)
	}
	// net/http repeats a request after a kept-alive connection broke if it can
	// rewind the body. A Start sent twice is refused as a duplicate, but a Stop or
	// Sync that is repeated later without its caller's knowledge could act on a
	// newer state, so the body must not be rewindable.
	r.GetBody = nil
	r.Header.Set("Content-Type", "application/json")
	res, err := a.client.Do(r)
	if err != nil {
		return transportError(path, err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxReply))
	if err != nil {
		return fmt.Errorf("%w: %s: %v", ErrUnknown, path, err)
	}
	if res.StatusCode != http.StatusOK {
		return refusal(path, res.StatusCode, data)
	}
	if reply == nil {
		return nil
	}
	if err := json.Unmarshal(data, reply); err != nil {
		return fmt.Errorf("%w: %s: decode reply: %v", ErrUnknown, path, err)
	}
	return nil
}

func transportError(path string, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %s: %v", ErrUnreachable, path, err)
	}
	return fmt.Errorf("%w: %s: %v", ErrUnknown, path, err)
}

func refusal(path string, status int, data []byte) error {
	var he HTTPError
	_ = json.Unmarshal(data, &he) // a body that cannot be decoded leaves the code empty
	switch he.Code {
	case CodeLeaseInvalid:
		return fmt.Errorf("%w: %s", ErrLeaseInvalid, path)
	case CodeStaleEpoch:
		return fmt.Errorf("%w: %s", ErrStaleEpoch, path)
	default:
		return fmt.Errorf("%w: %s: status %d: %s", ErrUnknown, path, status, he.Message)
	}
}

// Inventory implements Agent.
func (a *httpAgent) Inventory(ctx context.Context) (Inventory, error) {
	var inv Inventory
	err := a.call(ctx, PathInventory, struct{}{}, &inv)
	return inv, err
}

// OpenLease implements Agent.
func (a *httpAgent) OpenLease(ctx context.Context, req OpenLease) (LeaseID, error) {
	var reply OpenLeaseReply
	err := a.call(ctx, PathOpenLease, req, &reply)
	return reply.Lease, err
}

// Adopt implements Agent.
func (a *httpAgent) Adopt(ctx context.Context, lease LeaseID, tasks []Ref) error {
	return a.call(ctx, PathAdopt, LeaseCall{Lease: lease, Tasks: tasks}, nil)
}

// RevokeLease implements Agent.
func (a *httpAgent) RevokeLease(ctx context.Context, lease LeaseID) error {
	return a.call(ctx, PathRevoke, LeaseCall{Lease: lease}, nil)
}

// Sync implements Agent.
func (a *httpAgent) Sync(ctx context.Context, req SyncRequest) (SyncReply, error) {
	var reply SyncReply
	err := a.call(ctx, PathSync, req, &reply)
	return reply, err
}

// Start implements Agent.
func (a *httpAgent) Start(ctx context.Context, lease LeaseID, tasks []Start) ([]StartReply, error) {
	var reply []StartReply
	err := a.call(ctx, PathStart, StartCall{Lease: lease, Tasks: tasks}, &reply)
	return reply, err
}

// Stop implements Agent.
func (a *httpAgent) Stop(ctx context.Context, lease LeaseID, task Ref) error {
	return a.call(ctx, PathStop, LeaseCall{Lease: lease, Task: task}, nil)
}

// Throttle implements Agent.
func (a *httpAgent) Throttle(ctx context.Context, lease LeaseID, task Ref, milliCPU int64) error {
	return a.call(ctx, PathThrottle, LeaseCall{Lease: lease, Task: task, MilliCPU: milliCPU}, nil)
}

// Checkpoint implements Agent.
func (a *httpAgent) Checkpoint(ctx context.Context, lease LeaseID, task Ref) error {
	return a.call(ctx, PathCheckpoint, LeaseCall{Lease: lease, Task: task}, nil)
}

// ServeAgent returns an http.Handler that serves an agent, for stand-ins.
func ServeAgent(a Agent) http.Handler {
	mux := http.NewServeMux()
	handle(mux, PathInventory, func(ctx context.Context, _ struct{}) (any, error) { return a.Inventory(ctx) })
	handle(mux, PathOpenLease, func(ctx context.Context, r OpenLease) (any, error) {
		id, err := a.OpenLease(ctx, r)
		return OpenLeaseReply{Lease: id}, err
	})
	handle(mux, PathAdopt, func(ctx context.Context, r LeaseCall) (any, error) { return nil, a.Adopt(ctx, r.Lease, r.Tasks) })
	handle(mux, PathRevoke, func(ctx context.Context, r LeaseCall) (any, error) { return nil, a.RevokeLease(ctx, r.Lease) })
	handle(mux, PathSync, func(ctx context.Context, r SyncRequest) (any, error) { return a.Sync(ctx, r) })
	handle(mux, PathStart, func(ctx context.Context, r StartCall) (any, error) { return a.Start(ctx, r.Lease, r.Tasks) })
	handle(mux, PathStop, func(ctx context.Context, r LeaseCall) (any, error) { return nil, a.Stop(ctx, r.Lease, r.Task) })
	handle(mux, PathThrottle, func(ctx context.Context, r LeaseCall) (any, error) {
		return nil, a.Throttle(ctx, r.Lease, r.Task, r.MilliCPU)
	})
	handle(mux, PathCheckpoint, func(ctx context.Context, r LeaseCall) (any, error) {
		return nil, a.Checkpoint(ctx, r.Lease, r.Task)
	})
	return mux
}

func handle[T any](mux *http.ServeMux, path string, f func(context.Context, T) (any, error)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var req T
		if err := json.NewDecoder(io.LimitReader(r.Body, maxReply)).Decode(&req); err != nil {
			writeError(w, http.StatusBadRequest, HTTPError{Code: "bad_request", Message: err.Error()})
			return
		}
		reply, err := f(r.Context(), req)
		if err != nil {
			writeError(w, http.StatusConflict, HTTPError{Code: codeOf(err), Message: err.Error()})
			return
		}
		writeJSON(w, http.StatusOK, reply)
	})
}

func codeOf(err error) string {
	switch {
	case errors.Is(err, ErrLeaseInvalid):
		return CodeLeaseInvalid
	case errors.Is(err, ErrStaleEpoch):
		return CodeStaleEpoch
	default:
		return "failed"
	}
}

func writeError(w http.ResponseWriter, status int, he HTTPError) { writeJSON(w, status, he) }

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // a truncated reply is an unknown outcome for the caller
}

// Interface checks.
var (
	_ Dialer = (*HTTPDialer)(nil)
)
