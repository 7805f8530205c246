// Package wire holds the messages of the HTTP+JSON protocol of the key-value
// service. Each method of store.Store is one POST to its path; requests and
// replies are JSON objects, values are base64. A refusal is a reply with a
// non-200 status and a Failure body.
package wire

import "time"

// Paths of the methods.
const (
	PathGet    = "/v1/get"
	PathList   = "/v1/list"
	PathPut    = "/v1/put"
	PathDelete = "/v1/delete"
	PathWatch  = "/v1/watch"
	PathGrant  = "/v1/lease/grant"
	PathRenew  = "/v1/lease/renew"
	PathRevoke = "/v1/lease/revoke"
)

// MaxRequestSize bounds a request body, in bytes: a value of 1 MB in base64
// with room for key and field names.
const MaxRequestSize = (1<<20)*4/3 + 64<<10

// Code tells why the service refused a call; the call had no effect.
type Code string

// Codes of refusals.
const (
	CodeNotFound    Code = "not_found"
	CodeConflict    Code = "conflict"
	CodeTooLarge    Code = "too_large"
	CodeLeaseLost   Code = "lease_lost"
	CodeOverBudget  Code = "over_budget"
	CodeCompacted   Code = "compacted"
	CodeUnavailable Code = "unavailable"
	CodeInvalid     Code = "invalid"
)

// Request is the body of every call; each method uses the fields it needs.
type Request struct {
	// Key is the key, or the prefix for list and watch.
	Key   string `json:"key,omitempty"`
	Value []byte `json:"value,omitempty"`
	Prev  uint64 `json:"prev,omitempty"`
	Lease uint64 `json:"lease,omitempty"`
	After uint64 `json:"after,omitempty"`
	// WaitMillis is how long a watch waits for events, in milliseconds.
	WaitMillis int64 `json:"wait_ms,omitempty"`
	// TTLMillis is the time to live of a new lease, in milliseconds.
	TTLMillis int64 `json:"ttl_ms,omitempty"`
}

// Wait returns the watch wait.
func (r Request) Wait() time.Duration { return time.Duration(r.WaitMillis) * time.Millisecond }

// TTL returns the lease time to live.
func (r Request) TTL() time.Duration { return time.Duration(r.TTLMillis) * time.Millisecond }

// Entry is one key with its value; Deleted is set in watch events only.
type Entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Lease    uint64 `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Reply is the body of every successful call.
type Reply struct {
	Entries  []Entry `json:"entries,omitempty"`
	Revision uint64  `json:"revision,omitempty"`
	Lease    uint64  `json:"lease,omitempty"`
}

// Failure is the body of a refused call.
type Failure struct {
	Code    Code   `json:"code"`
	Message string `json:"message,omitempty"`
}
