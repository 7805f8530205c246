package bench

import (
	"encoding/json"
	"fmt"
	"os"
)

// Result holds the measurements of one invocation, by repetition.
type Result struct {
	// Setting describes the run; results of different settings are not compared.
	Setting Setting `json:"setting"`
	// Repetitions hold the metrics of each repetition.
	Repetitions []Metrics `json:"repetitions"`
}

// Setting holds the parameters of a run.
type Setting struct {
	User     string  `json:"user"`
	Daemons  int     `json:"daemons"`
	Seconds  float64 `json:"seconds"`
	Rate     float64 `json:"rate"`
	TaskLoad float64 `json:"task_load"`
	Seed     uint64  `json:"seed"`
}

// Metrics maps a metric's name to its value. Names end with their unit.
type Metrics map[string]float64

// Names of metrics. Waiting times count from the apply to the task's start. Broken
// counts violated guarantees.
const (
	RequestP50    = "request_p50_us"
	RequestP99    = "request_p99_us"
	RequestMax    = "request_max_us"
	PlainP50      = "request_without_key_p50_us"
	PlainP99      = "request_without_key_p99_us"
	KeyedP50      = "request_with_key_p50_us"
	KeyedP99      = "request_with_key_p99_us"
	RequestWhole  = "request_whole_share"
	RequestPerS   = "request_per_s"
	UrgentP50     = "urgent_wait_p50_ms"
	UrgentP99     = "urgent_wait_p99_ms"
	BatchP50      = "batch_wait_p50_ms"
	BatchP99      = "batch_wait_p99_ms"
	GangP50       = "gang_wait_p50_ms"
	PackingMean   = "packing_mean_share"
	PackingPeak   = "packing_peak_share"
	TaskStarts    = "task_starts"
	TasksLeft     = "tasks_not_started"
	StoreCallsPer = "store_calls_per_s"
	StoreWrites   = "store_writes_per_s"
	Broken        = "broken_promises"
)

// Write stores the result as JSON.
func (r *Result) Write(path string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return fmt.Errorf("bench: %w", err)
	}
	return os.WriteFile(path, append(data, '\n'), 0o644)
}

// Read reads a result.
func Read(path string) (*Result, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("bench: %w", err)
	}
	r := &Result{}
	if err := json.Unmarshal(data, r); err != nil {
		return nil, fmt.Errorf("bench: %s: %w", path, err)
	}
	if len(r.Repetitions) == 0 {
		return nil, fmt.Errorf("bench: %s: no repetitions; create the file with 'fennelbench run'", path)
	}
	return r, nil
}

// span returns the smallest and the largest value of a metric; ok is false when
// no repetition has it.
func (r *Result) span(name string) (smallest, largest float64, ok bool) {
	for _, m := range r.Repetitions {
		v, has := m[name]
		if !has {
			continue
		}
		if !ok || v < smallest {
			smallest = v
		}
		if !ok || v > largest {
			largest = v
		}
		ok = true
	}
	return smallest, largest, ok
}
