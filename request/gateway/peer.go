package gateway

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"fennelshunt.example/fennelshunt/process/fleet"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/request/forward"
)

const (
	// peerIdle is the number of idle connections that a daemon keeps to another one for
	// forwarded requests. Each concurrent request above it costs both daemons a handshake, at
	// the time of their highest load.
	peerIdle = 256
	// peerConns is the connection limit for which forward.IdleShare returns peerIdle.
	peerConns = (1 + forward.DefaultMemberMargin) * peerIdle
)

// Bounds of ownerMargin, which is a tenth of the remaining time.
const (
	minOwnerMargin     = 10 * time.Millisecond
	maxOwnerMargin     = 250 * time.Millisecond
	ownerMarginDivisor = 10
)

// ownerMargin is how much earlier than this daemon the key owner gives up on a request, so that
// the owner's answer, which has the more precise verdict, arrives in time. The owner's timeout
// starts when it reads the request, which is late when either daemon is short of CPU time.
func ownerMargin(remaining time.Duration) time.Duration {
	return min(max(remaining/ownerMarginDivisor, minOwnerMargin), maxOwnerMargin)
}

var errPeer = errors.New("only daemons of the cell may forward requests, over mutual TLS")

func peerEndpoint(m fleet.Member) plan.Endpoint {
	return plan.Endpoint{Address: m.ForwardAddr, Slots: peerIdle, Conns: peerConns, Attempt: int(m.Incarnation)}
}

// forwardHeader sets the headers from which the key owner reads the request's
// parameters, all as this daemon has parsed them, because both must agree on
// them. A request that the owner takes for idempotent although this daemon did
// not would be sent again without an intent.
func (g *Gateway) forwardHeader(c *call, h http.Header) {
	h.Set(ForwardedHeader, string(g.opts.Self))
	h.Set(ServiceHeader, c.service)
	h.Set(KeyHeader, c.key)
	h.Set(IdempotentHeader, strconv.FormatBool(c.idempotent))
	remaining := c.remaining()
	h.Set(TimeoutHeader, max(remaining-ownerMargin(remaining), time.Millisecond).String())
}

// PeerHandler serves requests that other daemons forward to this one as the
// owner of an idempotency key. It needs a listener of its own; a forwarded
// request is never forwarded again.
func (g *Gateway) PeerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		verified := r.TLS != nil && len(r.TLS.VerifiedChains) > 0
		if (!verified && !g.opts.AllowPlainPeers) || r.Header.Get(ForwardedHeader) == "" || r.Header.Get(KeyHeader) == "" {
			refuse(http.StatusForbidden, CodePeerNotAllowed, errPeer).WriteHTTP(w, "")
			return
		}
		g.serve(w, r, true)
	})
}
