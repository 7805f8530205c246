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
	members []Member // not gone, addresses known, by ID
	newest  map[peer.MemberID]lastLife
	changed chan struct{}
}

// lastLife is the newest known life of a member.
type lastLife struct {
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
	life, ok := f.view.Load().newest[id]
	return life.Member, ok
}

// Gone implements View.
func (f *Fleet) Gone(ref peer.Ref) bool {
	_, ok := f.Ended(ref)
	return ok
}

// Ended returns why that life of the member is over, and false when it is not
// known to be. After Lapsed the process may still run, paused or cut off; it
// will find out before it registers again. The other causes say that the
// process stopped acting in that life, or that its VM was taken away.
func (f *Fleet) Ended(ref peer.Ref) (Cause, bool) {
	life, ok := f.view.Load().newest[ref.ID]
	switch {
	case !ok || ref.Incarnation > life.Incarnation:
		return NotEnded, false
	case ref.Incarnation < life.Incarnation:
		return Replaced, true
	default:
		return life.cause, life.cause != NotEnded
	}
}

// Resolve returns the peer address of a life; it serves as a peer.Resolver.
func (f *Fleet) Resolve(ref peer.Ref) (string, bool) {
	life, ok := f.view.Load().newest[ref.ID]
	if !ok || life.Ref != ref || life.PeerAddr == "" {
		return "", false
	}
	return life.PeerAddr, true
}

// newSnapshot copies what the table says into a view. Once the table knows a
// later life of this daemon, its own life is shown as gone.
func newSnapshot(t *table, self Member) *snapshot {
	self.State = Gone
	s := &snapshot{
		self:    self,
		newest:  make(map[peer.MemberID]lastLife, len(t.entries)),
		changed: make(chan struct{}),
	}
	for id, e := range t.entries {
		m := e.member()
		s.newest[id] = lastLife{Member: m, cause: e.Ended}
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

// checkSuccession returns an error when next breaks a guarantee that held of
// s: a lower incarnation, or a life that was over and is back.
func (s *snapshot) checkSuccession(next *snapshot) error {
	for id, before := range s.newest {
		after, ok := next.newest[id]
		switch {
		case !ok && before.cause == NotEnded:
			return fmt.Errorf("fleet: invariant: member %s vanished without an end", id)
		case ok && after.Incarnation < before.Incarnation:
			return fmt.Errorf("fleet: invariant: incarnation of %s fell from %d to %d", id, before.Incarnation, after.Incarnation)
		case ok && after.Ref == before.Ref && before.cause != NotEnded && after.cause == NotEnded:
			return fmt.Errorf("fleet: invariant: life %s/%d was over and is back", id, before.Incarnation)
		}
	}
	return nil
}
