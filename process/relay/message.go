package relay

import (
	"errors"
	"time"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/version/work"
)

// MethodText asks the daemon that accepted a job for its spec.
const MethodText peer.Method = "relay.text"

// what an order asks for.
type what uint8

const (
	doStart what = iota
	doStop
	doRenew
)

// order is one call of a worker. Times are in milliseconds.
type order struct {
	_       struct{} `cbor:",toarray"`
	Seq     uint64   // numbers the leader's orders
	What    what
	Worker  runner.WorkerID
	Address string
	// Budget is how long the call may take.
	Budget int64
	Until  int64 // of a start and a renewal: the lease's end, on the worker's clock
	// Task and what follows are of starts and stops.
	Task       work.TaskID
	Run        uint64
	Checkpoint string
	Ticket     string
	Home       string // of a start: the daemon that keeps the job's spec
	// Acknowledge and Wait are of renewals.
	Acknowledge int64
	Wait        int64
}

// textRequest is the body of MethodText.
type textRequest struct {
	Job work.JobID `cbor:"1,keyasint"`
}

// textReply answers it.
type textReply struct {
	Spec  string `cbor:"1,keyasint"`
	Known bool   `cbor:"2,keyasint"`
}

// text is the spec of a job, which all its starts carry.
type text struct {
	_    struct{} `cbor:",toarray"`
	Job  work.JobID
	Spec string
}

// orders is a frame from the leader to a relay.
type orders struct {
	Epoch  uint64  `cbor:"1,keyasint"`
	Number uint64  `cbor:"2,keyasint"`           // of the frame on its connection
	Part   int     `cbor:"5,keyasint,omitempty"` // of the cell, whose epoch it is
	Texts  []text  `cbor:"3,keyasint,omitempty"`
	Orders []order `cbor:"4,keyasint"`
}

// live and end are rows of a report.
type live struct {
	_          struct{} `cbor:",toarray"`
	Task       work.TaskID
	Run        uint64
	Checkpoint string
	Percent    float32
}

type end struct {
	_          struct{} `cbor:",toarray"`
	Number     int64
	Task       work.TaskID
	Run        uint64
	How        runner.How
	Checkpoint string
}

// outcome is what came of an order.
type outcome struct {
	_       struct{} `cbor:",toarray"`
	Seq     uint64
	Code    code
	Problem string        // more on the error, for the log
	Clock   time.Duration // the worker's, at its answer
	Running []live
	Ended   []end

	// life has answered in place of the worker's that was asked, which is gone; "" if
	// none. In the frame it stands apart (told.Lives), where earlier versions do not look.
	life runner.WorkerID
}

// told is a frame from a relay to the leader.
type told struct {
	// Taken is the number of the frame of orders that this one answers, 0 for none.
	Taken uint64 `cbor:"1,keyasint,omitempty"`
	// Epoch is the highest that the relay has seen; orders of a lower one were
	// refused.
	Epoch    uint64    `cbor:"2,keyasint"`
	Outcomes []outcome `cbor:"3,keyasint,omitempty"`
	// Lives have answered in place of those that orders asked, by the order's number.
	Lives map[uint64]runner.WorkerID `cbor:"4,keyasint,omitempty"`
}

// tellLives lists the lives that the outcomes tell of.
func (t *told) tellLives() {
	for i := range t.Outcomes {
		if x := &t.Outcomes[i]; x.life != "" {
			if t.Lives == nil {
				t.Lives = map[uint64]runner.WorkerID{}
			}
			t.Lives[x.Seq] = x.life
		}
	}
}

// takeLives puts the lives that are listed into the outcomes.
func (t *told) takeLives() {
	for i := range t.Outcomes {
		t.Outcomes[i].life = t.Lives[t.Outcomes[i].Seq]
	}
}

// code names an error of a call.
type code uint8

const (
	codeDone code = iota
	codeUnknown
	codeFenced
	codeGone
	codeOld
	codeLate
	codeNoRoom
	codeTicket
	codeUnhealthy
	codeNoConnection
	codeBadOrder
	// codeNoText: the relay could not get the job's spec, and called nobody.
	codeNoText
	// codeTextLate: the spec was still on its way when the order's time was over, and
	// nobody was called.
	codeTextLate
	// codeLost is not sent: the relay did not answer.
	codeLost
)

// errNoText: the relay does not know the spec of the order's job.
var errNoText = errors.New("relay: the job's spec is not known there")

// errTextLate: the spec did not reach the relay in the order's time. It comes for the
// next try.
var errTextLate = errors.New("relay: the job's spec has not come yet")

// codeErrors pairs codes with the errors of package runner.
var codeErrors = map[code]error{
	codeUnknown: runner.ErrUnknown, codeFenced: runner.ErrFenced, codeGone: runner.ErrGone, codeOld: runner.ErrOld,
	codeLate: runner.ErrLate, codeNoRoom: runner.ErrNoRoom, codeTicket: runner.ErrTicket, codeUnhealthy: runner.ErrUnhealthy,
	codeNoConnection: runner.ErrNoConnection, codeBadOrder: runner.ErrBadOrder, codeNoText: errNoText, codeTextLate: errTextLate, codeLost: errLost,
}

// codeOf returns the code of an error; one that is not known leaves the outcome
// open.
func codeOf(err error) code {
	if err == nil {
		return codeDone
	}
	for c, known := range codeErrors {
		if errors.Is(err, known) {
			return c
		}
	}
	return codeUnknown
}

// remoteError is an error that a worker's call had at a relay.
type remoteError struct {
	kind    error
	problem string
}

// Error implements error.
func (e *remoteError) Error() string { return e.kind.Error() + ": " + e.problem }

// Unwrap makes the kind visible to errors.Is.
func (e *remoteError) Unwrap() error { return e.kind }

// err returns the outcome's error.
func (o *outcome) err() error {
	switch {
	case o.Code == codeDone:
		return nil
	case o.Code == codeGone && o.life != "":
		return &runner.OtherLife{ID: o.life, Report: o.report()}
	}
	kind, known := codeErrors[o.Code]
	if !known { // of a later version
		kind = runner.ErrUnknown
	}
	if o.Problem == "" {
		return kind
	}
	return &remoteError{kind, o.Problem}
}

// report returns the worker's report.
func (o *outcome) report() runner.Report {
	r := runner.Report{Clock: o.Clock, Running: make([]runner.Live, len(o.Running)), Ended: make([]runner.End, len(o.Ended))}
	for i := range o.Running {
		x := &o.Running[i]
		r.Running[i] = runner.Live{Task: x.Task, Run: x.Run, Checkpoint: x.Checkpoint, Percent: float64(x.Percent)}
	}
	for i := range o.Ended {
		x := &o.Ended[i]
		r.Ended[i] = runner.End{Number: x.Number, Task: x.Task, Run: x.Run, How: x.How, Checkpoint: x.Checkpoint}
	}
	return r
}

// setReport puts a worker's report into the outcome.
func (o *outcome) setReport(r runner.Report) {
	o.Clock, o.Running, o.Ended = r.Clock, make([]live, len(r.Running)), make([]end, len(r.Ended))
	for i := range r.Running {
		x := &r.Running[i]
		o.Running[i] = live{Task: x.Task, Run: x.Run, Checkpoint: x.Checkpoint, Percent: float32(x.Percent)}
	}
	for i := range r.Ended {
		x := &r.Ended[i]
		o.Ended[i] = end{Number: x.Number, Task: x.Task, Run: x.Run, How: x.How, Checkpoint: x.Checkpoint}
	}
}
