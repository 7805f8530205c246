package evidence

import (
	"iter"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"fennelshunt.example/fennelshunt/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.MainChecks(m, 3000) }

func votersOf(v []*Voter) iter.Seq[*Voter] { return slices.Values(v) }

// listed returns voters of which the stored list has all.
func listed(l *Leadership, n int) []*Voter {
	var all []*Voter
	for range n {
		all = append(all, &Voter{Listed: true, Pending: true})
	}
	l.Inherited(n)
	return all
}

// TestClaimIsTheFirstEvidence guards against a new leader that starts nothing until a write or a read.
func TestClaimIsTheFirstEvidence(t *testing.T) {
	l := New(-100 * time.Millisecond)
	none := votersOf(nil)
	require.True(t, l.Recent(0, none))
	require.True(t, l.Recent(MaxAge-100*time.Millisecond, none))
	require.False(t, l.Recent(MaxAge, none))
}

// TestConfirmationIsDatedByItsCall guards against an answer of the store that is handled late and counts
// as new.
func TestConfirmationIsDatedByItsCall(t *testing.T) {
	l := New(0)
	l.Asked(time.Second)
	l.Confirmed(time.Second)
	require.True(t, l.Recent(time.Second+MaxAge, votersOf(nil)))
	require.False(t, l.Recent(time.Second+MaxAge+1, votersOf(nil)))
}

// TestAnswersAreDatedByTheirCalls guards against the same with answers of workers.
func TestAnswersAreDatedByTheirCalls(t *testing.T) {
	l := New(0)
	all := listed(l, 4)
	at := 10 * time.Second
	for i, v := range all[:3] {
		l.Answer(v, at-time.Duration(i)*time.Second)
	}
	require.True(t, l.Recent(at, votersOf(all)), "two seconds ago three of four had no other leader")
	require.False(t, l.Recent(at+1, votersOf(all)))
}

// TestBothListsNeedAMajorityWhileOneIsOnItsWay guards against a majority of a list that the successor does
// not count by: it may load the one that is on its way or the one before.
func TestBothListsNeedAMajorityWhileOneIsOnItsWay(t *testing.T) {
	l := New(0)
	all := listed(l, 3)
	for range 6 {
		all = append(all, &Voter{Pending: true})
	}
	l.ListSent(9)
	at := 10 * time.Second
	for _, v := range all[:3] {
		l.Answer(v, at)
	}
	require.False(t, l.Recent(at, votersOf(all)), "three of nine")
	l.Answer(all[3], at)
	l.Answer(all[4], at)
	require.True(t, l.Recent(at, votersOf(all)))
	l.ListStored(votersOf(all))
	require.True(t, l.Recent(at, votersOf(all)))
}

// TestVoidedEvidenceDoesNotCount guards against evidence from before the leader's clock stood still.
func TestVoidedEvidenceDoesNotCount(t *testing.T) {
	l := New(0)
	all := listed(l, 1)
	l.Answer(all[0], time.Second)
	l.Void(time.Second + time.Millisecond)
	l.Confirmed(time.Second)
	require.False(t, l.Recent(time.Second+2*time.Millisecond, votersOf(all)))
	require.True(t, l.Due(time.Second+2*time.Millisecond))
	l.Answer(all[0], time.Second+2*time.Millisecond)
	require.True(t, l.Recent(time.Second+3*time.Millisecond, votersOf(all)))
}

// call is a call of the former leader that is under way.
type call struct {
	worker   int // -1: of the store
	asked    time.Duration
	list     []bool // that the call writes to the store; nil for none
	answered bool
}

// model has a former leader, its successor and the workers that both call.
type model struct {
	rt     *rapid.T
	now    time.Duration
	former *Leadership
	voters []*Voter
	calls  []*call
	fenced []bool
	far    []bool // not reached by the successor
	stored []bool // the list of workers in the store
	lists  int    // that are on their way

	claimed, loaded bool
	load            time.Duration
	next            *Leadership
	inherited       []bool
	reaching        []int // fenced, and the answer is not handled yet
	base            time.Duration
	majority        bool
	lastLease       time.Duration
}

func newModel(rt *rapid.T) *model {
	m := &model{rt: rt, former: New(0)}
	known := 1 + m.pick(6, "workers")
	m.voters = listed(m.former, known)
	for range m.pick(4, "later workers") {
		m.voters = append(m.voters, &Voter{})
	}
	m.fenced, m.stored = make([]bool, len(m.voters)), make([]bool, len(m.voters))
	for i := range known {
		m.stored[i] = true
	}
	for range m.voters {
		m.far = append(m.far, m.pick(3, "far") == 0)
	}
	return m
}

// pick draws a number below n; rapid.IntRange prefers small ones.
func (m *model) pick(n int, what string) int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return rapid.SampledFrom(all).Draw(m.rt, what)
}

// step lets one thing happen.
func (m *model) step() {
	m.now += time.Duration(rapid.SampledFrom([]int{0, 1, 10, 50, 200, 700, 2500}).Draw(m.rt, "ms")) * time.Millisecond
	switch m.pick(12, "event") {
	case 0, 1:
		m.calls = append(m.calls, &call{worker: m.pick(len(m.voters), "worker"), asked: m.now})
	case 2:
		c := &call{worker: -1, asked: m.now}
		if m.lists == 0 && m.pick(2, "list") == 0 {
			c.list = m.changeList()
		}
		m.calls = append(m.calls, c)
	case 3, 4, 5, 6:
		m.deliver()
	case 7:
		m.claimed = m.claimed || m.pick(4, "claim") == 0
	case 8:
		m.succeed()
	default:
		m.reach()
	}
	if m.former.Recent(m.now, votersOf(m.voters)) {
		m.lastLease = m.now
	}
}

// changeList sends another list of workers.
func (m *model) changeList() []bool {
	list, n := make([]bool, len(m.voters)), 0
	for i, v := range m.voters {
		v.Pending = m.pick(2, "in the list") == 0
		if list[i] = v.Pending; v.Pending {
			n++
		}
	}
	m.lists++
	m.former.ListSent(n)
	return list
}

// deliver lets a call arrive, or its answer be handled.
func (m *model) deliver() {
	if len(m.calls) == 0 {
		return
	}
	i := m.pick(len(m.calls), "call")
	if m.pick(2, "latest") == 0 {
		i = len(m.calls) - 1
	}
	c := m.calls[i]
	if !c.answered {
		if (c.worker < 0 && m.claimed) || (c.worker >= 0 && m.fenced[c.worker]) {
			m.calls = slices.Delete(m.calls, i, i+1) // rejected; the leader stands still and does not hear of it
			return
		}
		c.answered = true
		if c.list != nil {
			m.stored = c.list
		}
		return
	}
	m.calls = slices.Delete(m.calls, i, i+1)
	if c.worker >= 0 {
		m.former.Answer(m.voters[c.worker], c.asked)
		return
	}
	m.former.Confirmed(c.asked)
	if c.list != nil {
		m.lists--
		m.former.ListStored(votersOf(m.voters))
	}
}

// succeed lets the successor load the list of workers.
func (m *model) succeed() {
	if !m.claimed || m.loaded {
		return
	}
	m.loaded, m.load, m.base, m.inherited = true, m.now, m.now, m.stored
	n := 0
	for _, in := range m.stored {
		if in {
			n++
		}
	}
	m.next = New(m.now)
	m.next.Inherited(n)
	m.majority = n == 0
}

// reach lets the successor call a worker, or handle an answer.
func (m *model) reach() {
	if !m.loaded {
		return
	}
	if len(m.reaching) > 0 && m.pick(2, "handle") == 0 {
		worker := m.reaching[0]
		m.reaching = m.reaching[1:]
		if m.inherited[worker] && m.next.Reached() {
			m.base, m.majority = m.now, true
		}
		return
	}
	if i := m.pick(len(m.voters), "reached"); !m.fenced[i] && !m.far[i] {
		m.fenced[i] = true
		m.reaching = append(m.reaching, i)
	}
}

// TestNoLeaseAfterTheSuccessorsBound guards, over every order of calls and answers that is drawn, against a
// former leader that gives a lease later than MaxAge after its successor begins to count.
func TestNoLeaseAfterTheSuccessorsBound(t *testing.T) {
	late, checked := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		m := newModel(rt)
		for range 60 + m.pick(150, "steps") {
			m.step()
		}
		if !m.majority {
			return
		}
		checked++
		if m.lastLease > m.load {
			late++
		}
		if m.lastLease > m.base+MaxAge {
			rt.Fatalf("lease at %v, the successor counts from %v", m.lastLease, m.base)
		}
	})
	require.Greater(t, checked, 100, "runs in which the successor reaches a majority")
	require.Positive(t, late, "runs in which the former leader goes on for a while")
}
