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
	// peerIdle is how many idle connections a daemon keeps to another for forwarded requests.
	// Beyond it each request costs both a handshake, when they have least time to spare.
	peerIdle = 256
	// peerConns is the limit of connections of which forward.IdleShare is peerIdle.
	peerConns = (1 + forward.DefaultMemberMargin) * peerIdle
)

// Bounds of homeMargin, which is a tenth of the time that is left.
const (
	leastHomeMargin = 10 * time.Millisecond
	mostHomeMargin  = 250 * time.Millisecond
	homeMarginPart  = 10
)

// homeMargin is how much earlier than this daemon the home gives a request up, so that its
// answer, which has the better verdict, comes back in time. The home counts from when it has
// come to read the request: where one of the two is short of processor time that is late.
func homeMargin(remaining time.Duration) time.Duration {
	return min(max(remaining/homeMarginPart, leastHomeMargin), mostHomeMargin)
}

var errPeer = errors.New("only daemons of the cell may forward requests, over mutual TLS")

func peerEndpoint(m fleet.Member) plan.Endpoint {
	return plan.Endpoint{Address: m.ForwardAddr, Slots: peerIdle, Conns: peerConns, Attempt: int(m.Incarnation)}
}

// forwardHeader sets what the home daemon needs to know of the request, all of
// it from what this daemon has read: the home must not come to another view of
// it. A request that one takes for idempotent and the other does not would be
// sent again without an intent.
func (g *Gateway) forwardHeader(c *call, h http.Header) {
	h.Set(ForwardedHeader, string(g.opts.Self))
	h.Set(ServiceHeader, c.service)
	h.Set(KeyHeader, c.key)
	h.Set(IdempotentHeader, strconv.FormatBool(c.idempotent))
	remaining := c.remaining()
	h.Set(TimeoutHeader, max(remaining-homeMargin(remaining), time.Millisecond).String())
}

// PeerHandler serves requests that other daemons forward to this one as the
// home of an idempotency key. It goes to a listener of its own; a forwarded
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
