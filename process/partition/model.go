package partition

import (
	"strconv"
	"time"

	"fennelshunt.example/fennelshunt/connection/vmlist"
	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/version/spec"
)

// phase is the state of a task as recorded by the owner of its partition.
type phase int

const (
	// waiting: accepted; not all of its preemption victims have stopped.
	waiting phase = iota
	// queued: capacity is reserved and the start has not been sent.
	queued
	// sent: the Start call is in flight.
	sent
	// unknown: the start may or may not have taken effect, or the task was
	// adopted and the worker has not reported on it since.
	unknown
	// running: the worker reports the task as running.
	running
	// ended: the task does not run; the worker keeps its result until it is
	// acknowledged.
	ended
)

// task is one attempt of a task on one worker of the partition.
type task struct {
	ref           worker.Ref
	holderName    string       // cached by holder
	start         worker.Start // for adopted tasks only partly filled in
	class         spec.Class
	team          string
	nonIdempotent bool
	shard         plan.Shard
	// jobUnknown is set while the configuration in force at this daemon is
	// older than the task's generation, limitsUnknown while the request and
	// connection limits of an adopted service instance are not known; see
	// resolveJob.
	jobUnknown, limitsUnknown bool

	phase      phase
	phaseSince time.Time // when phase was entered
	accepted   time.Time // zero: started by an earlier owner
	started    time.Time
	report     worker.Task // last report of the worker
	victims    map[worker.Ref]bool

	stopWanted       bool      // send a stop with the next heartbeat
	stopAt           time.Time // when the drain of a service instance ends; zero: no drain
	leaving          bool      // the endpoint takes no new requests
	checkpointWanted bool      // checkpoint instead of stop
	checkpointed     bool
	preempted        bool
	wantedLimit      int64 // wanted CPU limit in milli-CPU; 0: none
	appliedLimit     int64 // CPU limit in force
	acked            bool
	changed          uint64 // position of the last change, for State
	workerID         worker.ID
}

// holder returns the attempt's name in the ledger. The name includes the
// attempt number because two attempts of a task on one worker, although a
// fault, must both be counted by the ledger.
func (t *task) holder() string {
	if t.holderName == "" {
		t.holderName = t.ref.Task.String() + "#" + strconv.Itoa(t.ref.Attempt)
	}
	return t.holderName
}

// live reports whether the task may run now or later.
func (t *task) live() bool { return t.phase != ended }

// mayRun reports whether the worker may run the task now.
func (t *task) mayRun() bool { return t.phase == sent || t.phase == unknown || t.phase == running }

func (t *task) enter(p phase) {
	t.phase = p
	t.phaseSince = time.Now()
}

// node is the owner's record of one worker.
type node struct {
	id    worker.ID
	vm    vmlist.VM
	agent worker.Agent
	tasks map[worker.Ref]*task

	capacity   spec.Resources // see setCapacity
	reported   spec.Resources // capacity reported by the worker; zero: not reported yet
	lease      worker.LeaseID
	leases     map[worker.LeaseID]bool // every lease opened here in this epoch
	fenced     bool                    // leases of others revoked, tasks known, lease confirmed
	everFenced bool                    // fenced at least once in this epoch
	// accounted is set when the worker could not be fenced, but every task that
	// an earlier owner may have started there has stopped by now because its
	// lease expired.
	accounted bool
	renewOnly bool   // lease usable for heartbeats, not for starts
	seq       uint64 // of the last change received from the worker

	busy     bool // a call to the worker is in flight; never more than one
	nextSync time.Time
	nextTry  time.Time // earliest time of the next fencing attempt
	// addressDelay is the last delay of pollAddress; 0: no address is awaited.
	addressDelay time.Duration
	// lastFenceTry and unconfirmedFences space out the attempts to fence.
	lastFenceTry      time.Time
	unconfirmedFences int
	failures          int // consecutive failed calls
	// lastRenewal is the latest time at which a call of this owner may have
	// renewed the task leases, whether or not a reply was received.
	lastRenewal time.Time
	lastReply   time.Time // when the worker last answered
	unlisted    bool      // the VM left the VM list
	draining    bool

	acks      []worker.Ref
	health    health
	overshoot overshoot

	changed uint64 // position of the last change, for State
	told    string // reason against new tasks as of the last tick
	added   uint64 // position at which the worker was added
	ended   endedTasks
}

// endedTasks is a bounded log of the tasks that ended on a worker.
type endedTasks struct {
	list []endedTask
	// since is the position after which the list is complete.
	since uint64
}

type endedTask struct {
	ref worker.Ref
	at  uint64
}

// maxEndedTasks bounds the list; a reader whose position is older gets all
// tasks of the worker.
const maxEndedTasks = 512

func (d *endedTasks) add(ref worker.Ref, at uint64) {
	d.list = append(d.list, endedTask{ref, at})
	if len(d.list) > maxEndedTasks {
		half := len(d.list) / 2
		d.since = d.list[half-1].at
		d.list = append(d.list[:0], d.list[half:]...)
	}
}

// unusable returns why the worker accepts no new tasks now, or "".
func (n *node) unusable() string { return n.unusableFor("") }

// unusableFor returns why the worker accepts no new tasks of a gang, the name of its job.
func (n *node) unusableFor(gang string) string {
	switch {
	case n.unlisted:
		return "VM left the VM list"
	case n.draining:
		return "VM is leaving"
	case !n.fenced && !n.everFenced:
		return "not fenced yet after a takeover"
	case n.failures > 0:
		return "unreachable: heartbeats fail"
	case !n.fenced:
		return "lease is being renewed"
	}
	return n.health.reason(n, gang)
}

// probe returns a task that may run now or later and was accepted since the quarantine began, so
// that its end tells whether the worker still fails its tasks; nil if there is none. Tasks of the
// gang, a job, are passed over: all of them are one probe.
func (n *node) probe(gang string) *task {
	for _, t := range n.tasks {
		if t.live() && t.accepted.After(n.health.since) && (gang == "" || t.ref.Task.Job != gang) {
			return t
		}
	}
	return nil
}
