package cellnode

import (
	"context"
	"errors"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/runner"
)

// methodAdvise asks a daemon to call the advice service. The service answers the
// calls of one daemon one at a time, and those of several daemons in parallel.
const methodAdvise peer.Method = "advice.ask"

type adviseRequest struct {
	Step    string            `cbor:"1,keyasint"`
	Workers []runner.WorkerID `cbor:"2,keyasint"`
}

type adviseReply struct {
	Good []runner.Ticket `cbor:"1,keyasint"`
}

var errNoMember = errors.New("cellnode: no such member in this daemon's view")

// advise calls the advice service through a member, which may be this daemon.
func (n *Node) advise(ctx context.Context, member, step string, workers []runner.WorkerID) ([]runner.Ticket, error) {
	if member == n.o.Settings.Name {
		return n.o.Adviser.Advise(ctx, step, workers)
	}
	for _, m := range n.view().Members() {
		if m.Name != member {
			continue
		}
		var r adviseReply
		_, err := n.peers.CallAddr(ctx, m.Peer, methodAdvise, adviseRequest{step, workers}, &r)
		return r.Good, err
	}
	return nil, errNoMember
}

func (n *Node) serveAdvise(ctx context.Context, r adviseRequest) (any, error) {
	good, err := n.o.Adviser.Advise(ctx, r.Step, r.Workers)
	return adviseReply{Good: good}, err
}
