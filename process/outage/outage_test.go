package outage

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

const ms = time.Millisecond

// answering and silent are what calls show of a store that answers within 5 ms, and of one that has
// not answered since the given time.
func answering(at time.Time) Store {
	return Store{AnsweredAt: at, Usual: 5 * ms, Latest: 5 * ms, Overdue: 40 * ms}
}

func silent(since time.Time) Store {
	return Store{Failing: true, Since: since, AnsweredAt: since.Add(-200 * ms),
		Usual: 5 * ms, Latest: 5 * ms, Overdue: 40 * ms}
}

func decide(t *Tracker, now time.Time, s Store, r Request) Decision {
	t.Observe(now, s)
	return t.Decide(now, r)
}

func TestStoreThatAnswersChangesNothing(t *testing.T) {
	// Without a failure every submission must be written at once, however many there are.
	tr := New()
	for i := range 1000 {
		d := decide(tr, start, answering(start), Request{Left: time.Second, Waiting: i})
		require.Equal(t, Decision{Action: Write}, d)
	}
}

func TestRefusedAtOnceWhileProbesFail(t *testing.T) {
	// Guards against submissions that each wait for a probe while the store is known not to answer:
	// once a probe has failed, only one per ProbeInterval may wait, and all others must be refused at
	// once.
	tr := New()
	r := Request{Left: time.Second, Forwarded: true}
	d := decide(tr, start, silent(start), r)
	require.Equal(t, Decision{Action: Probe, Send: true, Wait: ProbeTimeout}, d)
	tr.SentProbe(start)
	d = decide(tr, start.Add(ms), silent(start), r)
	require.Equal(t, Decision{Action: Probe, Wait: ProbeTimeout}, d, "the store may answer until a probe has failed")
	now := start.Add(ProbeTimeout)
	sent := 0
	for range 1000 {
		now = now.Add(ms)
		switch d := decide(tr, now, silent(start), r); d.Action {
		case Probe:
			require.True(t, d.Send)
			require.Equal(t, JoinProbe, d.Wait)
			tr.SentProbe(now)
			sent++
		default:
			require.Equal(t, Decision{Action: End, AtOnce: true}, d)
		}
	}
	require.InDelta(t, time.Second/ProbeInterval, sent, 1)
}

func TestOverdueWriteIsNotFollowedByAnother(t *testing.T) {
	// Each write that is sent into a silent store has an unknown outcome, for up to 200 ms until the
	// first call has timed out. One that is overdue must make the next submissions read first.
	tr := New()
	require.Equal(t, Write, decide(tr, start, answering(start), Request{Left: time.Second}).Action)
	id := tr.SentWrite(start)
	now := start.Add(50 * ms)
	require.Equal(t, Forward, decide(tr, now, answering(start), Request{Left: time.Second}).Action)
	require.Equal(t, Probe, decide(tr, now, answering(start), Request{Left: time.Second, Forwarded: true}).Action)
	require.Equal(t, Write, decide(tr, now, answering(now), Request{Left: time.Second}).Action, "a later call was answered")
	tr.EndedWrite(now, id, false)
}

// returned returns a tracker of a store that has just answered after 5 s.
func returned(tr *Tracker, from time.Time) time.Time {
	tr.Observe(from, silent(from))
	now := from.Add(5 * time.Second)
	tr.Observe(now, answering(now))
	return now
}

func TestWritesRiseAfterTheReturn(t *testing.T) {
	// Guards against overloading the store at the end of an outage, when all callers return: each
	// daemon must begin with few writes, and send more only as the store answers them no slower than
	// before.
	tr := New()
	now := returned(tr, start)
	open := map[uint64]bool{}
	send := func() int {
		for {
			if len(open) > fullWindow || tr.Decide(now, Request{Left: 2 * time.Second}).Action != Write {
				return len(open)
			}
			open[tr.SentWrite(now)] = true
		}
	}
	answer := func(after time.Duration) {
		now = now.Add(after)
		for id := range open {
			tr.EndedWrite(now, id, true)
			tr.Leave()
			delete(open, id)
		}
		tr.Observe(now, answering(now))
	}
	require.Equal(t, firstWindow, send())
	answer(350 * ms)
	require.Equal(t, 2*firstWindow, send())
	answer(900 * ms)
	require.Equal(t, 2*firstWindow, send(), "they took longer than the first ones: the store is full")
	answer(350 * ms)
	require.Greater(t, send(), fullWindow, "it carries them again, and nothing more is paced")
}

func TestRepeatedOutageHalvesTheWindow(t *testing.T) {
	// Guards against a store that fails again and again under the callers that return: after each
	// outage that soon follows another it must get fewer writes at once.
	tr := New()
	now := returned(tr, start)
	require.Equal(t, firstWindow, tr.window)
	for want := firstWindow / 2; want > 0; want /= 2 {
		now = returned(tr, now.Add(time.Second))
		require.Equal(t, want, tr.window)
	}
	now = returned(tr, now.Add(time.Second))
	require.Equal(t, 1, tr.window)
	returned(tr, now.Add(time.Hour))
	require.Equal(t, firstWindow, tr.window)
}

func TestForwardsPauseWhileNobodyAccepts(t *testing.T) {
	// Guards against submissions that each wait for two targets while the store answers no daemon.
	tr := New()
	r := Request{Left: time.Second}
	for range failuresBeforePause {
		require.Equal(t, Forward, decide(tr, start, silent(start), r).Action)
		tr.EndedForward(start, false)
	}
	require.NotEqual(t, Forward, decide(tr, start.Add(ms), silent(start), r).Action)
	require.Equal(t, Forward, decide(tr, start.Add(forwardPause), silent(start), r).Action)
}

func TestTargets(t *testing.T) {
	// Guards against forwards to daemons that cannot write the job: the daemon that accepted last,
	// then the leader, are most likely to reach the store, and one that failed is not asked again at
	// once.
	tr := New()
	all := []string{"a", "b", "c", "d"}
	require.Equal(t, []string{"c", "a"}, tr.Targets(start, all, "c"))
	tr.EndedTarget(start, "b", TargetAccepted)
	require.Equal(t, []string{"b", "c"}, tr.Targets(start, all, "c"))
	tr.EndedTarget(start, "c", TargetFails)
	require.Equal(t, []string{"b", "a"}, tr.Targets(start, all, "c"))
	tr.EndedTarget(start, "b", TargetSilent)
	require.Equal(t, []string{"a", "d"}, tr.Targets(start, all, "c"))
	require.Equal(t, []string{"c", "a"}, tr.Targets(start.Add(targetPause), all, "c"))
}

func TestReadyUnlessOthersDoBetter(t *testing.T) {
	// Guards against a cell in which every daemon reports itself not ready in an outage of the store:
	// callers would reach none of them, and none would be ready when the store answers again.
	tr := New()
	now := start
	for range 60 {
		now = now.Add(100 * ms)
		tr.Observe(now, silent(start))
		tr.Refused(now, NotRun)
		require.True(t, tr.Ready(now), "no daemon is known to do better")
	}
	tr.EndedTarget(now, "b", TargetDeclined)
	require.False(t, tr.Ready(now))
	require.True(t, tr.Ready(now.Add(unreadyAfter)), "what others said is old")
	tr.EndedTarget(now, "b", TargetDeclined)
	tr.Accepted(now)
	require.True(t, tr.Ready(now), "something was accepted")
}

func TestOutageIsReportedOnce(t *testing.T) {
	// Guards against log lines for a single lost answer, and against an outage that is logged with more
	// than one start and one end.
	tr := New()
	require.Zero(t, tr.Observe(start, silent(start)))
	require.Zero(t, tr.Observe(start.Add(5*ms), answering(start.Add(5*ms))))
	from := start.Add(time.Second)
	tr.Observe(from, silent(from))
	tr.Refused(from, NotRun)
	require.True(t, tr.Observe(from.Add(ms), silent(from)).Begun)
	tr.Refused(from, NotRun)
	tr.Refused(from, MayHaveRun)
	require.Zero(t, tr.Observe(from.Add(2*ms), silent(from)))
	back := from.Add(4 * time.Second)
	require.Equal(t, Event{Ended: true, Length: 4 * time.Second, Counts: Counts{Refused: 2, Unknown: 1}},
		tr.Observe(from.Add(time.Hour), answering(back)), "noticed late")
}

func TestRetryAfterIsUsefulAndSpread(t *testing.T) {
	// Callers that wait 3 s must be able to return, and those that are refused together in a long
	// outage must not all return in the same second.
	require.Equal(t, time.Second, RetryAfter(time.Second, 3*time.Second, 0.99, 0.99),
		"short outages end within a second or two")
	require.Equal(t, time.Second, RetryAfter(time.Minute, 2*time.Second, 0.99, 0.99), "the last try")
	told := map[time.Duration]int{}
	for i := range 10 {
		for j := range 10 {
			told[RetryAfter(5*time.Second, 3*time.Second, float64(i)/10, float64(j)/10)]++
		}
	}
	require.Len(t, told, 2)
	require.InDelta(t, 25, told[2*time.Second], 10)
	rapid.Check(t, func(t *rapid.T) {
		age := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "age"))
		left := time.Duration(rapid.Int64Range(-int64(time.Second), int64(time.Minute)).Draw(t, "left"))
		spread, round := rapid.Float64Range(0, 0.999), rapid.Float64Range(0, 0.999)
		after := RetryAfter(age, left, spread.Draw(t, "spread"), round.Draw(t, "round"))
		require.Zero(t, after%time.Second)
		require.GreaterOrEqual(t, after, MinRetryAfter)
		require.LessOrEqual(t, after, MaxRetryAfter)
		if after > MinRetryAfter {
			require.LessOrEqual(t, after, left-lastTry, "it can return")
		}
	})
}

// model is a daemon with a store that fails and returns at random, and submissions that do what is
// decided.
type model struct {
	t     *rapid.T
	tr    *Tracker
	now   time.Time
	store Store
}

func (m *model) advance(d time.Duration) { m.now = m.now.Add(d) }

// call draws the result of a call of this daemon and takes it in.
func (m *model) call() (answered bool) {
	answered = rapid.Bool().Draw(m.t, "answered")
	switch {
	case answered:
		m.store = Store{AnsweredAt: m.now, Usual: m.store.Usual, Latest: m.store.Latest, Overdue: m.store.Overdue}
	case !m.store.Failing:
		m.store.Failing, m.store.Since = true, m.now
	}
	m.store.Refused = !answered && rapid.Bool().Draw(m.t, "refused")
	return answered
}

func TestDecisionsKeepTheGuarantees(t *testing.T) {
	// Guards, whatever the calls show and however the time passes, against submissions that are held
	// past their time, that are refused as not run while a write may still take effect, or that are
	// forwarded after a target that may have written them.
	rapid.Check(t, func(t *rapid.T) {
		m := &model{t: t, tr: New(), now: start, store: answering(start)}
		for n := range rapid.IntRange(1, 20).Draw(t, "submissions") {
			m.advance(time.Duration(rapid.IntRange(0, 3000).Draw(t, "gap")) * ms)
			m.submission(n)
		}
		require.Zero(t, m.tr.entered, "every turn is given back")
		require.GreaterOrEqual(t, m.tr.window, 0)
	})
}

func (m *model) submission(n int) {
	t := m.t
	end := m.now.Add(time.Duration(rapid.IntRange(0, 1200).Draw(t, "left")) * ms)
	r := Request{}
	mayTakeEffect := false
	var probing, holding time.Time
	for step := 0; ; step++ {
		require.Less(t, step, 200, "submission %d does not end", n)
		r.Left = end.Sub(m.now)
		if !probing.IsZero() {
			r.Probed = m.now.Sub(probing)
		}
		if !holding.IsZero() {
			r.Held = m.now.Sub(holding)
		}
		r.Waiting = rapid.IntRange(0, 2*maxHeld).Draw(t, "waiting")
		d := decide(m.tr, m.now, m.store, r)
		if d.Action != End {
			require.Positive(t, r.Left, "nothing is done after its time")
		}
		switch d.Action {
		case Write:
			require.GreaterOrEqual(t, r.Left, m.store.Usual)
			id := m.tr.SentWrite(m.now)
			m.advance(min(time.Duration(rapid.IntRange(0, 600).Draw(t, "write"))*ms, r.Left))
			answered := m.call()
			if rapid.Bool().Draw(t, "stays open") {
				defer m.tr.EndedWrite(m.now, id, answered) // the call outlasts the submission
			} else {
				m.tr.EndedWrite(m.now, id, answered)
			}
			m.tr.Leave()
			if answered {
				m.tr.Accepted(m.now)
				return
			}
			if rapid.Bool().Draw(t, "unknown") {
				mayTakeEffect, r.Unconfirmed, r.Forwarded = true, true, true
			}
			r.Writes++
		case Forward:
			require.False(t, r.Forwarded)
			require.False(t, r.TargetUncertain, "no forward after a target that may have written it")
			targets := m.tr.Targets(m.now, []string{"b", "c", "d"}, "c")
			require.LessOrEqual(t, len(targets), MaxTargets)
			accepted := false
			for _, name := range targets {
				result := TargetResult(rapid.IntRange(int(TargetAccepted), int(TargetSilent)).Draw(t, "target"))
				m.advance(min(time.Duration(rapid.IntRange(0, 400).Draw(t, "forward"))*ms, max(0, end.Sub(m.now))))
				m.tr.EndedTarget(m.now, name, result)
				if accepted = result == TargetAccepted; accepted {
					break
				}
				if result == TargetSilent {
					mayTakeEffect, r.Unconfirmed, r.TargetUncertain = true, true, true
					break
				}
			}
			m.tr.EndedForward(m.now, accepted)
			if accepted {
				m.tr.Accepted(m.now)
				return
			}
			r.Forwarded = true
		case Probe:
			require.LessOrEqual(t, d.Wait, r.Left)
			require.LessOrEqual(t, d.Wait+r.Probed, ProbeTimeout)
			if probing.IsZero() {
				probing = m.now
			}
			var id uint64
			if d.Send {
				r.SentProbe = true
				id = m.tr.SentProbe(m.now)
			}
			m.advance(min(d.Wait, time.Duration(rapid.IntRange(1, 400).Draw(t, "probe"))*ms))
			if rapid.Bool().Draw(t, "something ends") {
				answered := m.call()
				m.tr.Observe(m.now, m.store)
				if id != 0 {
					m.tr.EndedProbe(id, answered)
				}
			}
		case Wait:
			require.LessOrEqual(t, d.Wait, r.Left)
			require.LessOrEqual(t, d.Wait+r.Held, maxHold)
			if holding.IsZero() {
				holding = m.now
			}
			m.advance(min(d.Wait, time.Duration(rapid.IntRange(1, 400).Draw(t, "turn"))*ms))
		case End:
			require.False(t, m.now.After(end), "held past its time")
			require.Equal(t, mayTakeEffect, d.Verdict == MayHaveRun, fmt.Sprint("submission ", n))
			m.tr.Refused(m.now, d.Verdict)
			return
		}
	}
}
