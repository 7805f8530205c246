// Package runner defines the interface to workers that compare epochs: a worker
// records the highest epoch it was called with and rejects calls with a lower
// one. Every run on a worker ends when the worker's lease, measured on the
// worker's own clock, expires.
//
// Guarantees of implementations: a method returns an error that matches
// ErrNotRun only if the worker certainly did nothing and will do nothing for
// this call; ErrUnknown means that it may have acted, or may act seconds later.
package runner

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"fennelshunt.example/fennelshunt/version/work"
)

// WorkerID identifies one incarnation of a worker; a restarted worker has another id.
// Where workers restart under the same name, the id is the one that IncarnationID returns.
type WorkerID string

// IncarnationID returns the id of the incarnation that started at the given time, in
// milliseconds since 1970. The time is 0 where worker names are not reused.
func IncarnationID(name string, started int64) WorkerID {
	if started == 0 {
		return WorkerID(name)
	}
	return WorkerID(name + startSeparator + strconv.FormatInt(started, 10))
}

// startSeparator stands between a worker's name and the start time of the incarnation.
const startSeparator = "@"

// Incarnation returns the worker's name and the start time of the incarnation, in milliseconds
// since 1970; 0 if the id has no start time.
func (id WorkerID) Incarnation() (name string, started int64) {
	name, text, found := strings.Cut(string(id), startSeparator)
	if !found {
		return string(id), 0
	}
	started, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return string(id), 0
	}
	return name, started
}

// Name returns the worker's name, which all its incarnations share.
func (id WorkerID) Name() string {
	name, _ := id.Incarnation()
	return name
}

// Ref is the id and address of an incarnation of a worker.
type Ref struct {
	ID      WorkerID `cbor:"1,keyasint"`
	Address string   `cbor:"2,keyasint"`
}

// Worker is a worker as it registered itself.
type Worker struct {
	Ref
	Service  string
	Zone     string
	Capacity work.Resources
	Labels   []string
	Draining bool
	// Notice is a draining worker's notice of when it leaves.
	Notice Notice
}

// Notice is a draining worker's notice of when it leaves.
type Notice struct {
	Known bool // the worker has given a time
	// Remaining is the least time that was left when the worker wrote its entry.
	Remaining time.Duration
	// Clock is the worker's clock, as in Report, when it wrote its entry; 0 if the entry has none. The
	// worker leaves when its clock shows Clock + Remaining, or later.
	Clock time.Duration
}

// Errors of calls. Test with errors.Is. A daemon that relays orders sends their texts to
// the leader.
var (
	ErrNotRun  = errors.New("runner: the worker did nothing")
	ErrUnknown = errors.New("runner: no answer, the worker may have acted")
	// ErrMayBeSent comes with ErrUnknown: the order may not have been sent yet, and may be at any later time.
	ErrMayBeSent = errors.New("runner: a relay may still send the order")
	// ErrCopyOpen means that the worker has answered the order, while another copy of it may still be carried out, also
	// by the worker's next incarnation. It comes alone if the answer was that the order is carried out, else with the
	// refusal.
	ErrCopyOpen = errors.New("runner: another copy of the order may still be carried out")
	// ErrFenced means that the worker was called with a higher epoch. Matches ErrNotRun.
	ErrFenced = notRun("a higher epoch has called the worker")
	// ErrRestarted means that the address belongs to another incarnation of the worker;
	// this one has ended, and so have all its runs. Matches ErrNotRun.
	ErrRestarted = notRun("the worker's life has ended")
	// ErrStaleRun means that this run of the task, or one with a higher number, was stopped
	// or has ended on the worker.
	ErrStaleRun = notRun("the run is not higher than one that ended there")
	// ErrLeaseExpired means that the lease in the start order had expired on arrival.
	ErrLeaseExpired = notRun("the lease had lapsed at arrival")
	// ErrNoCapacity means that the worker enforces its capacity and has too little left.
	ErrNoCapacity = notRun("no room")
	// ErrInvalidTicket means that the ticket is missing, has expired or belongs to another step.
	ErrInvalidTicket = notRun("ticket not valid")
	// ErrUnhealthy means that the worker accepts no orders now.
	ErrUnhealthy = notRun("the worker is not healthy")
	// ErrNoConnection means that no connection to the worker could be made.
	ErrNoConnection = notRun("no connection")
	// ErrBadOrder means that the worker rejected the order as malformed.
	ErrBadOrder = notRun("the worker does not accept the order")
)

// IncarnationError is the error of a renewal that another incarnation under the worker's name
// has answered: the lease of that incarnation was renewed, and Report is its answer. Matches
// ErrRestarted.
type IncarnationError struct {
	ID     WorkerID // the incarnation that answered
	Report Report
}

// Error implements error.
func (e *IncarnationError) Error() string {
	return fmt.Sprintf("runner: %s answers, with %d runs and %d ends", e.ID, len(e.Report.Running), len(e.Report.Ended))
}

// Is makes it match ErrRestarted and the errors that ErrRestarted matches.
func (e *IncarnationError) Is(t error) bool { return t == ErrRestarted || errors.Is(ErrRestarted, t) }

type notRunError struct{ text string }

func notRun(text string) error { return &notRunError{text} }

// Error implements error.
func (e *notRunError) Error() string { return "runner: " + e.text }

// Is makes every refusal match ErrNotRun.
func (e *notRunError) Is(target error) bool { return target == ErrNotRun }

// Start orders a worker to start a task.
type Start struct {
	Task       work.TaskID
	Run        uint64
	Spec       string // "" if it is to be fetched from AcceptedBy
	AcceptedBy string // the daemon that accepted the job and has its spec; "" for none
	// SpecDigest is work.DigestOf the spec; 0 if that is not known.
	SpecDigest uint64
	Checkpoint string // "" for none
	Ticket     string // "" for none
	Epoch      uint64
	// Until is when the worker's lease expires unless renewed, on the worker's
	// clock.
	Until time.Duration
}

// Renewal renews a worker's lease, acknowledges completions and requests a Report.
type Renewal struct {
	Epoch uint64
	Until time.Duration // on the worker's clock; 0 renews nothing
	// Acknowledge lets the worker drop the completions up to this number.
	Acknowledge int64
	// Wait is how long the worker may delay its answer until there is a completion
	// that is not acknowledged.
	Wait time.Duration
}

// Outcome is the way in which a run ended.
type Outcome uint8

// Ways in which runs end.
const (
	Done           Outcome = iota
	Failed                 // by its own fault or the worker's
	Stopped                // by an order
	Expired                // the worker's lease expired
	GangBroken             // another member of the gang ended
	GangIncomplete         // the other members of the gang did not start in time
)

// String returns the name by which workers report it.
func (o Outcome) String() string {
	return [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone"}[o]
}

// ActiveRun is a run in progress on a worker.
type ActiveRun struct {
	Task       work.TaskID
	Run        uint64
	Checkpoint string
	Percent    float64 // progress, 0 to 100
}

// Completion is the completion report of a run on a worker.
type Completion struct {
	Number     int64 // increasing from 1 in each incarnation of a worker
	Task       work.TaskID
	Run        uint64
	Outcome    Outcome
	Checkpoint string
}

// Report is a worker's answer to a Renewal.
type Report struct {
	Clock   time.Duration // the worker's clock at the answer
	Running []ActiveRun
	Ended   []Completion
}

// MaxCompletions is the largest number of completions in one Report.
const MaxCompletions = 500

// Runner calls workers.
type Runner interface {
	// Start returns nil, or ErrCopyOpen alone, if the run is on the worker. A later incarnation under the same
	// name may carry out the order. clock is the worker's clock at its answer.
	Start(ctx context.Context, to Ref, s Start) (clock time.Duration, err error)
	// Stop returns nil if the run is being stopped, has ended, or will be
	// refused if its start order arrives later.
	Stop(ctx context.Context, to Ref, task work.TaskID, run, epoch uint64) error
	// Renew returns the runs and completions of the worker. The error is an *IncarnationError
	// if another incarnation under its name has answered.
	Renew(ctx context.Context, to Ref, r Renewal) (Report, error)
}

// Ticket lets a step's tasks start on a worker for a limited time.
type Ticket struct {
	Worker WorkerID `cbor:"1,keyasint"`
	Ticket string   `cbor:"2,keyasint"`
}

// ErrBusy is returned by an Adviser that has too many calls waiting.
var ErrBusy = errors.New("runner: the advice service is busy")

// Adviser calls the advice service, which says which workers may run a step. The
// service answers the calls of one daemon one at a time.
type Adviser interface {
	// Advise returns a ticket for each of the workers that may run the step, whose name is
	// that of work.TaskID.StepName. It may fail with ErrBusy.
	Advise(ctx context.Context, step string, workers []WorkerID) (good []Ticket, err error)
}
