package partition

import (
	"context"
	"strconv"
	"strings"
	"time"

	"fennelshunt.example/fennelshunt/process/ownership"
	"fennelshunt.example/fennelshunt/process/plan"
)

const (
	// maxEventsPerCall bounds the events of one message to a shard.
	maxEventsPerCall = 500
	eventsTimeout    = 3 * time.Second
	minEventsRetry   = 200 * time.Millisecond
	maxEventsRetry   = 3 * time.Second
)

// outbox holds the events for one shard until its owner has received them.
type outbox struct {
	shard   plan.Shard
	pending []plan.Event
	busy    bool
	after   time.Time
	retry   time.Duration
}

func shardResource(s plan.Shard) ownership.Resource {
	return ownership.Resource(ownership.ShardPrefix + strconv.Itoa(int(s)))
}

func shardOf(r ownership.Resource) (plan.Shard, bool) {
	n, err := strconv.Atoi(strings.TrimPrefix(string(r), ownership.ShardPrefix))
	return plan.Shard(n), err == nil
}

func (o *owner) emit(t *task, e plan.Event) { o.emitTo(t.shard, e) }

func (o *owner) emitTo(shard plan.Shard, e plan.Event) {
	box := o.outboxes[shard]
	if box == nil {
		box = &outbox{shard: shard}
		o.outboxes[shard] = box
	}
	box.pending = append(box.pending, e)
}

func (o *owner) eventsWaiting() bool {
	for _, box := range o.outboxes {
		if len(box.pending) > 0 {
			return true
		}
	}
	return false
}

// sendEvents sends one message to each shard that has pending events.
func (o *owner) sendEvents(now time.Time) {
	for _, box := range o.outboxes {
		if len(box.pending) == 0 || box.busy || now.Before(box.after) || box.shard == unknownShard {
			continue
		}
		c, ok := o.h.o.Directory.Owner(shardResource(box.shard))
		if !ok {
			box.failed(now)
			continue
		}
		o.sendOutbox(box, c)
	}
}

func (o *owner) sendOutbox(box *outbox, c ownership.Claim) {
	n := min(len(box.pending), maxEventsPerCall)
	msg := plan.Events{Partition: o.name, Epoch: o.claim.Epoch, Shard: box.shard, Events: box.pending[:n:n]}
	box.busy = true
	go func() {
		ctx, cancel := context.WithTimeout(o.ctx, eventsTimeout)
		defer cancel()
		err := o.h.o.Caller.Call(ctx, c.Owner, plan.MethodEvents, msg, nil)
		o.post(func() {
			box.busy = false
			if err != nil {
				// Kept and sent again even though they may have arrived:
				// the receiver processes each event at most once.
				box.failed(time.Now())
				return
			}
			box.retry = 0
			box.pending = box.pending[n:]
		})
	}()
}

func (b *outbox) failed(now time.Time) {
	b.retry = min(max(2*b.retry, minEventsRetry), maxEventsRetry)
	b.after = now.Add(b.retry)
}
