package dispatch

import (
	"fmt"
	"slices"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/version/work"
)

// Bundles: the progress of many jobs in one value.
//
// Load pattern: the store answers in 300 ms, and jobs end at 40 to 200 a second.
// One write holds 29 keys, two for each ended job under a key of its own: one write
// at a time carries 48 ended jobs a second then. A bundle takes whatever waits in
// one key, so what a write carries grows with what has come together while the
// store was answering.
//
// Of the records of a job, the one with the highest revision stands: a job has
// one write on its way at a time. Jobs are moved from bundles to their own keys
// when there is room, and a bundle from which all have moved is removed.

// maxBatch is the size of a bundle in bytes: a fraction of a second on a link
// of 10 Mbit/s, and some thousand ended jobs.
const maxBatch = 128 << 10

// batch is a value in the store that holds the newest progress of jobs.
type batch struct {
	key  string
	jobs int // whose newest progress is in it
}

// addBatch writes the jobs that still wait as one value.
func (e *Engine) addBatch(ws *writeSet, c *SendCommit) {
	var records []work.JobProgress
	size := 0
	n := 0
	for _, j := range e.dirty {
		if size >= maxBatch {
			break
		}
		p := j.progress()
		records = append(records, work.JobProgress{Job: j.id, Progress: *p})
		size += p.Size()
		n++
	}
	data, err := work.EncodeBundle(records)
	if err != nil {
		e.violate("bundle does not encode: "+err.Error(), work.TaskID{Job: e.dirty[0].id}, "")
		return
	}
	e.batchSeq++
	ws.batch = &batch{key: fmt.Sprintf("%s%016x-%08x", PrefixBundle, e.o.Epoch, e.batchSeq)}
	c.Writes = append(c.Writes, store.Write{Key: ws.batch.key, Value: data})
	for _, j := range e.dirty[:n] {
		e.include(ws, j, true)
	}
	e.dirty = slices.Delete(e.dirty, 0, n)
	e.stats.Bundles++
}

// addUnbatched moves jobs out of bundles as far as there is room, the oldest
// first, and returns the room that is left.
func (e *Engine) addUnbatched(ws *writeSet, c *SendCommit, room int) int {
	kept := e.unbatch[:0]
	for _, j := range e.unbatch {
		switch {
		case j.batch == nil:
			j.unbatching = false
		case j.writing || j.dirty || room < j.keys():
			kept = append(kept, j)
		default:
			room -= j.keys()
			e.addJob(ws, c, j)
			kept = append(kept, j) // until the answer
		}
	}
	clear(e.unbatch[len(kept):])
	e.unbatch = kept
	return room
}

// moveTo notes where a job's newest progress is: in a bundle, or, for nil, under
// the job's own key.
func (e *Engine) moveTo(j *job, to *batch) {
	from := j.batch
	j.batch = to
	if to != nil {
		to.jobs++
		if !j.unbatching {
			j.unbatching = true
			e.unbatch = append(e.unbatch, j)
		}
	}
	if from == nil {
		return
	}
	from.jobs--
	if from.jobs == 0 {
		e.removals = append(e.removals, from.key)
	}
}

// stored is a job's progress as it was read from the store.
type stored struct {
	job      work.JobID
	progress *work.Progress
	revision store.Revision
	batch    *batch
}

// newest collects the newest progress of each job from the jobs' own keys and
// from bundles. Entries that can not be read are left alone and returned as
// errors.
func (e *Engine) newest(states, batches []store.Entry) (found map[work.JobID]stored, errs []error) {
	found = make(map[work.JobID]stored, len(states))
	take := func(s stored) {
		if have, ok := found[s.job]; !ok || s.revision > have.revision {
			found[s.job] = s
		}
	}
	for _, entry := range states {
		p, err := work.DecodeProgress(entry.Value)
		if err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", entry.Key, err))
			continue
		}
		take(stored{job: jobOfState(entry.Key), progress: p, revision: entry.Revision})
	}
	var read []*batch
	newest := map[*batch]int{} // jobs
	for _, entry := range batches {
		records, err := work.DecodeBundle(entry.Value)
		if err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", entry.Key, err))
			continue
		}
		b := &batch{key: entry.Key}
		read = append(read, b)
		for i := range records {
			take(stored{job: records[i].Job, progress: &records[i].Progress, revision: entry.Revision, batch: b})
		}
	}
	for _, s := range found {
		newest[s.batch]++
	}
	for _, b := range read {
		if newest[b] == 0 {
			e.removals = append(e.removals, b.key)
		}
	}
	return found, errs
}

// NewestProgress returns a job's progress among bundles, and whether one holds
// any: a reader that finds a job handed in and not ended under its own key has
// to look there.
func NewestProgress(batches []store.Entry, id work.JobID) (*work.Progress, bool) {
	var found *work.Progress
	var revision store.Revision
	for _, entry := range batches {
		records, err := work.DecodeBundle(entry.Value)
		if err != nil || entry.Revision < revision {
			continue
		}
		for i := range records {
			if records[i].Job == id {
				found, revision = &records[i].Progress, entry.Revision
			}
		}
	}
	return found, found != nil
}
