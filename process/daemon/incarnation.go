package daemon

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"
	"golang.org/x/sync/errgroup"

	"fennelshunt.example/fennelshunt/connection/keys"
	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/fleet"
	"fennelshunt.example/fennelshunt/process/ownership"
	"fennelshunt.example/fennelshunt/process/partition"
	"fennelshunt.example/fennelshunt/process/versions"
	"fennelshunt.example/fennelshunt/version/history"
)

const (
	// vmListPeriod is the time between two reads of the list of VMs.
	vmListPeriod = time.Second
	// confirmDivisor divides the member lease into the time in which a suspected member
	// may still answer; then the store is asked whether the member's lease has expired.
	confirmDivisor = 2
	// leaveTimeout bounds the last messages of a planned stop.
	leaveTimeout = 5 * time.Second
	// drainGrace is how long the daemon continues to serve after its readiness check
	// has begun to fail, so that the load balancer notices it.
	drainGrace = 2 * time.Second
)

// incarnation holds the state and the components of one incarnation of a daemon.
type incarnation struct {
	d    *Daemon
	self peer.Ref
	log  zerolog.Logger

	mux      *peer.Mux
	node     *peer.Node
	store    *store.Client
	fleet    *fleet.Fleet
	owners   *ownership.Manager
	racks    *partition.Racks
	history  *history.History
	versions *versions.Replicator
	work     *scheduling
	path     *requestPath
	admin    *adminServer

	sup      *suture.Supervisor
	ended    atomic.Pointer[endedError] // set when the incarnation ends before the process
	ending   sync.WaitGroup             // servers whose requests finish after the incarnation
	ready    chan struct{}              // closed when members and configuration are known
	left     atomic.Bool                // a planned stop has completed
	leftDone chan struct{}              // closed with left
}

// newIncarnation claims an incarnation number above floor and builds the components.
func newIncarnation(ctx context.Context, d *Daemon, floor uint64) (*incarnation, error) {
	inc := &incarnation{d: d, mux: peer.NewMux(), ready: make(chan struct{}), leftDone: make(chan struct{})}
	inc.store = store.NewClient(d.o.Store, store.Options{Log: d.log})
	claimed := fleet.ClaimIncarnation(ctx, inc.store.Role(store.RoleMembers), peer.MemberID(d.o.Settings.Name), floor)
	inc.self = claimed.Ref
	inc.log = d.log.With().Uint64("incarnation", inc.self.Incarnation).Logger()
	socket, err := d.listenPeers()
	if err != nil {
		return nil, err
	}
	node, err := peer.NewNode(socket, inc.self, d.peers.PeerConfig(), inc.mux, inc.log)
	if err != nil {
		return nil, fmt.Errorf("daemon: listen.peer: %w", err)
	}
	inc.node = node
	d.listen.peerAddr = node.Addr() // a later incarnation keeps the port
	inc.buildFleet(claimed)
	inc.buildVersions()
	d.metrics.burn.Register(inc.mux)
	inc.work = newScheduling(inc)
	inc.path = newRequestPath(inc)
	inc.admin = newAdminServer(inc)
	inc.supervise()
	self := inc.fleet.Self()
	inc.log.Info().Str("caller", self.CallerAddr).Str("forward", self.ForwardAddr).Str("peer", self.PeerAddr).
		Str("admin", self.AdminAddr).Str("zone", self.Zone).Msg("listening")
	return inc, nil
}

func (inc *incarnation) buildFleet(claimed fleet.Incarnation) {
	s, d := inc.d.o.Settings, inc.d
	self := fleet.Member{
		Ref: inc.self, Zone: s.Zone,
		PeerAddr:    advertise(s.Advertise.Peer, inc.node.Addr()),
		CallerAddr:  advertise(s.Advertise.Caller, d.CallerAddr()),
		ForwardAddr: advertise(s.Advertise.Forward, d.listen.forward.Addr().String()),
		AdminAddr:   advertise(s.Advertise.Admin, d.AdminAddr()),
		Protocol:    peer.ProtocolMax, State: fleet.Alive,
	}
	inc.fleet = fleet.New(fleet.Options{
		Self: self, Incarnation: claimed, Store: inc.store.Role(store.RoleMembers), Caller: inc.node, Registrar: inc.mux,
		Seeds: s.Seeds, SeedCaller: inc.node, Log: inc.log, LeaseTTL: s.Leases.Member.Std(),
		ConfirmTimeout: s.Leases.Member.Std() / confirmDivisor, OnViolation: inc.violation("fleet"),
	})
	inc.node.SetResolver(inc.fleet.Resolve)
	inc.racks = partition.NewRacks(d.o.VMs, vmListPeriod, inc.log)
	inc.owners = ownership.New(ownership.Options{
		View: inc.fleet, Store: inc.store.Role(store.RoleClaims), LastRenewal: inc.fleet.LeaseRenewed,
		StartBound: s.Leases.Start.Std(), RenewBound: s.Leases.Renew.Std(), Log: inc.log,
	})
}

func (inc *incarnation) buildVersions() {
	handle := inc.store.Role(store.RoleVersions)
	inc.history = history.New(handle, history.WithLog(inc.log))
	inc.versions = versions.New(versions.Options{
		Handle: handle, Caller: inc.node, Registrar: inc.mux, Fleet: inc.fleet, History: inc.history, Log: inc.log,
	})
}

// violation returns the function by which a component reports a violated invariant, nil
// without Options.Violation: the component then logs and counts it.
func (inc *incarnation) violation(component string) func(error) {
	f := inc.d.o.Violation
	if f == nil {
		return nil
	}
	return func(err error) { f(fmt.Errorf("%s: %s: %w", inc.self.ID, component, err)) }
}

func (inc *incarnation) supervise() {
	inc.sup = suture.New("fennelshuntd", suture.Spec{
		EventHook: func(e suture.Event) { inc.log.Warn().Str("event", e.String()).Msg("component failure or restart") },
		Timeout:   leaveTimeout,
	})
	inc.add(inc.node)
	inc.add(&fleetService{inc})
	inc.addOnce(inc.owners)
	inc.add(inc.racks)
	inc.add(inc.history)
	inc.add(inc.versions)
	inc.add(&fleetSize{inc})
	for _, k := range []*keys.Keys{inc.d.peers, inc.d.callers} {
		if k != nil {
			inc.add(&keys.Reloader{Keys: k, Log: inc.log})
		}
	}
	inc.work.supervise()
	inc.path.supervise()
	inc.admin.supervise()
}

// run serves until the incarnation ends.
func (inc *incarnation) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-inc.leftDone:
			cancel()
		case <-ctx.Done():
		}
	}()
	go inc.announceReady(ctx)
	err := inc.sup.Serve(ctx)
	_ = inc.node.Close() // the next incarnation needs the port
	if ended := inc.ended.Load(); ended != nil {
		return ended
	}
	return err
}

// announceReady lets the incarnation serve once the members and the configuration are
// known. The first one to do so also closes the daemon's Ready channel.
func (inc *incarnation) announceReady(ctx context.Context) {
	select {
	case <-inc.fleet.Joined():
	case <-ctx.Done():
		return
	}
	select {
	case <-inc.versions.Loaded():
	case <-ctx.Done():
		return
	}
	close(inc.ready)
	select {
	case <-inc.d.ready:
	default:
		close(inc.d.ready)
	}
}

// stop performs a planned stop. Readiness fails first, so that the load balancer
// uses other daemons; then requests finish while resources are released to other
// daemons and idle slot credits are returned; the membership ends last, because
// both need it.
func (inc *incarnation) stop(ctx context.Context) error {
	inc.log.Info().Msg("planned stop: draining requests and releasing resources")
	var g errgroup.Group
	g.Go(func() error { return inc.path.gateway.Drain(ctx, drainGrace) })
	g.Go(func() error {
		transferred := inc.ownedNow()
		err := errors.Join(inc.fleet.Drain(ctx), inc.owners.Leave(ctx))
		inc.awaitSuccessors(ctx, transferred)
		return err
	})
	err := errors.Join(g.Wait(), inc.path.slots.ReturnIdle(context.WithoutCancel(ctx)))
	leaveCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancel()
	err = errors.Join(err, inc.fleet.Leave(leaveCtx))
	inc.left.Store(true)
	close(inc.leftDone)
	inc.log.Info().Err(err).Msg("planned stop ended; the daemon stops serving, and any error names what failed")
	return err
}

// fleetService ends the whole incarnation when the fleet reports that it was evicted.
//
// A supervisor that restarted the fleet component alone would leave the other components
// acting under an incarnation that the members have recorded as ended, beside the owners
// that took over from it.
type fleetService struct{ inc *incarnation }

// Serve implements suture.Service.
func (f *fleetService) Serve(ctx context.Context) error {
	err := f.inc.fleet.Serve(ctx)
	var evicted *fleet.EvictedError
	if errors.As(err, &evicted) {
		return f.inc.end(&endedError{cause: err, floor: evicted.Floor})
	}
	return err
}

// String implements fmt.Stringer for the supervisor's events.
func (f *fleetService) String() string { return "fleet" }

// fleetSize keeps the store client informed of how many daemons share the store's
// request budget.
type fleetSize struct{ inc *incarnation }

// Serve implements suture.Service.
func (f *fleetSize) Serve(ctx context.Context) error {
	for {
		changed := f.inc.fleet.Changed()
		f.inc.store.SetFleetSize(len(f.inc.fleet.Members()))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// String implements fmt.Stringer for the supervisor's events.
func (f *fleetSize) String() string { return "fleet size" }
