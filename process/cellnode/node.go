// Package cellnode assembles one daemon of a cell that accepts jobs from callers.
// Every daemon accepts jobs and answers requests about them; the leader of a shard
// schedules that shard's jobs. A daemon persists nothing locally: all durable state
// is in the platform's store.
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

// Bounds of the adaptive timeout of calls to the store. The minimum is far above the
// few milliseconds that a call usually takes; the maximum allows for a store that is
// sixty times slower.
const (
	minStoreTimeout = 200 * time.Millisecond
	maxStoreTimeout = 1500 * time.Millisecond
)

// Timing of a planned stop, within the bound after which the platform kills the process.
const (
	// drainPause lets the load balancer see that the daemon is not ready, while
	// requests on open connections are served and their connections closed.
	drainPause = 2300 * time.Millisecond
	// stopReserve is the part of the bound that is reserved for the last responses.
	stopReserve = 700 * time.Millisecond
)

// HTTP limits of callers' connections.
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
	// Handler builds the HTTP API for callers.
	Handler func(deps HandlerDeps) http.Handler
	Log     zerolog.Logger
	// Traffic counts the calls of the adapters; the daemon counts its calls to
	// other daemons there as well. May be nil.
	Traffic *traffic.Meter
	// Dropped returns the number of log lines that were dropped, for the metrics.
	Dropped func() int64
}

// HandlerDeps is what the HTTP API for callers is built from.
type HandlerDeps struct {
	Jobs    submit.Shards
	Catalog func() *work.Catalog
	// ConfigStatus reports how current the catalog is.
	ConfigStatus func() submit.ConfigStatus
	// Closing reports whether a planned stop has begun.
	Closing func() bool
	// Answered is to be called after each response.
	Answered func(method string, status int, d time.Duration)
}

// Node is one daemon of a cell.
type Node struct {
	o            Options
	log          zerolog.Logger
	storeTimeout *store.AdaptiveTimeout
	catalogs     *catalogs
	peers        *peer.Node
	mux          *peer.Mux
	built        atomic.Pointer[[]*shard]
	self         lead.Member
	relay        *relay.Server
	relayed      relay.Stats
	submitted    submit.Stats
	pacer        *submit.Pacer              // shared by the shards
	quotaOwner   atomic.Pointer[quotaOwner] // while this daemon leads shard 0 of several
	stopping     atomic.Bool
	resigned     atomic.Bool // leadership and membership have been given up for a planned stop
	metrics      *expvar.Map
	latencies    latencies
	byAccount    latencies // of completed jobs
	callers      *http.Server
	conns        *graceful.Conns // of callers
	listen       struct{ callers, ready, metrics, orders net.Listener }
	tls          *tls.Config // between daemons
}

// New returns a Node with its listeners open.
func New(o Options) (*Node, error) {
	n := &Node{o: o, log: o.Log,
		storeTimeout: &store.AdaptiveTimeout{Min: minStoreTimeout, Max: maxStoreTimeout}, metrics: new(expvar.Map).Init()}
	n.pacer = submit.NewPacer(n.storeTimeout, &n.submitted, o.Settings.Policy.NoOutagePacing, n.log)
	n.catalogs = newCatalogs(o.Catalogs, n.storeTimeout, n.log)
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

// Run serves until ctx ends; Stop performs a planned stop.
func (n *Node) Run(ctx context.Context) error {
	n.log.Info().Str("zone", n.o.Settings.Zone).Str("callers", n.CallersAddr()).Msg("daemon starts")
	ready := &http.Server{Handler: http.HandlerFunc(n.serveReady), ReadHeaderTimeout: headerTimeout}
	go n.serveHTTP(ready, n.listen.ready)
	if err := n.join(ctx); err != nil {
		return err
	}
	n.callers = &http.Server{
		Handler:           n.o.Handler(HandlerDeps{Jobs: submit.Shards{Of: n.shardOf}, Catalog: n.catalogs.Current, ConfigStatus: n.configStatus, Closing: n.stopping.Load, Answered: n.Answered}),
		ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
	}
	n.conns = graceful.Track(n.callers)
	go n.serveHTTP(n.callers, graceful.Listener(n.listen.callers))
	if n.listen.metrics != nil {
		go n.serveHTTP(&http.Server{Handler: n.MetricsHandler(), ReadHeaderTimeout: headerTimeout}, n.listen.metrics)
	}
	tree := suture.New("fenneljobd", suture.Spec{EventHook: func(e suture.Event) {
		n.log.Error().Str("event", e.String()).Msg("supervisor event")
	}})
	tree.Add(n.catalogs)
	tree.Add(service{n.followPeers})
	tree.Add(service{n.shards()[0].elector.Run})
	tree.Add(service{n.runShards})
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
		n.log.Error().Err(err).Str("address", l.Addr().String()).Msg("HTTP server ended; its address is no longer served")
	}
}

// join reads from the store the keys for calls to other daemons, retrying until the
// store answers, and builds what depends on them.
func (n *Node) join(ctx context.Context) error {
	s := n.o.Settings
	addr := &net.UDPAddr{IP: net.ParseIP(s.IP), Port: s.PeerPort}
	socket, err := net.ListenUDP("udp", addr)
	if err != nil {
		return fmt.Errorf("cellnode: peer_port: %w", err)
	}
	for pause := joinPause; ; pause = min(2*pause, joinPauseMax) {
		bounded, cancel := context.WithTimeout(ctx, maxStoreTimeout)
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
		n.log.Warn().Err(err).Msg("cannot join the cell until the store answers; retrying")
		if err := sleep.For(ctx, pause); err != nil {
			return errors.Join(err, socket.Close())
		}
	}
}

// Backoff between attempts to join.
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
	n.built.Store(&[]*shard{n.newShard(0, nil)})
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
	return dispatch.Bounds{Lease: lease, MaxLease: b.WorkerLeaseMS.Std(), Gang: b.GangMS.Std(), SeveralRacks: b.SeveralRacksFactor,
		Keep:     time.Duration(b.KeepS * float64(time.Second)),
		Entitled: fair.Entitlement{Window: time.Duration(b.EntitledWindowS * float64(time.Second)), Slack: b.EntitledSlack}}
}

// Ready reports whether the daemon can serve callers.
func (n *Node) Ready() bool {
	if n.stopping.Load() || n.catalogs.Current() == nil || n.built.Load() == nil {
		return false
	}
	_, known := n.view().Layout()
	return known && n.pacer.Ready()
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !n.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Stop performs a planned stop: it fails the readiness check, resigns leadership, and
// serves requests until their connections have been closed.
func (n *Node) Stop(ctx context.Context) {
	n.stopping.Store(true)
	n.log.Info().Msg("planned stop begins")
	bound := time.Duration(n.o.Settings.Bounds.StopS*float64(time.Second)) - stopReserve
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	if built := n.built.Load(); built != nil {
		for _, p := range slices.Backward(*built) { // shard 0 last: its resignation ends the member lease that all shards use
			p.elector.Resign(ctx)
		}
	}
	n.resigned.Store(true)
	if n.conns == nil {
		return
	}
	_ = sleep.For(ctx, min(drainPause, bound/2)) // if ctx ends early, Shutdown returns at once
	if err := n.conns.Shutdown(ctx, func() { _ = n.listen.callers.Close() }); err != nil {
		n.log.Warn().Err(err).Msg("HTTP server did not shut down cleanly; connections still open were closed and their requests aborted")
	}
}
