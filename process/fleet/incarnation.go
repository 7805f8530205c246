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

// ErrEvicted means that this incarnation of the daemon has ended: the others evicted
// it, or a later incarnation appeared. The process drops its state, stops serving and
// starts again with a later incarnation.
var ErrEvicted = errors.New("fleet: this incarnation of the daemon was evicted")

// EvictedError has the information that the next incarnation needs. It matches
// ErrEvicted and terminates the supervisor tree that runs the fleet.
type EvictedError struct {
	Cause Cause
	// Floor is a number that the next incarnation must exceed.
	Floor uint64
}

// Error implements error.
func (e *EvictedError) Error() string { return fmt.Sprintf("%v: %s", ErrEvicted, e.Cause) }

// Unwrap returns the errors that errors.Is matches.
func (e *EvictedError) Unwrap() []error {
	return []error{ErrEvicted, suture.ErrTerminateSupervisorTree}
}

// Incarnation is a claimed incarnation.
type Incarnation struct {
	Ref   peer.Ref
	owner string // see incarnationRecord.Owner
	// Provisional is set if the store could not be reached: the incarnation is taken
	// from the clock and is confirmed when the daemon registers.
	Provisional bool
}

// ClaimIncarnation chooses the incarnation of a starting daemon: above floor, above every
// earlier one, by compare-and-swap in the store, and not below the clock in
// milliseconds. With the clock it rises even while the store is down and the daemon
// cannot read its earlier incarnations: with a plain counter, two restarts in an
// outage would choose the same number and be mistaken for each other. When ctx ends
// before the store has answered, the result is provisional.
func ClaimIncarnation(ctx context.Context, members *store.Handle, id peer.MemberID, floor uint64) Incarnation {
	claimed := Incarnation{
		Ref:   peer.Ref{ID: id, Incarnation: max(clock(), floor+1)},
		owner: uuid.NewString(),
	}
	for ctx.Err() == nil {
		err := claim(ctx, members, &claimed)
		if err == nil {
			return claimed
		}
		_ = sleep.For(ctx, claimRetry) // the loop checks ctx
	}
	claimed.Provisional = true
	return claimed
}

const claimRetry = 200 * time.Millisecond

func clock() uint64 { return uint64(time.Now().UnixMilli()) }

func claim(ctx context.Context, members *store.Handle, claimed *Incarnation) error {
	_, err := members.Update(ctx, incarnationKey(claimed.Ref.ID), func(cur []byte, exists bool) ([]byte, error) {
		var rec incarnationRecord
		if exists {
			var err error
			if rec, err = decodeIncarnation(cur); err != nil {
				return nil, err
			}
		}
		claimed.Ref.Incarnation = max(claimed.Ref.Incarnation, rec.Incarnation+1, rec.Ended+1)
		rec.endEarlier(claimed.Ref.Incarnation)
		rec.Incarnation, rec.Owner = claimed.Ref.Incarnation, claimed.owner
		rec.Registrations = 0
		rec.ChangedAt = time.Now().Unix()
		return peer.Marshal(rec)
	})
	return err
}

// endEarlier marks the incarnations before the given one as replaced.
func (r *incarnationRecord) endEarlier(incarnation uint64) {
	if r.Incarnation > 0 && r.Incarnation < incarnation && r.Ended < r.Incarnation {
		r.Ended, r.Cause = r.Incarnation, Replaced
	}
}

// confirm updates the incarnation record for a registration. It fails with an
// *EvictedError if the incarnation has ended, or if another process has claimed the
// same or a later one.
func (i Incarnation) confirm(cur []byte, exists bool) ([]byte, error) {
	var rec incarnationRecord
	if exists {
		var err error
		if rec, err = decodeIncarnation(cur); err != nil {
			return nil, err
		}
	}
	self := i.Ref.Incarnation
	switch {
	case rec.Incarnation > self, rec.Incarnation == self && rec.Owner != i.owner && rec.Owner != "":
		return nil, &EvictedError{Cause: Replaced, Floor: rec.Incarnation}
	case rec.Ended >= self:
		return nil, &EvictedError{Cause: rec.Cause, Floor: rec.Ended}
	}
	rec.endEarlier(self)
	rec.Incarnation, rec.Owner = self, i.owner
	rec.Registrations++
	rec.ChangedAt = time.Now().Unix()
	return peer.Marshal(rec)
}

// errAlreadyLater stops an update that would change nothing.
var errAlreadyLater = store.ErrNoChange

// end returns an update of the incarnation record that records the end of ref.
func end(ref peer.Ref, cause Cause) func([]byte, bool) ([]byte, error) {
	return func(cur []byte, exists bool) ([]byte, error) {
		var rec incarnationRecord
		if exists {
			var err error
			if rec, err = decodeIncarnation(cur); err != nil {
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
