package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/peer"
)

// addSeeds gives a fuzzer a whole, a cut and a broken encoding of v.
func addSeeds(f *testing.F, v any) {
	data, err := peer.Marshal(v)
	require.NoError(f, err)
	f.Add(data)
	f.Add(data[:len(data)/2])
	f.Add([]byte{0xa1, 0x01, 0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
}

func sampleDelta() delta {
	m := Member{Zone: "z", PeerAddr: "127.0.0.1:1", Protocol: 1}
	return delta{ID: "a", Incarnation: 3, Counter: 1, Flags: flagSuspect, Info: infoOf(m)}
}

// mergeAndCheck joins deltas of any content: the guarantees must hold.
func mergeAndCheck(t *testing.T, deltas []delta) {
	table := newTable()
	table.merge(delta{ID: "a", Incarnation: 2}, time.Time{})
	before := newSnapshot(table, Member{})
	for _, d := range deltas {
		table.merge(d, time.Time{})
		after := newSnapshot(table, Member{})
		require.NoError(t, before.checkSuccession(after))
		before = after
	}
}

func FuzzPing(f *testing.F) {
	addSeeds(f, ping{Deltas: []delta{sampleDelta()}, Digest: 5})
	f.Fuzz(func(t *testing.T, data []byte) {
		var p ping
		if peer.Unmarshal(data, &p) == nil {
			mergeAndCheck(t, p.Deltas)
		}
	})
}

func FuzzSync(f *testing.F) {
	addSeeds(f, syncReply{Members: []delta{sampleDelta(), {ID: "b", Incarnation: 1, Ended: Left}}})
	f.Fuzz(func(t *testing.T, data []byte) {
		var r syncReply
		if peer.Unmarshal(data, &r) == nil {
			mergeAndCheck(t, r.Members)
		}
	})
}

// FuzzLifeRecord checks that whatever the store holds, a life that was ended
// there cannot be confirmed, and one that is confirmed is the newest.
func FuzzLifeRecord(f *testing.F) {
	addSeeds(f, lifeRecord{Incarnation: 3, Owner: "o", Ended: 2, Cause: Lapsed})
	life := Life{Ref: peer.Ref{ID: "a", Incarnation: 5}, owner: "me"}
	f.Fuzz(func(t *testing.T, data []byte) {
		before, err := decodeLife(data)
		if err != nil {
			return
		}
		next, err := life.confirm(data, true)
		if before.Ended >= life.Ref.Incarnation || before.Incarnation > life.Ref.Incarnation {
			require.ErrorIs(t, err, ErrEvicted)
			return
		}
		if err != nil {
			require.ErrorIs(t, err, ErrEvicted)
			return
		}
		after, err := decodeLife(next)
		require.NoError(t, err)
		require.Equal(t, life.Ref.Incarnation, after.Incarnation)
		require.GreaterOrEqual(t, after.Incarnation, before.Incarnation)
		require.GreaterOrEqual(t, after.Ended, before.Ended)
		require.Less(t, after.Ended, after.Incarnation)
	})
}

func FuzzMemberRecord(f *testing.F) {
	addSeeds(f, Member{Ref: peer.Ref{ID: "a", Incarnation: 1}, Zone: "z", State: Alive})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := decodeMember(data)
		if err != nil {
			return
		}
		again, err := peer.Marshal(m)
		require.NoError(t, err)
		second, err := decodeMember(again)
		require.NoError(t, err)
		require.Equal(t, m, second)
	})
}

// FuzzHandlers feeds the peer methods bytes that are no message: they refuse
// them before the loop sees them.
func FuzzHandlers(f *testing.F) {
	addSeeds(f, pingVia{Target: peer.Ref{ID: "a", Incarnation: 1}, Budget: 1})
	fleet := New(Options{Self: Member{Ref: peer.Ref{ID: "me", Incarnation: 1}}, Registrar: peer.NewMux(), Caller: nowhere{}})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, handler := range []peer.Handler{fleet.handlePing, fleet.handleSync} {
			_, err := handler(ctx, peer.Ref{ID: "x", Incarnation: 1}, data)
			require.Error(t, err)
		}
		answer, err := fleet.handlePingVia(ctx, peer.Ref{ID: "x", Incarnation: 1}, data)
		require.True(t, err != nil || !answer.(pingViaAck).Reached)
	})
}

// nowhere reaches nobody.
type nowhere struct{}

func (nowhere) Call(context.Context, peer.Ref, peer.Method, any, any) error {
	return peer.ErrNoAddress
}
