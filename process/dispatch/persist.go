package dispatch

import (
	"slices"
	"time"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/openorder"
	"fennelshunt.example/fennelshunt/version/work"
)

// Grouping of writes.
const (
	// groupDelay is how long a change that no caller waits for may be delayed to be written
	// together with others.
	groupDelay = 40 * time.Millisecond
	// urgentDelay is the same for the ends of jobs, for which callers wait.
	urgentDelay = 25 * time.Millisecond
	// overlapDelay is the least time between the starts of two writes if the first has not
	// been answered yet: a store that answers in a few milliseconds then has one write at a
	// time, one that takes 300 ms has all write streams in use.
	overlapDelay = 40 * time.Millisecond
	// joinDelay is how long a list with a worker that has joined waits for others that are called for the first time:
	// longer than a worker takes to answer.
	joinDelay = 20 * time.Millisecond
	// fleetStream is the write stream for the lists of workers: two lists in flight on
	// different streams could take effect in either order.
	fleetStream = 0
)

// writeSet is one write that is in flight to the store.
type writeSet struct {
	saves  []save
	batch  *batch // nil: every job is under a key of its own
	fleet  []*worker
	told   map[*openorder.Order]time.Duration // until when the list has them
	untold []*worker                          // whose lease the lists do not tell any more
	unread []*unread                          // as the list that it has
	lists  bool                               // it has the lists of workers
	sent   time.Duration                      // when it was sent
}

// save is the progress of one job in a write set.
type save struct {
	job     *job
	version uint64
	state   work.State
	batched bool
}

// markDirty records a change of a job that must be stored. While a write of the job is in
// flight the change waits for the answer: two writes on different streams take effect in
// either order, and older progress could replace newer.
func (e *Engine) markDirty(j *job, urgent bool) {
	j.version++
	if !j.writing {
		e.queueWrite(j, urgent)
	}
}

// queueWrite queues a job's progress for writing.
func (e *Engine) queueWrite(j *job, urgent bool) {
	if len(e.dirty) == 0 {
		e.dirtyAt = e.now
	}
	e.urgent = e.urgent || urgent
	if !j.dirty {
		j.dirty = true
		e.dirty = append(e.dirty, j)
	}
}

// persist prepares the writes that are due, each on a free write stream.
func (e *Engine) persist() {
	for {
		stream, ok := e.freeStream()
		if !ok || !e.writeDue(stream) {
			return
		}
		e.write(stream)
	}
}

// freeStream returns a write stream for the next write.
func (e *Engine) freeStream() (stream int, ok bool) {
	busy, first := 0, -1
	for i := range e.writes[:e.o.Policy.WriteStreams] {
		switch {
		case e.writes[i] != nil:
			busy++
		case first < 0:
			first = i
		}
	}
	if first < 0 || (busy > 0 && e.now-e.writtenAt < overlapDelay) {
		return 0, false
	}
	return first, true
}

func (e *Engine) writeDue(stream int) bool {
	switch {
	case e.fleetDirty() && stream == fleetStream && !e.awaitsJoining():
		return true
	case len(e.dirty) > 0 && e.urgent:
		return e.now-e.dirtyAt >= urgentDelay
	case len(e.dirty) > 0:
		return e.now-e.dirtyAt >= groupDelay
	}
	return (len(e.removals) > 0 || len(e.unbatch) > 0) && e.now-e.writtenAt >= cleanupPause
}

// awaitsJoining reports whether the lists wait for the first answers of other workers, which joined together with one that has
// answered: a second list would be stored only after the answer to the first one.
func (e *Engine) awaitsJoining() bool {
	if e.cordonsChanged || e.unreadChanged || e.now >= e.joinedAt+joinDelay {
		return false
	}
	return slices.ContainsFunc(e.workerList, func(w *worker) bool { return !w.mayBeUsed() && w.renewing && w.misses == 0 })
}

// cleanupPause is kept before a write that no caller waits for: deletes of keys that are no
// longer needed, and jobs that are moved out of batches.
const cleanupPause = 100 * time.Millisecond

// write prepares one write. What does not fit under separate keys goes into a batch, so that
// one write takes everything that waits, however slow the store is.
func (e *Engine) write(stream int) {
	ws := &writeSet{sent: e.now}
	e.evidence.Asked(e.now)
	c := SendCommit{Stream: stream}
	space := e.o.Policy.WriteKeys
	if e.fleetDirty() && stream == fleetStream {
		space -= e.addFleet(ws, &c)
	}
	batched := !e.o.Policy.NoBatches && e.dirtySize() > space
	if batched {
		space--
	}
	space = e.addJobs(ws, &c, space, true)
	space = e.addJobs(ws, &c, space, false)
	if batched {
		e.addBatch(ws, &c)
	}
	space = e.addUnbatched(ws, &c, space)
	for len(e.removals) > 0 && len(e.removals[0]) <= space {
		space -= len(e.removals[0])
		c.Deletes = append(c.Deletes, e.removals[0]...)
		e.removals = e.removals[1:]
	}
	e.writes[stream] = ws
	e.stats.Commits++
	e.urgent = false
	e.dirtyAt, e.writtenAt = e.now, e.now
	e.effects = append(e.effects, c)
}

// keys is the number of keys that a write of the job under its own key changes.
func (j *job) keys() int {
	n := 1
	if j.state.Final() && j.submitted {
		n++
		if j.spec.SpecStored {
			n++
		}
	}
	if j.state == work.Cancelled {
		n++
	}
	return n
}

// dirtySize is the number of keys that all waiting jobs would change.
func (e *Engine) dirtySize() int {
	n := 0
	for _, j := range e.dirty {
		n += j.keys()
	}
	return n
}

// addJobs moves queued jobs into the write set, either those that have ended or the others,
// and returns the space that is left.
func (e *Engine) addJobs(ws *writeSet, c *SendCommit, space int, final bool) int {
	kept := e.dirty[:0]
	for _, j := range e.dirty {
		if j.state.Final() != final || space < j.keys() {
			kept = append(kept, j)
			continue
		}
		space -= j.keys()
		e.addJob(ws, c, j)
	}
	clear(e.dirty[len(kept):])
	e.dirty = kept
	return space
}

// addJob writes a job under its own key.
func (e *Engine) addJob(ws *writeSet, c *SendCommit, j *job) {
	data, err := work.EncodeProgress(j.progress())
	if err != nil {
		e.violate("progress does not encode: "+err.Error(), work.TaskID{Job: j.id}, "")
		return
	}
	c.Writes = append(c.Writes, store.Write{Key: KeyState(j.id), Value: data})
	if j.state.Final() && j.submitted {
		c.Deletes = append(c.Deletes, KeySubmission(j.id))
		if j.spec.SpecStored {
			c.Deletes = append(c.Deletes, KeySpec(j.id))
		}
	}
	if j.state == work.Cancelled {
		c.Deletes = append(c.Deletes, KeyCancel(j.id))
	}
	e.include(ws, j, false)
}

// include records that a write set has a job's progress.
func (e *Engine) include(ws *writeSet, j *job, batched bool) {
	if j.writing {
		e.violate("two writes of a job in flight", work.TaskID{Job: j.id}, "")
	}
	j.dirty, j.writing = false, true
	ws.saves = append(ws.saves, save{job: j, version: j.version, state: j.state, batched: batched})
}

// Committed handles the answer that the SendCommit on a write stream is stored.
func (e *Engine) Committed(now time.Duration, stream int) {
	e.now = now
	ws := e.writes[stream]
	if ws == nil {
		return
	}
	e.writes[stream] = nil
	e.evidence.Confirmed(ws.sent)
	if ws.lists {
		e.evidence.ListStored(e.voters)
	}
	for i := range ws.saves {
		e.saved(ws, &ws.saves[i])
	}
	for _, x := range ws.unread {
		x.stored = true
	}
	e.dropUnread((*unread).settled)
	for _, w := range ws.fleet {
		w.recorded, w.known = true, true
		w.nextRenew = now
	}
	for o, until := range ws.told {
		o.Told = o.Until <= until
	}
	for _, w := range ws.untold {
		w.leaseTold = false
		w.nextRenew = now
	}
	if len(ws.fleet) > 0 {
		e.retryGangs()
	}
	e.acknowledgeAll()
}

// saved records that a job's progress is stored.
func (e *Engine) saved(ws *writeSet, s *save) {
	j := s.job
	j.writing = false
	j.saved = s.version
	if s.batched {
		e.moveTo(j, ws.batch)
	} else {
		e.moveTo(j, nil)
		j.submitted = j.submitted && !s.state.Final()
	}
	if s.state.Final() {
		if j.visible != s.state {
			j.visible, j.shownAt = s.state, e.now
		}
		e.trim(j)
	}
	e.sendTrials(j)
	if j.version > j.saved {
		e.queueWrite(j, j.state.Final())
	}
}
