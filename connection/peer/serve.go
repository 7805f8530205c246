package peer

import (
	"context"
	"time"

	"github.com/quic-go/quic-go"

	"fennelshunt.example/fennelshunt/connection/traffic"
)

// requestTimeout bounds how long a request may take to arrive completely, so that a
// peer that sends a byte per minute does not occupy memory and a stream.
const requestTimeout = 20 * time.Second

// maxServing bounds the calls that a node runs concurrently over all its links;
// further calls are refused before anything runs. Long polls count too.
const maxServing = 8192

// serveLink runs the calls that arrive over the link until it ends.
func (n *Node) serveLink(ctx context.Context, l *link) {
	defer n.remove(l)
	for {
		stream, err := l.conn.AcceptStream(ctx)
		if err != nil {
			l.close(closeCodeNormal, "closing")
			return
		}
		go n.serveCall(l, stream)
	}
}

// serveCall reads one request, runs it and writes the reply. The context of
// the handler ends with the caller's budget or when the caller cancels.
func (n *Node) serveCall(l *link, stream *quic.Stream) {
	l.begin()
	defer l.end()
	_ = stream.SetReadDeadline(time.Now().Add(requestTimeout)) // fails only on a closed stream
	var req request
	if err := readFrame(stream, &req); err != nil {
		n.stats.BadFrames.Add(1)
		n.log.Debug().Err(err).Str("peer", string(l.remote.Self.ID)).Msg("peer request could not be read; nothing ran")
		stream.CancelRead(streamNotRun)
		stream.CancelWrite(streamNotRun)
		return
	}
	n.stats.Served.Add(1)
	answer := n.run(stream.Context(), l, req)
	n.traffic.Load().Add(kindServed+traffic.Kind(req.Method), int64(len(answer.Payload)), int64(len(req.Payload)))
	n.answer(stream, answer)
}

// run first checks that the call is addressed to this incarnation: a daemon that
// restarted at the same address must not act on calls to an earlier incarnation.
func (n *Node) run(ctx context.Context, l *link, req request) reply {
	self := n.self.Self
	if !req.AnyIncarnation && req.To != self {
		return reply{Status: statusWrongIncarnation, Actual: self}
	}
	if n.serving.Add(1) > maxServing {
		n.serving.Add(-1)
		return reply{Status: statusRefused, Actual: self}
	}
	defer n.serving.Add(-1)
	if req.Budget > 0 {
		limited, cancel := context.WithTimeout(ctx, time.Duration(req.Budget)*time.Millisecond)
		defer cancel()
		ctx = limited
	}
	answer := replyFor(n.mux.Dispatch(ctx, l.remote.Self, req.Method, req.Payload))
	answer.Actual = self
	return answer
}

func (n *Node) answer(stream *quic.Stream, r reply) {
	frame, err := encodeFrame(r)
	if err != nil {
		n.log.Error().Err(err).Msg("peer reply could not be encoded; outcome unknown to the caller")
		stream.CancelWrite(streamCancelled)
		return
	}
	if _, err := stream.Write(frame); err != nil {
		n.log.Debug().Err(err).Msg("peer reply could not be sent; outcome unknown to the caller")
		return
	}
	if err := stream.Close(); err != nil {
		n.log.Debug().Err(err).Msg("stream of a peer reply could not be closed")
	}
	// The request has been read. What follows is discarded, so that it uses no flow
	// control window.
	stream.CancelRead(streamCancelled)
}
