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
	// vmListInterval is the time between two reads of the list of VMs.
	vmListInterval = time.Second
	// confirmPart is the part of the member lease for which a suspected member
	// may still answer before the store is asked whether its lease lapsed.
	confirmPart = 2
	// leaveTimeout bounds the last messages of a planned stop.
	leaveTimeout = 5 * time.Second
	// drainGrace is how long the daemon serves on after its readiness check
	// began to fail, so that the balancer has seen it.
	drainGrace = 2 * time.Second
)

// life is everything that belongs to one incarnation.
type life struct {
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
	versions *versions.Keeper
	work     *workSide
	path     *pathSide
	admin    *adminSide

	sup      *suture.Supervisor
	over     atomic.Pointer[overError] // set when the life ends before its daemon
	ending   sync.WaitGroup            // servers whose requests finish after the life
	ready    chan struct{}             // closed when members and configuration are known
	left     atomic.Bool
	leftDone chan struct{}
}

// newLife claims an incarnation and builds the parts around it.
func newLife(ctx context.Context, d *Daemon, floor uint64) (*life, error) {
	l := &life{d: d, mux: peer.NewMux(), ready: make(chan struct{}), leftDone: make(chan struct{})}
	l.store = store.NewClient(d.o.Store, store.Options{Log: d.log})
	claimed := fleet.ClaimLife(ctx, l.store.Role(store.RoleMembers), peer.MemberID(d.o.Settings.Name), floor)
	l.self = claimed.Ref
	l.log = d.log.With().Uint64("incarnation", l.self.Incarnation).Logger()
	socket, err := d.listenPeers()
	if err != nil {
		return nil, err
	}
	node, err := peer.NewNode(socket, l.self, d.peers.PeerConfig(), l.mux, l.log)
	if err != nil {
		return nil, fmt.Errorf("daemon: listen.peer: %w", err)
	}
	l.node = node
	d.listen.peerAddr = node.Addr() // a later life keeps the port
	l.buildFleet(claimed)
	l.buildVersions()
	d.metrics.burn.Register(l.mux)
	l.work = newWorkSide(l)
	l.path = newPathSide(l)
	l.admin = newAdminSide(l)
	l.supervise()
	self := l.fleet.Self()
	l.log.Info().Str("caller", self.CallerAddr).Str("forward", self.ForwardAddr).Str("peer", self.PeerAddr).
		Str("admin", self.AdminAddr).Str("zone", self.Zone).Msg("listening")
	return l, nil
}

func (l *life) buildFleet(claimed fleet.Life) {
	s, d := l.d.o.Settings, l.d
	self := fleet.Member{
		Ref: l.self, Zone: s.Zone,
		PeerAddr:    advertise(s.Advertise.Peer, l.node.Addr()),
		CallerAddr:  advertise(s.Advertise.Caller, d.CallerAddr()),
		ForwardAddr: advertise(s.Advertise.Forward, d.listen.forward.Addr().String()),
		AdminAddr:   advertise(s.Advertise.Admin, d.AdminAddr()),
		Protocol:    peer.ProtocolMax, State: fleet.Alive,
	}
	l.fleet = fleet.New(fleet.Options{
		Self: self, Life: claimed, Store: l.store.Role(store.RoleMembers), Caller: l.node, Registrar: l.mux,
		Seeds: s.Seeds, SeedCaller: l.node, Log: l.log, LeaseTTL: s.Leases.Member.Std(),
		ConfirmTimeout: s.Leases.Member.Std() / confirmPart, OnViolation: l.violation("fleet"),
	})
	l.node.SetResolver(l.fleet.Resolve)
	l.racks = partition.NewRacks(d.o.VMs, vmListInterval, l.log)
	l.owners = ownership.New(ownership.Options{
		View: l.fleet, Store: l.store.Role(store.RoleClaims), Renewed: l.fleet.LeaseRenewed,
		StartBound: s.Leases.Start.Std(), RenewBound: s.Leases.Renew.Std(), Log: l.log,
	})
}

func (l *life) buildVersions() {
	handle := l.store.Role(store.RoleVersions)
	l.history = history.New(handle, history.WithLog(l.log))
	l.versions = versions.New(versions.Options{
		Handle: handle, Caller: l.node, Registrar: l.mux, Fleet: l.fleet, History: l.history, Log: l.log,
	})
}

// violation returns how a part reports a broken invariant, nil when nobody
// asked: the part then logs and counts it.
func (l *life) violation(part string) func(error) {
	f := l.d.o.Violation
	if f == nil {
		return nil
	}
	return func(err error) { f(fmt.Errorf("%s: %s: %w", l.self.ID, part, err)) }
}

func (l *life) supervise() {
	l.sup = suture.New("fennelshuntd", suture.Spec{
		EventHook: func(e suture.Event) { l.log.Warn().Str("event", e.String()).Msg("supervisor") },
		Timeout:   leaveTimeout,
	})
	l.add(l.node)
	l.add(&fleetService{l})
	l.addOnce(l.owners)
	l.add(l.racks)
	l.add(l.history)
	l.add(l.versions)
	l.add(&fleetSize{l})
	for _, k := range []*keys.Keys{l.d.peers, l.d.callers} {
		if k != nil {
			l.add(&keys.Reloader{Keys: k, Log: l.log})
		}
	}
	l.work.supervise()
	l.path.supervise()
	l.admin.supervise()
}

// run serves until the life ends.
func (l *life) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-l.leftDone:
			cancel()
		case <-ctx.Done():
		}
	}()
	go l.announceReady(ctx)
	err := l.sup.Serve(ctx)
	_ = l.node.Close() // the port is needed by the next life
	if over := l.over.Load(); over != nil {
		return over
	}
	return err
}

// announceReady lets the life serve once the members and the configuration are known,
// and closes the daemon's Ready when its first life does.
func (l *life) announceReady(ctx context.Context) {
	select {
	case <-l.fleet.Joined():
	case <-ctx.Done():
		return
	}
	select {
	case <-l.versions.Loaded():
	case <-ctx.Done():
		return
	}
	close(l.ready)
	select {
	case <-l.d.ready:
	default:
		close(l.d.ready)
	}
}

// stop is the planned end of a life. Readiness fails first, so that the
// balancer goes elsewhere; then requests finish while resources are handed
// over and idle slot credits go back; the membership ends last, because both
// need it.
func (l *life) stop(ctx context.Context) error {
	l.log.Info().Msg("planned stop: draining")
	var g errgroup.Group
	g.Go(func() error { return l.path.gateway.Drain(ctx, drainGrace) })
	g.Go(func() error {
		handed := l.ownedNow()
		err := errors.Join(l.fleet.Drain(ctx), l.owners.Leave(ctx))
		l.awaitSuccessors(ctx, handed)
		return err
	})
	err := errors.Join(g.Wait(), l.path.slots.ReturnIdle(context.WithoutCancel(ctx)))
	leaveCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancel()
	err = errors.Join(err, l.fleet.Leave(leaveCtx))
	l.left.Store(true)
	close(l.leftDone)
	l.log.Info().Err(err).Msg("planned stop: done")
	return err
}

// fleetService ends the whole life when the fleet says that it is over.
//
// What goes wrong otherwise: a supervisor that restarts the fleet alone would
// leave the other parts acting under an incarnation that the members have
// recorded as ended, beside the owners that took over from it.
type fleetService struct{ l *life }

// Serve implements suture.Service.
func (f *fleetService) Serve(ctx context.Context) error {
	err := f.l.fleet.Serve(ctx)
	var evicted *fleet.EvictedError
	if errors.As(err, &evicted) {
		return f.l.end(&overError{cause: err, floor: evicted.Floor})
	}
	return err
}

// String implements fmt.Stringer for the supervisor's events.
func (f *fleetService) String() string { return "fleet" }

// fleetSize tells the store client how many daemons share its budget.
type fleetSize struct{ l *life }

// Serve implements suture.Service.
func (f *fleetSize) Serve(ctx context.Context) error {
	for {
		changed := f.l.fleet.Changed()
		f.l.store.SetFleetSize(len(f.l.fleet.Members()))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// String implements fmt.Stringer for the supervisor's events.
func (f *fleetSize) String() string { return "fleet size" }
