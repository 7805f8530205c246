// Package cell runs a whole cell in one process on loopback: the stand-ins of the
// platform, several daemons, and a stand-in of the platform's load balancer. The
// demonstration, the load generator and the end-to-end tests use it.
package cell

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"fennelshunt.example/fennelshunt/connection/keys"
	"fennelshunt.example/fennelshunt/process/daemon"
	"fennelshunt.example/fennelshunt/process/settings"
	"fennelshunt.example/fennelshunt/standin/platform"
	"fennelshunt.example/fennelshunt/version/spec"
)

// readyTimeout is how long Start waits for all daemons to be ready.
const readyTimeout = 30 * time.Second

// Options of a Cell.
type Options struct {
	Platform platform.Options
	// Daemons is the number of daemons that Start starts.
	Daemons int
	Log     zerolog.Logger
	// MemberLease is the TTL of the daemons' membership lease in the store; 0 means the default.
	MemberLease time.Duration
	// Adjust, if not nil, changes the settings of each daemon before it starts.
	Adjust func(*settings.Settings)
}

// Entry is a running daemon on an entry VM.
type Entry struct {
	*daemon.Daemon
	cancel context.CancelFunc
	done   chan error
}

// Cell is a running cell.
type Cell struct {
	Platform *platform.Platform

	o    Options
	ctx  context.Context
	keys *keys.Keys
	stop context.CancelFunc

	mu         sync.Mutex
	entries    []*Entry
	next       int
	violations []error
}

// Start starts the platform and the daemons and waits until they are ready.
func Start(ctx context.Context, o Options) (*Cell, error) {
	ctx, stop := context.WithCancel(ctx)
	c := &Cell{o: o, ctx: ctx, stop: stop}
	var err error
	if c.keys, err = keys.Ephemeral(); err != nil {
		stop()
		return nil, err
	}
	if c.Platform, err = platform.Start(ctx, o.Platform); err != nil {
		stop()
		return nil, err
	}
	for range o.Daemons {
		if _, err := c.Add(); err != nil {
			return nil, errors.Join(err, c.Close())
		}
	}
	return c, c.waitReady()
}

// Add starts one more daemon under a new name.
func (c *Cell) Add() (*Entry, error) {
	c.mu.Lock()
	c.next++
	n := c.next
	c.mu.Unlock()
	return c.AddNamed(fmt.Sprintf("entry-%d", n))
}

// AddNamed starts a daemon under the given name, which may be that of an earlier daemon.
func (c *Cell) AddNamed(name string) (*Entry, error) {
	zones := c.o.Platform.Shape.Zones
	c.mu.Lock()
	zone := zones[len(c.entries)%len(zones)]
	c.mu.Unlock()
	s := c.settings(name, zone)
	d, err := daemon.New(daemon.Options{Settings: s, Peers: c.keys, Log: c.o.Log, Violation: c.violate})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(c.ctx)
	e := &Entry{Daemon: d, cancel: cancel, done: make(chan error, 1)}
	go func() { e.done <- d.Serve(ctx) }()
	c.mu.Lock()
	c.entries = append(c.entries, e)
	c.mu.Unlock()
	return e, nil
}

func (c *Cell) settings(name, zone string) *settings.Settings {
	const free = "127.0.0.1:0"
	s := &settings.Settings{
		Name: name, Zone: zone,
		Listen:   settings.Addresses{Caller: free, Forward: free, Peer: free, Admin: free},
		Platform: settings.Platform{Store: c.Platform.StoreURL, VMList: c.Platform.VMListURL},
		Leases:   settings.Leases{Member: spec.Duration(c.o.MemberLease)},
	}
	s.Complete()
	if c.o.Adjust != nil {
		c.o.Adjust(s)
	}
	return s
}

func (c *Cell) violate(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, err)
}

// Violations returns the violations of invariants that the daemons reported.
func (c *Cell) Violations() []error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]error{}, c.violations...)
}

func (c *Cell) waitReady() error {
	timeout := time.After(readyTimeout)
	for _, e := range c.Entries() {
		select {
		case <-e.Ready():
		case err := <-e.done:
			return fmt.Errorf("cell: %s exited: %w", e.Name(), err)
		case <-timeout:
			return fmt.Errorf("cell: %s is not ready after %s", e.Name(), readyTimeout)
		}
	}
	return nil
}

// Entries returns the daemons that have not been stopped or killed.
func (c *Cell) Entries() []*Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*Entry{}, c.entries...)
}

func (c *Cell) remove(e *Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, x := range c.entries {
		if x == e {
			c.entries = append(c.entries[:i], c.entries[i+1:]...)
			return
		}
	}
}

// Kill ends a daemon at once, as a crash would.
func (c *Cell) Kill(e *Entry) error {
	c.remove(e)
	e.cancel()
	err := <-e.done
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// StopDaemon performs a planned stop of a daemon.
func (c *Cell) StopDaemon(ctx context.Context, e *Entry) error {
	err := e.Stop(ctx)
	c.remove(e)
	if err != nil {
		e.cancel()
	}
	return errors.Join(err, <-e.done)
}

// Close ends all daemons and the platform.
func (c *Cell) Close() error {
	c.stop()
	var errs []error
	for _, e := range c.Entries() {
		if err := <-e.done; err != nil && !errors.Is(err, context.Canceled) {
			errs = append(errs, err)
		}
	}
	return errors.Join(append(errs, c.Platform.Close())...)
}
