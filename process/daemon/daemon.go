// Package daemon wires one fennelshuntd: it carries callers' requests, owns a
// part of the workers, jobs, slot pools and idempotency keys, and keeps its
// part of the shared state. A Daemon lives as long as its process; a life of
// it, with its own incarnation, ends when the other daemons took it for gone,
// and the next one starts without the earlier one's state.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"

	"github.com/rs/zerolog"

	"fennelshunt.example/fennelshunt/connection/keys"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/connection/vmlist"
	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/internal/sleep"
	"fennelshunt.example/fennelshunt/process/admin"
	"fennelshunt.example/fennelshunt/process/burn"
	"fennelshunt.example/fennelshunt/process/capacity"
	"fennelshunt.example/fennelshunt/process/settings"
)

// ErrStopped is returned by Stop when no life is running.
var ErrStopped = errors.New("daemon: not running")

// Options of a Daemon.
type Options struct {
	Settings *settings.Settings
	// Peers is the identity between daemons; nil loads Settings.TLS.Peers.
	Peers *keys.Keys
	// Callers is the identity towards callers; nil loads Settings.TLS.Callers,
	// and without those callers are served over plain HTTP.
	Callers *keys.Keys
	Log     zerolog.Logger
	// Store, VMs and Workers replace the adapters named by the settings.
	Store   store.Store
	VMs     vmlist.Lister
	Workers worker.Dialer
	// Tokens knows the administration tokens; nil loads Settings.Tokens, and
	// without those the administration API is not served.
	Tokens admin.Authenticator
	// Violation is called with each broken invariant; by default it is logged
	// and counted.
	Violation func(error)
}

// Daemon is one fennelshuntd. Serve runs it; Stop ends it as planned.
type Daemon struct {
	o       Options
	log     zerolog.Logger
	peers   *keys.Keys
	callers *keys.Keys
	tokens  admin.Authenticator
	listen  listeners
	metrics metrics
	meter   *capacity.Meter
	life    atomic.Pointer[life]
	// stopping is set by Stop: no further life begins.
	stopping atomic.Bool
	ready    chan struct{} // closed when the first life serves
}

// listeners are kept over the lives of a daemon, so that its addresses stay.
type listeners struct {
	caller, forward, admin net.Listener
	peerAddr               string
}

// New loads the keys and opens the TCP listeners; Close releases them if Serve
// is never called.
func New(o Options) (*Daemon, error) {
	d := &Daemon{o: o, log: o.Log.With().Str("daemon", o.Settings.Name).Logger(), ready: make(chan struct{}), meter: capacity.NewMeter()}
	d.metrics.burn = burn.New(burn.Options{})
	if err := d.loadKeys(); err != nil {
		return nil, err
	}
	d.completePlatform()
	if err := d.open(); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

// Check loads the key files that the settings name, without opening anything.
func Check(o Options) error {
	d := &Daemon{o: o}
	return d.loadKeys()
}

func (d *Daemon) loadKeys() error {
	var err error
	if d.peers = d.o.Peers; d.peers == nil {
		f := d.o.Settings.TLS.Peers
		if f == nil {
			return errors.New("daemon: no keys for peers; set tls.peers")
		}
		if d.peers, err = keys.Load(keys.Files{Cert: f.Cert, Key: f.Key, CA: f.CA}); err != nil {
			return fmt.Errorf("daemon: tls.peers: %w", err)
		}
	}
	if d.callers = d.o.Callers; d.callers == nil && d.o.Settings.TLS.Callers != nil {
		f := d.o.Settings.TLS.Callers
		if d.callers, err = keys.Load(keys.Files{Cert: f.Cert, Key: f.Key, CA: f.CA}); err != nil {
			return fmt.Errorf("daemon: tls.callers: %w", err)
		}
	}
	if d.tokens = d.o.Tokens; d.tokens == nil && d.o.Settings.Tokens != "" {
		if d.tokens, err = admin.LoadTokens(d.o.Settings.Tokens, d.log); err != nil {
			return fmt.Errorf("daemon: tokens: %w", err)
		}
	}
	return nil
}

func (d *Daemon) open() error {
	a := d.o.Settings.Listen
	for _, l := range []struct {
		field, addr string
		into        *net.Listener
	}{
		{"listen.caller", a.Caller, &d.listen.caller},
		{"listen.forward", a.Forward, &d.listen.forward},
		{"listen.admin", a.Admin, &d.listen.admin},
	} {
		var err error
		if *l.into, err = net.Listen("tcp", l.addr); err != nil {
			return fmt.Errorf("daemon: %s: %w", l.field, err)
		}
	}
	d.listen.peerAddr = a.Peer
	return nil
}

// Close releases the listeners.
func (d *Daemon) Close() {
	for _, l := range []net.Listener{d.listen.caller, d.listen.forward, d.listen.admin} {
		if l != nil {
			_ = l.Close() // closed twice at the end of Serve; that is no error
		}
	}
}

// CallerAddr returns the address where callers' requests are accepted.
func (d *Daemon) CallerAddr() string { return d.listen.caller.Addr().String() }

// AdminAddr returns the address of the administration API.
func (d *Daemon) AdminAddr() string { return d.listen.admin.Addr().String() }

// Name returns the daemon's name.
func (d *Daemon) Name() string { return d.o.Settings.Name }

// Ready returns a channel closed when the daemon serves for the first time.
func (d *Daemon) Ready() <-chan struct{} { return d.ready }

// Serve runs lives until ctx ends or Stop has finished. When ctx ends the
// daemon stops at once, as a crash does; Stop is the planned way.
func (d *Daemon) Serve(ctx context.Context) error {
	defer d.Close()
	var floor uint64
	for {
		l, err := newLife(ctx, d, floor)
		if err != nil {
			return err
		}
		d.life.Store(l)
		err = l.run(ctx)
		d.life.Store(nil)
		var over *overError
		switch {
		case errors.As(err, &over) && d.stopping.Load():
			l.awaitEnding(ctx)
			return nil
		case errors.As(err, &over):
			floor = max(over.floor, l.self.Incarnation)
			d.log.Warn().Err(err).Msg("this life is over, starting anew without its state")
			if err := sleep.For(ctx, over.pause); err != nil {
				return err
			}
		case l.left.Load():
			return nil
		default:
			return err
		}
	}
}

// Stop ends the daemon as planned: it tells the balancer and the peers, takes
// no new work, finishes the requests in flight, hands its resources over and
// leaves. What is not finished when ctx ends, or after the drain setting, is
// cut; requests may always take as long as their service allows.
func (d *Daemon) Stop(ctx context.Context) error {
	l := d.life.Load()
	if l == nil {
		return ErrStopped
	}
	d.stopping.Store(true)
	ctx, cancel := context.WithTimeout(ctx, l.stopBound())
	defer cancel()
	return l.stop(ctx)
}

// advertise returns the address that others use: the one of the settings, or
// the listener's where the settings leave the port open.
func advertise(setting string, actual string) string {
	if setting == "" {
		return actual
	}
	if _, port, err := net.SplitHostPort(setting); err != nil || port == "0" {
		return actual
	}
	return setting
}
