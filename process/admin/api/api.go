// Package api defines the messages of the administration API: JSON over HTTP
// between a daemon and the operators' tools. docs/ADMIN.md describes the calls.
package api

import (
	"fmt"
	"time"

	"fennelshunt.example/fennelshunt/version/history"
	"fennelshunt.example/fennelshunt/version/spec"
)

// Paths of the calls.
const (
	PathValidate = "/v1/validate"
	PathDiff     = "/v1/diff"
	PathApply    = "/v1/apply"
	PathFiles    = "/v1/files"
	PathHistory  = "/v1/history"
	PathStatus   = "/v1/status"
	PathExplain  = "/v1/explain"
	PathReport   = "/v1/report"
)

// Query parameters.
const (
	ParamBase   = "base"   // the version that the change is based on
	ParamWait   = "wait"   // "false": do not wait for the other daemons
	ParamName   = "name"   // name of the file in error messages
	ParamBefore = "before" // history below this version
	ParamLimit  = "limit"  // number of entries
	ParamTask   = "task"   // job/generation/index
	ParamFormat = "format" // of a report: text, json or html
)

// Code classifies an error.
type Code string

// Codes of errors.
const (
	CodeInvalid         Code = "invalid"         // the file or a parameter is wrong, see Problems
	CodeConflict        Code = "conflict"        // the file was changed after the base, see Conflict
	CodeUnauthenticated Code = "unauthenticated" // no token, or an unknown one
	CodeForbidden       Code = "forbidden"       // not allowed with this token
	CodeNotFound        Code = "not_found"       // does not exist, or is not visible with this token
	CodeTooLarge        Code = "too_large"       // the body exceeds the limit
	CodeBusy            Code = "busy"            // too many calls, try later
	CodeUnavailable     Code = "unavailable"     // the store does not answer; nothing was applied
	CodeUnknownOutcome  Code = "unknown_outcome" // the file may have been applied
	CodeInternal        Code = "internal"        // an internal error of the daemon
	CodeMethod          Code = "wrong_method"    // the path does not support the method
	CodeUnsupported     Code = "not_served_here" // this daemon does not provide the call
)

// Error is the body of every response that is not a success.
type Error struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Problems lists all problems of a file when Code is CodeInvalid.
	Problems []spec.Problem `json:"problems,omitempty"`
	// Conflict describes the conflicting change when Code is CodeConflict.
	Conflict *history.ConflictError `json:"conflict,omitempty"`
	// RequestID identifies the call in the daemon's log.
	RequestID string `json:"request_id,omitempty"`
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s", e.Code, e.Message) }

// Validated answers PathValidate: the file could be applied now.
type Validated struct {
	File string `json:"file"`
	Jobs int    `json:"jobs"`
}

// Diffed answers PathDiff.
type Diffed struct {
	File string `json:"file"`
	// Base is the version to name as the base when the file is applied.
	Base        uint64            `json:"base"`
	Differences []spec.Difference `json:"differences"`
}

// Member is the state of one daemon and the version that it has in force.
type Member struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	State   string `json:"state"`
	Version uint64 `json:"version"`
	Known   bool   `json:"heard"`
}

// Applied answers PathApply.
type Applied struct {
	File      string `json:"file"`
	Version   uint64 `json:"version"`
	Unchanged bool   `json:"unchanged,omitempty"`
	// Members and Lagging are set if the call waited for the daemons.
	Members []Member `json:"members,omitempty"`
	Lagging []Member `json:"lagging,omitempty"`
}

// File describes a file in force.
type File struct {
	Name    string    `json:"name"`
	Version uint64    `json:"version"`
	Author  string    `json:"author"`
	Team    string    `json:"team,omitempty"`
	Time    time.Time `json:"time"`
	// Content is set when a single file was requested.
	Content *spec.File `json:"content,omitempty"`
}

// Files answers PathFiles.
type Files struct {
	Version uint64 `json:"version"`
	Files   []File `json:"files"`
}

// Change is one entry of the history.
type Change struct {
	Version uint64    `json:"version"`
	File    string    `json:"file"`
	Removed bool      `json:"removed,omitempty"`
	Author  string    `json:"author"`
	Team    string    `json:"team,omitempty"`
	Time    time.Time `json:"time"`
}

// History answers PathHistory, the latest change first.
type History struct {
	Changes []Change `json:"changes"`
	// Before is the value of ParamBefore with which to get earlier changes; 0 if
	// there are none.
	Before uint64 `json:"before,omitempty"`
}

// Job is the state of a job.
type Job struct {
	Name       string    `json:"name"`
	Team       string    `json:"team"`
	Kind       spec.Kind `json:"kind"`
	Generation uint64    `json:"generation"`
	Desired    int       `json:"desired"`
	Running    int       `json:"running"`
	Waiting    int       `json:"waiting"`
	Done       int       `json:"done"`
	Failed     int       `json:"failed"`
	// Unknown counts non-idempotent tasks that may have run and are not
	// started again.
	Unknown int `json:"unknown,omitempty"`
	// Message is set when the job cannot run as declared.
	Message string `json:"message,omitempty"`
}

// Status answers PathStatus.
type Status struct {
	// Version is in force on the daemon that answers, StoreVersion is the latest
	// that it read from the store.
	Version      uint64   `json:"version"`
	StoreVersion uint64   `json:"store_version"`
	StoreUp      bool     `json:"store_up"`
	Members      []Member `json:"members"`
	Jobs         []Job    `json:"jobs"`
}

// Explanation answers PathExplain: why a task is in its state.
type Explanation struct {
	Task    spec.TaskID `json:"task"`
	State   string      `json:"state"`
	Reasons []string    `json:"reasons,omitempty"`
}
