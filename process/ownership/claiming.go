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
	s.inFlight[r] = true
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, claimTimeout)
		defer cancel()
		e, err := s.m.write(ctx, c, previous)
		s.m.send(func(s *state) { s.claimDone(r, e, err) })
	}()
}

// write stores the claim by compare-and-swap. If the previous revision is unknown or
// wrong, it returns the claim that the store has, for the next try.
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

// read returns the claim in the store, with cause as the error.
func (m *Manager) read(ctx context.Context, r Resource, cause error) (entry, error) {
	item, err := m.o.Store.Get(ctx, keyPrefix+string(r))
	if err != nil {
		return entry{}, fmt.Errorf("read claim of %s: %w", r, err)
	}
	current, err := decodeClaim(item)
	if err != nil {
		return entry{}, err
	}
	return entry{record: current, revision: item.Revision}, cause
}

func (s *state) claimDone(r Resource, e entry, err error) {
	delete(s.inFlight, r)
	s.dirty = true
	if e.Resource != "" {
		s.apply(e)
	}
	if err == nil {
		delete(s.delays, r)
		return
	}
	if !errors.Is(err, store.ErrConflict) {
		s.m.log.Warn().Err(err).Str("resource", string(r)).Msg("claim not written; trying again after a pause")
	}
	d := s.delays[r]
	d.delay = min(max(2*d.delay, s.m.o.Tick), maxRetryDelay)
	d.after = time.Now().Add(d.delay)
	s.delays[r] = d
}

// transfer asks the handler to prepare the release of a resource, then marks the claim
// as released.
//
// For a planned transfer the claim is confirmed at the store first. Otherwise, in a
// store outage, the handler would stop serving a resource whose claim cannot be
// released, so that it has no owner until the store is back, and the tasks of a
// partition end when their lease expires. A daemon that leaves releases in any case.
func (s *state) transfer(r Resource) {
	c, ok := s.owned[r]
	h, known := s.handler(r)
	if !ok || !known || s.inFlight[r] {
		return
	}
	s.inFlight[r] = true
	leaving := s.leaving
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, s.m.o.ReleaseTimeout)
		defer cancel()
		err := s.m.prepareRelease(ctx, h, c, leaving)
		s.m.send(func(s *state) { s.finishTransfer(c, err, leaving) })
	}()
}

// prepareRelease confirms the claim at the store and calls Handler.Releasing. If the
// store became unreachable meanwhile, it calls Resume of a Resumer. An outage that begins
// between the last read and the write of the release is not covered: the write may have
// taken effect, and a later owner then does not fence this daemon, so the resource must
// not be resumed in the same epoch.
func (m *Manager) prepareRelease(ctx context.Context, h Handler, c Claim, leaving bool) error {
	if leaving {
		return h.Releasing(ctx, c.Resource)
	}
	if err := m.Confirm(ctx, c); err != nil {
		return err
	}
	if err := h.Releasing(ctx, c.Resource); err != nil {
		return err
	}
	k, ok := h.(Resumer)
	if !ok {
		return nil
	}
	if err := m.Confirm(ctx, c); err != nil {
		k.Resume(c.Resource)
		return err
	}
	return nil
}

// finishTransfer releases the claim after the handler has prepared for it. The parameter
// leaving is set if the transfer was started because this daemon leaves.
func (s *state) finishTransfer(c Claim, err error, leaving bool) {
	r := c.Resource
	current, ok := s.owned[r]
	if !ok || current.Epoch != c.Epoch {
		delete(s.inFlight, r) // superseded meanwhile
		s.dirty = true
		return
	}
	if err != nil && !leaving {
		s.m.log.Warn().Err(err).Str("resource", string(r)).Msg("resource not released; it stays with this daemon for now")
		delete(s.inFlight, r)
		s.delays[r] = retry{after: time.Now().Add(retryAfterRefusal)}
		return
	}
	// Lost is called before the write: once the claim is released another daemon may
	// act at once, and the handler must have stopped by then.
	s.loseIfOwned(r, "released for another owner")
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, s.m.o.ReleaseTimeout)
		defer cancel()
		e, err := s.m.amend(ctx, c, func(c *record) { c.Released = true })
		s.m.send(func(s *state) { s.claimDone(r, e, err) })
	}()
}

// addEarlier adds an owner unless a newer incarnation of the daemon shows that it has
// stopped, so that the list is not longer than the list of members.
func (r *record) addEarlier(s *state, ref peer.Ref) {
	member, ok := s.m.o.View.Lookup(ref.ID)
	restarted := ok && member.Incarnation > ref.Incarnation
	if !restarted && !slices.Contains(r.Earlier, ref) {
		r.Earlier = append(r.Earlier, ref)
	}
}
