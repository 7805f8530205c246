package ownership

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/fleet"
)

// entry is the latest known claim of a resource.
type entry struct {
	record
	revision store.Revision
	// hint is set if the claim was not read from the store, so that its revision is
	// unknown.
	hint bool
}

// record is the value of a resource's claim in the store.
type record struct {
	Claim
	// Earlier is Grant.EarlierOwners. Without it, when an owner fails before it has fenced
	// its predecessor, the next owner would not fence that predecessor, which may be
	// suspended and later start work.
	Earlier []peer.Ref `json:"earlier,omitempty"`
	Notes   []string   `json:"notes,omitempty"`
}

// state is the state of a manager, confined to its goroutine.
type state struct {
	ctx         context.Context
	m           *Manager
	claims      map[Resource]entry
	owned       map[Resource]Claim     // owned resources, for which Acquired was called
	inFlight    map[Resource]bool      // a claim or transfer is in progress
	lostEpochs  map[Resource]uint64    // highest epochs acquired or lost, which are not acquired again
	delays      map[Resource]retry     // pauses after failures
	misplaced   map[Resource]time.Time // since when another member is the assigned owner
	unowned     map[Resource]time.Time // since when a resource has no running owner
	assignments map[string]assignment  // by prefix
	began       time.Time
	leaving     bool
	dirty       bool
}

// retry is the time of the next try after a failure, and the pause before it.
type retry struct {
	after time.Time
	delay time.Duration
}

func newState(ctx context.Context, m *Manager) *state {
	return &state{
		ctx:         ctx,
		m:           m,
		assignments: make(map[string]assignment),
		began:       time.Now(),
		claims:      make(map[Resource]entry),
		owned:       make(map[Resource]Claim),
		inFlight:    make(map[Resource]bool),
		lostEpochs:  make(map[Resource]uint64),
		delays:      make(map[Resource]retry),
		misplaced:   make(map[Resource]time.Time),
		unowned:     make(map[Resource]time.Time),
	}
}

// handler returns the handler of the resource's prefix.
func (s *state) handler(r Resource) (Handler, bool) {
	for _, reg := range s.m.registrations {
		if strings.HasPrefix(string(r), reg.prefix) {
			return reg.handler, true
		}
	}
	return nil, false
}

// applyItems applies claims as read from the store. If reset is set, items are all
// claims that exist.
func (s *state) applyItems(items []store.Item, deleted []string, reset bool) {
	if reset {
		for r, e := range s.claims {
			isClaim := func(item store.Item) bool { return item.Key == keyPrefix+string(r) }
			if e.revision != 0 && !slices.ContainsFunc(items, isClaim) {
				s.removed(r)
			}
		}
	}
	for _, item := range items {
		c, err := decodeClaim(item)
		if err != nil {
			s.m.log.Error().Err(err).Msg("claim cannot be decoded and is ignored")
			continue
		}
		s.apply(entry{record: c, revision: item.Revision})
	}
	for _, key := range deleted {
		s.removed(Resource(strings.TrimPrefix(key, keyPrefix)))
	}
}

// removed handles a claim that was deleted manually: its epoch is kept, so that the
// next claim is still higher.
func (s *state) removed(r Resource) {
	e, ok := s.claims[r]
	if !ok {
		return
	}
	e.revision, e.Released, e.hint = 0, true, false
	s.claims[r] = e
	s.dirty = true
	s.loseIfOwned(r, "claim deleted")
}

// apply records a newer claim. Older ones are ignored, so that epochs only rise in
// this daemon, whatever the order in which claims arrive.
func (s *state) apply(e entry) {
	old, known := s.claims[e.Resource]
	if known && !newer(e, old) {
		return
	}
	s.claims[e.Resource] = e
	s.dirty = true
	delete(s.unowned, e.Resource)
	current, mine := s.owned[e.Resource]
	switch {
	case mine && e.Epoch == current.Epoch && e.Owner != current.Owner:
		panic(fmt.Sprintf("ownership: two owners of %s in epoch %d", e.Resource, e.Epoch))
	case mine && (e.Epoch > current.Epoch || e.Released):
		s.loseIfOwned(e.Resource, "a higher epoch was seen")
	}
	if e.Owner == s.self() && !e.Released && !e.hint && e.Epoch > s.lostEpochs[e.Resource] && !s.leaving {
		// Also reached when the response to this daemon's own write was lost and the
		// claim is seen only now.
		s.acquire(e, old.Claim)
	}
}

// newer reports whether a replaces b as the latest known claim.
func newer(a, b entry) bool {
	if a.Epoch != b.Epoch {
		return a.Epoch > b.Epoch
	}
	if a.Released != b.Released {
		return a.Released
	}
	if a.hint || (b.Released && !a.Released) {
		return false
	}
	return b.hint || a.revision > b.revision
}

func (s *state) acquire(e entry, previous Claim) {
	h, ok := s.handler(e.Resource)
	if _, mine := s.owned[e.Resource]; !ok || mine {
		return
	}
	s.owned[e.Resource] = e.Claim
	s.lostEpochs[e.Resource] = e.Epoch // must not be acquired a second time
	s.m.log.Info().Str("resource", string(e.Resource)).Uint64("epoch", e.Epoch).Msg("resource acquired")
	h.Acquired(s.ctx, Grant{Claim: e.Claim, Previous: previous, EarlierOwners: e.Earlier, Notes: e.Notes})
}

// observe applies a claim reported by a peer or a worker.
func (s *state) observe(c Claim) { s.apply(entry{record: record{Claim: c}, hint: true}) }

func (s *state) loseIfOwned(r Resource, reason string) {
	c, ok := s.owned[r]
	if !ok {
		return
	}
	delete(s.owned, r)
	delete(s.misplaced, r)
	s.lostEpochs[r] = max(s.lostEpochs[r], c.Epoch)
	s.dirty = true
	s.m.log.Warn().Str("resource", string(r)).Uint64("epoch", c.Epoch).Str("reason", reason).Msg("resource lost")
	if h, ok := s.handler(r); ok {
		h.Lost(r, c.Epoch)
	}
}

func (s *state) loseAll(reason string) {
	for _, r := range sortedResources(s.owned) {
		s.loseIfOwned(r, reason)
	}
}

func sortedResources[V any](m map[Resource]V) []Resource {
	list := make([]Resource, 0, len(m))
	for r := range m {
		list = append(list, r)
	}
	slices.Sort(list)
	return list
}

// tick compares assigned and actual owners, and starts claims and transfers.
func (s *state) tick() {
	start, renew := s.m.Authority()
	if renew <= 0 {
		s.loseAll("authority expired")
	}
	self := s.m.o.View.Self()
	if self.State == fleet.Leaving {
		s.leaving = true
	}
	candidates := s.candidates()
	for _, reg := range s.m.registrations {
		listed := reg.resources()
		resources := s.withClaimed(reg.prefix, listed)
		targets := s.assign(reg.prefix, resources, candidates)
		s.retire(reg.prefix, listed)
		for _, r := range resources {
			// A handler that lists no resources, because it has not been able to read
			// them yet, could not serve one.
			mayClaim := start > 0 && self.State == fleet.Alive && len(listed) > 0 &&
				time.Since(s.began) >= s.m.o.StartDelay
			s.check(r, targets[r], candidates, mayClaim)
		}
	}
	if s.leaving {
		for _, r := range sortedResources(s.owned) {
			s.transfer(r)
		}
	}
}

// assignment is the latest result of Assign with its input.
type assignment struct {
	resources []Resource
	members   []peer.MemberID
	targets   map[Resource]peer.MemberID
}

// assign returns the result of Assign, which is computed only when its input changes:
// with hundreds of resources and members it is too expensive for every tick.
func (s *state) assign(prefix string, resources []Resource, members []peer.MemberID) map[Resource]peer.MemberID {
	slices.Sort(resources)
	a := s.assignments[prefix]
	if a.targets == nil || !slices.Equal(a.resources, resources) || !slices.Equal(a.members, members) {
		a = assignment{resources, members, Assign(resources, members)}
		s.assignments[prefix] = a
	}
	return a.targets
}

func setOf(resources []Resource) map[Resource]bool {
	set := make(map[Resource]bool, len(resources))
	for _, r := range resources {
		set[r] = true
	}
	return set
}

// withClaimed adds the resources that are claimed but no longer listed: they need an
// owner until the handler has agreed to their release.
func (s *state) withClaimed(prefix string, listed []Resource) []Resource {
	all := slices.Clone(listed)
	known := setOf(listed)
	for r, e := range s.claims {
		if strings.HasPrefix(string(r), prefix) && !e.Released && !known[r] {
			all = append(all, r)
		}
	}
	return all
}

// retire releases resources that are no longer listed, once the handler agrees.
func (s *state) retire(prefix string, listed []Resource) {
	if len(listed) == 0 {
		return // nothing has been read yet
	}
	now := time.Now()
	known := setOf(listed)
	for r := range s.owned {
		if strings.HasPrefix(string(r), prefix) && !known[r] && now.After(s.delays[r].after) {
			s.transfer(r)
		}
	}
}

// candidates returns the members that may be assigned resources: suspects keep what
// they own and get nothing new.
func (s *state) candidates() []peer.MemberID {
	var ids []peer.MemberID
	for _, member := range s.m.o.View.Members() {
		if member.State == fleet.Alive {
			ids = append(ids, member.ID)
		}
	}
	return ids
}

func (s *state) check(r Resource, target peer.MemberID, candidates []peer.MemberID, mayClaim bool) {
	if s.inFlight[r] || s.leaving {
		return
	}
	if _, mine := s.owned[r]; mine {
		s.checkAssignment(r, target)
		return
	}
	if !s.ownerless(r) {
		delete(s.unowned, r)
		return
	}
	now := time.Now()
	since, ok := s.unowned[r]
	if !ok {
		since = now
		s.unowned[r] = now
	}
	if !mayClaim || now.Before(s.delays[r].after) {
		return
	}
	if target == s.self().ID || s.fallbackDue(r, target, candidates, now.Sub(since)) {
		s.claim(r)
	}
}

// ownerless reports whether r, which this daemon does not own, has no claim by another
// daemon either, or one whose incarnation is known to have ended.
func (s *state) ownerless(r Resource) bool {
	e, ok := s.claims[r]
	if !ok || e.Released {
		return true
	}
	if e.Owner.ID == s.self().ID {
		return true // an earlier incarnation of this daemon, or a claim that it has lost
	}
	if s.m.o.View.HasEnded(e.Owner) {
		return true
	}
	member, ok := s.m.o.View.Lookup(e.Owner.ID)
	return ok && member.Incarnation > e.Owner.Incarnation
}

// fallbackDue reports whether the members ranked above this one have left r unclaimed
// for too long: the assigned owner may be unable to reach the store while this daemon
// can.
func (s *state) fallbackDue(r Resource, target peer.MemberID, candidates []peer.MemberID, unowned time.Duration) bool {
	order := slices.DeleteFunc(ranking(r, candidates), func(id peer.MemberID) bool { return id == target })
	rank := slices.Index(order, s.self().ID)
	return rank >= 0 && unowned >= time.Duration(rank+1)*s.m.o.Fallback
}

// checkAssignment transfers a resource when another member has been its assigned owner
// for the whole hold-down time.
func (s *state) checkAssignment(r Resource, target peer.MemberID) {
	if target == s.self().ID || target == "" {
		delete(s.misplaced, r)
		return
	}
	now := time.Now()
	since, ok := s.misplaced[r]
	if !ok {
		s.misplaced[r] = now
		return
	}
	if now.Sub(since) >= s.m.o.HoldDown && len(s.inFlight) < maxTransfers && now.After(s.delays[r].after) {
		s.transfer(r)
	}
}
