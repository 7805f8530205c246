package cellnode

import (
	"context"
	"errors"
	"slices"

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

var (
	errNoMember = errors.New("cellnode: no such member in this daemon's view")
	errStopping = errors.New("cellnode: the daemon stops")
)

// advise calls the advice service through a member, which may be this daemon, or through a
// daemon that has lost its membership.
func (n *Node) advise(ctx context.Context, member, step string, workers []runner.WorkerID) ([]runner.Ticket, error) {
	if member == n.o.Settings.Name {
		return n.o.Adviser.Advise(ctx, step, workers)
	}
	for _, m := range slices.Concat(n.view().Members(), n.view().Lost()) {
		if m.Name != member {
			continue
		}
		var r adviseReply
		_, err := n.peers.CallAddr(ctx, m.Peer, methodAdvise, adviseRequest{step, workers}, &r)
		return r.Good, err
	}
	return nil, errNoMember
}

// serveAdvise refuses calls once the daemon has given up its membership, so that a leader that could not read
// the record of the stop does not wait for an answer.
func (n *Node) serveAdvise(ctx context.Context, r adviseRequest) (any, error) {
	if n.resigned.Load() {
		return nil, errStopping
	}
	good, err := n.o.Adviser.Advise(ctx, r.Step, r.Workers)
	return adviseReply{Good: good}, err
}
