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

// entry is the newest claim known of a resource.
type entry struct {
	record
	revision store.Revision
	// hint is set when the claim was learned elsewhere than from the store, so
	// that its revision is not known.
	hint bool
}

// record is what the store holds of a resource.
type record struct {
	Claim
	// Earlier is Grant.Earlier. Without it an owner that takes over from one
	// that died before it had fenced its predecessor would forget the
	// predecessor, which may be paused and still start work.
	Earlier []peer.Ref `json:"earlier,omitempty"`
	Notes   []string   `json:"notes,omitempty"`
}

// state belongs to the manager's goroutine.
type state struct {
	ctx     context.Context
	m       *Manager
	claims  map[Resource]entry
	held    map[Resource]Claim     // users were told Acquired
	busy    map[Resource]bool      // a claim or handover is under way
	dropped map[Resource]uint64    // epochs given up; never taken up again
	delays  map[Resource]retry     // pauses after failures
	astray  map[Resource]time.Time // since when another member is assigned
	vacant  map[Resource]time.Time // since when a resource has no live owner
	plans   map[string]assignment  // by prefix
	began   time.Time
	leaving bool
	dirty   bool
}

// retry is when a claim that failed is tried again, and the pause before it.
type retry struct {
	after time.Time
	delay time.Duration
}

func newState(ctx context.Context, m *Manager) *state {
	return &state{
		ctx:     ctx,
		m:       m,
		plans:   make(map[string]assignment),
		began:   time.Now(),
		claims:  make(map[Resource]entry),
		held:    make(map[Resource]Claim),
		busy:    make(map[Resource]bool),
		dropped: make(map[Resource]uint64),
		delays:  make(map[Resource]retry),
		astray:  make(map[Resource]time.Time),
		vacant:  make(map[Resource]time.Time),
	}
}

// user returns the user of the resource's prefix.
func (s *state) user(r Resource) (User, bool) {
	for _, reg := range s.m.users {
		if strings.HasPrefix(string(r), reg.prefix) {
			return reg.user, true
		}
	}
	return nil, false
}

// seen takes what the store says of the claims; with reset set, items is all
// there is.
func (s *state) seen(items []store.Item, deleted []string, reset bool) {
	if reset {
		for r, e := range s.claims {
			absent := func(item store.Item) bool { return item.Key == keyPrefix+string(r) }
			if e.revision != 0 && !slices.ContainsFunc(items, absent) {
				s.removed(r)
			}
		}
	}
	for _, item := range items {
		c, err := decodeClaim(item)
		if err != nil {
			s.m.log.Error().Err(err).Msg("claim not understood")
			continue
		}
		s.apply(entry{record: c, revision: item.Revision})
	}
	for _, key := range deleted {
		s.removed(Resource(strings.TrimPrefix(key, keyPrefix)))
	}
}

// removed handles a claim that somebody deleted by hand: the epoch is kept, so
// that the next claim is still higher.
func (s *state) removed(r Resource) {
	e, ok := s.claims[r]
	if !ok {
		return
	}
	e.revision, e.Released, e.hint = 0, true, false
	s.claims[r] = e
	s.dirty = true
	s.loseIfHeld(r, "claim deleted")
}

// apply takes a newer claim; older ones are ignored, so that epochs only rise
// in this daemon whatever the order of news.
func (s *state) apply(e entry) {
	old, known := s.claims[e.Resource]
	if known && !newer(e, old) {
		return
	}
	s.claims[e.Resource] = e
	s.dirty = true
	delete(s.vacant, e.Resource)
	held, mine := s.held[e.Resource]
	switch {
	case mine && e.Epoch == held.Epoch && e.Owner != held.Owner:
		panic(fmt.Sprintf("ownership: two owners of %s in epoch %d", e.Resource, e.Epoch))
	case mine && (e.Epoch > held.Epoch || e.Released):
		s.loseIfHeld(e.Resource, "a higher epoch was seen")
	}
	if e.Owner == s.self() && !e.Released && !e.hint && e.Epoch > s.dropped[e.Resource] && !s.leaving {
		// Also reached when the answer to our own write was lost and the claim
		// is seen only now.
		s.acquire(e, old.Claim)
	}
}

// newer reports whether a replaces b as the newest known claim.
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
	u, ok := s.user(e.Resource)
	if _, mine := s.held[e.Resource]; !ok || mine {
		return
	}
	s.held[e.Resource] = e.Claim
	s.dropped[e.Resource] = e.Epoch // not to be acquired a second time
	s.m.log.Info().Str("resource", string(e.Resource)).Uint64("epoch", e.Epoch).Msg("acquired")
	u.Acquired(s.ctx, Grant{Claim: e.Claim, Previous: previous, Earlier: e.Earlier, Notes: e.Notes})
}

// observe takes a claim learned from a peer or a worker.
func (s *state) observe(c Claim) { s.apply(entry{record: record{Claim: c}, hint: true}) }

func (s *state) loseIfHeld(r Resource, reason string) {
	c, ok := s.held[r]
	if !ok {
		return
	}
	delete(s.held, r)
	delete(s.astray, r)
	s.dropped[r] = max(s.dropped[r], c.Epoch)
	s.dirty = true
	s.m.log.Warn().Str("resource", string(r)).Uint64("epoch", c.Epoch).Str("reason", reason).Msg("lost")
	if u, ok := s.user(r); ok {
		u.Lost(r, c.Epoch)
	}
}

func (s *state) loseAll(reason string) {
	for _, r := range sortedResources(s.held) {
		s.loseIfHeld(r, reason)
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

// tick compares who should own with who does.
func (s *state) tick() {
	start, renew := s.m.Authority()
	if renew <= 0 {
		s.loseAll("authority ran out")
	}
	self := s.m.o.View.Self()
	if self.State == fleet.Leaving {
		s.leaving = true
	}
	candidates := s.candidates()
	for _, reg := range s.m.users {
		listed := reg.resources()
		resources := s.withClaimed(reg.prefix, listed)
		targets := s.assign(reg.prefix, resources, candidates)
		s.retire(reg.prefix, listed)
		for _, r := range resources {
			// A user that knows of no resources yet, because it could not read
			// their list, could not look after one.
			mayClaim := start > 0 && self.State == fleet.Alive && len(listed) > 0 &&
				time.Since(s.began) >= s.m.o.StartDelay
			s.check(r, targets[r], candidates, mayClaim)
		}
	}
	if s.leaving {
		for _, r := range sortedResources(s.held) {
			s.handOver(r)
		}
	}
}

// assignment is the last result of Assign with what it was made from.
type assignment struct {
	resources []Resource
	members   []peer.MemberID
	targets   map[Resource]peer.MemberID
}

// assign returns Assign's result and computes it only when its input changed:
// at hundreds of resources and members it is too dear for every tick.
func (s *state) assign(prefix string, resources []Resource, members []peer.MemberID) map[Resource]peer.MemberID {
	slices.Sort(resources)
	a := s.plans[prefix]
	if a.targets == nil || !slices.Equal(a.resources, resources) || !slices.Equal(a.members, members) {
		a = assignment{resources, members, Assign(resources, members)}
		s.plans[prefix] = a
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

// withClaimed adds the resources that are claimed but no longer listed:
// somebody must own them until the user has no more use for them.
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

// retire releases what is no longer listed, once the user agrees.
func (s *state) retire(prefix string, listed []Resource) {
	if len(listed) == 0 {
		return // nothing has been read yet
	}
	now := time.Now()
	known := setOf(listed)
	for r := range s.held {
		if strings.HasPrefix(string(r), prefix) && !known[r] && now.After(s.delays[r].after) {
			s.handOver(r)
		}
	}
}

// candidates are the members that may get resources: suspects keep what they
// own and get nothing new.
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
	if s.busy[r] || s.leaving {
		return
	}
	if _, mine := s.held[r]; mine {
		s.checkPlace(r, target)
		return
	}
	if !s.ownerless(r) {
		delete(s.vacant, r)
		return
	}
	now := time.Now()
	since, ok := s.vacant[r]
	if !ok {
		since = now
		s.vacant[r] = now
	}
	if !mayClaim || now.Before(s.delays[r].after) {
		return
	}
	if target == s.self().ID || s.fallbackDue(r, target, candidates, now.Sub(since)) {
		s.claim(r)
	}
}

// ownerless reports whether nobody live holds a claim of r.
func (s *state) ownerless(r Resource) bool {
	e, ok := s.claims[r]
	if !ok || e.Released {
		return true
	}
	if e.Owner.ID == s.self().ID {
		return true // an earlier life of ours, or a claim that we gave up
	}
	if s.m.o.View.Gone(e.Owner) {
		return true
	}
	member, ok := s.m.o.View.Lookup(e.Owner.ID)
	return ok && member.Incarnation > e.Owner.Incarnation
}

// fallbackDue reports whether the members before this one have left r
// unclaimed for too long: the assigned owner may be unable to reach the store
// while this daemon can.
func (s *state) fallbackDue(r Resource, target peer.MemberID, candidates []peer.MemberID, vacant time.Duration) bool {
	order := slices.DeleteFunc(ranking(r, candidates), func(id peer.MemberID) bool { return id == target })
	place := slices.Index(order, s.self().ID)
	return place >= 0 && vacant >= time.Duration(place+1)*s.m.o.Fallback
}

// checkPlace hands a resource over when another member has been its assigned
// owner for the whole hold-down.
func (s *state) checkPlace(r Resource, target peer.MemberID) {
	if target == s.self().ID || target == "" {
		delete(s.astray, r)
		return
	}
	now := time.Now()
	since, ok := s.astray[r]
	if !ok {
		s.astray[r] = now
		return
	}
	if now.Sub(since) >= s.m.o.HoldDown && len(s.busy) < maxHandovers && now.After(s.delays[r].after) {
		s.handOver(r)
	}
}
