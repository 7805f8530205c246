package fleet

import (
	"context"
	"time"

	"fennelshunt.example/fennelshunt/connection/peer"
)

// event is something the loop acts on; apply runs in the loop's goroutine and
// does not block.
type event interface {
	apply(l *loop)
}

const (
	// pushDelay collects the changes that arrive together, and pushInterval
	// bounds how often they are sent out of turn.
	pushDelay    = 50 * time.Millisecond
	pushInterval = 500 * time.Millisecond
	pushTargets  = 3
	pruneEvery   = time.Minute
	remindEvery  = 10 * time.Second
)

// loop is the control state of the fleet; one goroutine owns it.
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

	lastTick   time.Time
	lastPush   time.Time
	pushTimer  *time.Timer
	lastHeard  time.Time // any peer was heard
	lastAgree  time.Time // a peer had the same members
	lastSync   time.Time
	lastPrune  time.Time
	lastRemind time.Time
	syncing    bool

	vms   map[peer.MemberID]*vmSight
	lives map[peer.MemberID]lifeSight
	// evictions are the members about whom the store is being asked.
	evictions map[peer.MemberID]eviction
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
		vms:       make(map[peer.MemberID]*vmSight),
		lives:     make(map[peer.MemberID]lifeSight),
		evictions: make(map[peer.MemberID]eviction),
	}
	self := f.options.Self
	l.table.merge(delta{ID: self.ID, Incarnation: self.Incarnation, Info: infoOf(self)}, time.Now())
	l.gossip.add(self.ID, true)
	return l
}

// run handles events until the context ends or this life does.
func (l *loop) run(ctx context.Context) error {
	l.begin(ctx)
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

func (l *loop) begin(ctx context.Context) {
	now := time.Now()
	l.ctx = ctx
	l.lastTick, l.lastHeard, l.lastAgree, l.lastSync, l.lastPrune = now, now, now, now, now
	l.epoch++
	clear(l.probes)
	clear(l.evictions)
	l.syncing = false
	l.pushTimer = time.NewTimer(pushDelay)
	l.retarget()
}

// tick is the turn of one period.
func (l *loop) tick(now time.Time) {
	l.noticePause(now)
	l.lastTick = now
	l.probeNext()
	l.considerEvictions(now)
	l.considerSync(now)
	if now.Sub(l.lastRemind) > remindEvery {
		l.lastRemind = now
		l.remind()
	}
	if now.Sub(l.lastPrune) > pruneEvery {
		l.lastPrune = now
		l.prune(now)
		l.compactLives(now)
	}
}

// remind passes on again whom this daemon suspects. The member, or whoever
// knows of its refutation, answers: without it a daemon that alone missed the
// refutation would suspect the member for good, once the rumor is spent.
func (l *loop) remind() {
	for id, e := range l.table.entries {
		if e.usable() && e.suspect() {
			l.gossip.add(id, false)
		}
	}
}

// noticePause voids the probes in flight when the tick is late: this process
// was paused, and every timeout that fired meanwhile says nothing of the
// others. Without it a daemon that wakes up suspects all its targets.
func (l *loop) noticePause(now time.Time) {
	if now.Sub(l.lastTick) < 2*l.options.Period+l.options.PingTimeout {
		return
	}
	l.fleet.stats.Pauses.Add(1)
	l.epoch++
	clear(l.probes)
}

// mergeAll joins deltas that a peer sent.
func (l *loop) mergeAll(deltas []delta) {
	for _, d := range deltas {
		l.merge(d, true)
	}
}

// merge joins one delta, passes on what is new when spread is set, and looks
// after this daemon's own entry.
func (l *loop) merge(d delta, spread bool) {
	c := l.table.merge(d, time.Now())
	if c == changeNone {
		if spread && l.table.outdates(d) {
			// The sender suspects, or knows, something older: without an answer
			// its suspicion would be ignored by all who know the newer counter.
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

// defendSelf refutes a suspicion, and ends the loop when this life is over.
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

// usable returns the members that count, in no order.
func (l *loop) usable() []peer.MemberID {
	ids := make([]peer.MemberID, 0, len(l.table.entries))
	for id, e := range l.table.entries {
		if e.usable() {
			ids = append(ids, id)
		}
	}
	return ids
}

// publish makes a new view when something changed, and checks that it follows
// from the last one.
func (l *loop) publish() {
	if !l.dirty {
		return
	}
	l.dirty = false
	l.retarget()
	before := l.fleet.view.Load()
	after := newSnapshot(l.table, l.options.Self)
	if err := before.checkSuccession(after); err != nil {
		l.violated(err)
	}
	l.fleet.view.Store(after)
	close(before.changed)
}

func (l *loop) violated(err error) {
	l.fleet.stats.Violations.Add(1)
	l.options.Log.Error().Err(err).Msg("fleet invariant broken")
	if l.options.OnViolation != nil {
		l.options.OnViolation(err)
	}
}

// prune forgets ended lives beyond the bounds, the earliest first.
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
