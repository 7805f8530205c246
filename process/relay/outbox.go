package relay

import (
	"context"
	"sync"
	"time"

	"fennelshunt.example/fennelshunt/internal/sleep"
)

// How long the first item waits for others that are sent in the same message. The tasks of
// a gang start, and complete, within a millisecond or two of each other. A message takes
// some 0.1 ms of processor time, whatever its size; the delay of a start and its completion
// is a hundredth of the run time of a short task.
const (
	ordersLinger = 2 * time.Millisecond
	// Outcomes may also be sent with the answer to the next frame of orders.
	outcomesLinger = 6 * time.Millisecond
)

// maxBatch bounds the number of items in one message.
const maxBatch = 256

// outbox sends items in batches. At most one message is in flight, so batches grow with
// the load.
type outbox[T any] struct {
	send   func(ctx context.Context, batch []T)
	linger time.Duration

	mu      sync.Mutex
	queue   []T
	sending bool
}

// put queues items and starts sending unless it is in progress.
func (b *outbox[T]) put(ctx context.Context, items ...T) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue = append(b.queue, items...)
	if !b.sending && len(b.queue) > 0 {
		b.sending = true
		go b.run(ctx)
	}
}

// run sends until the queue is empty.
func (b *outbox[T]) run(ctx context.Context) {
	_ = sleep.For(ctx, b.linger) // after ctx has ended, the sends fail and report that
	for {
		batch := b.take(true)
		if len(batch) == 0 {
			return
		}
		b.send(ctx, batch)
	}
}

// take removes and returns up to maxBatch items. If the sender finds the queue empty, it
// stops sending.
func (b *outbox[T]) take(sender bool) []T {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := min(len(b.queue), maxBatch)
	batch := b.queue[:n:n]
	if b.queue = b.queue[n:]; len(b.queue) == 0 {
		b.queue = nil
	}
	if sender && n == 0 {
		b.sending = false
	}
	return batch
}
