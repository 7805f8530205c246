// Package runner reaches workers that compare epochs: a worker keeps the
// highest epoch it was called with and does nothing for a lower one. Everything
// that runs on a worker ends when its lease, measured on the worker's own
// clock, lapses.
//
// Guarantees of implementations: a method returns an error that matches
// ErrNotRun only when the worker certainly did nothing and will do nothing for
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

// WorkerID names one life of a worker; a restarted worker has another. Where workers
// begin another life under the name that they had, it is that of LifeID.
type WorkerID string

// LifeID returns the id of a life that began at some time, in milliseconds since 1970; 0
// where names are not used again.
func LifeID(name string, born int64) WorkerID {
	if born == 0 {
		return WorkerID(name)
	}
	return WorkerID(name + lifeMark + strconv.FormatInt(born, 10))
}

// lifeMark stands between a worker's name and its birth.
const lifeMark = "@"

// Life returns the worker's name, and when the life began, 0 if the id does not tell.
func (id WorkerID) Life() (name string, born int64) {
	name, text, found := strings.Cut(string(id), lifeMark)
	if !found {
		return string(id), 0
	}
	born, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return string(id), 0
	}
	return name, born
}

// Name returns the worker's name, which its lives share.
func (id WorkerID) Name() string {
	name, _ := id.Life()
	return name
}

// Ref is where a life of a worker is reached.
type Ref struct {
	ID      WorkerID `cbor:"1,keyasint"`
	Address string   `cbor:"2,keyasint"`
}

// Worker is a worker as it reports itself.
type Worker struct {
	Ref
	Service  string
	Zone     string
	Capacity work.Resources
	Labels   []string
	Draining bool
}

// Errors of calls. Test with errors.Is.
var (
	ErrNotRun  = errors.New("runner: the worker did nothing")
	ErrUnknown = errors.New("runner: no answer, the worker may have acted")
	// ErrFenced: a higher epoch has called the worker. Matches ErrNotRun.
	ErrFenced = notRun("a higher epoch has called the worker")
	// ErrGone: the address belongs to another life of the worker; this one has
	// ended, with everything that ran on it. Matches ErrNotRun.
	ErrGone = notRun("the worker's life has ended")
	// ErrOld: the run, or a higher one, was stopped or has ended there.
	ErrOld = notRun("the run is not higher than one that ended there")
	// ErrLate: the lease that the start brought had already lapsed.
	ErrLate = notRun("the lease had lapsed at arrival")
	// ErrNoRoom: the worker guards its capacity and has none left.
	ErrNoRoom = notRun("no room")
	// ErrTicket: the ticket is missing, not of this step, or has expired.
	ErrTicket = notRun("ticket not valid")
	// ErrUnhealthy: the worker takes no orders now.
	ErrUnhealthy = notRun("the worker is not healthy")
	// ErrNoConnection: the worker could not be connected to.
	ErrNoConnection = notRun("no connection")
	// ErrBadOrder: the worker does not accept the order's form.
	ErrBadOrder = notRun("the worker does not accept the order")
)

// OtherLife is the error of a renewal that another life under the worker's name has
// answered: it has been renewed, and said what it holds. Matches ErrGone.
type OtherLife struct {
	ID     WorkerID // that answered
	Report Report
}

// Error implements error.
func (o *OtherLife) Error() string {
	return fmt.Sprintf("runner: %s answers, with %d runs and %d ends", o.ID, len(o.Report.Running), len(o.Report.Ended))
}

// Is makes it match ErrGone, and what that matches.
func (o *OtherLife) Is(target error) bool { return target == ErrGone || errors.Is(ErrGone, target) }

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
	Spec       string // "" may stand for one that is to be asked for at Home
	Home       string // the daemon that keeps the job's spec; "" for none
	Checkpoint string // "" for none
	Ticket     string // "" for none
	Epoch      uint64
	// Until is when the worker's lease lapses unless it is renewed, on the
	// worker's clock.
	Until time.Duration
}

// Renewal renews a worker's lease, acknowledges ends and asks what runs there.
type Renewal struct {
	Epoch uint64
	Until time.Duration // on the worker's clock; 0 renews nothing
	// Acknowledge lets the worker forget the ends up to this number.
	Acknowledge int64
	// Wait lets the answer wait for an end that is not acknowledged.
	Wait time.Duration
}

// How tells how a run ended.
type How uint8

// Ends of runs.
const (
	Done    How = iota
	Failed      // by its own fault or the worker's
	Stopped     // on order
	Lapsed      // the lease lapsed
	Broken      // another member of the gang ended
	Alone       // the other members of the gang did not start in time
)

// String returns the end's name.
func (h How) String() string {
	return [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone"}[h]
}

// Live is one run that a worker holds.
type Live struct {
	Task       work.TaskID
	Run        uint64
	Checkpoint string
	Percent    float64
}

// End is one run that has ended on a worker.
type End struct {
	Number     int64 // rising in each life of a worker, from 1 on
	Task       work.TaskID
	Run        uint64
	How        How
	Checkpoint string
}

// Report is a worker's answer to a Renewal.
type Report struct {
	Clock   time.Duration // the worker's clock at the answer
	Running []Live
	Ended   []End
}

// MaxEnds is how many ends a report holds at most.
const MaxEnds = 500

// Runner calls workers.
type Runner interface {
	// Start returns nil when the run is there. A later life under the same name may
	// carry the order out.
	Start(ctx context.Context, to Ref, s Start) (clock time.Duration, err error)
	// Stop returns nil when the run is being stopped, has ended, or will be
	// refused should it still arrive.
	Stop(ctx context.Context, to Ref, task work.TaskID, run, epoch uint64) error
	// Renew returns what the worker holds. The error is an *OtherLife if another life
	// under its name has answered.
	Renew(ctx context.Context, to Ref, r Renewal) (Report, error)
}

// Ticket lets a step's tasks start on a worker for a limited time.
type Ticket struct {
	Worker WorkerID `cbor:"1,keyasint"`
	Ticket string   `cbor:"2,keyasint"`
}

// ErrBusy is returned by an Adviser that has too many calls waiting.
var ErrBusy = errors.New("runner: the advice service is busy")

// Adviser knows which workers may run a step. Calls of one daemon are answered
// one after the other.
type Adviser interface {
	Advise(ctx context.Context, step string, workers []WorkerID) (good []Ticket, err error)
}
