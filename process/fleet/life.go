package fleet

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/thejerf/suture/v4"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/internal/sleep"
)

// ErrEvicted says that this life of the daemon is over: the others took it for
// gone or a later life appeared. The process drops its state, ends what it
// serves and starts anew with a later incarnation.
var ErrEvicted = errors.New("fleet: this life of the daemon is over")

// EvictedError carries what the next life has to know. It matches ErrEvicted
// and ends the supervisor tree that runs the fleet.
type EvictedError struct {
	Cause Cause
	// Floor is an incarnation that the next life must exceed.
	Floor uint64
}

// Error implements error.
func (e *EvictedError) Error() string { return fmt.Sprintf("%v: %s", ErrEvicted, e.Cause) }

// Unwrap implements the matching of errors.Is.
func (e *EvictedError) Unwrap() []error {
	return []error{ErrEvicted, suture.ErrTerminateSupervisorTree}
}

// Life is a claimed incarnation.
type Life struct {
	Ref   peer.Ref
	owner string // see lifeRecord.Owner
	// Provisional is set when the store could not be reached: the incarnation
	// comes from the clock and is confirmed when the daemon registers.
	Provisional bool
}

// ClaimLife chooses the incarnation of a starting daemon: above floor, above
// every earlier one by compare-and-swap in the store, and not below the clock
// in milliseconds. The clock makes it rise also while the store is down, when
// the daemon cannot read its earlier incarnations: with a plain counter two
// restarts in an outage would take the same one and be taken for each other.
// It gives up on the store when ctx ends and returns a provisional life.
func ClaimLife(ctx context.Context, members *store.Handle, id peer.MemberID, floor uint64) Life {
	life := Life{
		Ref:   peer.Ref{ID: id, Incarnation: max(clock(), floor+1)},
		owner: uuid.NewString(),
	}
	for ctx.Err() == nil {
		err := claim(ctx, members, &life)
		if err == nil {
			return life
		}
		_ = sleep.For(ctx, claimRetry) // the loop looks at ctx
	}
	life.Provisional = true
	return life
}

const claimRetry = 200 * time.Millisecond

func clock() uint64 { return uint64(time.Now().UnixMilli()) }

func claim(ctx context.Context, members *store.Handle, life *Life) error {
	_, err := members.Update(ctx, lifeKey(life.Ref.ID), func(cur []byte, exists bool) ([]byte, error) {
		var rec lifeRecord
		if exists {
			var err error
			if rec, err = decodeLife(cur); err != nil {
				return nil, err
			}
		}
		life.Ref.Incarnation = max(life.Ref.Incarnation, rec.Incarnation+1, rec.Ended+1)
		rec.endEarlier(life.Ref.Incarnation)
		rec.Incarnation, rec.Owner = life.Ref.Incarnation, life.owner
		rec.Registrations = 0
		rec.ChangedAt = time.Now().Unix()
		return peer.Marshal(rec)
	})
	return err
}

// endEarlier marks the lives before the incarnation as replaced.
func (r *lifeRecord) endEarlier(incarnation uint64) {
	if r.Incarnation > 0 && r.Incarnation < incarnation && r.Ended < r.Incarnation {
		r.Ended, r.Cause = r.Incarnation, Replaced
	}
}

// confirm is the life's step of a registration in the store: it fails with an
// *EvictedError when the life was ended or another process holds a life that
// is as new or newer.
func (l Life) confirm(cur []byte, exists bool) ([]byte, error) {
	var rec lifeRecord
	if exists {
		var err error
		if rec, err = decodeLife(cur); err != nil {
			return nil, err
		}
	}
	self := l.Ref.Incarnation
	switch {
	case rec.Incarnation > self, rec.Incarnation == self && rec.Owner != l.owner && rec.Owner != "":
		return nil, &EvictedError{Cause: Replaced, Floor: rec.Incarnation}
	case rec.Ended >= self:
		return nil, &EvictedError{Cause: rec.Cause, Floor: rec.Ended}
	}
	rec.endEarlier(self)
	rec.Incarnation, rec.Owner = self, l.owner
	rec.Registrations++
	rec.ChangedAt = time.Now().Unix()
	return peer.Marshal(rec)
}

// errAlreadyLater stops an update that would say nothing new.
var errAlreadyLater = store.ErrNoChange

// end records that the life is over.
func end(ref peer.Ref, cause Cause) func([]byte, bool) ([]byte, error) {
	return func(cur []byte, exists bool) ([]byte, error) {
		var rec lifeRecord
		if exists {
			var err error
			if rec, err = decodeLife(cur); err != nil {
				return nil, err
			}
		}
		if rec.Ended >= ref.Incarnation {
			return nil, errAlreadyLater
		}
		rec.Ended, rec.Cause = ref.Incarnation, cause
		rec.Incarnation = max(rec.Incarnation, ref.Incarnation)
		rec.ChangedAt = time.Now().Unix()
		return peer.Marshal(rec)
	}
}
