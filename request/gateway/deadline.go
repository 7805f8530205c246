package gateway

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// deadlines calls functions at the requests' deadlines, with a single timer for
// all. A timer per request would cost more than the rest of the gateway's own
// work: each timer that is due before those already set wakes the thread that
// waits in the network poller.
type deadlines struct {
	mu    sync.Mutex
	heap  deadlineHeap
	timer *time.Timer
	due   time.Time // when the timer fires; zero: not set
}

// alarm is a function to be called at a given time. It is called at most once,
// in its own goroutine.
type alarm struct {
	at    time.Time
	call  func()
	index int // in the heap; -1 when not in it
}

// set schedules call for the given time; a must not be scheduled already.
func (d *deadlines) set(a *alarm, at time.Time, call func()) {
	a.at, a.call = at, call
	d.mu.Lock()
	defer d.mu.Unlock()
	heap.Push(&d.heap, a)
	d.scheduleLocked()
}

// stop cancels the alarm. It returns false when the alarm has already fired.
func (d *deadlines) stop(a *alarm) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if a.index < 0 {
		return false
	}
	heap.Remove(&d.heap, a.index)
	return true
}

// scheduleLocked sets the timer for the first alarm unless it is already set
// for that time or an earlier one.
func (d *deadlines) scheduleLocked() {
	if len(d.heap) == 0 || !d.due.IsZero() && !d.due.After(d.heap[0].at) {
		return
	}
	d.due = d.heap[0].at
	if d.timer == nil {
		d.timer = time.AfterFunc(time.Until(d.due), d.fire)
		return
	}
	d.timer.Reset(time.Until(d.due))
}

func (d *deadlines) fire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for len(d.heap) > 0 && !d.heap[0].at.After(now) {
		a := heap.Pop(&d.heap).(*alarm)
		go a.call()
	}
	d.due = time.Time{}
	d.scheduleLocked()
}

// deadlineHeap orders alarms by time.
type deadlineHeap []*alarm

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	a := x.(*alarm)
	a.index = len(*h)
	*h = append(*h, a)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	last := len(*h) - 1
	a := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	a.index = -1
	return a
}

// waitContext is a context with a deadline whose timer is created lazily, at the
// first call of Done, which most requests never make.
type waitContext struct {
	context.Context
	deadline time.Time

	mu     sync.Mutex
	inner  context.Context
	cancel context.CancelFunc
}

// Deadline implements context.Context.
func (w *waitContext) Deadline() (time.Time, bool) { return w.deadline, true }

// Done implements context.Context.
func (w *waitContext) Done() <-chan struct{} { return w.ensureInner().Done() }

// Err implements context.Context.
func (w *waitContext) Err() error {
	w.mu.Lock()
	inner := w.inner
	w.mu.Unlock()
	if inner != nil {
		return inner.Err()
	}
	if err := w.Context.Err(); err != nil {
		return err
	}
	if !time.Now().Before(w.deadline) {
		return w.ensureInner().Err()
	}
	return nil
}

func (w *waitContext) ensureInner() context.Context {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.inner == nil {
		w.inner, w.cancel = context.WithDeadline(w.Context, w.deadline)
	}
	return w.inner
}

// stop releases the timer.
func (w *waitContext) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancel != nil {
		w.cancel()
	}
}
