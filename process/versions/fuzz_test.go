package versions

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/peer/peertest"
	"fennelshunt.example/fennelshunt/process/fleet"
	"fennelshunt.example/fennelshunt/process/fleet/fleettest"
)

// FuzzMessages passes the same bytes from a peer to every handler.
func FuzzMessages(f *testing.F) {
	for _, m := range []any{Gossip{Version: 9, Loaded: true, Others: []Observation{{Version: 3}}}, Pull{Have: 1},
		ChunkRequest{}, Await{Version: 0, WaitMillis: 5}, Pulled{}} {
		data, err := peer.Marshal(m)
		require.NoError(f, err)
		f.Add(data)
	}
	self := fleet.Member{Ref: peer.Ref{ID: "d0", Incarnation: 1}}
	caller, mux := peertest.NewNetwork(1).Node(self.Ref)
	r := New(Options{Caller: caller, Registrar: mux, Fleet: fleettest.NewView(self), Seed: 1})
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // an await ends at once
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, h := range []peer.Handler{r.serveGossip, r.servePull, r.serveChunk, r.serveAwait} {
			_, _ = h(ctx, peer.Ref{ID: "d1", Incarnation: 1}, data)
		}
		if r.Current().Version != 0 {
			t.Fatal("a message alone put a version into force")
		}
	})
}
