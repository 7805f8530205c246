package versions

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/process/fleet"
)

// observations holds the latest version known of each member.
type observations struct {
	mu      sync.Mutex
	members map[peer.MemberID]observation
}

// observation is the latest that is known of one member.
type observation struct {
	Observation
	// direct is set when the member itself reported the version.
	direct bool
	loaded bool
}

// record stores an observation. That of a later incarnation replaces that of an
// earlier one, whose version may have been higher; within one incarnation versions
// only rise.
func (t *observations) record(s Observation, loaded, direct bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.members == nil {
		t.members = make(map[peer.MemberID]observation)
	}
	old, ok := t.members[s.Member.ID]
	switch {
	case ok && old.Member.Incarnation > s.Member.Incarnation:
		return
	case ok && old.Member.Incarnation == s.Member.Incarnation:
		s.Version = max(s.Version, old.Version)
		direct = direct || old.direct
		loaded = loaded || old.loaded
	}
	t.members[s.Member.ID] = observation{Observation: s, direct: direct, loaded: loaded}
}

// drop removes the observation of a member that could not deliver its version.
func (t *observations) drop(ref peer.Ref) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.members[ref.ID].Member == ref {
		delete(t.members, ref.ID)
	}
}

// retain removes members that are no longer in the fleet.
func (t *observations) retain(members []fleet.Member) {
	present := make(map[peer.MemberID]bool, len(members))
	for _, m := range members {
		present[m.ID] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.members {
		if !present[id] {
			delete(t.members, id)
		}
	}
}

// later returns up to n members that themselves reported a version above have,
// the highest version first.
func (t *observations) later(have uint64, n int) []Observation {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []Observation
	for _, s := range t.members {
		if s.direct && s.Version > have {
			found = append(found, s.Observation)
		}
	}
	slices.SortFunc(found, func(a, b Observation) int {
		return cmp.Or(cmp.Compare(b.Version, a.Version), cmp.Compare(a.Member.ID, b.Member.ID))
	})
	return found[:min(n, len(found))]
}

// highest returns the highest version observed.
func (t *observations) highest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var version uint64
	for _, s := range t.members {
		version = max(version, s.Version)
	}
	return version
}

// anyLoaded reports whether any member has the configuration.
func (t *observations) anyLoaded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.members {
		if s.loaded {
			return true
		}
	}
	return false
}

// sample returns up to n random observations.
func (t *observations) sample(n int, random *rand.Rand) []Observation {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]Observation, 0, len(t.members))
	for _, s := range t.members {
		all = append(all, s.Observation)
	}
	slices.SortFunc(all, func(a, b Observation) int { return cmp.Compare(a.Member.ID, b.Member.ID) })
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}

// of returns the observation of one incarnation of a member.
func (t *observations) of(ref peer.Ref) (Observation, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.members[ref.ID]
	return s.Observation, ok && s.Member == ref
}
