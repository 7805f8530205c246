package fleet

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"fennelshunt.example/fennelshunt/connection/peer"
)

// entry is what this daemon knows of the newest life of a member.
type entry struct {
	delta
	// registered says that the alive key of this life was in the store when
	// the store was last heard.
	registered bool
	// suspectSince and endedAt are this daemon's clock.
	suspectSince time.Time
	endedAt      time.Time
}

func (e *entry) state() State {
	switch {
	case e.Ended != NotEnded:
		return Gone
	case e.Flags&flagLeaving != 0:
		return Leaving
	case e.Flags&flagSuspect != 0:
		return Suspect
	default:
		return Alive
	}
}

func (e *entry) suspect() bool { return e.Flags&flagSuspect != 0 }

// usable says that the member counts: not over, and its addresses are known.
func (e *entry) usable() bool { return e.Ended == NotEnded && e.Info != nil }

func (e *entry) member() Member {
	m := Member{Ref: e.ref()}
	if e.Info != nil {
		m = e.Info.member(e.ref())
	}
	m.State = e.state()
	return m
}

// change tells what merging a delta did.
type change uint8

const (
	changeNone   change = 0
	changeNew    change = 1 << iota // a life not known before
	changeInfo                      // its addresses were learned
	changeState                     // its state as members see it
	changeSilent                    // something that only deltas carry
)

// table holds the entries. It is pure state without goroutines; its owner is
// the event loop.
type table struct {
	entries map[peer.MemberID]*entry
	digest  uint64
}

func newTable() *table {
	return &table{entries: make(map[peer.MemberID]*entry)}
}

// merge joins d into the table. A lower incarnation says nothing new. A higher
// one starts an entry afresh, the earlier life being over. Within a life: the
// higher counter wins, suspicion wins at the same counter; leaving and the end
// stay for good.
func (t *table) merge(d delta, now time.Time) change {
	if d.ID == "" || d.Incarnation == 0 {
		return changeNone
	}
	e := t.entries[d.ID]
	if e == nil || e.Incarnation < d.Incarnation {
		return t.begin(d, now)
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

// outdates says that the table holds something newer than d, of a member that
// is not over.
func (t *table) outdates(d delta) bool {
	e := t.entries[d.ID]
	if e == nil || !e.usable() {
		return false
	}
	return d.Incarnation < e.Incarnation || d.Incarnation == e.Incarnation && d.Counter < e.Counter
}

func (t *table) begin(d delta, now time.Time) change {
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
		result |= changeSilent
	}
	if d.Ended > e.Ended {
		if e.Ended == NotEnded {
			e.endedAt = now
		}
		e.Ended = d.Ended
		result |= changeSilent
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
	return changeSilent
}

// digest covers what members must agree on: who is there, in which life, and
// who leaves. Suspicions come and go too fast to be part of it.
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

// ended returns the entries of lives that are over, the earliest end first.
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

// expired returns the ended entries to forget: those that are too old, and the
// earliest beyond the bound.
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

// newestEnded returns up to n ended entries, the latest first.
func (t *table) newestEnded(n int) []*entry {
	ended := t.ended()
	slices.Reverse(ended)
	return ended[:min(n, len(ended))]
}
