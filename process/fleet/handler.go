package fleet

import (
	"context"
	"time"

	"fennelshunt.example/fennelshunt/connection/peer"
)

// maxViaBudget bounds a probe on behalf of another daemon.
const maxViaBudget = 5 * time.Second

// endedInSync bounds the ended incarnations in one sync.
const endedInSync = 256

// pingReceived is a received ping that waits for its ack.
type pingReceived struct {
	from peer.Ref
	ping ping
	ack  chan<- ack
}

func (f *Fleet) handlePing(ctx context.Context, from peer.Ref, payload []byte) (any, error) {
	var p ping
	if err := peer.Unmarshal(payload, &p); err != nil {
		return nil, err
	}
	answer := make(chan ack, 1)
	if err := f.post(ctx, pingReceived{from: from, ping: p, ack: answer}); err != nil {
		return nil, err
	}
	return <-answer, nil
}

func (p pingReceived) apply(l *loop) {
	l.lastContact = time.Now()
	l.mergeAll(p.ping.Deltas)
	if e := l.table.entries[p.from.ID]; e == nil || e.Incarnation < p.from.Incarnation {
		// An unknown incarnation: its addresses are fetched by a sync.
		l.merge(delta{ID: p.from.ID, Incarnation: p.from.Incarnation}, true)
	}
	answer := ack{Deltas: l.gossip.take(l.table, p.from.ID, len(l.fleet.Members())), Digest: l.table.digest}
	if e := l.table.entries[p.from.ID]; e.Incarnation == p.from.Incarnation && e.Ended != NotEnded {
		// The sender's incarnation has ended and it must be notified at once.
		answer.Deltas = append(answer.Deltas, delta{ID: e.ID, Incarnation: e.Incarnation, Ended: e.Ended})
	}
	p.ack <- answer
}

// handlePingVia probes the target for a daemon that could not reach it.
func (f *Fleet) handlePingVia(ctx context.Context, _ peer.Ref, payload []byte) (any, error) {
	var request pingVia
	if err := peer.Unmarshal(payload, &request); err != nil {
		return nil, err
	}
	if m, ok := f.Lookup(request.Target.ID); !ok || m.Ref != request.Target || m.State == Suspect {
		return pingViaAck{}, nil // unknown, replaced or suspected: not worth the cost of a handshake
	}
	limit := min(time.Duration(request.Budget)*time.Millisecond, maxViaBudget)
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var answer ack
	err := f.options.Caller.Call(ctx, request.Target, methodPing, ping{}, &answer)
	return pingViaAck{Reached: err == nil}, nil
}

// syncReceived is a received request for the whole list.
type syncReceived struct {
	request syncRequest
	reply   chan<- syncReply
}

func (f *Fleet) handleSync(ctx context.Context, _ peer.Ref, payload []byte) (any, error) {
	var request syncRequest
	if err := peer.Unmarshal(payload, &request); err != nil {
		return nil, err
	}
	answer := make(chan syncReply, 1)
	if err := f.post(ctx, syncReceived{request: request, reply: answer}); err != nil {
		return nil, err
	}
	return <-answer, nil
}

func (s syncReceived) apply(l *loop) {
	l.merge(s.request.Self, true)
	var reply syncReply
	for _, e := range l.table.entries {
		if e.usable() {
			reply.Members = append(reply.Members, e.delta)
		}
	}
	for _, e := range l.table.latestEnded(endedInSync) {
		d := e.delta
		d.Info = nil
		reply.Members = append(reply.Members, d)
	}
	s.reply <- reply
}
