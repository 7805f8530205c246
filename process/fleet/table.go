package fleet

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"fennelshunt.example/fennelshunt/connection/peer"
)

// entry is the latest known incarnation of a member.
type entry struct {
	delta
	// registered is set if the alive key of this incarnation was in the store
	// according to the latest read or event.
	registered bool
	// suspectSince and endedAt are times of this daemon's clock.
	suspectSince time.Time
	endedAt      time.Time
}

func (e *entry) state() State {
	switch {
	case e.Ended != NotEnded:
		return Ended
	case e.Flags&flagLeaving != 0:
		return Leaving
	case e.Flags&flagSuspect != 0:
		return Suspect
	default:
		return Alive
	}
}

func (e *entry) suspect() bool { return e.Flags&flagSuspect != 0 }

// usable reports whether the member has not ended and its addresses are known.
func (e *entry) usable() bool { return e.Ended == NotEnded && e.Info != nil }

func (e *entry) member() Member {
	m := Member{Ref: e.ref()}
	if e.Info != nil {
		m = e.Info.member(e.ref())
	}
	m.State = e.state()
	return m
}

// change is the set of changes that merging a delta made.
type change uint8

const (
	changeNone     change = 0
	changeNew      change = 1 << iota // a new incarnation
	changeInfo                        // its addresses became known
	changeState                       // its state in the view
	changeInternal                    // something that is in deltas only
)

// table is the set of entries. It is owned by the event loop and starts no goroutines.
type table struct {
	entries map[peer.MemberID]*entry
	digest  uint64
}

func newTable() *table {
	return &table{entries: make(map[peer.MemberID]*entry)}
}

// merge merges d into the table. A lower incarnation is ignored. A higher one replaces
// the entry, since the earlier incarnation has ended. Within an incarnation the higher
// counter wins, and at the same counter suspicion wins; leaving and the end are
// permanent.
func (t *table) merge(d delta, now time.Time) change {
	if d.ID == "" || d.Incarnation == 0 {
		return changeNone
	}
	e := t.entries[d.ID]
	if e == nil || e.Incarnation < d.Incarnation {
		return t.insert(d, now)
	}
	if e.Incarnation > d.Incarnation {
		return changeNone
	}
	before := e.state()
	t.digest ^= e.digest()
	result := e.join(d, now)
	t.digest ^= e.digest()
	if e.state() != before {
		result |= changeState
	}
	return result
}

// outdates reports whether the table has something newer than d about a usable member.
func (t *table) outdates(d delta) bool {
	e := t.entries[d.ID]
	if e == nil || !e.usable() {
		return false
	}
	return d.Incarnation < e.Incarnation || d.Incarnation == e.Incarnation && d.Counter < e.Counter
}

func (t *table) insert(d delta, now time.Time) change {
	if old := t.entries[d.ID]; old != nil {
		t.digest ^= old.digest()
	}
	e := &entry{delta: d}
	if e.suspect() {
		e.suspectSince = now
	}
	if e.Ended != NotEnded {
		e.endedAt = now
	}
	t.entries[d.ID] = e
	t.digest ^= e.digest()
	return changeNew | changeState
}

func (e *entry) join(d delta, now time.Time) change {
	result := changeNone
	if e.Info == nil && d.Info != nil {
		e.Info = d.Info
		result |= changeInfo
	}
	if d.Flags&flagLeaving != 0 && e.Flags&flagLeaving == 0 {
		e.Flags |= flagLeaving
		result |= changeInternal
	}
	if d.Ended > e.Ended {
		if e.Ended == NotEnded {
			e.endedAt = now
		}
		e.Ended = d.Ended
		result |= changeInternal
	}
	return result | e.joinSuspicion(d, now)
}

func (e *entry) joinSuspicion(d delta, now time.Time) change {
	suspected := d.Flags&flagSuspect != 0
	switch {
	case d.Counter < e.Counter:
		return changeNone
	case d.Counter == e.Counter && (!suspected || e.suspect()):
		return changeNone
	}
	if suspected && !e.suspect() {
		e.suspectSince = now
	}
	e.Counter = d.Counter
	e.Flags &^= flagSuspect
	e.Flags |= d.Flags & flagSuspect
	return changeInternal
}

// digest covers what members must agree on: the usable members, their incarnations, and
// which of them leave. Suspicions change too often to be part of it.
func (e *entry) digest() uint64 {
	if !e.usable() {
		return 0
	}
	var b [9]byte
	binary.BigEndian.PutUint64(b[:8], e.Incarnation)
	b[8] = byte(e.Flags & flagLeaving)
	h := xxhash.New()
	_, _ = h.WriteString(string(e.ID)) // a hash never fails
	_, _ = h.Write(b[:])
	return h.Sum64()
}

// ended returns the entries of ended incarnations, the earliest end first.
func (t *table) ended() []*entry {
	var ended []*entry
	for _, e := range t.entries {
		if e.Ended != NotEnded {
			ended = append(ended, e)
		}
	}
	slices.SortFunc(ended, func(a, b *entry) int { return a.endedAt.Compare(b.endedAt) })
	return ended
}

// expired returns the ended entries to drop: those that are too old, and the earliest
// beyond the bound.
func (t *table) expired(now time.Time) []peer.MemberID {
	ended := t.ended()
	var ids []peer.MemberID
	for i, e := range ended {
		if now.Sub(e.endedAt) > endedFor || len(ended)-i > endedHistory {
			ids = append(ids, e.ID)
		}
	}
	return ids
}

// latestEnded returns up to n ended entries, the latest first.
func (t *table) latestEnded(n int) []*entry {
	ended := t.ended()
	slices.Reverse(ended)
	return ended[:min(n, len(ended))]
}
