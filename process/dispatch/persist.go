package dispatch

import (
	"time"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/lead"
	"fennelshunt.example/fennelshunt/version/work"
)

// Grouping of writes.
const (
	// groupDelay is how long a change that nobody waits for may wait for others
	// to be written with.
	groupDelay = 25 * time.Millisecond
	// urgentDelay groups the ends of jobs, for which callers wait.
	urgentDelay = 10 * time.Millisecond
)

// batch is one write on its way to the store.
type batch struct {
	jobs     []*job
	versions []uint64
	states   []work.State
	fleet    []*worker
}

// mark queues a job's progress for writing.
func (e *Engine) mark(j *job, urgent bool) {
	j.version++
	if len(e.dirty) == 0 {
		e.dirtyAt = e.now
	}
	e.urgent = e.urgent || urgent
	if !j.dirty {
		j.dirty = true
		e.dirty = append(e.dirty, j)
	}
}

// persist prepares the next write if one is due and none is on its way.
func (e *Engine) persist() {
	if e.writing != nil || !e.writeDue() {
		return
	}
	b := &batch{}
	var c SendCommit
	room := lead.MaxCommit
	if e.fleetNew {
		e.addFleet(b, &c)
		room--
	}
	room = e.addJobs(b, &c, room, true)
	room = e.addJobs(b, &c, room, false)
	n := min(room, len(e.removals))
	c.Deletes = append(c.Deletes, e.removals[:n]...)
	e.removals = e.removals[n:]
	e.writing = b
	e.stats.Commits++
	e.urgent = false
	e.dirtyAt = e.now
	e.out = append(e.out, c)
}

func (e *Engine) writeDue() bool {
	switch {
	case e.fleetNew:
		return true
	case len(e.dirty) > 0 && e.urgent:
		return e.now-e.dirtyAt >= urgentDelay
	case len(e.dirty) > 0:
		return e.now-e.dirtyAt >= groupDelay
	}
	return len(e.removals) > 0
}

// addJobs moves queued jobs into the batch, either those that have ended or the
// others, and returns the room that is left.
func (e *Engine) addJobs(b *batch, c *SendCommit, room int, final bool) int {
	kept := e.dirty[:0]
	for _, j := range e.dirty {
		size := 1
		if j.state.Final() {
			size = 3
		}
		if j.state.Final() != final || room < size {
			kept = append(kept, j)
			continue
		}
		room -= size
		e.addJob(b, c, j)
	}
	clear(e.dirty[len(kept):])
	e.dirty = kept
	return room
}

func (e *Engine) addJob(b *batch, c *SendCommit, j *job) {
	data, err := work.EncodeProgress(j.progress())
	if err != nil {
		e.violate("progress does not encode: "+err.Error(), work.TaskID{Job: j.id}, "")
		return
	}
	c.Writes = append(c.Writes, store.Write{Key: KeyState(j.id), Value: data})
	if j.state.Final() {
		c.Deletes = append(c.Deletes, KeyIn(j.id))
		if j.state == work.Cancelled {
			c.Deletes = append(c.Deletes, KeyCancel(j.id))
		}
	}
	j.dirty = false
	b.jobs = append(b.jobs, j)
	b.versions = append(b.versions, j.version)
	b.states = append(b.states, j.state)
}

// addFleet writes the list of workers that may be used. A worker is used only
// once it is in the store: a successor that can not reach it has to know that
// something may run there.
func (e *Engine) addFleet(b *batch, c *SendCommit) {
	var f fleetRecord
	for _, w := range e.order {
		f.Workers = append(f.Workers, runner.Ref{ID: w.ID, Address: w.Address})
		if !w.kept {
			b.fleet = append(b.fleet, w)
		}
	}
	data, err := peer.Marshal(f)
	if err != nil {
		e.violate("fleet does not encode: "+err.Error(), work.TaskID{}, "")
		return
	}
	c.Writes = append(c.Writes, store.Write{Key: keyFleet, Value: data})
	e.fleetNew = false
}

// Committed tells that the last SendCommit is in the store.
func (e *Engine) Committed(now time.Duration) {
	e.now = now
	b := e.writing
	if b == nil {
		return
	}
	e.writing = nil
	for i, j := range b.jobs {
		j.saved = b.versions[i]
		if b.states[i].Final() {
			j.visible = b.states[i]
			j.shed()
		}
	}
	for _, w := range b.fleet {
		w.kept = true
		w.nextRenew = now
	}
	for _, w := range e.order {
		e.acknowledge(w)
		e.renew(w)
	}
}
