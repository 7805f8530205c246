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

// View is what a daemon knows of the cell's daemons. Safe for concurrent use.
type View struct {
	mu      sync.Mutex
	members map[string]Member
	leader  *Leader
	held    store.Revision // of the leader's record, 0 for none
	latest  *Leader        // with the highest epoch seen, in the store or told of
	told    bool           // latest is known from another daemon only
	claim   link           // the last one
	claimAt store.Revision // its revision, 0 for not known
	changed chan struct{}
	log     zerolog.Logger
	layout  Layout
	read    bool  // the cell's records have been read once
	main    *View // of a part other than 0: the view that lists the members
}

// Layout returns how the cell is divided; false while that is not known.
func (v *View) Layout() (Layout, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.layout, v.read
}

// unreadable notes a record of another writer that does not decode: it names no
// daemon to use, the others hold.
func (v *View) unreadable(key string, err error) {
	v.log.Warn().Err(err).Str("key", key).Msg("record of the cell can not be read and is left out")
}

func newView(log zerolog.Logger) *View {
	return &View{log: log, layout: One, members: map[string]Member{}, changed: make(chan struct{})}
}

// Leader returns the leader, if one is known: the one with a record in the store,
// or one with a higher epoch of which other daemons have told.
func (v *View) Leader() (Leader, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case v.latest != nil && v.told && (v.leader == nil || v.latest.Epoch > v.leader.Epoch):
		return *v.latest, true
	case v.leader != nil:
		return *v.leader, true
	}
	return Leader{}, false
}

// holder returns the leader of the record in the store, and its revision.
func (v *View) holder() (l Leader, held store.Revision, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.leader == nil {
		return Leader{}, 0, false
	}
	return *v.leader, v.held, true
}

// claimed returns the last claim and its revision, 0 if it is not known.
func (v *View) claimed() (link, store.Revision) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.claim, v.claimAt
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

// learn takes what another daemon tells of the leader. A leader that has lost its
// record keeps its epoch, so an epoch that is known already says nothing new.
func (v *View) learn(l Leader) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.latest != nil && l.Epoch <= v.latest.Epoch {
		return
	}
	v.latest, v.told = &l, true
	v.notify()
}

// vacant reports whether nobody leads, as far as is known, and the revision
// that the leader's record must have for a claim: 0 for no record. A record of
// the daemon's own earlier life is as good as none, and need not be waited out.
func (v *View) vacant(self Member) (held store.Revision, vacant bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.leader == nil {
		return 0, true
	}
	return v.held, v.leader.Member.same(self)
}

// betterFits reports whether a member should lead rather than self: one with
// more processor time, or one that started a good while later. In a rolling
// upgrade a daemon that has not been restarted yet soon will be, and would hand
// the leadership over once more.
func (v *View) betterFits(self Member) bool {
	for _, m := range v.all() {
		if m.Cores > self.Cores || (m.Cores == self.Cores && m.Started > self.Started+freshMargin.Milliseconds()) {
			return true
		}
	}
	return false
}

// freshMargin is how much later a daemon must have started to count as fresher;
// daemons that start together differ by less.
const freshMargin = 2 * time.Second

// Epoch returns the highest epoch of a leader seen.
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

// all returns the members in no order.
func (v *View) all() []Member {
	if v.main != nil {
		return v.main.all()
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

// replace takes a whole listing.
func (v *View) replace(entries []store.Entry) {
	v.mu.Lock()
	defer v.mu.Unlock()
	clear(v.members)
	v.leader, v.held, v.claimAt = nil, 0, 0
	v.read = true
	for _, e := range entries {
		v.set(e)
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
			v.leader, v.held = nil, 0
		}
		if name, ok := memberName(e.Key); ok {
			delete(v.members, name)
		}
	}
	v.notify()
}

func (v *View) set(e store.Entry) {
	if e.Key == keyClaimSeen {
		l, err := decodeLink(e)
		if err != nil {
			v.unreadable(e.Key, err)
			return
		}
		v.claim, v.claimAt = l, e.Revision
		return
	}
	if e.Key == KeyLayout {
		l, err := DecodeLayout(e)
		if err != nil {
			v.unreadable(e.Key, err)
			return
		}
		v.layout = l
		return
	}
	if e.Key == keyHolder {
		var l Leader
		if err := peer.Unmarshal(e.Value, &l); err != nil {
			v.unreadable(e.Key, err)
			return
		}
		v.leader, v.held = &l, e.Revision
		if v.latest == nil || l.Epoch >= v.latest.Epoch {
			v.latest, v.told = &l, false
		}
		return
	}
	if name, ok := memberName(e.Key); ok {
		var m Member
		if err := peer.Unmarshal(e.Value, &m); err != nil {
			v.unreadable(e.Key, err)
			return
		}
		v.members[name] = m
	}
}
