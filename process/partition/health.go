package partition

import (
	"fmt"
	"time"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/version/spec"
)

const (
	// failureWindow is how long a failure counts as evidence.
	failureWindow = 2 * time.Minute
	// quarantineAfterJobs is how many different jobs must have failed on a
	// worker, with no success between, before it is quarantined.
	quarantineAfterJobs = 3
	// jobFailsEverywhere is on how many workers a job must have failed before
	// its failures no longer count as evidence against a worker.
	jobFailsEverywhere = 3
	minQuarantine      = 30 * time.Second
	// provenAfter is how long a probe runs until it counts as a success: services never
	// succeed, and some batch tasks only after hours.
	provenAfter   = minQuarantine
	maxQuarantine = 10 * time.Minute
	// maxQuarantinedShare bounds the share of a partition's workers that are
	// quarantined: a misleading signal must not empty the partition.
	maxQuarantinedShare = 0.5
)

// health is the evidence against a worker.
type health struct {
	failures    map[string]time.Time // job -> last failure since the last success
	quarantined bool
	since       time.Time // begin of the quarantine
	until       time.Time // end of the quarantine; then probation, one probe task at a time
	duration    time.Duration
}

// reason returns why the worker accepts no new tasks, or none of a gang, or "". After its
// quarantine a worker is on probation: it gets one new task at a time until one
// succeeds, or has run for provenAfter.
func (h *health) reason(n *node, gang string) string {
	if !h.quarantined {
		return ""
	}
	if time.Now().Before(h.until) {
		return fmt.Sprintf("set aside: tasks of %d different jobs failed in a row", quarantineAfterJobs)
	}
	if n.probe(gang) != nil {
		return "set aside: a probe task runs"
	}
	return ""
}

// jobFailures records, by job, on which workers it failed within failureWindow.
type jobFailures map[string]map[worker.ID]time.Time

func (j jobFailures) record(job string, id worker.ID, now time.Time) {
	at := j[job]
	if at == nil {
		at = make(map[worker.ID]time.Time)
		j[job] = at
	}
	at[id] = now
	for other, when := range at {
		if now.Sub(when) > failureWindow {
			delete(at, other)
		}
	}
}

// failsEverywhere reports whether the job has failed on so many workers that the
// job is at fault and not the workers.
func (j jobFailures) failsEverywhere(job string) bool { return len(j[job]) >= jobFailsEverywhere }

func (j jobFailures) expire(now time.Time) {
	for job, at := range j {
		for id, when := range at {
			if now.Sub(when) > failureWindow {
				delete(at, id)
			}
		}
		if len(at) == 0 {
			delete(j, job)
		}
	}
}

func (o *owner) recordFailure(n *node, job string) {
	now := time.Now()
	o.jobFailures.record(job, n.id, now)
	if n.health.quarantined && !now.Before(n.health.until) {
		o.quarantine(n, now) // the probe failed
		return
	}
	if n.health.failures == nil {
		n.health.failures = make(map[string]time.Time)
	}
	n.health.failures[job] = now
	evidence := 0
	for name, at := range n.health.failures {
		switch {
		case now.Sub(at) > failureWindow:
			delete(n.health.failures, name)
		case !o.jobFailures.failsEverywhere(name):
			evidence++
		}
	}
	if evidence >= quarantineAfterJobs && !n.health.quarantined && o.mayQuarantine() {
		o.quarantine(n, now)
	}
}

func (o *owner) mayQuarantine() bool {
	quarantined := 0
	for _, n := range o.nodes {
		if n.health.quarantined {
			quarantined++
		}
	}
	return float64(quarantined+1) <= maxQuarantinedShare*float64(len(o.nodes))
}

func (o *owner) quarantine(n *node, now time.Time) {
	h := &n.health
	h.quarantined, h.since = true, now
	h.duration = min(max(2*h.duration, minQuarantine), maxQuarantine)
	h.until = now.Add(h.duration)
	clear(h.failures)
	o.h.o.Metrics.SetAside.Add(1)
	o.log.Warn().Str("worker", string(n.id)).Dur("for", h.duration).Msg("worker quarantined")
	o.markChanged(n)
}

// checkProbe ends the probation of a worker whose probe has run for long enough.
func (o *owner) checkProbe(n *node, now time.Time) {
	if !n.health.quarantined {
		return
	}
	if t := n.probe(""); t != nil && t.phase == running && now.Sub(t.started) >= provenAfter {
		o.log.Info().Str("worker", string(n.id)).Stringer("task", t.ref.Task).Msg("probation ends: a task runs well")
		o.recordSuccess(n)
	}
}

func (o *owner) recordSuccess(n *node) {
	clear(n.health.failures)
	if n.health.quarantined {
		n.health.quarantined = false
		n.health.duration = 0
		o.markChanged(n)
	}
}

// overshoot is the state of a worker whose tasks may use more than its capacity.
type overshoot struct {
	usage      spec.Resources // sum over the running tasks, as last reported
	nextAction time.Time      // earliest time of the next countermeasure
	lowSince   time.Time      // since when usage has been below relaxShare of the capacity
}

const (
	// overshootInterval is the time between two countermeasures: reported usage
	// lags, and must show the effect of one before the next is taken.
	overshootInterval = 5 * time.Second
	// relaxAfter is how long usage must stay below relaxShare of the capacity
	// before a limit is lifted.
	relaxAfter = 30 * time.Second
	relaxShare = 0.8
)

// refuses returns why a task of that size is refused although it fits the
// ledger, or "": the running tasks may use more than they declared.
func (u *overshoot) refuses(n *node, size spec.Resources) string {
	if u.usage.IsZero() {
		return ""
	}
	after := u.usage.Add(size)
	if u.usage.MilliCPU > n.capacity.MilliCPU || after.MemoryMB > n.capacity.MemoryMB {
		return fmt.Sprintf("real usage is %+v of %+v", u.usage, n.capacity)
	}
	return ""
}

// checkOvershoot compares the reported usage with the capacity and acts on an
// excess: throttle first, then checkpoint, then stop, the lowest class first and
// only tasks that exceed their declared size.
func (o *owner) checkOvershoot(n *node, now time.Time) {
	var usage spec.Resources
	for _, t := range n.tasks {
		if t.phase == running {
			usage = usage.Add(t.report.Usage)
		}
	}
	n.overshoot.usage = usage
	over := usage.Sub(n.capacity)
	if over.MilliCPU <= 0 && over.MemoryMB <= 0 {
		o.relaxThrottles(n, now)
		return
	}
	n.overshoot.lowSince = time.Time{}
	if now.Before(n.overshoot.nextAction) {
		return
	}
	n.overshoot.nextAction = now.Add(overshootInterval)
	o.h.o.Metrics.Overshoots.Add(1)
	o.markDirty(n)
	if over.MemoryMB <= 0 && o.throttleWorst(n, over.MilliCPU) {
		return
	}
	o.evictWorst(n, over)
}

// throttleWorst limits tasks to their declared CPU until that covers the
// overshoot. It returns false if there is no task left to limit.
func (o *owner) throttleWorst(n *node, over int64) bool {
	acted := false
	for over > 0 {
		t := worst(n, func(t *task) int64 {
			if t.wantedLimit != 0 || t.start.Size.MilliCPU == 0 {
				return 0
			}
			return t.report.Usage.MilliCPU - t.start.Size.MilliCPU
		})
		if t == nil {
			return acted
		}
		t.wantedLimit = t.start.Size.MilliCPU
		over -= t.report.Usage.MilliCPU - t.start.Size.MilliCPU
		acted = true
	}
	return acted
}

// evictWorst drains, checkpoints or stops one task.
func (o *owner) evictWorst(n *node, over spec.Resources) {
	t := worst(n, func(t *task) int64 {
		if t.checkpointWanted || t.stopWanted || !t.stopAt.IsZero() {
			return 0
		}
		if over.MemoryMB > 0 {
			return t.report.Usage.MemoryMB - t.start.Size.MemoryMB
		}
		return t.report.Usage.MilliCPU - t.start.Size.MilliCPU
	})
	switch {
	case t == nil:
	case t.start.Kind == spec.Service:
		o.drainEndpoint(t, o.t.PreemptDrain)
	case t.nonIdempotent:
		t.stopWanted = true
	default:
		t.checkpointWanted = true // a failed checkpoint becomes a stop
	}
}

// worst returns the running task of the lowest class with the largest excess,
// or nil when no task has any.
func worst(n *node, excess func(*task) int64) *task {
	var found *task
	var most int64
	for _, t := range n.tasks {
		if t.phase != running {
			continue
		}
		e := excess(t)
		if e <= 0 {
			continue
		}
		if found == nil || t.class.Rank() < found.class.Rank() || (t.class.Rank() == found.class.Rank() && e > most) {
			found, most = t, e
		}
	}
	return found
}

// relaxThrottles lifts one limit after usage has been low for relaxAfter.
func (o *owner) relaxThrottles(n *node, now time.Time) {
	if float64(n.overshoot.usage.MilliCPU) > relaxShare*float64(n.capacity.MilliCPU) {
		n.overshoot.lowSince = time.Time{}
		return
	}
	if n.overshoot.lowSince.IsZero() {
		n.overshoot.lowSince = now
	}
	if now.Sub(n.overshoot.lowSince) < relaxAfter {
		return
	}
	n.overshoot.lowSince = now
	for _, t := range n.tasks {
		if t.wantedLimit != 0 {
			t.wantedLimit = 0 // one at a time: together they may overshoot again
			o.markDirty(n)
			return
		}
	}
}
