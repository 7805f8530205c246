// Package dispatch schedules the jobs that callers submit: one daemon, the leader of the cell,
// owns every job and every worker for the duration of its epoch.
//
// Engine is the state machine: events go in, effects come out. It has no clock and makes no
// calls. Host runs an Engine for one term of leadership.
//
// Guarantees of an Engine, provided that effects are executed and the workers reject orders of
// lower epochs:
//   - the runs on a worker never exceed its capacity;
//   - a task has no second run before the first is known to have ended;
//   - a lease is given, and a task started, only with recent evidence that there is no successor;
//   - a completion is acknowledged to its worker only once it is in the store;
//   - a job is shown as ended only once that is in the store;
//   - no task starts before the steps it follows are done, after its job was cancelled, or
//     after it failed as often as its queue allows.
package dispatch

import (
	"cmp"
	"strings"
	"time"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/fair"
	"fennelshunt.example/fennelshunt/version/work"
)

// Bounds are the time limits and entitlements of an Engine that follow from the platform.
type Bounds struct {
	// Lease is how long a worker's lease lasts after a renewal.
	Lease time.Duration
	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	// Gang is how long members of a gang wait for each other.
	Gang time.Duration
	// Keep is how long the state of an ended job can be queried.
	Keep time.Duration
	// Entitled is what accounts may submit.
	Entitled fair.Entitlement
	// SeveralRacks is how many times as long a gang that asks for one rack takes on several; 0 for
	// defaultSeveralRacks.
	SeveralRacks float64
}

const defaultSeveralRacks = 3

// spreadFactor is SeveralRacks or its default.
func (b Bounds) spreadFactor() float64 { return cmp.Or(b.SeveralRacks, defaultSeveralRacks) }

// startTimeout is how long a start may go without an answer: all attempts together stay within
// half of the time for which members of a gang wait.
func (b Bounds) startTimeout() time.Duration {
	return min(StartTimeout, b.Gang/(2*maxStarts))
}

// maxStartTimeout is the limit of startTimeout when answers are slow.
func (b Bounds) maxStartTimeout() time.Duration { return max(b.startTimeout(), b.Gang/(2*maxStarts)) }

// Options are the options of an Engine.
type Options struct {
	Epoch  uint64
	Bounds Bounds
	Policy Policy
	// Shard is the shard that the engine schedules, out of Shards; 0 of 1 if Shards is 0. With
	// several shards, the engine needs its shares of the accounts' caps (SetShares).
	Shard, Shards int
	// Claimed is when the claim of the epoch was sent to the store, in engine time: 0 or less.
	Claimed time.Duration
	// Today is the Unix time in milliseconds at the engine's time 0.
	Today int64
	// Decide is called with each decision that changes the engine's state; may be nil.
	Decide func(Decision)
	// Violation is called for each broken invariant; may be nil.
	Violation func(what string, task work.TaskID, worker runner.WorkerID)
	// Ran is called with the predicted and the actual run time of a run that was done, apart
	// from members of gangs and runs from a checkpoint; may be nil.
	Ran func(queue string, predicted, took time.Duration)
	// Took is called with the time from a job's acceptance to the end of a span; may be nil.
	Took func(what Span, queue, account string, d time.Duration)
}

// Span names a measured part of the time from the acceptance of a job to its end.
type Span string

// Spans, each measured from the acceptance of the job.
const (
	SpanStart    Span = "first_start"
	SpanComplete Span = "completed"
)

// Decision is one decision for the log.
type Decision struct {
	What   string
	Task   work.TaskID
	Run    uint64
	Worker runner.WorkerID
	Why    string
	Age    time.Duration // of the run or worker concerned, where it matters
	waits  *waits        // of a job that has ended
}

// Effect is a call that the engine wants made. The outcome of each comes back as an event.
type Effect interface{ effect() }

// SendStart asks for Runner.Start; the outcome goes to Started.
type SendStart struct {
	To    runner.Ref
	Start runner.Start
	// Before is the engine time after which the order must not be sent: its task may have been done
	// elsewhere by then, and the next incarnation of the worker may carry it out.
	Before time.Duration
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
	// AcknowledgeUntil is the engine time after which Renewal.Acknowledge must not be sent, since
	// another incarnation may answer by then.
	AcknowledgeUntil time.Duration
}

// SendCommit asks to write to the store on one of the term's write streams; Committed is
// called once the write is stored.
type SendCommit struct {
	Stream  int
	Writes  []store.Write
	Deletes []string
}

// SendConfirm asks to read the term's claim from the store; the outcome goes to Confirmed.
type SendConfirm struct{}

// LookUpWorker asks whether a worker that has ended, or an incarnation after it, is there: whether the directory
// has an entry under its name, and whether anyone answers for it at its address. The outcome goes to LookedUp.
type LookUpWorker struct{ Ref runner.Ref }

// AskAdvice asks for the advice service to be called through a member; the outcome goes to
// Advised.
type AskAdvice struct {
	Member  string
	Step    work.TaskID // Index is not used
	Workers []runner.WorkerID
	Timeout time.Duration
}

func (SendStart) effect()    {}
func (SendStop) effect()     {}
func (SendRenew) effect()    {}
func (SendCommit) effect()   {}
func (SendConfirm) effect()  {}
func (LookUpWorker) effect() {}
func (AskAdvice) effect()    {}

// Keys in the store.
const (
	// PrefixJobs holds what accepting daemons write.
	PrefixJobs   = "job/"
	prefixIn     = "job/in/"
	prefixCancel = "job/cancel/"
	// prefixSpec holds the specs of accepted jobs, separate from the jobs.
	prefixSpec = "spec/"
	// PrefixState holds the progress that the leader writes, a key for each job.
	PrefixState = "state/"
	// PrefixBatches holds batches: values with the progress of many jobs.
	PrefixBatches = "bundle/"
	// prefixFleet holds the list of workers that the leader uses and the list of those that
	// are cordoned.
	prefixFleet = "fleet"
	keyFleet    = prefixFleet
	keyCordoned = "fleet/closed"
	// keyOpen has the start orders that may still be carried out.
	keyOpen = "fleet/open"
	// keyUnread has the completions of jobs that the leader's version cannot decode.
	keyUnread = "fleet/unread"
)

// KeySubmission returns the key of an accepted job.
func KeySubmission(id work.JobID) string { return prefixIn + string(id) }

// KeySpec returns the key of an accepted job's spec.
//
// Specs have some KB, and dozens of jobs are submitted per second. If they were stored with
// the jobs, the leader's watch and each takeover would read all of them, which overloads a
// leader with a slow link; workers get specs from the daemons that accepted the jobs.
func KeySpec(id work.JobID) string { return prefixSpec + string(id) }

// KeyCancel returns the key of a job's cancellation. Its value is CancelJob or CancelAbsent.
func KeyCancel(id work.JobID) string { return prefixCancel + string(id) }

// Values of a cancellation: of a job whose submission was in the store, and of an id that had no
// job. The latter is written together with work.Refused as the state, so that a leader learns of the
// state and removes both.
var (
	CancelJob    = []byte{1}
	CancelAbsent = []byte{2}
)

// KeyState returns the key of a job's progress.
func KeyState(id work.JobID) string { return PrefixState + string(id) }

// IsStateKey reports whether a key is one that KeyState returns, also with the prefix of another
// shard.
func IsStateKey(key string) bool { return strings.Contains(key, PrefixState) }

func jobOfState(key string) work.JobID { return work.JobID(strings.TrimPrefix(key, PrefixState)) }
