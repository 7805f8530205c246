package fleet

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"fennelshunt.example/fennelshunt/connection/peer"
)

// farewellTimeout bounds how long Leave waits for each peer that it tells.
const farewellTimeout = time.Second

// drain marks this daemon as leaving.
type drain struct{ done chan<- struct{} }

func (d drain) apply(l *loop) {
	own := l.table.entries[l.fleet.self.ID].delta
	own.Flags |= flagLeaving
	l.merge(own, true)
	l.publish()
	close(d.done)
}

// leave ends this life and the loop.
type leave struct{ farewell chan<- []farewell }

// farewell is the last ping to one peer.
type farewell struct {
	to      peer.Ref
	message ping
}

func (v leave) apply(l *loop) {
	l.failure = errLeft // before the merge, which would else take it for an eviction
	own := l.table.entries[l.fleet.self.ID].delta
	own.Ended = Left
	l.merge(own, true)
	l.publish()
	own.Info = nil
	var all []farewell
	for _, id := range l.targets {
		if e := l.table.entries[id]; e != nil && e.usable() {
			all = append(all, farewell{to: e.ref(), message: ping{Deltas: []delta{own}, Digest: l.table.digest}})
		}
	}
	v.farewell <- all
}

// Leave ends the membership for good once everything is handed over: the peers
// are told, the life is recorded as over, and the lease is revoked. The view
// stays readable and Serve returns. An error means that the store could not
// be told; the lease then lapses by itself and the peers know already.
func (f *Fleet) Leave(ctx context.Context) error {
	farewells := make(chan []farewell, 1)
	if err := f.post(ctx, leave{farewell: farewells}); err != nil {
		if errors.Is(err, ErrStopped) {
			return nil
		}
		return err
	}
	f.tell(ctx, <-farewells)
	return f.deregister(ctx)
}

func (f *Fleet) tell(ctx context.Context, all []farewell) {
	ctx, cancel := context.WithTimeout(ctx, farewellTimeout)
	defer cancel()
	var group errgroup.Group
	for _, last := range all {
		group.Go(func() error {
			return f.options.Caller.Call(ctx, last.to, methodPing, last.message, nil)
		})
	}
	if err := group.Wait(); err != nil {
		f.options.Log.Debug().Err(err).Msg("a peer did not hear that this daemon left")
	}
}

// deregister waits until the registrar has stopped, which could else register
// once more, and ends the life in the store.
func (f *Fleet) deregister(ctx context.Context) error {
	if f.options.Store == nil {
		return nil
	}
	select {
	case <-f.stopped:
	case <-ctx.Done():
		return ctx.Err()
	}
	_, err := f.options.Store.Update(ctx, lifeKey(f.self.ID), end(f.self, Left))
	if lease := f.StoreLease(); lease != 0 {
		err = errors.Join(err, f.options.Store.RevokeLease(ctx, lease))
	}
	return err
}
