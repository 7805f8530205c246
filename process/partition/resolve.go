package partition

import (
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/version/spec"
)

// unknownShard is the shard of an adopted task whose job is declared by a later
// configuration than the one in force at this daemon. Its events are kept until
// that configuration is in force: the owner of another shard would stop the
// task, and the owner of its shard would not receive them.
const unknownShard plan.Shard = -1

// resolveJob fills in the attributes of an adopted task that the worker does
// not report.
func (o *owner) resolveJob(t *task, c *spec.Config) {
	id := t.ref.Task
	t.jobUnknown = id.Generation > c.Version
	t.shard = unknownShard
	if !t.jobUnknown {
		t.shard = o.h.o.ShardOf(id.Job)
	}
	job := c.Jobs[id.Job]
	if job == nil {
		t.class, t.start.Kind = spec.Normal, spec.Batch
		if t.report.Address != "" {
			t.start.Kind = spec.Service
		}
		// Until the job is known the task is neither stopped because its VM is
		// leaving nor preempted: it may be one that must not be started again.
		t.nonIdempotent = t.jobUnknown && t.start.Kind != spec.Service
	} else {
		t.class, t.team, t.nonIdempotent = job.EffectiveClass(), job.Team, job.NonIdempotent
		t.start.Kind, t.start.RunTime = job.Kind, job.RunTime
	}
	if t.start.Kind == spec.Service {
		o.resolveLimits(t, job)
	}
}

// resolveLimits sets the request and connection limits of an adopted service
// instance. Limits declared by another generation do not apply: they may exceed
// those that the instance was started with, and callers' requests would fail.
// Then the limits come from an earlier owner's memo; an instance whose limits
// are not known receives no new requests.
func (o *owner) resolveLimits(t *task, job *spec.VersionedJob) {
	t.start.Service = t.ref.Task.Job
	if job != nil && job.Service != nil && job.Generation == t.ref.Task.Generation {
		t.start.Slots, t.start.Conns = job.Service.Slots, job.Service.Connections
		t.limitsUnknown = false
		o.limits.record(t)
		return
	}
	l, known := o.limits.known[generationOf(t)]
	t.start.Slots, t.start.Conns, t.limitsUnknown = l.slots, l.conns, !known
}

// resolveUnknownJobs calls resolveJob again for tasks that were adopted before
// the configuration that declares them was in force at this daemon.
func (o *owner) resolveUnknownJobs() {
	c := o.h.o.Config.Current()
	if c.Version == o.resolvedVersion {
		return
	}
	o.resolvedVersion = c.Version
	for _, n := range o.nodes {
		for _, t := range n.tasks {
			if !t.jobUnknown {
				continue
			}
			shard := t.shard
			o.resolveJob(t, c)
			if shard != unknownShard {
				t.shard = shard // its owner fenced the partition meanwhile and listed the task
			}
			o.markTaskChanged(n, t)
			o.endpointsChanged(t)
		}
	}
	o.routeUnknownEvents(c)
}

// routeUnknownEvents moves the events of unknownShard to the outboxes of their
// shards, as far as those are known now.
func (o *owner) routeUnknownEvents(c *spec.Config) {
	box := o.outboxes[unknownShard]
	if box == nil {
		return
	}
	delete(o.outboxes, unknownShard)
	for _, e := range box.pending {
		shard := unknownShard
		if e.Task.Generation <= c.Version {
			shard = o.h.o.ShardOf(e.Task.Job)
		}
		o.emitTo(shard, e)
	}
}
