package dispatch

import (
	"time"

	"fennelshunt.example/fennelshunt/process/quota"
	"fennelshunt.example/fennelshunt/version/work"
)

// Explanation describes how far a job has come and what its steps wait for.
type Explanation struct {
	Job     work.JobID `cbor:"1,keyasint" json:"job"`
	State   string     `cbor:"2,keyasint" json:"state"`
	Account string     `cbor:"3,keyasint,omitempty" json:"account,omitempty"`
	// OverEntitlement: submitted beyond what its account is entitled to.
	OverEntitlement bool `cbor:"4,keyasint,omitempty" json:"beyond,omitempty"`
	// Held is what the account's runs use, without what an earlier leader may have started
	// and no worker has reported yet. Cap is the account's limit. Both are those in this shard
	// of the cell, and zero for a job without an account.
	Held quota.Size `cbor:"5,keyasint" json:"held"`
	Cap  quota.Size `cbor:"6,keyasint" json:"cap"`
	// Waited is how long its steps waited, by cause, in milliseconds.
	Waited map[string]int64  `cbor:"7,keyasint,omitempty" json:"waited_ms,omitempty"`
	Steps  []StepExplanation `cbor:"8,keyasint,omitempty" json:"steps,omitempty"`
}

// StepExplanation is one step of one occurrence that is not done.
type StepExplanation struct {
	Occurrence int `cbor:"1,keyasint,omitempty" json:"occurrence"`
	Step       int `cbor:"2,keyasint" json:"step"`
	Tasks      int `cbor:"3,keyasint" json:"tasks"`
	Done       int `cbor:"4,keyasint" json:"done"`
	Running    int `cbor:"5,keyasint" json:"running"`
	// WaitsFor is what the tasks that do not run are waiting for; "" for nothing.
	WaitsFor string `cbor:"6,keyasint,omitempty" json:"bound,omitempty"`
	// OpenMS is the time in milliseconds since the step's tasks became ready to start.
	OpenMS int64 `cbor:"7,keyasint,omitempty" json:"open_ms,omitempty"`
	// Suspects are tasks under which workers have crashed.
	Suspects []SuspectTask `cbor:"8,keyasint,omitempty" json:"suspects,omitempty"`
	// Excluded are the workers that fit the step and get none of its waiting tasks now, whatever
	// capacity they have, by reason; Fit is how many fit it in all.
	Excluded []ExcludedWorkers `cbor:"9,keyasint,omitempty" json:"excluded,omitempty"`
	Fit      int               `cbor:"10,keyasint,omitempty" json:"fit,omitempty"`
	// LateStarts are the starts that hold a task of the step since a worker, or a later incarnation under its name, may
	// still carry them out.
	LateStarts []LateStart `cbor:"14,keyasint,omitempty" json:"late_starts,omitempty"`
	// Rack is the rack that a waiting gang seeks which asks for one, since RackMS milliseconds; AnyRacks
	// tells that it may start on several by now.
	Rack     string `cbor:"11,keyasint,omitempty" json:"rack,omitempty"`
	RackMS   int64  `cbor:"12,keyasint,omitempty" json:"rack_ms,omitempty"`
	AnyRacks bool   `cbor:"13,keyasint,omitempty" json:"any_racks,omitempty"`
}

// LateStart is a start of a task that nobody has answered. AgeMS is how long ago its last order had been sent, in
// milliseconds, 0 if that is not known; EndsMS in how many it can no longer be carried out, 0 if that is past and only what
// it may have started has to end.
type LateStart struct {
	Index  int    `cbor:"1,keyasint" json:"index"`
	Worker string `cbor:"2,keyasint" json:"worker"`
	AgeMS  int64  `cbor:"3,keyasint,omitempty" json:"age_ms,omitempty"`
	EndsMS int64  `cbor:"4,keyasint,omitempty" json:"ends_ms,omitempty"`
	// Refused: the worker refuses it, so that the task may start there meanwhile.
	Refused bool `cbor:"5,keyasint,omitempty" json:"refused,omitempty"`
}

// SuspectTask is a task with its crash records.
type SuspectTask struct {
	Index   int          `cbor:"1,keyasint" json:"index"`
	Crashes []work.Crash `cbor:"2,keyasint" json:"crashes"`
}

// Values of StepExplanation.WaitsFor in addition to the names of wait causes.
const (
	waitsForEarlierSteps = "steps before it"
	waitsForStartTime    = "its time"
	waitsForHigherCap    = "a cap too small for it"
)

// maxExplained bounds the steps that an explanation lists.
const maxExplained = 100

// Explain describes what a job is waiting for; false for a job that the engine does not have.
func (e *Engine) Explain(now time.Duration, id work.JobID) (Explanation, bool) {
	e.now = now
	j := e.jobs[id]
	state, known := e.State(id)
	if j == nil || !known {
		return Explanation{}, false
	}
	x := Explanation{Job: id, State: state.String(), Account: j.spec.Account, OverEntitlement: j.overEntitled, Waited: map[string]int64{}}
	if a := j.account; a != nil {
		x.Held, x.Cap = a.Held(), a.Cap()
	}
	for cause, d := range j.waits {
		if d > 0 {
			x.Waited[waitCause(cause).String()] = d.Milliseconds()
		}
	}
	for s := range j.steps() {
		if s.left > 0 && j.active() && len(x.Steps) < maxExplained {
			x.Steps = append(x.Steps, e.explainStep(s))
		}
	}
	return x, true
}

func (e *Engine) explainStep(s *step) StepExplanation {
	x := StepExplanation{Occurrence: s.occurrence.number, Step: s.number, Tasks: len(s.tasks), Done: len(s.tasks) - s.left, Running: s.live()}
	switch {
	case !s.ready():
		x.WaitsFor = waitsForEarlierSteps
	case s.occurrence.opens > e.now:
		x.WaitsFor = waitsForStartTime
	case s.job.account != nil && !s.job.account.CanEverFit(s.charge().Times(s.startsTogether())):
		x.WaitsFor = waitsForHigherCap
	case len(s.pending) > 0 && s.waitsFor != waitNothing:
		x.WaitsFor = s.waitsFor.String()
	}
	if s.opened {
		x.OpenMS = (e.now - s.openedAt).Milliseconds()
	}
	if s.opened && len(s.pending) > 0 {
		x.Excluded, x.Fit = e.excludedFrom(s)
		for _, group := range x.Excluded {
			x.Fit += group.Workers
		}
		if s.spec.SameRack && s.search.since > 0 {
			x.Rack, x.AnyRacks, x.RackMS = s.search.rack, s.search.spread, (e.now - s.search.since).Milliseconds()
		}
	}
	x.LateStarts = e.explainLate(s)
	for i := range s.tasks {
		if c := s.tasks[i].crashes; len(c) > 0 {
			x.Suspects = append(x.Suspects, SuspectTask{Index: i, Crashes: c})
		}
	}
	return x
}
