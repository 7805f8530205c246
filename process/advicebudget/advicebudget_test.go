package advicebudget

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func drawSteps(t *rapid.T) []Step {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Step {
		return Step{
			Gang: rapid.Bool().Draw(t, "gang"), Ready: rapid.Bool().Draw(t, "ready"), Yields: rapid.Bool().Draw(t, "yields"),
			Value:  rapid.Float64Range(0, 1e5).Draw(t, "value"),
			Cost:   time.Duration(rapid.IntRange(0, 2000).Draw(t, "cost")) * time.Millisecond,
			Slack:  time.Duration(rapid.IntRange(-9000, 30000).Draw(t, "slack")) * time.Millisecond,
			Waited: time.Duration(rapid.IntRange(0, 30000).Draw(t, "waited")) * time.Millisecond,
		}
	}), 0, 40).Draw(t, "steps")
}

func drawProxies(t *rapid.T) Proxies {
	p := Proxies{All: rapid.IntRange(1, 50).Draw(t, "all")}
	left := p.Slow()
	for _, n := range []*int{&p.Gangs, &p.Others, &p.Late} {
		*n = rapid.IntRange(0, left).Draw(t, "busy")
		left -= *n
	}
	p.Idle = rapid.IntRange(0, p.All-p.Gangs-p.Others-p.Late).Draw(t, "idle")
	p.Quick = rapid.IntRange(0, 2*p.All).Draw(t, "quick") // may leave fewer to slow calls than there are in flight
	return p
}

func TestGrantsStayWithinTheProxies(t *testing.T) {
	// Guards against slow calls that occupy every proxy, and against proxies kept for steps
	// that cannot ask.
	rapid.Check(t, func(t *rapid.T) {
		steps, p := drawSteps(t), drawProxies(t)
		guaranteed, granted := 0, 0
		for i, g := range Allot(steps, p) {
			if g != Postponed {
				require.True(t, steps[i].Ready)
				if !steps[i].late() {
					granted++
				}
			}
			if g == Guaranteed {
				guaranteed++
			}
		}
		require.LessOrEqual(t, guaranteed, p.FreeForSlow())
		require.LessOrEqual(t, granted, p.FreeForSlow()+int(offerShare*float64(p.Slow())))
		if p.FreeForSlow() == 0 {
			require.NotContains(t, Allot(steps, p), Offered)
			require.NotContains(t, Allot(steps, p), Guaranteed)
		}
		require.LessOrEqual(t, p.FreeForSlow()+p.BusyWithSlow(), max(p.Slow(), p.BusyWithSlow()))
		if p.All >= 2 {
			require.Less(t, p.Slow(), p.All, "quick calls find a proxy")
		}
	})
}

func TestNoStepStarves(t *testing.T) {
	// Guards against a step that never gets a proxy while gangs of more value keep arriving:
	// one call is made per round, and each step that has asked is replaced by a valuable gang.
	for _, all := range []int{1, 3, 39} {
		for _, watched := range []Step{
			{Ready: true, Value: 1, Cost: time.Second, Slack: time.Minute},
			{Ready: true, Value: 1, Cost: time.Second, Slack: -time.Second},
			{Gang: true, Ready: true, Value: 1, Cost: time.Second, Slack: -time.Second},
			{Gang: true, Ready: true, Value: 1, Cost: time.Second, Slack: 20 * time.Second},
			{Ready: true, Yields: true, Value: 1, Cost: time.Second, Slack: time.Minute},
		} {
			gangs := Step{Gang: true, Ready: true, Value: 1e6, Cost: time.Second, Slack: 100 * time.Millisecond}
			steps := append(slices.Repeat([]Step{gangs}, 60), watched)
			p, served := Proxies{All: all, Idle: all}, false
			for range 200 {
				if Allot(steps, p)[60] == Guaranteed {
					served = true
					break
				}
				steps[60].Slack -= 500 * time.Millisecond
				steps[60].Waited += 500 * time.Millisecond
			}
			require.True(t, served, "%d proxies: %+v", all, watched)
		}
	}
}

func TestGangsInTimeComeBeforeSmallTasksWithSlack(t *testing.T) {
	// Guards against small tasks whose calls occupy the proxies that a gang needs.
	small := Step{Ready: true, Value: 300, Cost: 300 * time.Millisecond, Slack: time.Minute}
	gang := Step{Gang: true, Value: 900, Cost: 900 * time.Millisecond, Slack: 2 * time.Second}
	steps := append(slices.Repeat([]Step{small}, 60), gang) // the gang has no capacity yet
	p := Proxies{All: 39, Idle: 39}
	count := func() (n int) {
		for i, g := range Allot(steps, p) {
			if g != Postponed && !steps[i].Gang {
				n++
			}
		}
		return n
	}
	require.Equal(t, 6, count(), "a quarter of 27")
	steps[60].Ready = true
	require.Equal(t, Offered, Allot(steps, p)[60])
	steps[60].Slack = -time.Second
	require.Equal(t, 27, count(), "a gang that is late holds nobody up")
	for i := range 60 {
		steps[i].Slack = 100 * time.Millisecond
	}
	steps[60].Slack = 2 * time.Second
	require.Greater(t, count(), 6, "their latest start is near")
}

func TestScarceOnlyIfMoreStepsAskThanProxiesAreFree(t *testing.T) {
	// Guards against a budget that postpones steps although there is a proxy for each.
	steps := slices.Repeat([]Step{{Ready: true}}, 27)
	require.False(t, Scarce(steps, Proxies{All: 39, Idle: 39}))
	require.True(t, Scarce(append(steps, Step{Ready: true}), Proxies{All: 39, Idle: 39}))
	require.False(t, Scarce(append(steps, Step{}), Proxies{All: 39, Idle: 39}), "a step that may not ask now")
}

func TestFewNamesGetNoCallOfTheirOwn(t *testing.T) {
	// Guards against proxies that are occupied by the base cost of calls for few names.
	require.Equal(t, 100, Names(107, 100))
	require.Equal(t, 130, Names(130, 100))
	require.Equal(t, 7, Names(7, 100))
}

func TestFailedProxyIsUsedAgainOnceItAnswers(t *testing.T) {
	// Guards against calls that are sent again and again through a daemon that does not
	// answer, and against a daemon that is never used again.
	var p Proxy
	require.True(t, p.Usable(0))
	now := time.Second
	for _, pause := range []time.Duration{pauseMin, 2 * pauseMin, 4 * pauseMin, 4 * pauseMin} {
		p.Failed(now)
		require.False(t, p.Usable(now+pause-1))
		require.True(t, p.Usable(now+pause))
	}
	p.AnsweredLate(now)
	require.True(t, p.Usable(now))
	for range 10 {
		p.Answered(now, 3*time.Second, time.Second)
	}
	require.True(t, p.Slow())
	require.InDelta(t, 3, p.Factor(), 0.2)
	for range 10 {
		p.Answered(now, time.Second, time.Second)
	}
	require.False(t, p.Slow())
}

func TestProxyWithoutMembershipIsUsedUntilACallFailsOrTimePasses(t *testing.T) {
	// Guards against a dead daemon that is called again and again after its membership has expired, and
	// against one that is dropped though it answers.
	rapid.Check(t, func(t *rapid.T) {
		var p Proxy
		now, answeredAt, lostAt := time.Duration(0), time.Duration(-1), time.Duration(-1)
		failed, kept := false, false
		for range rapid.IntRange(1, 30).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 8000).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				p.Answered(now, time.Second, time.Second)
				answeredAt = now
			case 1:
				p.AnsweredLate(now)
				answeredAt = now
			case 2:
				p.Failed(now)
				answeredAt, failed = -1, true
			case 3:
				p.Registered()
				lostAt = -1
			case 4:
				first := lostAt < 0
				if first {
					lostAt, failed, kept = now, false, answeredAt >= 0 && now-answeredAt <= answeredWithin
				}
				require.Equal(t, first && kept, p.Unregistered(now))
			}
			require.Equal(t, lostAt < 0 || kept && !failed && now-lostAt <= unregisteredMax, p.Available(now))
		}
	})
}
