package jobs

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// delayedTask is a task that becomes ready at a given time. It is obsolete when
// the job's delayed bitmap no longer contains the index.
type delayedTask struct {
	at    time.Time
	job   *job
	index uint32
}

type delayHeap []delayedTask

func (h delayHeap) Len() int           { return len(h) }
func (h delayHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h delayHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *delayHeap) Push(x any)        { *h = append(*h, x.(delayedTask)) }
func (h *delayHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// delay makes a task ready after the given duration.
func (st *state) delay(j *job, index uint32, after time.Duration) {
	if j.cancelled || j.record.Finished(index) {
		return
	}
	j.delayed.Add(index)
	heap.Push(&st.delayed, delayedTask{time.Now().Add(after), j, index})
}

func (st *state) releaseDelayed(now time.Time) {
	for len(st.delayed) > 0 && !st.delayed[0].at.After(now) {
		t := heap.Pop(&st.delayed).(delayedTask)
		if t.job.delayed.Contains(t.index) {
			st.makeReady(t.job, t.index, now)
		}
	}
}

// retryDelay returns the delay, with jitter, before a task is started again after
// the given number of failures.
func (t *Tuning) retryDelay(failures int) time.Duration {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval, b.Multiplier = t.RetryFirst, t.RetryLast, 2
	next := b.NextBackOff()
	for range min(failures, maxBackoffSteps) - 1 {
		next = b.NextBackOff()
	}
	return next
}

// maxBackoffSteps bounds the loop of retryDelay; after so many steps the delay
// has reached RetryLast.
const maxBackoffSteps = 16

// spread returns a random duration below d.
func spread(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return rand.N(d)
}
