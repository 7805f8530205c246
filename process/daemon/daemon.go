// Package daemon assembles one fennelshuntd process: it serves callers' requests and owns
// some of the cell's workers, jobs, slot pools and idempotency keys, with their shared
// state. A Daemon lasts as long as its process and runs one incarnation at a time. An
// incarnation ends when the other daemons have evicted it or when a component fails; the
// next one starts with a higher number and without the earlier one's state.
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
	"fennelshunt.example/fennelshunt/process/procusage"
	"fennelshunt.example/fennelshunt/process/settings"
)

// ErrStopped is returned by Stop when no incarnation is running.
var ErrStopped = errors.New("daemon: not running")

// Options of a Daemon.
type Options struct {
	Settings *settings.Settings
	// Peers holds the TLS keys for calls between daemons; nil loads
	// Settings.TLS.Peers.
	Peers *keys.Keys
	// Callers holds the TLS keys for serving callers; nil loads
	// Settings.TLS.Callers, and without those callers are served over plain HTTP.
	Callers *keys.Keys
	Log     zerolog.Logger
	// Store, VMs and Workers replace the adapters named by the settings.
	Store   store.Store
	VMs     vmlist.Lister
	Workers worker.Dialer
	// Tokens authenticates administration tokens; nil loads Settings.Tokens, and
	// without those the administration API is not served.
	Tokens admin.Authenticator
	// Violation is called with each violated invariant; by default it is logged
	// and counted.
	Violation func(error)
}

// Daemon is one fennelshuntd. Serve runs it; Stop performs a planned stop.
type Daemon struct {
	o           Options
	log         zerolog.Logger
	peers       *keys.Keys
	callers     *keys.Keys
	tokens      admin.Authenticator
	listen      listeners
	metrics     metrics
	meter       *procusage.Meter
	incarnation atomic.Pointer[incarnation]
	// stopping is set by Stop: no further incarnation starts.
	stopping atomic.Bool
	ready    chan struct{} // closed when the first incarnation serves
}

// listeners are kept across the incarnations of a daemon, so that its addresses stay.
type listeners struct {
	caller, forward, admin net.Listener
	peerAddr               string
}

// New loads the keys and opens the TCP listeners; Close releases them if Serve
// is never called.
func New(o Options) (*Daemon, error) {
	d := &Daemon{o: o, log: o.Log.With().Str("daemon", o.Settings.Name).Logger(), ready: make(chan struct{}), meter: procusage.NewMeter()}
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
		listener    *net.Listener
	}{
		{"listen.caller", a.Caller, &d.listen.caller},
		{"listen.forward", a.Forward, &d.listen.forward},
		{"listen.admin", a.Admin, &d.listen.admin},
	} {
		var err error
		if *l.listener, err = net.Listen("tcp", l.addr); err != nil {
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
			_ = l.Close() // fails if Serve has closed it already, which is no problem
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

// Serve runs incarnations until ctx ends or Stop has finished. When ctx ends the
// daemon stops at once, as in a crash; Stop performs a planned stop.
func (d *Daemon) Serve(ctx context.Context) error {
	defer d.Close()
	var floor uint64
	for {
		inc, err := newIncarnation(ctx, d, floor)
		if err != nil {
			return err
		}
		d.incarnation.Store(inc)
		err = inc.run(ctx)
		d.incarnation.Store(nil)
		var ended *endedError
		switch {
		case errors.As(err, &ended) && d.stopping.Load():
			inc.awaitEnding(ctx)
			return nil
		case errors.As(err, &ended):
			floor = max(ended.floor, inc.self.Incarnation)
			d.log.Warn().Err(err).Msg("incarnation ended; starting the next one without its state")
			if err := sleep.For(ctx, ended.pause); err != nil {
				return err
			}
		case inc.left.Load():
			return nil
		default:
			return err
		}
	}
}

// Stop performs a planned stop: it fails the readiness check, notifies the peers, accepts
// no new work, finishes the requests in flight, releases its resources to other daemons
// and leaves the fleet. What is not finished when ctx ends, or after the drain setting, is
// aborted; the bound is extended so that requests can take as long as their service allows.
func (d *Daemon) Stop(ctx context.Context) error {
	inc := d.incarnation.Load()
	if inc == nil {
		return ErrStopped
	}
	d.stopping.Store(true)
	ctx, cancel := context.WithTimeout(ctx, inc.stopBound())
	defer cancel()
	return inc.stop(ctx)
}

// advertise returns the address that others use: the one in the settings, or the
// listener's where the settings give no address or port 0.
func advertise(setting string, actual string) string {
	if setting == "" {
		return actual
	}
	if _, port, err := net.SplitHostPort(setting); err != nil || port == "0" {
		return actual
	}
	return setting
}
