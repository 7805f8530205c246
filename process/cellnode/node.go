// Package cellnode wires one daemon of a cell that takes jobs from callers.
// Every daemon accepts jobs and answers for them; the one that leads schedules
// them all. A daemon keeps nothing: what must last is in the platform's store.
package cellnode

import (
	"context"
	"crypto/tls"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"

	"fennelshunt.example/fennelshunt/connection/graceful"
	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/connection/traffic"
	"fennelshunt.example/fennelshunt/internal/sleep"
	"fennelshunt.example/fennelshunt/process/dispatch"
	"fennelshunt.example/fennelshunt/process/fair"
	"fennelshunt.example/fennelshunt/process/lead"
	"fennelshunt.example/fennelshunt/process/relay"
	"fennelshunt.example/fennelshunt/process/settings"
	"fennelshunt.example/fennelshunt/request/submit"
	"fennelshunt.example/fennelshunt/version/work"
)

// Bounds of calls to the store. The least is far above an answer's usual few
// milliseconds; the most lets a store sixty times slower still be used.
const (
	minPatience = 200 * time.Millisecond
	maxPatience = 1500 * time.Millisecond
)

// Times of a planned stop, before the bound at which the platform kills.
const (
	// drainPause lets the balancer see that the daemon is not ready, while
	// requests on open connections are served and their connections closed.
	drainPause = 2300 * time.Millisecond
	// stopReserve is kept of the bound for the last answers.
	stopReserve = 700 * time.Millisecond
)

// HTTP bounds of callers' connections.
const (
	headerTimeout = 3 * time.Second
	idleTimeout   = 60 * time.Second
	maxHeader     = 16 << 10
)

// Options of a Node.
type Options struct {
	Settings  *settings.JobCell
	Store     store.Transactor
	Runner    runner.Runner
	Directory runner.Directory
	Catalogs  work.Source
	Adviser   runner.Adviser
	// Handler builds the callers' interface.
	Handler func(p Parts) http.Handler
	Log     zerolog.Logger
	// Traffic counts the calls of the adapters; the daemon counts its calls to
	// other daemons there as well. May be nil.
	Traffic *traffic.Meter
	// Dropped returns the log lines that were dropped, for the metrics.
	Dropped func() int64
}

// Parts is what the callers' interface is built from.
type Parts struct {
	Jobs    submit.Parts
	Catalog func() *work.Catalog
	// Standing tells how far the catalog may be relied on.
	Standing func() submit.Standing
	Closing  func() bool
	// Answered is to be told each answer.
	Answered func(method string, status int, d time.Duration)
}

// Node is one daemon.
type Node struct {
	o         Options
	log       zerolog.Logger
	patience  *store.Patience
	catalogs  *catalogs
	peers     *peer.Node
	mux       *peer.Mux
	built     atomic.Pointer[[]*part]
	self      lead.Member
	relay     *relay.Server
	relayed   relay.Stats
	submitted submit.Stats
	owner     atomic.Pointer[owner] // while this daemon leads part 0 of several
	stopping  atomic.Bool
	metrics   *expvar.Map
	latencies latencies
	byAccount latencies // of completed jobs
	callers   *http.Server
	conns     *graceful.Conns // of callers
	listen    struct{ callers, ready, metrics, orders net.Listener }
	tls       *tls.Config // between daemons
}

// New opens the listeners.
func New(o Options) (*Node, error) {
	n := &Node{o: o, log: o.Log,
		patience: &store.Patience{Min: minPatience, Max: maxPatience}, metrics: new(expvar.Map).Init()}
	n.catalogs = newCatalogs(o.Catalogs, n.patience, n.log)
	n.catalogs.follow(o.Settings.Bounds)
	s := o.Settings
	for _, l := range []struct {
		field, addr string
		into        *net.Listener
	}{
		{"callers", s.Callers, &n.listen.callers}, {"ready", s.Ready, &n.listen.ready},
		{"peer_port", fmt.Sprintf("%s:%d", s.IP, s.PeerPort), &n.listen.orders},
		{"metrics_port", metricsAddr(s), &n.listen.metrics},
	} {
		if l.addr == "" {
			continue
		}
		var err error
		if *l.into, err = net.Listen("tcp", l.addr); err != nil {
			return nil, fmt.Errorf("cellnode: %s: %w", l.field, err)
		}
	}
	return n, nil
}

func metricsAddr(s *settings.JobCell) string {
	if s.MetricsPort == 0 {
		return ""
	}
	return fmt.Sprintf("%s:%d", s.IP, s.MetricsPort)
}

// CallersAddr returns the address where callers are served.
func (n *Node) CallersAddr() string { return n.listen.callers.Addr().String() }

// Run serves until ctx ends. Stop ends it as planned.
func (n *Node) Run(ctx context.Context) error {
	n.log.Info().Str("zone", n.o.Settings.Zone).Str("callers", n.o.Settings.Callers).Msg("daemon starts")
	ready := &http.Server{Handler: http.HandlerFunc(n.serveReady), ReadHeaderTimeout: headerTimeout}
	go n.serveHTTP(ready, n.listen.ready)
	if err := n.join(ctx); err != nil {
		return err
	}
	n.callers = &http.Server{
		Handler:           n.o.Handler(Parts{Jobs: submit.Parts{Of: n.partOf}, Catalog: n.catalogs.Current, Standing: n.standing, Closing: n.stopping.Load, Answered: n.Answered}),
		ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
	}
	n.conns = graceful.Follow(n.callers)
	go n.serveHTTP(n.callers, graceful.Listener(n.listen.callers))
	if n.listen.metrics != nil {
		go n.serveHTTP(&http.Server{Handler: n.MetricsHandler(), ReadHeaderTimeout: headerTimeout}, n.listen.metrics)
	}
	tree := suture.New("fenneljobd", suture.Spec{EventHook: func(e suture.Event) {
		n.log.Error().Str("event", e.String()).Msg("service restarted")
	}})
	tree.Add(n.catalogs)
	tree.Add(service{n.followPeers})
	tree.Add(service{n.parts()[0].elector.Run})
	tree.Add(service{n.runParts})
	tree.Add(service{n.peers.Serve})
	tree.Add(service{n.serveOrders})
	err := tree.Serve(ctx)
	n.log.Info().AnErr("cause", err).Msg("daemon stops")
	return errors.Join(n.callers.Close(), ready.Close(), n.peers.Close())
}

// service adapts a function to suture.
type service struct {
	run func(ctx context.Context) error
}

// Serve implements suture.Service.
func (s service) Serve(ctx context.Context) error { return s.run(ctx) }

func (n *Node) serveHTTP(s *http.Server, l net.Listener) {
	if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		n.log.Error().Err(err).Str("address", l.Addr().String()).Msg("listener ended")
	}
}

// join waits for the store, from which the daemon has its keys for calls to
// others, and builds what depends on them.
func (n *Node) join(ctx context.Context) error {
	s := n.o.Settings
	addr := &net.UDPAddr{IP: net.ParseIP(s.IP), Port: s.PeerPort}
	socket, err := net.ListenUDP("udp", addr)
	if err != nil {
		return fmt.Errorf("cellnode: peer_port: %w", err)
	}
	for pause := joinPause; ; pause = min(2*pause, joinPauseMax) {
		bounded, cancel := context.WithTimeout(ctx, maxPatience)
		identity, err := lead.Identity(bounded, n.o.Store, s.IP)
		cancel()
		if err == nil {
			mux := peer.NewMux()
			self := peer.Ref{ID: peer.MemberID(s.Name), Incarnation: uint64(time.Now().UnixNano())}
			n.tls = identity.PeerConfig()
			if n.peers, err = peer.NewNode(socket, self, n.tls, mux, n.log); err != nil {
				return err
			}
			n.build(lead.Member{Name: s.Name, Peer: socket.LocalAddr().String(), Zone: s.Zone, Cores: s.CPUShare * s.Cores, Started: time.Now().UnixMilli(), LinkMbps: s.LinkMbps, Orders: n.listen.orders.Addr().String()}, mux)
			return nil
		}
		n.log.Warn().Err(err).Msg("waiting for the store to join the cell")
		if err := sleep.For(ctx, pause); err != nil {
			return errors.Join(err, socket.Close())
		}
	}
}

// Pauses between tries to join.
const (
	joinPause    = 20 * time.Millisecond
	joinPauseMax = 500 * time.Millisecond
)

func (n *Node) build(self lead.Member, mux *peer.Mux) {
	n.self, n.mux = self, mux
	n.relay = relay.NewServer(n.o.Runner, n.peers, n.log)
	n.relay.Register(mux)
	n.peers.CountOn(n.o.Traffic)
	mux.Handle(methodAdvise, peer.Typed(n.serveAdvise))
	mux.Handle(methodQuota, peer.Typed(n.serveQuota))
	mux.Handle(methodCatalog, peer.Typed(n.serveCatalog))
	n.built.Store(&[]*part{n.newPart(0, nil)})
}

func (n *Node) memberLease() time.Duration {
	if t := n.o.Settings.Tuning; t != nil {
		return t.MemberLeaseMS.Std()
	}
	return 0
}

func (n *Node) bounds() dispatch.Bounds {
	b := n.o.Settings.Bounds
	lease := b.WorkerLeaseMS.Std()
	if t := n.o.Settings.Tuning; t != nil && t.TaskLeaseMS > 0 {
		lease = t.TaskLeaseMS.Std()
	}
	return dispatch.Bounds{Lease: lease, MaxLease: b.WorkerLeaseMS.Std(), Gang: b.GangMS.Std(),
		Keep:     time.Duration(b.KeepS * float64(time.Second)),
		Entitled: fair.Entitlement{Window: time.Duration(b.EntitledWindowS * float64(time.Second)), Slack: b.EntitledSlack}}
}

// Ready reports whether the daemon can serve callers.
func (n *Node) Ready() bool {
	if n.stopping.Load() || n.catalogs.Current() == nil || n.built.Load() == nil {
		return false
	}
	_, known := n.view().Layout()
	return known
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !n.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Stop ends the daemon as planned: the balancer is told, leadership handed
// over, and requests are served until their connections have been closed.
func (n *Node) Stop(ctx context.Context) {
	n.stopping.Store(true)
	n.log.Info().Msg("planned stop begins")
	bound := time.Duration(n.o.Settings.Bounds.StopS*float64(time.Second)) - stopReserve
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	if built := n.built.Load(); built != nil {
		for _, p := range slices.Backward(*built) { // part 0 ends the lease of all
			p.elector.Resign(ctx)
		}
	}
	if n.conns == nil {
		return
	}
	_ = sleep.For(ctx, min(drainPause, bound/2)) // ends with the context, which Shutdown sees
	if err := n.conns.Shutdown(ctx, func() { _ = n.listen.callers.Close() }); err != nil {
		n.log.Warn().Err(err).Msg("requests were cut at the end of the stop")
	}
}
