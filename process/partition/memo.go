package partition

import (
	"context"
	"maps"
	"slices"
	"time"

	"fennelshunt.example/fennelshunt/connection/vmlist"
	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/ownership"
)

// The memo of a partition, kept in the store, lists its workers. Suppose a
// worker leaves the VM list just before its owner fails: a daemon that reads the
// list for the first time afterwards does not see it. The worker's tasks, which
// may run until their lease expires, would be missing from the reply to a Fence
// and be started elsewhere. Therefore a worker accepts tasks only once the
// stored memo names it, and is dropped from the memo only once nothing can run
// there. The memo also holds the limits of services, see serviceLimits.

// loadMemo reads an earlier owner's memo and adds the workers that it names and
// the VM list does not.
func (o *owner) loadMemo(notes []string) {
	o.inMemo = make(map[worker.ID]bool, len(notes))
	notes = o.limits.load(notes)
	listed := o.h.o.Racks.Workers(o.name)
	for _, note := range notes {
		id := worker.ID(note)
		o.inMemo[id] = true
		if !slices.ContainsFunc(listed, func(vm vmlist.VM) bool { return vm.Name == note }) {
			n := o.addNode(id, vmlist.VM{Name: note})
			n.unlisted = true
		}
	}
}

// updateMemo writes the memo to the store if the stored one is out of date.
func (o *owner) updateMemo(now time.Time) {
	if o.memoWriting || now.Before(o.memoRetry) || o.releasing || (o.memoIsCurrent() && !o.canMarkFenced() && !o.limits.due(now)) {
		return
	}
	memo := ownership.Memo{EarlierFenced: o.earlierFenced || o.canMarkFenced()}
	for id := range o.nodes {
		memo.Notes = append(memo.Notes, string(id))
	}
	workers := slices.Clone(memo.Notes)
	o.pruneLimits()
	memo.Notes = append(memo.Notes, o.limits.notes()...)
	slices.Sort(memo.Notes)
	limits := o.limits.seq
	o.memoWriting = true
	go func() {
		ctx, cancel := context.WithTimeout(o.ctx, storeTimeout)
		defer cancel()
		err := o.h.o.Claims.SaveMemo(ctx, o.claim, memo)
		o.post(func() { o.memoWritten(memo.EarlierFenced, workers, limits, err) })
	}()
}

// memoWritten records the outcome of a memo write. On success the stored memo
// names workers and holds the service limits as of sequence number limits.
func (o *owner) memoWritten(earlierFenced bool, workers []string, limits uint64, err error) {
	o.memoWriting = false
	if err != nil {
		o.memoRetry = time.Now().Add(storeRetry)
		o.log.Warn().Err(err).Msg("writing the partition memo to the store failed; workers that the stored memo does not name accept no tasks")
		return
	}
	o.earlierFenced = earlierFenced
	o.limits.markSaved(limits)
	before := o.inMemo
	o.inMemo = make(map[worker.ID]bool, len(workers))
	for _, id := range workers {
		o.inMemo[worker.ID(id)] = true
	}
	if maps.Equal(before, o.inMemo) {
		return
	}
	for _, n := range o.nodes {
		o.markChanged(n)
	}
}

func (o *owner) memoIsCurrent() bool {
	if len(o.inMemo) != len(o.nodes) {
		return false
	}
	for id := range o.nodes {
		if !o.inMemo[id] {
			return false
		}
	}
	return true
}

// canMarkFenced reports whether the memo is to be marked with EarlierFenced: no earlier
// owner can start tasks any more, and the stored memo does not say so yet.
func (o *owner) canMarkFenced() bool {
	if o.earlierFenced || len(o.nodes) == 0 {
		return false
	}
	for _, n := range o.nodes {
		if !n.everFenced && !n.accounted {
			return false
		}
	}
	return true
}
