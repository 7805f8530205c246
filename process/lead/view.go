package lead

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/store"
)

// View is a daemon's view of the cell: its members, leader and layout. It is safe for
// concurrent use.
type View struct {
	mu        sync.Mutex
	members   map[string]Member
	lost      map[string]lostMember
	leader    *Leader
	recordRev store.Revision // of the leader's record, 0 for none
	latest    *Leader        // with the highest epoch seen, in the store or reported by a peer
	fromPeer  bool           // latest was reported by a peer and not seen in the store
	claim     termRecord     // the latest claim
	claimRev  store.Revision // revision of the claim, 0 if unknown
	changed   chan struct{}
	log       zerolog.Logger
	layout    Layout
	read      bool  // the cell's records have been read once
	primary   *View // for shards other than 0: the view that lists the members
}

// Layout returns the shard layout of the cell; false until the cell's records have been
// read.
func (v *View) Layout() (Layout, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.layout, v.read
}

// logUnreadable logs a record that does not decode. It is ignored; the other records
// remain in use.
func (v *View) logUnreadable(key string, err error) {
	v.log.Warn().Err(err).Str("key", key).Msg("cell record cannot be decoded and is ignored")
}

func newView(log zerolog.Logger) *View {
	return &View{log: log, layout: SingleShard, members: map[string]Member{}, lost: map[string]lostMember{}, changed: make(chan struct{})}
}

// Leader returns the leader, if one is known: the one with a record in the store, or one
// with a higher epoch that a peer reported.
func (v *View) Leader() (Leader, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case v.latest != nil && v.fromPeer && (v.leader == nil || v.latest.Epoch > v.leader.Epoch):
		return *v.latest, true
	case v.leader != nil:
		return *v.leader, true
	}
	return Leader{}, false
}

// holder returns the leader according to its record in the store, and the record's
// revision.
func (v *View) holder() (l Leader, recordRev store.Revision, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.leader == nil {
		return Leader{}, 0, false
	}
	return *v.leader, v.recordRev, true
}

// lastClaimed returns the latest claim and its revision, which is 0 if unknown.
func (v *View) lastClaimed() (termRecord, store.Revision) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.claim, v.claimRev
}

// last returns the daemon that led with the highest epoch seen.
func (v *View) last() (Member, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.latest == nil {
		return Member{}, false
	}
	return v.latest.Member, true
}

// learnLeader records the leader that a peer reported. A leader that has lost its record
// keeps its epoch, so only a higher epoch is news.
func (v *View) learnLeader(l Leader) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.latest != nil && l.Epoch <= v.latest.Epoch {
		return
	}
	v.latest, v.fromPeer = &l, true
	v.notify()
}

// vacant reports whether there is no leader according to the view, and returns the
// revision that the leader record must have for a claim: 0 for no record. A record of an
// earlier incarnation of this daemon counts as none, so that its expiry is not awaited.
func (v *View) vacant(self Member) (recordRev store.Revision, vacant bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.leader == nil {
		return 0, true
	}
	return v.recordRev, v.leader.Member.same(self)
}

// hasBetterCandidate reports whether another member should lead rather than self: one
// with more processor time, or one that started more than newerMargin later. In a rolling
// upgrade a daemon that has not been restarted yet soon will be, which would cost another
// change of the leader.
func (v *View) hasBetterCandidate(self Member) bool {
	for _, m := range v.all() {
		if m.Cores > self.Cores || (m.Cores == self.Cores && m.Started > self.Started+newerMargin.Milliseconds()) {
			return true
		}
	}
	return false
}

// newerMargin is how much later a daemon must have started to count as newer; the start
// times of daemons that start together differ by less.
const newerMargin = 2 * time.Second

// Epoch returns the highest epoch seen.
func (v *View) Epoch() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.latest == nil {
		return 0
	}
	return v.latest.Epoch
}

// Members returns the members, sorted by name.
func (v *View) Members() []Member {
	all := v.all()
	slices.SortFunc(all, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// all returns the members in no particular order.
func (v *View) all() []Member {
	if v.primary != nil {
		return v.primary.all()
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Collect(maps.Values(v.members))
}

// Changed returns a channel that is closed at the next change.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

func (v *View) notify() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// replace replaces the view by a complete listing.
func (v *View) replace(entries []store.Entry) {
	v.mu.Lock()
	defer v.mu.Unlock()
	before := maps.Clone(v.members)
	clear(v.members)
	v.leader, v.recordRev, v.claimRev = nil, 0, 0
	v.read = true
	for _, e := range entries {
		v.set(e)
	}
	for name, m := range before {
		if _, listed := v.members[name]; !listed {
			v.noteLost(m)
		}
	}
	v.notify()
}

func (v *View) apply(events []store.Event) {
	if len(events) == 0 {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, e := range events {
		if !e.Deleted {
			v.set(e.Entry)
			continue
		}
		if e.Key == keyHolder {
			v.leader, v.recordRev = nil, 0
		}
		if name, ok := memberName(e.Key); ok {
			if m, listed := v.members[name]; listed {
				v.noteLost(m)
			}
			delete(v.members, name)
		}
	}
	v.notify()
}

func (v *View) set(e store.Entry) {
	if e.Key == keyClaimCopy {
		r, err := decodeTermRecord(e)
		if err != nil {
			v.logUnreadable(e.Key, err)
			return
		}
		v.claim, v.claimRev = r, e.Revision
		return
	}
	if e.Key == KeyLayout {
		l, err := DecodeLayout(e)
		if err != nil {
			v.logUnreadable(e.Key, err)
			return
		}
		v.layout = l
		return
	}
	if e.Key == keyHolder {
		var l Leader
		if err := peer.Unmarshal(e.Value, &l); err != nil {
			v.logUnreadable(e.Key, err)
			return
		}
		v.leader, v.recordRev = &l, e.Revision
		if v.latest == nil || l.Epoch >= v.latest.Epoch {
			v.latest, v.fromPeer = &l, false
		}
		return
	}
	if name, ok := memberName(e.Key); ok {
		var m Member
		if err := peer.Unmarshal(e.Value, &m); err != nil {
			v.logUnreadable(e.Key, err)
			return
		}
		v.members[name] = m
		delete(v.lost, name)
	}
}

// lostMember is a member whose record has disappeared, and when.
type lostMember struct {
	Member
	at time.Time
}

// keepLost is how long members that have lost their records are listed. A daemon that cannot
// write its record for longer is replaced by the platform.
const keepLost = time.Minute

// noteLost keeps a member whose record has disappeared, unless it stops as planned.
func (v *View) noteLost(m Member) {
	maps.DeleteFunc(v.lost, func(_ string, l lostMember) bool { return time.Since(l.at) > keepLost })
	if !m.Stopping {
		v.lost[m.Name] = lostMember{m, time.Now()}
	}
}

// Lost returns the daemons that are no members any more because their records have expired, not
// because they stopped as planned, sorted by name. They may be dead, or reachable by all but the store.
func (v *View) Lost() []Member {
	if v.primary != nil {
		return v.primary.Lost()
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	var lost []Member
	for _, l := range v.lost {
		if time.Since(l.at) <= keepLost {
			lost = append(lost, l.Member)
		}
	}
	slices.SortFunc(lost, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return lost
}
