package procusage_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/keys"
	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/process/procusage"
)

// meteredNode starts a peer node on loopback and returns it with its meter.
func meteredNode(b *testing.B, id peer.MemberID, k *keys.Keys, mux *peer.Mux) (*peer.Node, *procusage.Meter) {
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(b, err)
	m := procusage.NewMeter()
	n, err := peer.NewNode(m.UDP(socket), peer.Ref{ID: id, Incarnation: 1}, k.PeerConfig(), mux, zerolog.Nop())
	require.NoError(b, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Serve(ctx) }()
	b.Cleanup(func() {
		cancel()
		<-done
		require.NoError(b, n.Close())
	})
	return n, m
}

// callPause separates the calls, so that no acknowledgement covers two of them.
const callPause = 60 * time.Millisecond

// BenchmarkPeerCallBytes reports the bytes on the wire of one call between two
// daemons, in both directions, with IP and UDP headers. The call is a long poll
// answered with the changes of a number of workers: either only the sum of what
// is reserved on each, or one started and one ended task of each.
func BenchmarkPeerCallBytes(b *testing.B) {
	k, err := keys.Ephemeral()
	require.NoError(b, err)
	delta := workerState(1, true)
	delta.Ended = append(delta.Ended, taskRef(21))
	sum := plan.WorkerState{ID: delta.ID, Partial: true, Reserved: delta.Reserved}
	for _, kind := range []struct {
		name   string
		worker plan.WorkerState
	}{{"sums", sum}, {"tasks", delta}} {
		for _, changed := range []int{0, 1, 3, 10, 100} {
			b.Run(fmt.Sprintf("%s of %d workers", kind.name, changed), func(b *testing.B) {
				answer := plan.State{Partition: "rack-1543", Epoch: 17, Seq: 81723}
				for range changed {
					answer.Workers = append(answer.Workers, kind.worker)
				}
				callBytes(b, k, answer)
			})
		}
	}
}

func callBytes(b *testing.B, k *keys.Keys, answer plan.State) {
	mux := peer.NewMux()
	mux.Handle(plan.MethodState, func(context.Context, peer.Ref, []byte) (any, error) { return answer, nil })
	owner, ownerMeter := meteredNode(b, "owner", k, mux)
	viewer, viewerMeter := meteredNode(b, "viewer", k, peer.NewMux())
	viewer.SetResolver(func(peer.Ref) (string, bool) { return owner.Addr(), true })
	call := func() {
		var got plan.State
		require.NoError(b, viewer.Call(b.Context(), owner.Self(), plan.MethodState, plan.StateRequest{Partition: "rack-1543", Epoch: 17, Since: 81722, WaitMillis: 20000}, &got))
		require.Len(b, got.Workers, len(answer.Workers))
	}
	sent := func() int64 {
		return ownerMeter.Usage().Traffic[procusage.Peers].Sent + viewerMeter.Usage().Traffic[procusage.Peers].Sent
	}
	call() // establishes the connection
	time.Sleep(time.Second)
	before := sent()
	for b.Loop() {
		call()
		time.Sleep(callPause) // spaces the calls; no assertion depends on it
	}
	b.ReportMetric(float64(sent()-before)/float64(b.N), "B/call")
}
