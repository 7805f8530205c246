package relay

import (
	"context"
	"sync"
	"time"

	"fennelshunt.example/fennelshunt/internal/sleep"
)

// How long the first of several things waits for others to be sent with it. Members of
// a gang are placed, and end, within a millisecond or two. A message costs some 0.1 ms
// of processor time however much it carries; a start and its end wait a hundredth of a
// quick task's time here.
const (
	ordersLinger = 2 * time.Millisecond
	// Outcomes may also go with the answer to the next frame of orders.
	outcomesLinger = 6 * time.Millisecond
)

// maxBatch bounds what is sent in one message.
const maxBatch = 256

// outbox sends what is put in, many in one message. One message is on its way at a
// time: the busier the way, the more a message carries.
type outbox[T any] struct {
	send   func(ctx context.Context, batch []T)
	linger time.Duration

	mu      sync.Mutex
	queue   []T
	sending bool
}

// put queues things and sees to it that they are sent.
func (b *outbox[T]) put(ctx context.Context, things ...T) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue = append(b.queue, things...)
	if !b.sending && len(b.queue) > 0 {
		b.sending = true
		go b.run(ctx)
	}
}

// run sends until nothing is left.
func (b *outbox[T]) run(ctx context.Context) {
	_ = sleep.For(ctx, b.linger) // when ctx has ended the rest is sent in vain, and told so
	for {
		batch := b.take(true)
		if len(batch) == 0 {
			return
		}
		b.send(ctx, batch)
	}
}

// take returns what waits, a batch at the most. The one that sends stops sending when
// nothing does.
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
