// Package peertest is an in-memory peer network for tests. Calls are encoded as
// CBOR, so that the two sides share no memory, as over a socket. Messages can be
// lost or delayed, members cut off from each other, and incarnations paused. The
// network waits by timers and channels only, so it works inside a testing/synctest
// bubble.
package peertest

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"time"

	"fennelshunt.example/fennelshunt/connection/peer"
)

// defaultTimeout ends a call without a deadline whose request or reply was
// lost, as the idle timeout of a connection would.
const defaultTimeout = 45 * time.Second

// overhead is the number of bytes of a message besides its CBOR: IP, UDP and QUIC
// headers and the packet that acknowledges it.
const overhead = 28 + 35 + 28 + 30

// Traffic counts what one member sent and received.
type Traffic struct {
	Sent, Received int64 // bytes, including an estimate of packet headers
	Messages       int64 // messages sent
}

type pair struct{ a, b peer.MemberID }

// Network connects nodes; safe for concurrent use.
type Network struct {
	seed uint64

	mu      sync.Mutex
	nodes   map[peer.MemberID]*Node
	cuts    map[pair]bool
	rands   map[pair]*rand.Rand
	loss    float64
	delay   time.Duration
	traffic map[peer.MemberID]*Traffic
}

// NewNetwork returns a network without faults; the seed fixes which messages
// of each pair of nodes are lost.
func NewNetwork(seed uint64) *Network {
	return &Network{
		seed:    seed,
		nodes:   make(map[peer.MemberID]*Node),
		cuts:    make(map[pair]bool),
		rands:   make(map[pair]*rand.Rand),
		traffic: make(map[peer.MemberID]*Traffic),
	}
}

// Node attaches an incarnation of a member. A later incarnation replaces the
// earlier one, whose messages in flight are lost.
func (n *Network) Node(ref peer.Ref) (peer.Caller, *peer.Mux) {
	node := &Node{net: n, self: ref, mux: peer.NewMux(), down: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	if old := n.nodes[ref.ID]; old != nil {
		old.stop()
	}
	n.nodes[ref.ID] = node
	if n.traffic[ref.ID] == nil {
		n.traffic[ref.ID] = &Traffic{}
	}
	return node, node.mux
}

// Stop removes an incarnation from the network without notice, as a crash does.
func (n *Network) Stop(ref peer.Ref) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if node := n.nodes[ref.ID]; node != nil && node.self == ref {
		node.stop()
	}
}

// Cut loses every message between a and b, in both directions.
func (n *Network) Cut(a, b peer.MemberID) { n.setCut(a, b, true) }

// Heal undoes Cut.
func (n *Network) Heal(a, b peer.MemberID) { n.setCut(a, b, false) }

func (n *Network) setCut(a, b peer.MemberID, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[pair{a, b}] = cut
	n.cuts[pair{b, a}] = cut
}

// Pause holds every message to and from the incarnation until Resume, as if its
// process were suspended.
func (n *Network) Pause(ref peer.Ref) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if node := n.nodes[ref.ID]; node != nil && node.self == ref && node.paused == nil {
		node.paused = make(chan struct{})
	}
}

// Resume undoes Pause.
func (n *Network) Resume(ref peer.Ref) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if node := n.nodes[ref.ID]; node != nil && node.self == ref && node.paused != nil {
		close(node.paused)
		node.paused = nil
	}
}

// SetLoss sets the fraction of messages that are lost, between 0 and 1.
func (n *Network) SetLoss(share float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss = share
}

// SetDelay sets the one-way latency of messages.
func (n *Network) SetDelay(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = d
}

// Traffic returns what all incarnations of the member have sent and received.
func (n *Network) Traffic(id peer.MemberID) Traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	if t := n.traffic[id]; t != nil {
		return *t
	}
	return Traffic{}
}

// randFor returns the random source of one direction between two members.
func (n *Network) randFor(p pair) *rand.Rand {
	if r := n.rands[p]; r != nil {
		return r
	}
	h := fnv.New64a()
	fmt.Fprintf(h, "%s>%s", p.a, p.b)
	r := rand.New(rand.NewPCG(n.seed, h.Sum64()))
	n.rands[p] = r
	return r
}

// send counts one message and decides its delay and whether it is lost.
func (n *Network) send(from, to peer.MemberID, size int) (delay time.Duration, lost bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	sent := n.traffic[from]
	sent.Sent += int64(size + overhead)
	sent.Messages++
	lost = n.cuts[pair{from, to}] || n.randFor(pair{from, to}).Float64() < n.loss
	if t := n.traffic[to]; t != nil && !lost {
		t.Received += int64(size + overhead)
	}
	return n.delay, lost
}

// find returns the node of the member's current incarnation.
func (n *Network) find(id peer.MemberID) (*Node, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	node, ok := n.nodes[id]
	return node, ok
}

func (n *Network) cut(from, to peer.MemberID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[pair{from, to}]
}

// await blocks while the node is paused.
func (n *Network) await(ctx context.Context, node *Node) error {
	for {
		n.mu.Lock()
		paused := node.paused
		n.mu.Unlock()
		if paused == nil {
			return nil
		}
		select {
		case <-paused:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
