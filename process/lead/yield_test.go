package lead

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/peer"
)

// join adds a daemon to a running cell.
func (w *testCell) join(name string, cores float64) {
	w.gates[name] = &gatedStore{Transactor: w.m}
	mux := peer.NewMux()
	d := startWith(Options{Self: Member{Name: name, Peer: name, Cores: cores}, Store: w.gates[name], Log: zerolog.Nop(), Peers: testPeer{w.net, name}})
	d.e.Register(mux)
	w.net.join(name, mux)
	w.daemons[name] = d
	w.names = append(w.names, name)
}

func TestWeakLeaderYieldsToAStrongerDaemon(t *testing.T) {
	// Guards against a cell that is led permanently by a daemon with a quarter of the
	// processor time of others, and falls behind under load: that daemon registered first,
	// and the best candidate was preferred only when there was a vacancy.
	synctest.Test(t, func(t *testing.T) {
		w := newTestCell("a", "b")
		before, epoch := w.leader(t)
		w.join("strong", 4)
		took := w.untilReplaced(before)
		t.Logf("the stronger daemon leads %v after its start", took)
		require.Less(t, took, time.Second)
		name, now := w.leader(t)
		require.Equal(t, "strong", name)
		require.Equal(t, epoch+1, now, "with a single takeover")
		time.Sleep(time.Minute)
		name, now = w.leader(t)
		require.Equal(t, "strong", name)
		require.Equal(t, epoch+1, now, "it stays")

		// After the stronger daemon has failed, a weaker one leads again.
		w.kill("strong")
		w.untilReplaced("strong")
		w.stop("strong")
	})
}

func TestDaemonsOfSimilarStrengthDoNotYield(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCell("a", "b")
		before, epoch := w.leader(t)
		w.join("c", 1.2)
		time.Sleep(time.Minute)
		name, now := w.leader(t)
		require.Equal(t, before, name)
		require.Equal(t, epoch, now)
		w.stop()
	})
}

func TestLeaderDoesNotYieldToOneThatCanNotLead(t *testing.T) {
	// Guards against leadership that moves back and forth when the strongest daemon is
	// registered and answers, but never claims.
	synctest.Test(t, func(t *testing.T) {
		w := newTestCell("a", "b")
		_, epoch := w.leader(t)
		w.join("strong", 4)
		w.daemons["strong"].e.claiming.Store(true) // as if its claims never succeeded
		time.Sleep(10 * time.Minute)
		_, now := w.leader(t)
		require.LessOrEqual(t, now-epoch, uint64(2*(10+5)), "at most once a minute a daemon, and some more at first")
		w.daemons["strong"].e.claiming.Store(false)
		w.stop()
	})
}
