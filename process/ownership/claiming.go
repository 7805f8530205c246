package ownership

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/store"
)

// claim writes a claim in the background.
func (s *state) claim(r Resource) {
	previous := s.claims[r]
	c := record{
		Claim: Claim{Resource: r, Owner: s.self(), Epoch: previous.Epoch + 1},
		Notes: previous.Notes,
	}
	for _, ref := range previous.Earlier {
		c.addEarlier(s, ref)
	}
	if previous.Epoch > 0 && !previous.Released {
		c.addEarlier(s, previous.Owner)
	}
	s.busy[r] = true
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, claimTimeout)
		defer cancel()
		e, err := s.m.write(ctx, c, previous)
		s.m.send(func(s *state) { s.claimed(r, e, err) })
	}()
}

// write swaps the claim in. When the revision is not known or was wrong it
// returns the claim that the store holds, for the next try.
func (m *Manager) write(ctx context.Context, c record, previous entry) (entry, error) {
	if previous.hint {
		return m.read(ctx, c.Resource, store.ErrConflict)
	}
	data, err := json.Marshal(c)
	if err != nil {
		return entry{}, fmt.Errorf("encode claim: %w", err)
	}
	revision, err := m.o.Store.Swap(ctx, keyPrefix+string(c.Resource), data, previous.revision, 0)
	if errors.Is(err, store.ErrConflict) {
		return m.read(ctx, c.Resource, err)
	}
	if err != nil {
		return entry{}, fmt.Errorf("claim %s: %w", c.Resource, err)
	}
	return entry{record: c, revision: revision}, nil
}

// read returns the claim in the store together with cause.
func (m *Manager) read(ctx context.Context, r Resource, cause error) (entry, error) {
	item, err := m.o.Store.Get(ctx, keyPrefix+string(r))
	if err != nil {
		return entry{}, fmt.Errorf("read claim of %s: %w", r, err)
	}
	held, err := decodeClaim(item)
	if err != nil {
		return entry{}, err
	}
	return entry{record: held, revision: item.Revision}, cause
}

func (s *state) claimed(r Resource, e entry, err error) {
	delete(s.busy, r)
	s.dirty = true
	if e.Resource != "" {
		s.apply(e)
	}
	if err == nil {
		delete(s.delays, r)
		return
	}
	if !errors.Is(err, store.ErrConflict) {
		s.m.log.Warn().Err(err).Str("resource", string(r)).Msg("claim failed")
	}
	d := s.delays[r]
	d.delay = min(max(2*d.delay, s.m.o.Tick), maxRetryDelay)
	d.after = time.Now().Add(d.delay)
	s.delays[r] = d
}

// handOver asks the user to let go, then marks the claim as released.
//
// A planned move is confirmed at the store first. What goes wrong otherwise:
// in an outage of the store the user lets go of a resource whose claim can not
// be released, so that nobody owns it until the store is back; the tasks of a
// partition end when their lease runs out. A daemon that leaves lets go in any
// case.
func (s *state) handOver(r Resource) {
	c, ok := s.held[r]
	u, known := s.user(r)
	if !ok || !known || s.busy[r] {
		return
	}
	s.busy[r] = true
	leaving := s.leaving
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, s.m.o.ReleaseTimeout)
		defer cancel()
		err := s.m.release(ctx, u, c, leaving)
		s.m.send(func(s *state) { s.letGo(c, err, leaving) })
	}()
}

// release has the user let go of a claim that the store answers for. A user
// that can go on is asked to when the store went away meanwhile. What is left
// is an outage that begins between the last read and the write of the release:
// the write may have taken effect, and then a later owner does not fence this
// daemon, so the resource must not be taken up again in the same epoch.
func (m *Manager) release(ctx context.Context, u User, c Claim, leaving bool) error {
	if leaving {
		return u.Releasing(ctx, c.Resource)
	}
	if err := m.Confirm(ctx, c); err != nil {
		return err
	}
	if err := u.Releasing(ctx, c.Resource); err != nil {
		return err
	}
	k, ok := u.(Keeper)
	if !ok {
		return nil
	}
	if err := m.Confirm(ctx, c); err != nil {
		k.Keep(c.Resource)
		return err
	}
	return nil
}

// letGo releases the claim after the user has let go; leaving tells whether it
// was asked to because this daemon leaves.
func (s *state) letGo(c Claim, err error, leaving bool) {
	r := c.Resource
	held, ok := s.held[r]
	if !ok || held.Epoch != c.Epoch {
		delete(s.busy, r) // taken over meanwhile
		s.dirty = true
		return
	}
	if err != nil && !leaving {
		s.m.log.Warn().Err(err).Str("resource", string(r)).Msg("not handed over")
		delete(s.busy, r)
		s.delays[r] = retry{after: time.Now().Add(retryAfterRefusal)}
		return
	}
	// Lost before the write: once the claim is released another daemon may
	// act at once, and the user must have stopped by then.
	s.loseIfHeld(r, "handed over")
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, s.m.o.ReleaseTimeout)
		defer cancel()
		e, err := s.m.amend(ctx, c, func(c *record) { c.Released = true })
		s.m.send(func(s *state) { s.claimed(r, e, err) })
	}()
}

// addEarlier adds an owner unless a newer life of the daemon shows that it has
// let go, so that the list stays as short as the list of members.
func (r *record) addEarlier(s *state, ref peer.Ref) {
	member, ok := s.m.o.View.Lookup(ref.ID)
	restarted := ok && member.Incarnation > ref.Incarnation
	if !restarted && !slices.Contains(r.Earlier, ref) {
		r.Earlier = append(r.Earlier, ref)
	}
}
