package daemon

import (
	"context"
	"crypto/tls"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/ownership"
	"fennelshunt.example/fennelshunt/request/admission"
	"fennelshunt.example/fennelshunt/request/forward"
	"fennelshunt.example/fennelshunt/request/gateway"
	"fennelshunt.example/fennelshunt/request/idem"
	"fennelshunt.example/fennelshunt/request/outlier"
	"fennelshunt.example/fennelshunt/request/slots"
	"fennelshunt.example/fennelshunt/version/spec"
)

// requestPath holds the components that serve callers' requests.
type requestPath struct {
	inc       *incarnation
	slots     *slots.Manager
	keys      *idem.Manager
	forwarder *forward.Forwarder
	peers     *forward.Forwarder
	gateway   *gateway.Gateway
}

func newRequestPath(inc *incarnation) *requestPath {
	s := inc.d.o.Settings
	p := &requestPath{inc: inc}
	outliers := outlier.New(outlier.Options{})
	p.slots = slots.New(slots.Options{
		Self: inc.self, Zone: s.Zone, Caller: inc.node, Registrar: inc.mux, Directory: inc.owners, Members: inc.fleet,
		Log: inc.log, RequestLimit: slots.RequestLimits(inc.versions), AuthorityBound: s.Leases.Renew.Std(), Health: outliers,
		LeaseRenewed: inc.fleet.LeaseRenewed, LeaseFresh: s.Leases.Member.Std() * freshShare / 100,
		Settle: p.recordSettled, CheckInvariants: inc.d.o.Violation != nil,
	})
	p.keys = idem.New(idem.Options{
		Self: inc.self, Directory: inc.owners, Members: inc.fleet, Store: inc.store.Role(store.RoleIntents), Log: inc.log,
	})
	p.forwarder = forward.New(forward.Options{Members: func() int { return len(inc.fleet.Members()) }})
	p.peers = forward.New(forward.Options{TLS: inc.d.peers.PeerConfig()})
	p.gateway = gateway.New(gateway.Options{
		Self: inc.self.ID, Config: inc.versions, Ready: inc.ready, Slots: p.slots, Forwarder: p.forwarder, Keys: p.keys, Peers: p.peers,
		Admission: admission.New(admission.Options{
			CallerRate: s.Limits.CallerRequestsPerSecond, MaxQueue: s.Limits.MaxQueued,
			Members: func() int { return len(inc.fleet.Members()) }, Saturated: p.slots.Saturated,
		}),
		Outliers: outliers, OnLeaving: p.slots.MarkLeaving,
		Observe: inc.d.metrics.burn.Observer(inc.versions), Log: inc.log, MaxBody: s.Limits.MaxBodyBytes,
	})
	inc.owners.Register(ownership.ServicePrefix, p.slots, inc.onceConfigured(p.services))
	inc.owners.Register(ownership.KeysPrefix, p.keys, idem.Resources)
	inc.work.sinks = append(inc.work.sinks, p.slots, outliers)
	return p
}

// freshShare is the share of the member lease, in percent, that counts as fresh: for that
// time after the beginning of a renewal no other daemon can have taken over a claim.
const freshShare = 80

// recordSettled records in the store, for later owners of a slot pool, that the slots of
// every earlier owner are accounted for.
func (p *requestPath) recordSettled(ctx context.Context, c ownership.Claim) error {
	return p.inc.owners.SaveMemo(ctx, c, ownership.Memo{EarlierFenced: true})
}

// services lists the slot pools as resources: one per declared service.
func (p *requestPath) services() []ownership.Resource {
	var out []ownership.Resource
	for name, j := range p.inc.versions.Current().Jobs {
		if j.Kind == spec.Service {
			out = append(out, ownership.Resource(ownership.ServicePrefix+name))
		}
	}
	return out
}

func (p *requestPath) supervise() {
	p.inc.addOnce(p.slots)
	p.inc.addOnce(p.keys)
	p.inc.add(p.forwarder)
	p.inc.add(p.peers)
	var callerTLS *tls.Config
	if k := p.inc.d.callers; k != nil {
		callerTLS = k.ServerConfig()
	}
	p.inc.add(&httpService{inc: p.inc, name: "callers", server: gateway.NewServer(p.gateway.CallerHandler()),
		listener: p.inc.d.listen.caller, tls: callerTLS})
	p.inc.add(&httpService{inc: p.inc, name: "forwarded requests", server: gateway.NewServer(p.gateway.PeerHandler()),
		listener: p.inc.d.listen.forward, tls: p.inc.d.peers.PeerHTTPConfig()})
}
