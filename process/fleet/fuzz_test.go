package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/peer"
)

// addSeeds adds a complete, a truncated and an invalid encoding of v to the corpus.
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

// mergeAndCheck merges arbitrary deltas and checks the guarantees.
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

// FuzzIncarnationRecord checks that, whatever the store has, an incarnation that has ended
// there cannot be confirmed, and that a confirmed one is the latest.
func FuzzIncarnationRecord(f *testing.F) {
	addSeeds(f, incarnationRecord{Incarnation: 3, Owner: "o", Ended: 2, Cause: LeaseExpired})
	claimed := Incarnation{Ref: peer.Ref{ID: "a", Incarnation: 5}, owner: "me"}
	f.Fuzz(func(t *testing.T, data []byte) {
		before, err := decodeIncarnation(data)
		if err != nil {
			return
		}
		next, err := claimed.confirm(data, true)
		if before.Ended >= claimed.Ref.Incarnation || before.Incarnation > claimed.Ref.Incarnation {
			require.ErrorIs(t, err, ErrEvicted)
			return
		}
		if err != nil {
			require.ErrorIs(t, err, ErrEvicted)
			return
		}
		after, err := decodeIncarnation(next)
		require.NoError(t, err)
		require.Equal(t, claimed.Ref.Incarnation, after.Incarnation)
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

// FuzzHandlers calls the peer methods with arbitrary bytes: they must be refused before
// they reach the loop.
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

// nowhere is a peer.Caller that reaches no member.
type nowhere struct{}

func (nowhere) Call(context.Context, peer.Ref, peer.Method, any, any) error {
	return peer.ErrNoAddress
}
