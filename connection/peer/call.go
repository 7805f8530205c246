package peer

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"time"

	"github.com/quic-go/quic-go"

	"fennelshunt.example/fennelshunt/connection/traffic"
)

// Stats are the counters of a node; read them through Node.Stats.
type Stats struct {
	Calls     expvar.Int // calls made
	NotSent   expvar.Int // calls that certainly did not run
	Unknown   expvar.Int // calls that may have run, without a reply
	Served    expvar.Int // calls run for others
	BadFrames expvar.Int // requests that could not be read
	BadPeers  expvar.Int // connections refused after the handshake
}

// Each calls f with the name and value of every counter.
func (s *Stats) Each(f func(name string, v *expvar.Int)) {
	f("calls", &s.Calls)
	f("not_sent", &s.NotSent)
	f("unknown", &s.Unknown)
	f("served", &s.Served)
	f("bad_frames", &s.BadFrames)
	f("bad_peers", &s.BadPeers)
}

// Stats returns the node's live counters.
func (n *Node) Stats() *Stats { return &n.stats }

// Call implements Caller. A context that ends after the request was sent
// gives an error that matches both ErrUnknown and the context's.
func (n *Node) Call(ctx context.Context, to Ref, method Method, req, resp any) error {
	addr, ok := n.resolve(to)
	if !ok {
		return n.count(fmt.Errorf("%w: %s/%d", ErrNoAddress, to.ID, to.Incarnation))
	}
	frame, err := requestFrame(ctx, request{To: to, Method: method}, req)
	if err != nil {
		return n.count(err)
	}
	l, err := n.linkTo(ctx, to, addr)
	if err != nil {
		return n.count(err)
	}
	answer, err := n.exchange(ctx, l, method, frame)
	if err != nil {
		return n.count(err)
	}
	return n.count(decodeReply(answer, to, resp))
}

// CallAddr calls whichever daemon answers at the UDP address, for a daemon that has
// only seed addresses, and returns the daemon that answered.
func (n *Node) CallAddr(ctx context.Context, addr string, method Method, req, resp any) (Ref, error) {
	frame, err := requestFrame(ctx, request{AnyIncarnation: true, Method: method}, req)
	if err != nil {
		return Ref{}, n.count(err)
	}
	l, err := n.dialShared(ctx, addr, func(l *link) bool { return l.addr == addr })
	if err != nil {
		return Ref{}, n.count(err)
	}
	remote := l.remote.Self
	answer, err := n.exchange(ctx, l, method, frame)
	if err != nil {
		return remote, n.count(err)
	}
	return remote, n.count(decodeReply(answer, remote, resp))
}

func (n *Node) resolve(to Ref) (string, bool) {
	resolver := n.resolver.Load()
	if resolver == nil {
		return "", false
	}
	return (*resolver)(to)
}

func (n *Node) count(err error) error {
	n.stats.Calls.Add(1)
	switch {
	case err == nil:
	case NotRun(err):
		n.stats.NotSent.Add(1)
	case errors.Is(err, ErrUnknown):
		n.stats.Unknown.Add(1)
	}
	return err
}

func requestFrame(ctx context.Context, r request, req any) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, notSent(err)
	}
	if req != nil {
		payload, err := Marshal(req)
		if err != nil {
			return nil, notSent(err)
		}
		if len(payload) > MaxMessage {
			return nil, fmt.Errorf("%w: %d bytes", ErrTooLarge, len(payload))
		}
		r.Payload = payload
	}
	if deadline, ok := ctx.Deadline(); ok {
		r.Budget = budget(deadline)
	}
	return encodeFrame(r)
}

// decodeReply decodes the reply into resp. If that fails, the outcome is unknown:
// the handler ran.
func decodeReply(answer reply, to Ref, resp any) error {
	if err := answer.err(to); err != nil {
		return err
	}
	if resp == nil || len(answer.Payload) == 0 {
		return nil
	}
	if err := Unmarshal(answer.Payload, resp); err != nil {
		return unknown(err)
	}
	return nil
}

// exchange sends one frame over a stream of its own and reads the reply.
func (n *Node) exchange(ctx context.Context, l *link, method Method, frame []byte) (reply, error) {
	l.begin()
	defer l.end()
	start := time.Now()
	stream, err := l.conn.OpenStreamSync(ctx)
	if err != nil {
		n.retireIfUnresponsive(ctx, l, start)
		return reply{}, notSent(err)
	}
	// Cancelling both directions cancels the handler's context.
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(streamCancelled)
		stream.CancelWrite(streamCancelled)
	})
	defer stop()
	answer, err := roundTrip(stream, frame)
	if err == nil {
		l.lastReply.Store(time.Now().UnixNano())
		n.traffic.Load().Add(kindMade+traffic.Kind(method), int64(len(frame)), int64(len(answer.Payload)))
		return answer, nil
	}
	stream.CancelRead(streamCancelled)
	n.retireIfUnresponsive(ctx, l, start)
	if ctx.Err() != nil {
		err = fmt.Errorf("%w: %w", err, ctx.Err())
	}
	return reply{}, err
}

// roundTrip distinguishes failures before and after the whole frame was sent. Until
// the connection has accepted the last byte of the frame, the receiver cannot have
// all of it, and it acts on whole frames only: nothing ran. From then on the call
// may have run.
func roundTrip(stream *quic.Stream, frame []byte) (reply, error) {
	if n, err := stream.Write(frame); err != nil {
		stream.CancelWrite(streamCancelled)
		if n < len(frame) {
			return reply{}, notSent(err)
		}
		return reply{}, unknown(err)
	}
	return awaitReply(stream)
}

// awaitReply ends a frame that was written, and reads the reply.
func awaitReply(stream *quic.Stream) (reply, error) {
	// Close fails if the receiver, which has the whole frame, stopped reading
	// before it received the end of the stream. It replies nevertheless.
	closeErr := stream.Close()
	var answer reply
	if err := readFrame(stream, &answer); err != nil {
		return reply{}, readError(errors.Join(err, closeErr))
	}
	return answer, nil
}

// readError maps the stream reset by which a receiver says that nothing ran.
func readError(err error) error {
	var reset *quic.StreamError
	if errors.As(err, &reset) && reset.Remote && reset.ErrorCode == streamNotRun {
		return notSent(err)
	}
	return unknown(err)
}

// retireIfUnresponsive takes a link out of use after a call failed without being
// cancelled by its caller, if no other call got a reply meanwhile. Otherwise every
// call to a daemon that restarted at the same address would time out until the
// idle timeout closes the connection.
func (n *Node) retireIfUnresponsive(ctx context.Context, l *link, start time.Time) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	if l.lastReply.Load() < start.UnixNano() {
		n.retire(l)
	}
}
