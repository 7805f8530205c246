package ownership

import (
	"cmp"
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/fleet"
)

// keyPrefix is the prefix of the claims' keys in the store; the name of the resource
// follows.
const keyPrefix = "claims/"

// Errors of this package, for errors.Is.
var (
	// ErrNotOwner means that the claim in the store was superseded, released or deleted.
	ErrNotOwner = errors.New("ownership: the claim was taken over")
	// ErrStopped means that the manager has stopped.
	ErrStopped = errors.New("ownership: manager stopped")
)

// Store is the part of the store's claims role that the manager uses.
type Store interface {
	Get(ctx context.Context, key string) (store.Item, error)
	List(ctx context.Context, prefix string) ([]store.Item, store.Revision, error)
	Swap(ctx context.Context, key string, data []byte, prev store.Revision, lease store.LeaseID) (store.Revision, error)
	Follow(ctx context.Context, prefix string, f func(items []store.Item, deleted []string, reset bool)) error
}

// Options of a Manager. Zero durations take the defaults.
type Options struct {
	View  fleet.View
	Store Store
	// LastRenewal returns when the last successful renewal of this daemon's store
	// lease began, on the monotonic clock.
	LastRenewal func() time.Time
	// StartBound is how long after LastRenewal this daemon still starts new work. It
	// must cover an outage of the store.
	StartBound time.Duration
	// RenewBound is how long after LastRenewal this daemon still renews running work;
	// not less than StartBound.
	RenewBound time.Duration
	// HoldDown is how long another member must be the assigned owner without
	// interruption before a resource is transferred to it.
	HoldDown time.Duration
	// StartDelay is how long after its start the manager claims nothing: a
	// daemon that does not see the others yet would claim everything.
	StartDelay time.Duration
	// Fallback is the delay, for each rank of a resource's ranking, before a member
	// claims what the members ranked above it have left unclaimed.
	Fallback time.Duration
	// ReleaseTimeout bounds Handler.Releasing.
	ReleaseTimeout time.Duration
	// Tick is the interval at which assignment and authority are checked.
	Tick time.Duration
	Log  zerolog.Logger
}

// Defaults of Options.
const (
	// DefaultStartBound is twice the length of a one-hour outage.
	DefaultStartBound = 2 * time.Hour
	// DefaultRenewBound is a day: an outage longer than StartBound must not stop
	// running services, and a renewal starts nothing.
	DefaultRenewBound = 24 * time.Hour
	// DefaultHoldDown is longer than a restart, so that the upgrade of a daemon moves
	// a resource away once and back once.
	DefaultHoldDown       = 3 * time.Minute
	DefaultFallback       = 3 * time.Second
	DefaultStartDelay     = 2 * time.Second
	DefaultReleaseTimeout = 10 * time.Second
	DefaultTick           = 500 * time.Millisecond

	// claimTimeout bounds one write of a claim.
	claimTimeout = 5 * time.Second
	// maxRetryDelay bounds the pause after a failed claim.
	maxRetryDelay = 8 * time.Second
	// maxTransfers is how many resources are transferred concurrently while the
	// daemon stays; a leaving daemon transfers all at once.
	maxTransfers = 2
	// retryAfterRefusal is the pause after a handler failed to prepare a release.
	retryAfterRefusal = 5 * time.Second
)

func (o Options) withDefaults() Options {
	o.StartBound = cmp.Or(o.StartBound, DefaultStartBound)
	o.RenewBound = cmp.Or(o.RenewBound, DefaultRenewBound)
	o.HoldDown = cmp.Or(o.HoldDown, DefaultHoldDown)
	o.Fallback = cmp.Or(o.Fallback, DefaultFallback)
	o.StartDelay = cmp.Or(o.StartDelay, DefaultStartDelay)
	o.ReleaseTimeout = cmp.Or(o.ReleaseTimeout, DefaultReleaseTimeout)
	o.Tick = cmp.Or(o.Tick, DefaultTick)
	o.RenewBound = max(o.RenewBound, o.StartBound)
	return o
}
