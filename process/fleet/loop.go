package fleet

import (
	"context"
	"time"

	"fennelshunt.example/fennelshunt/connection/peer"
)

// event is an input of the loop. The method apply runs in the loop's goroutine and does
// not block.
type event interface {
	apply(l *loop)
}

const (
	// pushDelay is the delay for collecting changes that arrive together, and
	// pushInterval the minimum time between two pushes.
	pushDelay    = 50 * time.Millisecond
	pushInterval = 500 * time.Millisecond
	pushTargets  = 3
	pruneEvery   = time.Minute
	remindEvery  = 10 * time.Second
)

// loop is the state of the membership protocol, confined to one goroutine.
type loop struct {
	fleet   *Fleet
	options *Options
	ctx     context.Context // of the running Serve
	table   *table
	gossip  *gossip

	targets []peer.MemberID // probed in turn
	next    int
	probes  map[peer.MemberID]*probeState
	health  health
	epoch   uint64 // raised after a pause; results of earlier probes are void

	lastTick     time.Time
	lastPush     time.Time
	pushTimer    *time.Timer
	lastContact  time.Time // a message arrived from any peer
	lastAgree    time.Time // a peer had the same members
	lastSync     time.Time
	lastPrune    time.Time
	lastReminder time.Time
	syncing      bool

	vms     map[peer.MemberID]*vmObservation
	records map[peer.MemberID]storedRecord
	// evictions are the tries to evict members through the store.
	evictions map[peer.MemberID]evictionState
	dirty     bool  // the view must be published
	failure   error // ends the loop
}

func newLoop(f *Fleet) *loop {
	l := &loop{
		fleet:     f,
		options:   &f.options,
		table:     newTable(),
		gossip:    newGossip(),
		probes:    make(map[peer.MemberID]*probeState),
		vms:       make(map[peer.MemberID]*vmObservation),
		records:   make(map[peer.MemberID]storedRecord),
		evictions: make(map[peer.MemberID]evictionState),
	}
	self := f.options.Self
	l.table.merge(delta{ID: self.ID, Incarnation: self.Incarnation, Info: infoOf(self)}, time.Now())
	l.gossip.add(self.ID, true)
	return l
}

// run handles events until the context or this incarnation ends.
func (l *loop) run(ctx context.Context) error {
	l.start(ctx)
	ticker := time.NewTicker(l.options.Period)
	defer ticker.Stop()
	for l.failure == nil {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-l.fleet.events:
			e.apply(l)
		case <-ticker.C:
			l.tick(time.Now())
		case <-l.pushTimer.C:
			l.push()
		}
		l.publish()
	}
	return l.failure
}

func (l *loop) start(ctx context.Context) {
	now := time.Now()
	l.ctx = ctx
	l.lastTick, l.lastContact, l.lastAgree, l.lastSync, l.lastPrune = now, now, now, now, now
	l.epoch++
	clear(l.probes)
	clear(l.evictions)
	l.syncing = false
	l.pushTimer = time.NewTimer(pushDelay)
	l.retarget()
}

// tick performs the work of one period.
func (l *loop) tick(now time.Time) {
	l.detectPause(now)
	l.lastTick = now
	l.probeNext()
	l.considerEvictions(now)
	l.considerSync(now)
	if now.Sub(l.lastReminder) > remindEvery {
		l.lastReminder = now
		l.remindSuspicions()
	}
	if now.Sub(l.lastPrune) > pruneEvery {
		l.lastPrune = now
		l.prune(now)
		l.compactRecords(now)
	}
}

// remindSuspicions gossips this daemon's suspicions again. The member, or any daemon that
// has its refutation, answers. Otherwise a daemon that missed the refutation would suspect
// the member permanently once the refutation is not gossiped any more.
func (l *loop) remindSuspicions() {
	for id, e := range l.table.entries {
		if e.usable() && e.suspect() {
			l.gossip.add(id, false)
		}
	}
}

// detectPause invalidates the probes in flight if the tick is late: this process was
// suspended, so the timeouts that fired meanwhile say nothing about other members.
// Otherwise a resumed daemon would suspect all its targets.
func (l *loop) detectPause(now time.Time) {
	if now.Sub(l.lastTick) < 2*l.options.Period+l.options.PingTimeout {
		return
	}
	l.fleet.stats.Pauses.Add(1)
	l.epoch++
	clear(l.probes)
}

// mergeAll merges deltas that a peer sent.
func (l *loop) mergeAll(deltas []delta) {
	for _, d := range deltas {
		l.merge(d, true)
	}
}

// merge merges a delta, gossips it if it is new and spread is set, and reacts to changes
// of this daemon's own entry.
func (l *loop) merge(d delta, spread bool) {
	c := l.table.merge(d, time.Now())
	if c == changeNone {
		if spread && l.table.outdates(d) {
			// The sender has something older, perhaps a suspicion. Without an answer
			// its suspicion would be ignored by all members with the newer counter.
			l.gossip.add(d.ID, true)
		}
		return
	}
	if spread {
		l.gossip.add(d.ID, c&(changeNew|changeInfo) != 0)
	}
	if c&(changeNew|changeInfo|changeState) != 0 {
		l.dirty = true
	}
	if c&(changeNew|changeState) != 0 && spread {
		l.pushSoon()
	}
	if d.ID == l.fleet.self.ID {
		l.defendSelf()
	}
}

// defendSelf refutes a suspicion of this daemon, and ends the loop if this incarnation
// has ended.
func (l *loop) defendSelf() {
	e := l.table.entries[l.fleet.self.ID]
	switch {
	case e.Incarnation > l.fleet.self.Incarnation:
		l.failure = &EvictedError{Cause: Replaced, Floor: e.Incarnation}
	case e.Ended != NotEnded && l.failure == nil:
		l.failure = &EvictedError{Cause: e.Ended, Floor: e.Incarnation}
	case e.suspect():
		l.fleet.stats.Refutations.Add(1)
		d := e.delta
		d.Counter++
		d.Flags &^= flagSuspect
		l.merge(d, true)
		l.pushSoon()
	}
}

// retarget chooses the members to probe after a change of the members.
func (l *loop) retarget() {
	l.targets = successors(l.fleet.self.ID, l.usable())
	for id := range l.probes {
		if e := l.table.entries[id]; e == nil || !e.usable() {
			delete(l.probes, id)
		}
	}
}

// usable returns the usable members in no particular order.
func (l *loop) usable() []peer.MemberID {
	ids := make([]peer.MemberID, 0, len(l.table.entries))
	for id, e := range l.table.entries {
		if e.usable() {
			ids = append(ids, id)
		}
	}
	return ids
}

// publish replaces a changed view, and checks the new one against the guarantees.
func (l *loop) publish() {
	if !l.dirty {
		return
	}
	l.dirty = false
	l.retarget()
	before := l.fleet.view.Load()
	after := newSnapshot(l.table, l.options.Self)
	if err := before.checkSuccession(after); err != nil {
		l.reportViolation(err)
	}
	l.fleet.view.Store(after)
	close(before.changed)
}

func (l *loop) reportViolation(err error) {
	l.fleet.stats.Violations.Add(1)
	l.options.Log.Error().Err(err).Msg("fleet invariant violated")
	if l.options.OnViolation != nil {
		l.options.OnViolation(err)
	}
}

// prune drops ended incarnations beyond the bounds, the earliest first.
func (l *loop) prune(now time.Time) {
	for _, id := range l.table.expired(now) {
		delete(l.table.entries, id)
		delete(l.vms, id)
		l.dirty = true
	}
	for id := range l.evictions {
		if e := l.table.entries[id]; e == nil || !e.suspect() {
			delete(l.evictions, id)
		}
	}
}
