package fleet

import (
	"cmp"
	"fmt"
	"slices"

	"fennelshunt.example/fennelshunt/connection/peer"
)

func compareIDs(a, b peer.MemberID) int { return cmp.Compare(a, b) }

// snapshot is one immutable state of the view.
type snapshot struct {
	self    Member
	members []Member // those not Ended and with known addresses, by ID
	latest  map[peer.MemberID]latestIncarnation
	changed chan struct{}
}

// latestIncarnation is the latest known incarnation of a member.
type latestIncarnation struct {
	Member
	cause Cause
}

// Self implements View.
func (f *Fleet) Self() Member { return f.view.Load().self }

// Members implements View.
func (f *Fleet) Members() []Member { return f.view.Load().members }

// Changed implements View.
func (f *Fleet) Changed() <-chan struct{} { return f.view.Load().changed }

// Lookup implements View.
func (f *Fleet) Lookup(id peer.MemberID) (Member, bool) {
	latest, ok := f.view.Load().latest[id]
	return latest.Member, ok
}

// HasEnded implements View.
func (f *Fleet) HasEnded(ref peer.Ref) bool {
	_, ok := f.EndCause(ref)
	return ok
}

// EndCause returns the cause for which an incarnation has ended, and false if it is not
// known to have ended. After LeaseExpired the process may still run, suspended or
// partitioned; it detects the end before it registers again. After the other causes
// the process has stopped acting as that incarnation, or its VM was removed.
func (f *Fleet) EndCause(ref peer.Ref) (Cause, bool) {
	latest, ok := f.view.Load().latest[ref.ID]
	switch {
	case !ok || ref.Incarnation > latest.Incarnation:
		return NotEnded, false
	case ref.Incarnation < latest.Incarnation:
		return Replaced, true
	default:
		return latest.cause, latest.cause != NotEnded
	}
}

// Resolve returns the peer address of an incarnation. It is a peer.Resolver.
func (f *Fleet) Resolve(ref peer.Ref) (string, bool) {
	latest, ok := f.view.Load().latest[ref.ID]
	if !ok || latest.Ref != ref || latest.PeerAddr == "" {
		return "", false
	}
	return latest.PeerAddr, true
}

// newSnapshot returns a view of the table. If the table has a later incarnation of
// this daemon, its own entry is shown as Ended.
func newSnapshot(t *table, self Member) *snapshot {
	self.State = Ended
	s := &snapshot{
		self:    self,
		latest:  make(map[peer.MemberID]latestIncarnation, len(t.entries)),
		changed: make(chan struct{}),
	}
	for id, e := range t.entries {
		m := e.member()
		s.latest[id] = latestIncarnation{Member: m, cause: e.Ended}
		if e.usable() {
			s.members = append(s.members, m)
		}
		if m.Ref == self.Ref {
			s.self = m
		}
	}
	slices.SortFunc(s.members, func(a, b Member) int { return compareIDs(a.ID, b.ID) })
	return s
}

// checkSuccession returns an error if next violates a guarantee with respect to s: a
// lower incarnation, or an incarnation that had ended and is back.
func (s *snapshot) checkSuccession(next *snapshot) error {
	for id, before := range s.latest {
		after, ok := next.latest[id]
		switch {
		case !ok && before.cause == NotEnded:
			return fmt.Errorf("fleet: invariant: member %s vanished without having ended", id)
		case ok && after.Incarnation < before.Incarnation:
			return fmt.Errorf("fleet: invariant: incarnation of %s fell from %d to %d", id, before.Incarnation, after.Incarnation)
		case ok && after.Ref == before.Ref && before.cause != NotEnded && after.cause == NotEnded:
			return fmt.Errorf("fleet: invariant: incarnation %s/%d had ended and is back", id, before.Incarnation)
		}
	}
	return nil
}
