package dispatch

import (
	"fmt"
	"slices"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/version/work"
)

// Batches: the progress of many jobs in one value of the store.
//
// With a store that answers in 300 ms and 40 to 200 jobs ending per second, separate keys are
// too slow: one write changes up to 29 keys, two for each ended job, so one write at a time
// carries 48 ended jobs a second. A batch takes all waiting progress in one key, so what a
// write carries grows with what has accumulated while the store was answering.
//
// Of several records of a job, the one with the highest revision counts; a job has one write
// in flight at a time. Jobs are moved from batches to their own keys when a write has space,
// and a batch from which all jobs have moved is removed.

// maxBatch is the size of a batch in bytes: it takes a fraction of a second on a link of 10
// Mbit/s, and holds several thousand ended jobs.
const maxBatch = 128 << 10

// batch is a value in the store that holds the newest progress of jobs.
type batch struct {
	key  string
	jobs int // jobs whose newest progress is in it
}

// addBatch writes the jobs that are still waiting as one value.
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
	data, err := work.EncodeBatch(records)
	if err != nil {
		e.violate("batch does not encode: "+err.Error(), work.TaskID{Job: e.dirty[0].id}, "")
		return
	}
	e.batchSeq++
	ws.batch = &batch{key: fmt.Sprintf("%s%016x-%08x", PrefixBatches, e.o.Epoch, e.batchSeq)}
	c.Writes = append(c.Writes, store.Write{Key: ws.batch.key, Value: data})
	for _, j := range e.dirty[:n] {
		e.include(ws, j, true)
	}
	e.dirty = slices.Delete(e.dirty, 0, n)
	e.stats.Batches++
}

// addUnbatched moves jobs out of batches as far as the write has space, the oldest first, and
// returns the space that is left.
func (e *Engine) addUnbatched(ws *writeSet, c *SendCommit, space int) int {
	kept := e.unbatch[:0]
	for _, j := range e.unbatch {
		switch {
		case j.batch == nil:
			j.unbatching = false
		case j.writing || j.dirty || space < j.keys():
			kept = append(kept, j)
		default:
			space -= j.keys()
			e.addJob(ws, c, j)
			kept = append(kept, j) // until the write is answered
		}
	}
	clear(e.unbatch[len(kept):])
	e.unbatch = kept
	return space
}

// moveTo records where a job's newest progress is: in a batch or, for nil, under the job's own
// key.
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
		e.remove(from.key)
	}
}

// stored is a job's progress as it was read from the store.
type stored struct {
	job      work.JobID
	progress *work.Progress
	revision store.Revision
	batch    *batch
}

// newest collects the newest progress of each job from the jobs' own keys and from batches.
// Entries that cannot be decoded are left as they are and returned as errors.
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
	newest := map[*batch]int{} // jobs whose newest progress is in the batch
	for _, entry := range batches {
		records, err := work.DecodeBatch(entry.Value)
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
			e.remove(b.key)
		}
	}
	return found, errs
}

// NewestProgress returns a job's newest progress from a list of batches, and whether any of
// them has it. A reader has to look in the batches for a job that has a submission, but no
// final state under its own key.
func NewestProgress(batches []store.Entry, id work.JobID) (*work.Progress, bool) {
	var found *work.Progress
	var revision store.Revision
	for _, entry := range batches {
		records, err := work.DecodeBatch(entry.Value)
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
