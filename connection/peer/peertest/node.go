package peertest

import (
	"context"
	"errors"
	"fmt"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/internal/sleep"
)

// Node is one incarnation of a member on the network. It implements peer.Caller.
type Node struct {
	net    *Network
	self   peer.Ref
	mux    *peer.Mux
	down   chan struct{}
	paused chan struct{} // guarded by net.mu; nil when running
}

func (x *Node) stop() {
	select {
	case <-x.down:
	default:
		close(x.down)
	}
}

func (x *Node) stopped() bool {
	select {
	case <-x.down:
		return true
	default:
		return false
	}
}

type outcome struct {
	payload []byte
	err     error
}

// Call implements peer.Caller.
func (x *Node) Call(ctx context.Context, to peer.Ref, method peer.Method, req, resp any) error {
	return x.call(ctx, to, false, method, req, resp)
}

// CallAddr calls the current incarnation of the member whose ID is addr.
func (x *Node) CallAddr(ctx context.Context, addr string, method peer.Method, req, resp any) (peer.Ref, error) {
	target, ok := x.net.find(peer.MemberID(addr))
	if !ok {
		return peer.Ref{}, fmt.Errorf("%w: no node %s", peer.ErrNotSent, addr)
	}
	return target.self, x.call(ctx, target.self, true, method, req, resp)
}

func (x *Node) call(ctx context.Context, to peer.Ref, anyIncarnation bool, method peer.Method, req, resp any) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", peer.ErrNotSent, err)
	}
	if x.stopped() {
		return peer.ErrClosed
	}
	payload, err := encode(req)
	if err != nil {
		return fmt.Errorf("%w: %w", peer.ErrNotSent, err)
	}
	ctx, cancel := context.WithTimeout(ctx, defaultTimeout)
	defer cancel()
	if err := x.net.await(ctx, x); err != nil {
		return fmt.Errorf("%w: %w", peer.ErrNotSent, err)
	}
	done := make(chan outcome, 1)
	go x.roundTrip(ctx, to, anyIncarnation, method, payload, done)
	select {
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", peer.ErrUnknown, ctx.Err())
	case <-x.down:
		return peer.ErrUnknown
	case o := <-done:
		return finish(o, resp)
	}
}

func encode(req any) ([]byte, error) {
	if req == nil {
		return nil, nil
	}
	return peer.Marshal(req)
}

func finish(o outcome, resp any) error {
	if o.err != nil || resp == nil || len(o.payload) == 0 {
		return o.err
	}
	if err := peer.Unmarshal(o.payload, resp); err != nil {
		return fmt.Errorf("%w: %w", peer.ErrUnknown, err)
	}
	return nil
}

// roundTrip delivers the request and the reply. If a message is lost, nothing is sent
// on done and the caller waits for its deadline.
func (x *Node) roundTrip(ctx context.Context, to peer.Ref, anyIncarnation bool, method peer.Method, payload []byte, done chan<- outcome) {
	target, ok := x.net.find(to.ID)
	if !ok {
		done <- outcome{err: fmt.Errorf("%w: no node %s", peer.ErrNotSent, to.ID)}
		return
	}
	if !x.deliver(ctx, x, target, len(payload)+len(method)) {
		return
	}
	o := target.serve(ctx, x.self, to, anyIncarnation, method, payload)
	if x.deliver(ctx, target, x, len(o.payload)) {
		done <- o
	}
}

// deliver delivers one message and reports whether it arrived.
func (x *Node) deliver(ctx context.Context, from, to *Node, size int) bool {
	if x.net.await(ctx, from) != nil || from.stopped() {
		return false
	}
	delay, lost := x.net.send(from.self.ID, to.self.ID, size)
	if lost || sleep.For(ctx, delay) != nil {
		return false
	}
	if x.net.cut(from.self.ID, to.self.ID) || x.net.await(ctx, to) != nil {
		return false
	}
	return !to.stopped()
}

func (x *Node) serve(ctx context.Context, from, to peer.Ref, anyIncarnation bool, method peer.Method, payload []byte) outcome {
	if !anyIncarnation && to != x.self {
		return outcome{err: &peer.WrongIncarnationError{Want: to, Actual: x.self}}
	}
	data, err := x.mux.Dispatch(ctx, from, method, payload)
	return outcome{payload: data, err: copyError(err)}
}

// copyError copies an error, so that the two sides share no memory.
func copyError(err error) error {
	var remote *peer.RemoteError
	if errors.As(err, &remote) {
		c := *remote
		return &c
	}
	return err
}
