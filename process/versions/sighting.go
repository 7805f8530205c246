package versions

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/process/fleet"
)

// sightings holds the version last heard of each member.
type sightings struct {
	mu      sync.Mutex
	members map[peer.MemberID]sighting
}

// sighting is the latest that is known of one member.
type sighting struct {
	Sighting
	// direct is set when the member told this daemon itself.
	direct bool
	loaded bool
}

// note takes a sighting in. A later life replaces an earlier one, whose version
// may have been higher; within one life versions only rise.
func (t *sightings) note(s Sighting, loaded, direct bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.members == nil {
		t.members = make(map[peer.MemberID]sighting)
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
	t.members[s.Member.ID] = sighting{Sighting: s, direct: direct, loaded: loaded}
}

// forget drops what a member told after it could not give it.
func (t *sightings) forget(ref peer.Ref) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.members[ref.ID].Member == ref {
		delete(t.members, ref.ID)
	}
}

// keep drops members that are no longer in the fleet.
func (t *sightings) keep(members []fleet.Member) {
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

// later returns up to n members that told themselves of a version above have,
// the highest version first.
func (t *sightings) later(have uint64, n int) []Sighting {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []Sighting
	for _, s := range t.members {
		if s.direct && s.Version > have {
			found = append(found, s.Sighting)
		}
	}
	slices.SortFunc(found, func(a, b Sighting) int {
		return cmp.Or(cmp.Compare(b.Version, a.Version), cmp.Compare(a.Member.ID, b.Member.ID))
	})
	return found[:min(n, len(found))]
}

// highest returns the highest version heard of.
func (t *sightings) highest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var version uint64
	for _, s := range t.members {
		version = max(version, s.Version)
	}
	return version
}

// anyLoaded reports whether some member knows the configuration.
func (t *sightings) anyLoaded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.members {
		if s.loaded {
			return true
		}
	}
	return false
}

// sample returns up to n random sightings.
func (t *sightings) sample(n int, random *rand.Rand) []Sighting {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]Sighting, 0, len(t.members))
	for _, s := range t.members {
		all = append(all, s.Sighting)
	}
	slices.SortFunc(all, func(a, b Sighting) int { return cmp.Compare(a.Member.ID, b.Member.ID) })
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}

// of returns what was heard of one life of a member.
func (t *sightings) of(ref peer.Ref) (Sighting, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.members[ref.ID]
	return s.Sighting, ok && s.Member == ref
}
