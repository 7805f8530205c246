package lead

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// slowLeaders delays the answers of whichever daemon leads, like a saturated link or
// processor would, for the given length. It returns the number of leaders in that time.
func (w *testCell) slowLeaders(t *testing.T, answer, length time.Duration) uint64 {
	_, first := w.leader(t)
	for began := time.Now(); time.Since(began) < length; time.Sleep(20 * time.Millisecond) {
		w.net.mu.Lock()
		for _, name := range w.names {
			w.net.late[name] = 0
			if w.daemons[name].term() != nil {
				w.net.late[name] = answer
			}
		}
		w.net.mu.Unlock()
	}
	w.net.mu.Lock()
	clear(w.net.late)
	w.net.mu.Unlock()
	time.Sleep(time.Second)
	_, last := w.leader(t)
	return last - first + 1
}

func TestOverloadedLeaderIsNotReplacedAgainAndAgain(t *testing.T) {
	// Guards against replacing one overloaded leader by another: with the leader's link
	// saturated, its answers queue for 400 ms and more. Two pings without an answer
	// within 150 ms were taken for a failure, and each successor had a higher load than
	// the one before: 13 leaders in 45 s, and nothing was served.
	for _, answer := range []time.Duration{400 * time.Millisecond, 900 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			w := newTestCell("a", "b", "c", "d", "e")
			leaders := w.slowLeaders(t, answer, 45*time.Second)
			t.Logf("%d leaders in 45 s with answers after %v", leaders, answer)
			if answer < maxPingTimeout {
				require.LessOrEqual(t, leaders, uint64(5))
			}
			require.LessOrEqual(t, leaders, uint64(15))
			w.stop()
		})
	}
}

func TestFailedLeaderIsReplacedAtOnceAfterTheTakeoverWindow(t *testing.T) {
	// Guards against a long wait for a dead leader after a period of overloaded leaders.
	synctest.Test(t, func(t *testing.T) {
		w := newTestCell("a", "b", "c", "d", "e")
		w.slowLeaders(t, 2*time.Second, 10*time.Second)
		leader, _ := w.leader(t)
		w.kill(leader)
		took := w.untilReplaced(leader)
		t.Logf("replaced after %v soon after", took)
		require.Less(t, took, DefaultLease+600*time.Millisecond, "the end of its lease bounds the delay")
		time.Sleep(takeoverWindow + 5*time.Second)
		next, _ := w.leader(t)
		w.kill(next)
		for _, removed := range []string{leader, next} {
			w.names = w.others(removed)
		}
		took = w.untilReplaced(next)
		t.Logf("replaced after %v once the takeover window has passed", took)
		require.Less(t, took, 700*time.Millisecond)
		w.stop()
	})
}

func TestWeakerDaemonDoesNotReplaceASlowLeader(t *testing.T) {
	// Guards against replacing a leader with late answers by a daemon with a quarter of
	// its processor time or a tenth of its link bandwidth.
	leader := Member{Name: "l", Cores: 0.8, LinkMbps: 200}
	for _, weak := range []Member{{Name: "m", Cores: 0.2, LinkMbps: 200}, {Name: "m", Cores: 0.8, LinkMbps: 20}} {
		d := detector{missed: pingsMissed}
		require.False(t, d.mayClaim(weak, leader, time.Now()))
		require.True(t, d.mayClaim(Member{Name: "n", Cores: 0.8, LinkMbps: 200}, leader, time.Now()))
		d.missed = weakerMissed
		require.True(t, d.mayClaim(weak, leader, time.Now()), "there may be no other candidate")
	}
}

func TestClaimsThatFailAreSpaced(t *testing.T) {
	// Guards against unpaced claims: a daemon whose calls the store rejects claimed six
	// times a second, with a log line each, for as long as that lasted.
	rapid.Check(t, func(t *rapid.T) {
		now, d := time.Now(), detector{}
		d.observe(Leader{Epoch: 3}, now)
		d.missed = 1000
		claims := 0
		length := time.Duration(rapid.IntRange(1, 120).Draw(t, "seconds")) * time.Second
		for end := now.Add(length); now.Before(end); now = now.Add(pingPause) {
			if d.mayClaim(Member{}, Member{}, now) {
				claims++
				d.recordClaim(now)
			}
		}
		require.LessOrEqual(t, claims, 6+int(length/claimPauseMax))
		d.observe(Leader{Epoch: 4}, now)
		d.missed = pingsMissed
		require.True(t, d.mayClaim(Member{}, Member{}, now), "the next leader is judged anew")
	})
}

func TestMissedPingLimitGrowsWithTakeoversAndResets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, d := time.Now(), detector{}
		var last time.Time
		epoch := uint64(1)
		for range rapid.IntRange(1, 40).Draw(t, "leaders") {
			now = now.Add(time.Duration(rapid.IntRange(1, 30_000).Draw(t, "ms")) * time.Millisecond)
			taken := rapid.Bool().Draw(t, "taken")
			epoch++
			d.observe(Leader{Epoch: epoch, TookOver: taken}, now)
			if taken {
				last = now
			}
			limit := d.missedLimit(Member{}, Member{})
			require.GreaterOrEqual(t, limit, pingsMissed)
			require.LessOrEqual(t, limit, pingsMissed<<maxDoublings)
			require.Equal(t, !last.IsZero() && now.Sub(last) <= takeoverWindow, limit > pingsMissed)
		}
	})
}
