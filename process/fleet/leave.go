package fleet

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"fennelshunt.example/fennelshunt/connection/peer"
)

// notifyTimeout bounds how long Leave waits for the peers that it notifies.
const notifyTimeout = time.Second

// drain marks this daemon as leaving.
type drain struct{ done chan<- struct{} }

func (d drain) apply(l *loop) {
	own := l.table.entries[l.fleet.self.ID].delta
	own.Flags |= flagLeaving
	l.merge(own, true)
	l.publish()
	close(d.done)
}

// leave ends this incarnation and the loop.
type leave struct{ leaveMessage chan<- []leaveMessage }

// leaveMessage is the last ping to one peer.
type leaveMessage struct {
	to      peer.Ref
	message ping
}

func (v leave) apply(l *loop) {
	l.failure = errLeft // set before the merge, which would otherwise report an eviction
	own := l.table.entries[l.fleet.self.ID].delta
	own.Ended = Left
	l.merge(own, true)
	l.publish()
	own.Info = nil
	var all []leaveMessage
	for _, id := range l.targets {
		if e := l.table.entries[id]; e != nil && e.usable() {
			all = append(all, leaveMessage{to: e.ref(), message: ping{Deltas: []delta{own}, Digest: l.table.digest}})
		}
	}
	v.leaveMessage <- all
}

// Leave ends the membership after all resources have been transferred: it notifies the
// peers, records the end of the incarnation, and revokes the lease. The view stays
// readable and Serve returns. An error means that the store could not be updated; the
// lease then expires, and the peers have been notified already.
func (f *Fleet) Leave(ctx context.Context) error {
	leaveMessages := make(chan []leaveMessage, 1)
	if err := f.post(ctx, leave{leaveMessage: leaveMessages}); err != nil {
		if errors.Is(err, ErrStopped) {
			return nil
		}
		return err
	}
	f.notifyPeers(ctx, <-leaveMessages)
	return f.deregister(ctx)
}

func (f *Fleet) notifyPeers(ctx context.Context, all []leaveMessage) {
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	var group errgroup.Group
	for _, last := range all {
		group.Go(func() error {
			return f.options.Caller.Call(ctx, last.to, methodPing, last.message, nil)
		})
	}
	if err := group.Wait(); err != nil {
		f.options.Log.Debug().Err(err).Msg("peer not notified that this daemon has left")
	}
}

// deregister waits until the registrar has stopped, which could otherwise register again,
// and records the end of the incarnation in the store.
func (f *Fleet) deregister(ctx context.Context) error {
	if f.options.Store == nil {
		return nil
	}
	select {
	case <-f.stopped:
	case <-ctx.Done():
		return ctx.Err()
	}
	_, err := f.options.Store.Update(ctx, incarnationKey(f.self.ID), end(f.self, Left))
	if lease := f.StoreLease(); lease != 0 {
		err = errors.Join(err, f.options.Store.RevokeLease(ctx, lease))
	}
	return err
}
