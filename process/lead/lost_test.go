package lead

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/store"
)

// names returns the names of members.
func names(all []Member) (list []string) {
	for _, m := range all {
		list = append(list, m.Name)
	}
	return list
}

func TestDaemonThatTheStoreRejectsIsListedAsLost(t *testing.T) {
	// Guards against a reachable daemon that the others forget when its membership expires.
	synctest.Test(t, func(t *testing.T) {
		w := newTestCell("a", "b", "c")
		leader, _ := w.leader(t)
		other, view := w.others(leader)[0], w.daemons[leader].e.View()
		require.Empty(t, view.Lost())
		w.gates[other].rejecting.Store(true)
		time.Sleep(3 * time.Second)
		require.Equal(t, []string{other}, names(view.Lost()))
		require.Equal(t, other, view.Lost()[0].Peer)
		require.NotContains(t, names(view.Members()), other)
		w.gates[other].rejecting.Store(false)
		time.Sleep(3 * time.Second)
		require.Empty(t, view.Lost(), "it is a member again")
		require.Len(t, view.Members(), 3)
		w.kill(other)
		time.Sleep(3 * time.Second)
		require.Equal(t, []string{other}, names(view.Lost()), "it cannot be told from one that only the store rejects")
		time.Sleep(keepLost)
		require.Empty(t, view.Lost(), "a daemon that does not return")
		w.stop(other)
	})
}

func TestDaemonThatStopsAsPlannedIsNotListedAsLost(t *testing.T) {
	// Guards against calls through a daemon that is about to end its process.
	synctest.Test(t, func(t *testing.T) {
		w := newTestCell("a", "b", "c")
		leader, _ := w.leader(t)
		other, view := w.others(leader)[0], w.daemons[leader].e.View()
		w.daemons[other].e.Resign(t.Context())
		time.Sleep(time.Second)
		require.NotContains(t, names(view.Members()), other)
		require.Empty(t, view.Lost())
		w.stop()
	})
}

func TestLostDaemonIsFoundByAListing(t *testing.T) {
	// Guards against a daemon that is forgotten because its record expired while the watch of
	// the cell was interrupted, and against a planned stop that is taken for a loss then.
	synctest.Test(t, func(t *testing.T) {
		v := newView(zerolog.Nop())
		kept, lost, stops := Member{Name: "kept"}, Member{Name: "lost"}, Member{Name: "stops", Stopping: true}
		v.replace(memberEntries(kept, lost, stops))
		v.replace(memberEntries(kept))
		require.Equal(t, []string{"lost"}, names(v.Lost()))
		v.replace(memberEntries(kept, lost))
		require.Empty(t, v.Lost())
	})
}

// memberEntries returns the records of members.
func memberEntries(all ...Member) (entries []store.Entry) {
	for _, m := range all {
		entries = append(entries, store.Entry{Key: prefixMember + m.Name, Value: encode(m)})
	}
	return entries
}
