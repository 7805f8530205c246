// Package dispatch schedules the jobs that callers hand in: one daemon, the
// leader of the cell, owns every job and every worker for the time of its
// epoch.
//
// Engine is the state machine: events go in, effects come out, and it does
// nothing else; it keeps no clock and makes no call. Host runs an Engine for
// one term of leadership.
//
// Guarantees of an Engine, as long as effects are carried out and the workers
// compare epochs: the runs that a worker holds never exceed its capacity; a
// task has no second run before the first is known to have ended; an end is
// acknowledged to its worker only once it is in the store; a job is shown as
// ended only once that is in the store; no task starts before the steps it
// follows are done, after its job was cancelled, or after it failed as often
// as its queue allows.
package dispatch

import (
	"strings"
	"time"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/fair"
	"fennelshunt.example/fennelshunt/version/work"
)

// Bounds of an Engine that follow from the platform.
type Bounds struct {
	// Lease is how long a worker's lease lasts after a renewal.
	Lease time.Duration
	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	// Gang is how long members of a gang wait for each other.
	Gang time.Duration
	// Keep is how long the state of an ended job stays known.
	Keep time.Duration
	// Entitled is what accounts may hand in.
	Entitled fair.Entitlement
}

// startTimeout is how long a start may go without an answer: all its tries
// stay within half of the time for which members of a gang wait.
func (b Bounds) startTimeout() time.Duration {
	return min(StartTimeout, b.Gang/(2*maxStarts))
}

// maxStartTimeout is the same where answers are slow.
func (b Bounds) maxStartTimeout() time.Duration { return max(b.startTimeout(), b.Gang/(2*maxStarts)) }

// Options of an Engine.
type Options struct {
	Epoch  uint64
	Bounds Bounds
	Policy Policy
	// Part of so many Parts is what the engine schedules; 0 of 1 if Parts is 0. Where
	// there are several, it needs to be told its shares of the accounts' caps.
	Part, Parts int
	// Today is the time of day, in milliseconds since 1970, at the engine's
	// time 0.
	Today int64
	// Decide is told each decision that changes what the engine believes.
	Decide func(Decision)
	// Violation is told each broken invariant.
	Violation func(what string, task work.TaskID, worker runner.WorkerID)
	// Took is told how long jobs of a queue took from their acceptance.
	Took func(what Span, queue, account string, d time.Duration)
}

// Span is a part of a job's life that is measured.
type Span string

// Spans, from the acceptance of a job on.
const (
	SpanStart    Span = "first_start"
	SpanComplete Span = "completed"
)

// Decision is one line for the log.
type Decision struct {
	What   string
	Task   work.TaskID
	Run    uint64
	Worker runner.WorkerID
	Why    string
	Age    time.Duration // of what was decided upon, where that matters
	waits  *waits        // of a job that has ended
}

// Effect is something that the engine wants done. The outcome of each comes
// back as an event.
type Effect interface{ effect() }

// SendStart asks for Runner.Start; the outcome goes to Started.
type SendStart struct {
	To    runner.Ref
	Start runner.Start
}

// SendStop asks for Runner.Stop; the outcome goes to StopAnswered.
type SendStop struct {
	To   runner.Ref
	Task work.TaskID
	Run  uint64
}

// SendRenew asks for Runner.Renew; the outcome goes to Renewed.
type SendRenew struct {
	To      runner.Ref
	Renewal runner.Renewal
	Timeout time.Duration
}

// SendCommit asks to write to the store on a chain of the term; Committed is
// called once it is in.
type SendCommit struct {
	Chain   int
	Writes  []store.Write
	Deletes []string
}

// AskAdvice asks a member's adviser; the outcome goes to Advised.
type AskAdvice struct {
	Member  string
	Step    work.TaskID // Index is not used
	Workers []runner.WorkerID
	Timeout time.Duration
}

func (SendStart) effect()  {}
func (SendStop) effect()   {}
func (SendRenew) effect()  {}
func (SendCommit) effect() {}
func (AskAdvice) effect()  {}

// Keys in the store.
const (
	// PrefixJobs holds what accepting daemons write.
	PrefixJobs   = "job/"
	prefixIn     = "job/in/"
	prefixCancel = "job/cancel/"
	// prefixSpec holds the specs of accepted jobs, apart from them.
	prefixSpec = "spec/"
	// PrefixState holds what the leader writes.
	PrefixState = "state/"
	// PrefixBundle holds values with the progress of many jobs.
	PrefixBundle = "bundle/"
	// prefixFleet holds the workers that the leader uses, and those of them that are
	// closed.
	prefixFleet = "fleet"
	keyFleet    = prefixFleet
	keyCordoned = "fleet/closed"
)

// KeyIn returns the key of an accepted job.
func KeyIn(id work.JobID) string { return prefixIn + string(id) }

// KeySpec returns the key of an accepted job's spec.
//
// Load pattern: specs of some KB, dozens of hand-ins a second, a leader with a small link.
// What goes wrong if they lie with the jobs: the leader's watch and each takeover read all
// of them, though workers get specs from the daemons that accepted the jobs.
func KeySpec(id work.JobID) string { return prefixSpec + string(id) }

// KeyCancel returns the key of a job's cancellation.
func KeyCancel(id work.JobID) string { return prefixCancel + string(id) }

// KeyState returns the key of a job's progress.
func KeyState(id work.JobID) string { return PrefixState + string(id) }

// IsState reports whether a key is one that KeyState returns, be it of another part.
func IsState(key string) bool { return strings.Contains(key, PrefixState) }

func jobOfState(key string) work.JobID { return work.JobID(strings.TrimPrefix(key, PrefixState)) }
