package partition

import (
	"strconv"
	"time"

	"fennelshunt.example/fennelshunt/connection/vmlist"
	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/version/spec"
)

// phase is where a task is in its life, as its owner knows it.
type phase int

const (
	// waiting: accepted; its victims have not all stopped yet.
	waiting phase = iota
	// queued: reserved, the start is not sent yet.
	queued
	// sent: the start is under way.
	sent
	// unknown: the start may or may not have taken effect.
	unknown
	// running: the worker reports it.
	running
	// ended: its result is held by the worker until acknowledged.
	ended
)

// task is one attempt of a task at one worker of the partition.
type task struct {
	ref           worker.Ref
	holderName    string       // see holder
	start         worker.Start // also set for adopted tasks, as far as known
	class         spec.Class
	team          string
	nonIdempotent bool
	shard         plan.Shard
	// undescribed is set while the configuration here is older than the task,
	// limitless while nobody knows how much an adopted instance takes; see
	// describe.
	jobUnknown, limitsUnknown bool

	phase   phase
	since   time.Time // of the phase
	started time.Time
	report  worker.Task // the worker's last report
	victims map[worker.Ref]bool

	stopWanted       bool      // the stop is sent with the next heartbeat
	stopAt           time.Time // end of the drain of a service instance; zero: none
	leaving          bool      // the endpoint takes no new requests
	checkpointWanted bool      // checkpoint instead of stop
	checkpointed     bool
	preempted        bool
	wantedLimit      int64 // wanted limit; 0: none
	appliedLimit     int64 // limit in force
	acked            bool
	changed          uint64 // position of the last change, for State
	workerID         worker.ID
}

// holder names the attempt in the ledger. Two attempts of a task at one worker,
// which must not be and which the ledger must still count, are two holders.
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
	t.since = time.Now()
}

// node is the owner's knowledge of one worker.
type node struct {
	id    worker.ID
	vm    vmlist.VM
	agent worker.Agent
	tasks map[worker.Ref]*task

	capacity   spec.Resources // see setCapacity
	reported   spec.Resources // what the worker tells; zero: nothing yet
	lease      worker.LeaseID
	leases     map[worker.LeaseID]bool // every lease opened here in this epoch
	fenced     bool                    // leases of others revoked, tasks known, lease confirmed
	everFenced bool                    // fenced at least once in this epoch
	// accounted is set when the worker could not be fenced but nothing that an
	// earlier owner started can run there any more.
	accounted bool
	renewOnly bool // lease usable for heartbeats, not for starts
	seq       uint64

	busy     bool // a call is under way; there is never more than one
	nextSync time.Time
	nextTry  time.Time // of a fence
	// addressWait is the last wait of askAddress; 0 when nothing is asked.
	addressDelay time.Duration
	// lastFence and unconfirmed space out tries to fence.
	lastFenceTry      time.Time
	unconfirmedFences int
	failures          int // calls that failed in a row
	// renewed is the latest time at which a call of ours may have renewed
	// tasks, whether or not its answer came.
	lastRenewal time.Time
	lastReply   time.Time // when it last answered
	unlisted    bool      // left the VM list
	draining    bool

	acks      []worker.Ref
	health    health
	overshoot overshoot

	changed uint64 // position of the last change, for State
	added   uint64 // position at which the worker was entered
	ended   endedTasks
}

// departures remembers the tasks that left a worker lately.
type endedTasks struct {
	list []endedTask
	// since is the position from which on the list is complete.
	since uint64
}

type endedTask struct {
	ref worker.Ref
	at  uint64
}

// maxDepartures bounds the list; a reader further behind gets all tasks.
const maxEndedTasks = 512

func (d *endedTasks) add(ref worker.Ref, at uint64) {
	d.list = append(d.list, endedTask{ref, at})
	if len(d.list) > maxEndedTasks {
		half := len(d.list) / 2
		d.since = d.list[half-1].at
		d.list = append(d.list[:0], d.list[half:]...)
	}
}

// unusable returns why the worker takes no new tasks now, or "".
func (n *node) unusable() string {
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
	return n.health.reason(n)
}

// running counts the tasks that may run.
func (n *node) live() int {
	count := 0
	for _, t := range n.tasks {
		if t.live() {
			count++
		}
	}
	return count
}
