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

// pathSide carries callers' requests.
type pathSide struct {
	l         *life
	slots     *slots.Manager
	keys      *idem.Manager
	forwarder *forward.Forwarder
	peers     *forward.Forwarder
	gateway   *gateway.Gateway
}

func newPathSide(l *life) *pathSide {
	s := l.d.o.Settings
	p := &pathSide{l: l}
	outliers := outlier.New(outlier.Options{})
	p.slots = slots.New(slots.Options{
		Self: l.self, Zone: s.Zone, Caller: l.node, Registrar: l.mux, Directory: l.owners, Members: l.fleet,
		Log: l.log, RequestLimit: slots.LimitsOf(l.versions), AuthorityBound: s.Leases.Renew.Std(), Health: outliers,
		LeaseRenewed: l.fleet.LeaseRenewed, LeaseFresh: s.Leases.Member.Std() * freshShare / 100,
		Settle: p.settle, CheckInvariants: l.d.o.Violation != nil,
	})
	p.keys = idem.New(idem.Options{
		Self: l.self, Directory: l.owners, Members: l.fleet, Store: l.store.Role(store.RoleIntents), Log: l.log,
	})
	p.forwarder = forward.New(forward.Options{Members: func() int { return len(l.fleet.Members()) }})
	p.peers = forward.New(forward.Options{TLS: l.d.peers.PeerConfig()})
	p.gateway = gateway.New(gateway.Options{
		Self: l.self.ID, Config: l.versions, Ready: l.ready, Slots: p.slots, Forwarder: p.forwarder, Keys: p.keys, Peers: p.peers,
		Admission: admission.New(admission.Options{
			CallerRate: s.Limits.CallerRequestsPerSecond, MaxQueue: s.Limits.MaxQueued,
			Members: func() int { return len(l.fleet.Members()) }, Short: p.slots.Short,
		}),
		Outliers: outliers, OnLeaving: p.slots.MarkLeaving,
		Observe: l.d.metrics.burn.Observer(l.versions), Log: l.log, MaxBody: s.Limits.MaxBodyBytes,
	})
	l.owners.Register(ownership.ServicePrefix, p.slots, l.whenConfigured(p.services))
	l.owners.Register(ownership.KeysPrefix, p.keys, idem.Resources)
	l.work.sinks = append(l.work.sinks, p.slots, outliers)
	return p
}

// freshShare is the share of the member lease, in percent, during which nobody
// can have taken a claim over: a renewal counts from its beginning.
const freshShare = 80

// settle tells the later owners of a slot pool that every earlier one is
// accounted for.
func (p *pathSide) settle(ctx context.Context, c ownership.Claim) error {
	return p.l.owners.Remember(ctx, c, ownership.Memo{Settled: true})
}

// services lists the slot pools: one per declared service.
func (p *pathSide) services() []ownership.Resource {
	var out []ownership.Resource
	for name, j := range p.l.versions.Current().Jobs {
		if j.Kind == spec.Service {
			out = append(out, ownership.Resource(ownership.ServicePrefix+name))
		}
	}
	return out
}

func (p *pathSide) supervise() {
	p.l.addOnce(p.slots)
	p.l.addOnce(p.keys)
	p.l.add(p.forwarder)
	p.l.add(p.peers)
	var callerTLS *tls.Config
	if k := p.l.d.callers; k != nil {
		callerTLS = k.ServerConfig()
	}
	p.l.add(&httpService{l: p.l, name: "callers", server: gateway.NewServer(p.gateway.CallerHandler()),
		listener: p.l.d.listen.caller, tls: callerTLS})
	p.l.add(&httpService{l: p.l, name: "forwarded requests", server: gateway.NewServer(p.gateway.PeerHandler()),
		listener: p.l.d.listen.forward, tls: p.l.d.peers.PeerHTTPConfig()})
}
