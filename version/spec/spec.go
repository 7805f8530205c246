// Package spec defines the declarative files that operators apply: the jobs that a
// cell should run and the teams that may run them. It also parses, validates and
// compares files and combines them into the configuration of one version; package
// history stores the versions.
package spec

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// File is one named configuration file. A file is applied as a whole: after an
// apply the cell runs exactly the jobs the file lists, and every job that an
// earlier version of the same file listed and this one does not is cancelled.
type File struct {
	// Name identifies the file in the cell; a later apply of the same name
	// replaces it.
	Name string `json:"name"`
	// Teams may only be set by an operator of the platform.
	Teams []Team `json:"teams,omitempty"`
	// Jobs lists the work of this file; job names are unique in a cell.
	Jobs []Job `json:"jobs,omitempty"`
}

// Team is a tenant of the cell.
type Team struct {
	Name string `json:"name"`
	// Weight is the team's fair share relative to others; 0 means 1.
	Weight int `json:"weight,omitempty"`
	// Quota bounds the resources that the team's running tasks use together; a zero
	// dimension is unlimited.
	Quota Resources `json:"quota,omitzero"`
	// RequestsPerSecond bounds the rate of requests of the team's callers; 0 means no limit.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
}

// Resources is an amount of each resource that a VM offers and a task uses.
type Resources struct {
	MilliCPU     int64 `json:"milli_cpu,omitempty" cbor:"1,keyasint,omitempty"`
	MemoryMB     int64 `json:"memory_mb,omitempty" cbor:"2,keyasint,omitempty"`
	Accelerators int64 `json:"accelerators,omitempty" cbor:"3,keyasint,omitempty"`
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns r - o; a dimension may become negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Times returns r with each dimension multiplied by n.
func (r Resources) Times(n int64) Resources {
	return Resources{r.MilliCPU * n, r.MemoryMB * n, r.Accelerators * n}
}

// Fits reports whether r fits into free in every dimension.
func (r Resources) Fits(free Resources) bool {
	return r.MilliCPU <= free.MilliCPU && r.MemoryMB <= free.MemoryMB && r.Accelerators <= free.Accelerators
}

// IsZero reports whether no dimension is set.
func (r Resources) IsZero() bool { return r == Resources{} }

// Kind is the kind of a job, which selects the policy that places it.
type Kind string

// The three kinds of work.
const (
	Service Kind = "service" // long-running instances that callers reach
	Batch   Kind = "batch"   // independent tasks that run to completion
	Gang    Kind = "gang"    // tasks that only make progress when all run at once
)

// Class is the priority class of a job; a higher class may preempt a lower one.
type Class string

// Classes from the highest to the lowest.
const (
	Urgent Class = "urgent" // starts within 3 s, by preemption if need be
	High   Class = "high"   // the default of services
	Normal Class = "normal" // the default of batch work and gangs
	Low    Class = "low"    // preempted first
)

// Rank returns the class as a number, 0 for Low up to 3 for Urgent.
func (c Class) Rank() int {
	switch c {
	case Urgent:
		return 3
	case High:
		return 2
	case Low:
		return 0
	default:
		return 1
	}
}

// Job is a piece of declared work: Count tasks of one size.
type Job struct {
	Name string `json:"name"`
	Team string `json:"team"`
	Kind Kind   `json:"kind"`
	// Count is the number of tasks, or of instances of a service.
	Count int       `json:"count"`
	Size  Resources `json:"size"`
	// Class defaults to High for services and Normal otherwise.
	Class Class `json:"class,omitempty"`
	// RunTime is the declared run time of a batch or gang task; it is a hint.
	RunTime Duration `json:"run_time,omitempty"`
	// Deadline is the time after the apply by which the job should be done; 0
	// means none.
	Deadline Duration `json:"deadline,omitempty"`
	// Retries is how often a failed task is started again; ignored for a
	// non-idempotent job, whose tasks start at most once.
	Retries int `json:"retries,omitempty"`
	// NonIdempotent marks work that must never start twice.
	NonIdempotent bool        `json:"non_idempotent,omitempty"`
	Constraints   Constraints `json:"constraints,omitzero"`
	// Service is required for Kind Service and refused otherwise.
	Service *ServiceSettings `json:"service,omitempty"`
	// Parameters are passed to the worker unchanged.
	Parameters map[string]string `json:"parameters,omitempty"`
}

// EffectiveClass returns the job's class with the default of its kind filled in.
func (j *Job) EffectiveClass() Class {
	if j.Class != "" {
		return j.Class
	}
	if j.Kind == Service {
		return High
	}
	return Normal
}

// Spread names the failure domain over which tasks are spread.
type Spread string

// Spread values; the empty value spreads services over zones and packs others.
const (
	SpreadNone Spread = "none"
	SpreadRack Spread = "rack"
	SpreadZone Spread = "zone"
)

// Constraints limit where tasks may run.
type Constraints struct {
	Zones        []string `json:"zones,omitempty" cbor:"1,keyasint,omitempty"`
	Racks        []string `json:"racks,omitempty" cbor:"2,keyasint,omitempty"`
	Spread       Spread   `json:"spread,omitempty" cbor:"3,keyasint,omitempty"`
	MaxPerWorker int      `json:"max_per_worker,omitempty" cbor:"4,keyasint,omitempty"`
}

// ServiceSettings describe how callers reach a service's instances.
type ServiceSettings struct {
	// Slots is how many requests an instance serves at once.
	Slots int `json:"slots"`
	// Connections is how many connections an instance accepts.
	Connections int `json:"connections"`
	// RequestTimeout bounds one request end to end.
	RequestTimeout Duration `json:"request_timeout"`
	// MaxUnavailable is how many instances a rolling replacement may stop at the
	// same time; 0 means 1.
	MaxUnavailable int `json:"max_unavailable,omitempty"`
	// Objective is the service-level objective used by the burn report.
	Objective Objective `json:"objective,omitzero"`
}

// Objective is a service-level objective.
type Objective struct {
	// Availability is the wanted share of good requests, for example 0.999.
	Availability float64 `json:"availability,omitempty"`
	// Latency is the time within which a request counts as good.
	Latency Duration `json:"latency,omitempty"`
}

// Duration is a time.Duration written in JSON as a string such as "30s".
type Duration time.Duration

// Std returns the value as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON implements json.Unmarshaler; it takes a string such as "1m30s".
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return fmt.Errorf("duration must be a string such as \"30s\": %w", err)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return fmt.Errorf("duration %q: %w", s, err)
	}
	*d = Duration(v)
	return nil
}

// TaskID names one task of one generation of a job. The generation is the
// configuration version that last changed the job, so that the task ids of a changed
// job differ from those before the change.
type TaskID struct {
	Job        string `cbor:"1,keyasint"`
	Generation uint64 `cbor:"2,keyasint"`
	Index      int    `cbor:"3,keyasint"`
}

// String returns job/generation/index.
func (t TaskID) String() string {
	return t.Job + "/" + strconv.FormatUint(t.Generation, 10) + "/" + strconv.Itoa(t.Index)
}

// MarshalText implements encoding.TextMarshaler.
func (t TaskID) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (t *TaskID) UnmarshalText(b []byte) error {
	v, err := ParseTaskID(string(b))
	if err == nil {
		*t = v
	}
	return err
}

// ParseTaskID parses what TaskID.String returns.
func ParseTaskID(s string) (TaskID, error) {
	parts := strings.Split(s, "/")
	if len(parts) != 3 || parts[0] == "" {
		return TaskID{}, fmt.Errorf("task id %q: want job/generation/index", s)
	}
	generation, err := strconv.ParseUint(parts[1], 10, 64)
	if err != nil {
		return TaskID{}, fmt.Errorf("task id %q: generation: %w", s, err)
	}
	index, err := strconv.Atoi(parts[2])
	if err != nil || index < 0 {
		return TaskID{}, fmt.Errorf("task id %q: index must be a whole number from 0", s)
	}
	return TaskID{Job: parts[0], Generation: generation, Index: index}, nil
}
