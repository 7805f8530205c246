package relay

import (
	"errors"
	"time"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/version/work"
)

// MethodSpec asks the daemon that accepted a job for its spec.
const MethodSpec peer.Method = "relay.text"

// action is the call that an order requests.
type action uint8

const (
	doStart action = iota
	doStop
	doRenew
)

// order is one call to a worker. Times are in milliseconds.
type order struct {
	_       struct{} `cbor:",toarray"`
	Seq     uint64   // sequence number of the order at its leader
	Action  action
	Worker  runner.WorkerID
	Address string
	// Budget is how long the call may take.
	Budget int64
	Until  int64 // for starts and renewals: the end of the lease, on the worker's clock
	// Task and the following fields are for starts and stops.
	Task       work.TaskID
	Run        uint64
	Checkpoint string
	Ticket     string
	AcceptedBy string // for starts: the daemon that accepted the job and has its spec
	// Acknowledge and Wait are for renewals.
	Acknowledge int64
	Wait        int64
}

// specRequest is the body of MethodSpec.
type specRequest struct {
	Job work.JobID `cbor:"1,keyasint"`
	// Digest is that of the spec, 0 if it is not known.
	Digest uint64 `cbor:"2,keyasint,omitempty"`
}

// specReply is the response to MethodSpec.
type specReply struct {
	Spec  string `cbor:"1,keyasint"`
	Known bool   `cbor:"2,keyasint"`
}

// jobSpec is the spec of a job, which all starts of its tasks need.
type jobSpec struct {
	_    struct{} `cbor:",toarray"`
	Job  work.JobID
	Spec string
}

// orders is a frame from the leader to a relay.
type orders struct {
	Epoch  uint64    `cbor:"1,keyasint"`
	Number uint64    `cbor:"2,keyasint"`           // of the frame on its connection
	Shard  int       `cbor:"5,keyasint,omitempty"` // shard of the cell that Epoch belongs to
	Specs  []jobSpec `cbor:"3,keyasint,omitempty"`
	Orders []order   `cbor:"4,keyasint"`
	// Digests are those of the specs of the orders' jobs, as far as they are known.
	Digests map[work.JobID]uint64 `cbor:"6,keyasint,omitempty"`
}

// runningRow and completionRow are the rows of a worker's report.
type runningRow struct {
	_          struct{} `cbor:",toarray"`
	Task       work.TaskID
	Run        uint64
	Checkpoint string
	Percent    float32
}

type completionRow struct {
	_          struct{} `cbor:",toarray"`
	Number     int64
	Task       work.TaskID
	Run        uint64
	Outcome    runner.Outcome
	Checkpoint string
}

// outcome is the result of an order.
type outcome struct {
	_       struct{} `cbor:",toarray"`
	Seq     uint64
	Code    code
	Problem string        // text of the error, for the log
	Clock   time.Duration // the worker's clock when it answered
	Running []runningRow
	Ended   []completionRow

	// incarnation is that which answered in place of the worker's incarnation that was
	// called, which has ended; "" if none. It is sent in a separate field of the frame
	// (relayFrame.Incarnations), which earlier versions ignore.
	incarnation runner.WorkerID
}

// relayFrame is a frame from a relay to the leader.
type relayFrame struct {
	// Accepted is the number of the accepted frame of orders that this one answers, 0 for
	// none.
	Accepted uint64 `cbor:"1,keyasint,omitempty"`
	// Epoch is the highest that the relay has seen; it refuses orders of a lower one.
	Epoch    uint64    `cbor:"2,keyasint"`
	Outcomes []outcome `cbor:"3,keyasint,omitempty"`
	// Incarnations are those that answered in place of the ones that were called, by the
	// order's sequence number.
	Incarnations map[uint64]runner.WorkerID `cbor:"4,keyasint,omitempty"`
}

// collectIncarnations fills Incarnations from the outcomes.
func (f *relayFrame) collectIncarnations() {
	for i := range f.Outcomes {
		if x := &f.Outcomes[i]; x.incarnation != "" {
			if f.Incarnations == nil {
				f.Incarnations = map[uint64]runner.WorkerID{}
			}
			f.Incarnations[x.Seq] = x.incarnation
		}
	}
}

// distributeIncarnations sets the incarnations of the outcomes from Incarnations.
func (f *relayFrame) distributeIncarnations() {
	for i := range f.Outcomes {
		f.Outcomes[i].incarnation = f.Incarnations[f.Outcomes[i].Seq]
	}
}

// code identifies the error of a call.
type code uint8

const (
	codeDone code = iota
	codeUnknown
	codeFenced
	codeRestarted
	codeStaleRun
	codeLeaseExpired
	codeNoCapacity
	codeInvalidTicket
	codeUnhealthy
	codeNoConnection
	codeBadOrder
	// codeNoSpec: the relay could not get the job's spec; the worker was not called.
	codeNoSpec
	// codeSpecLate: the spec did not arrive within the order's budget; the worker was not
	// called.
	codeSpecLate
	// codeLost is never sent; it stands for a relay that did not answer.
	codeLost
)

// errNoSpec means that the relay does not have the spec of the order's job.
var errNoSpec = errors.New("relay: the relay does not have the job's spec")

// errSpecLate means that the spec did not reach the relay within the order's budget. It
// arrives in time for the next try.
var errSpecLate = errors.New("relay: the job's spec has not come yet")

// codeErrors pairs codes with the errors of package runner.
var codeErrors = map[code]error{
	codeUnknown: runner.ErrUnknown, codeFenced: runner.ErrFenced, codeRestarted: runner.ErrRestarted, codeStaleRun: runner.ErrStaleRun,
	codeLeaseExpired: runner.ErrLeaseExpired, codeNoCapacity: runner.ErrNoCapacity, codeInvalidTicket: runner.ErrInvalidTicket, codeUnhealthy: runner.ErrUnhealthy,
	codeNoConnection: runner.ErrNoConnection, codeBadOrder: runner.ErrBadOrder, codeNoSpec: errNoSpec, codeSpecLate: errSpecLate, codeLost: errLost,
}

// codeOf returns the code of an error. Other errors become codeUnknown, an unknown
// outcome.
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

// remoteError is the error of a call to a worker that a relay made.
type remoteError struct {
	kind    error
	problem string
}

// Error implements error.
func (e *remoteError) Error() string { return e.kind.Error() + ": " + e.problem }

// Unwrap returns the kind, for errors.Is.
func (e *remoteError) Unwrap() error { return e.kind }

// err returns the outcome's error.
func (o *outcome) err() error {
	switch {
	case o.Code == codeDone:
		return nil
	case o.Code == codeRestarted && o.incarnation != "":
		return &runner.IncarnationError{ID: o.incarnation, Report: o.report()}
	}
	kind, known := codeErrors[o.Code]
	if !known { // code of a later version
		kind = runner.ErrUnknown
	}
	if o.Problem == "" {
		return kind
	}
	return &remoteError{kind, o.Problem}
}

// report returns the worker's report.
func (o *outcome) report() runner.Report {
	r := runner.Report{Clock: o.Clock, Running: make([]runner.ActiveRun, len(o.Running)), Ended: make([]runner.Completion, len(o.Ended))}
	for i := range o.Running {
		x := &o.Running[i]
		r.Running[i] = runner.ActiveRun{Task: x.Task, Run: x.Run, Checkpoint: x.Checkpoint, Percent: float64(x.Percent)}
	}
	for i := range o.Ended {
		x := &o.Ended[i]
		r.Ended[i] = runner.Completion{Number: x.Number, Task: x.Task, Run: x.Run, Outcome: x.Outcome, Checkpoint: x.Checkpoint}
	}
	return r
}

// setReport puts a worker's report into the outcome.
func (o *outcome) setReport(r runner.Report) {
	o.Clock, o.Running, o.Ended = r.Clock, make([]runningRow, len(r.Running)), make([]completionRow, len(r.Ended))
	for i := range r.Running {
		x := &r.Running[i]
		o.Running[i] = runningRow{Task: x.Task, Run: x.Run, Checkpoint: x.Checkpoint, Percent: float32(x.Percent)}
	}
	for i := range r.Ended {
		x := &r.Ended[i]
		o.Ended[i] = completionRow{Number: x.Number, Task: x.Task, Run: x.Run, Outcome: x.Outcome, Checkpoint: x.Checkpoint}
	}
}
