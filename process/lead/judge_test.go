package lead

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// slowLeaders lets whoever leads answer late, as one with a full link or processor
// does, until stopped. It returns how many leaders there were.
func (w *watched) slowLeaders(t *testing.T, answer, length time.Duration) uint64 {
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

func TestFullLeaderIsNotReplacedAgainAndAgain(t *testing.T) {
	// Symptom: 13 leaders in 45 s, and nothing is served.
	// Sequence: the link of whoever leads is full; its answers wait in the queue for
	//   400 ms and more.
	// Cause: two pings without an answer in 150 ms were taken for the leader's death,
	//   each time, and the next one had more to carry than the one before.
	for _, answer := range []time.Duration{400 * time.Millisecond, 900 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			w := newWatched("a", "b", "c", "d", "e")
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

func TestDeadLeaderIsReplacedAtOnceAfterACalmTime(t *testing.T) {
	// Symptom looked for: after a time with full leaders a dead one is waited for.
	synctest.Test(t, func(t *testing.T) {
		w := newWatched("a", "b", "c", "d", "e")
		w.slowLeaders(t, 2*time.Second, 10*time.Second)
		leader, _ := w.leader(t)
		w.kill(leader)
		took := w.untilReplaced(leader)
		t.Logf("replaced after %v soon after", took)
		require.Less(t, took, DefaultLease+600*time.Millisecond, "the end of its lease bounds the patience")
		time.Sleep(calmTime + 5*time.Second)
		next, _ := w.leader(t)
		w.kill(next)
		for _, gone := range []string{leader, next} {
			w.names = w.others(gone)
		}
		took = w.untilReplaced(next)
		t.Logf("replaced after %v when calm", took)
		require.Less(t, took, 700*time.Millisecond)
		w.stop()
	})
}

func TestWeakerDaemonLeavesALeaderThatIsSlow(t *testing.T) {
	// Symptom looked for: a leader whose answers are late is replaced by a daemon with
	//   a quarter of its processor time.
	leader := Member{Name: "l", Cores: 0.8, LinkMbps: 200}
	for _, weak := range []Member{{Name: "m", Cores: 0.2, LinkMbps: 200}, {Name: "m", Cores: 0.8, LinkMbps: 20}} {
		j := judgement{missed: pingsMissed}
		require.False(t, j.mayClaim(weak, leader, time.Now()))
		require.True(t, j.mayClaim(Member{Name: "n", Cores: 0.8, LinkMbps: 200}, leader, time.Now()))
		j.missed = weakerMissed
		require.True(t, j.mayClaim(weak, leader, time.Now()), "nobody else may be left")
	}
}

func TestClaimsThatFailAreSpaced(t *testing.T) {
	// Symptom: a daemon that the store turns away claims six times a second, with a
	//   line of log each, for as long as that lasts.
	rapid.Check(t, func(t *rapid.T) {
		now, j := time.Now(), judgement{}
		j.follow(Leader{Epoch: 3}, now)
		j.missed = 1000
		claims := 0
		length := time.Duration(rapid.IntRange(1, 120).Draw(t, "seconds")) * time.Second
		for end := now.Add(length); now.Before(end); now = now.Add(pingPause) {
			if j.mayClaim(Member{}, Member{}, now) {
				claims++
				j.tried(now)
			}
		}
		require.LessOrEqual(t, claims, 6+int(length/claimPauseMax))
		j.follow(Leader{Epoch: 4}, now)
		j.missed = pingsMissed
		require.True(t, j.mayClaim(Member{}, Member{}, now), "the next leader is judged anew")
	})
}

func TestPatienceGrowsWithTakeoversAndEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, j := time.Now(), judgement{}
		var last time.Time
		epoch := uint64(1)
		for range rapid.IntRange(1, 40).Draw(t, "leaders") {
			now = now.Add(time.Duration(rapid.IntRange(1, 30_000).Draw(t, "ms")) * time.Millisecond)
			taken := rapid.Bool().Draw(t, "taken")
			epoch++
			j.follow(Leader{Epoch: epoch, Taken: taken}, now)
			if taken {
				last = now
			}
			p := j.patience(Member{}, Member{})
			require.GreaterOrEqual(t, p, pingsMissed)
			require.LessOrEqual(t, p, pingsMissed<<maxDoublings)
			require.Equal(t, !last.IsZero() && now.Sub(last) <= calmTime, p > pingsMissed)
		}
	})
}
