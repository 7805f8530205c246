// Package fleettest provides a fleet.View for tests, whose members are set by the test.
package fleettest

import (
	"slices"
	"strings"
	"sync"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/process/fleet"
)

// View is a fleet.View with settable members. It is safe for concurrent use.
type View struct {
	mu      sync.Mutex
	self    fleet.Member
	members map[peer.MemberID]fleet.Member
	ended   map[peer.Ref]bool
	changed chan struct{}
}

var _ fleet.View = (*View)(nil)

// NewView returns the view of self, with self and the others as members. A member
// without a state is Alive.
func NewView(self fleet.Member, others ...fleet.Member) *View {
	v := &View{
		self:    withState(self),
		members: make(map[peer.MemberID]fleet.Member),
		ended:   make(map[peer.Ref]bool),
		changed: make(chan struct{}),
	}
	v.Set(self)
	for _, m := range others {
		v.Set(m)
	}
	return v
}

func withState(m fleet.Member) fleet.Member {
	if m.State == "" {
		m.State = fleet.Alive
	}
	return m
}

// Set adds or replaces a member. A higher incarnation ends the earlier one; an
// incarnation that is Ended stays so.
func (v *View) Set(m fleet.Member) {
	v.mu.Lock()
	defer v.mu.Unlock()
	m = withState(m)
	if v.ended[m.Ref] {
		return
	}
	if old, ok := v.members[m.ID]; ok {
		if old.Incarnation > m.Incarnation {
			return
		}
		if old.Incarnation < m.Incarnation {
			v.ended[old.Ref] = true
		}
	}
	v.members[m.ID] = m
	if m.State == fleet.Ended {
		v.ended[m.Ref] = true
	}
	if m.ID == v.self.ID {
		v.self = m
	}
	v.notify()
}

// SetState changes the state of a known member.
func (v *View) SetState(id peer.MemberID, s fleet.State) {
	if m, ok := v.Lookup(id); ok {
		m.State = s
		v.Set(m)
	}
}

// SetEnded ends an incarnation of a member.
func (v *View) SetEnded(ref peer.Ref) {
	if m, ok := v.Lookup(ref.ID); ok && m.Ref == ref {
		v.SetState(ref.ID, fleet.Ended)
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.ended[ref] = true
	v.notify()
}

func (v *View) notify() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// Self implements fleet.View.
func (v *View) Self() fleet.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.self
}

// Members implements fleet.View.
func (v *View) Members() []fleet.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	var members []fleet.Member
	for _, m := range v.members {
		if m.State != fleet.Ended {
			members = append(members, m)
		}
	}
	slices.SortFunc(members, func(a, b fleet.Member) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	return members
}

// Lookup implements fleet.View.
func (v *View) Lookup(id peer.MemberID) (fleet.Member, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	m, ok := v.members[id]
	return m, ok
}

// HasEnded implements fleet.View.
func (v *View) HasEnded(ref peer.Ref) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.ended[ref] || v.members[ref.ID].Incarnation > ref.Incarnation
}

// Changed implements fleet.View.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}
