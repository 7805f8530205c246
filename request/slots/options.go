package slots

import (
	"cmp"
	"context"
	"time"

	"github.com/rs/zerolog"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/process/fleet"
	"fennelshunt.example/fennelshunt/process/ownership"
)

// Defaults of Options.
const (
	DefaultTTL            = 9 * time.Second
	DefaultMargin         = 2 * time.Second
	DefaultRequestLimit   = 30 * time.Second
	DefaultAuthorityBound = 24 * time.Hour
	DefaultLeaseFresh     = 8 * time.Second
	DefaultSlowStart      = 10 * time.Second
	DefaultFairWindow     = 50 * time.Millisecond
	DefaultCallTimeout    = time.Second
	DefaultMaxWaiting     = 4096
)

// Health decides which instances may get new requests from this daemon. Outlier ejection
// implements it, with its own limit on how many instances are excluded.
type Health interface {
	Usable(address string) bool
}

// Options configure a Manager. Zero values of the numbers take the defaults.
// Every daemon of a cell must run with the same TTL, Margin and RequestLimit.
type Options struct {
	Self      peer.Ref
	Zone      string
	Caller    peer.Caller
	Registrar peer.Registrar
	Directory ownership.Directory
	Members   fleet.View
	Log       zerolog.Logger
	// Health may be nil: every instance is usable.
	Health Health
	// RequestLimit returns the longest time that a request of the service may
	// run, and false for an unknown service; nil means DefaultRequestLimit for
	// every name. See RequestLimits.
	RequestLimit func(service string) (time.Duration, bool)

	// LeaseRenewed returns the time at which the last successful renewal of this
	// daemon's store lease began; nil means that the lease is always fresh.
	LeaseRenewed func() time.Time
	// Settle reports to the ownership manager that every earlier owner of a pool is accounted
	// for; nil when earlier owners are not tracked.
	Settle func(context.Context, ownership.Claim) error
	// CheckInvariants makes pools check their credit records after every change and panic when
	// they are inconsistent.
	CheckInvariants bool

	// TTL is how long a credit is valid after the start of its renewal.
	TTL time.Duration
	// Margin is added to every wait that relies on two clocks running at the same rate.
	Margin time.Duration
	// AuthorityBound is the longest time that an owner may continue while it is disconnected
	// from the store; it must not be shorter than the renewal limit of the ownership manager.
	AuthorityBound time.Duration
	// LeaseFresh is the age of the last renewal up to which no other daemon can have taken over
	// a claim; it must be shorter than the store lease. When the renewal is older, a pool's
	// owner continues only while it receives messages from a majority of the daemons.
	LeaseFresh time.Duration
	// SlowStart is how long it takes until all slots of a new instance may be granted.
	SlowStart time.Duration
	// FairWindow is how much longer than the first local waiter another daemon's must have
	// waited to get a slot that becomes free here.
	FairWindow time.Duration
	// CallTimeout limits one call between daemons.
	CallTimeout time.Duration
	// MaxWaiting limits the waiting requests per service on this daemon.
	MaxWaiting int
}

func (o *Options) setDefaults() {
	o.TTL = cmp.Or(o.TTL, DefaultTTL)
	o.Margin = cmp.Or(o.Margin, DefaultMargin)
	o.AuthorityBound = cmp.Or(o.AuthorityBound, DefaultAuthorityBound)
	o.LeaseFresh = cmp.Or(o.LeaseFresh, DefaultLeaseFresh)
	o.SlowStart = cmp.Or(o.SlowStart, DefaultSlowStart)
	o.FairWindow = cmp.Or(o.FairWindow, DefaultFairWindow)
	o.CallTimeout = cmp.Or(o.CallTimeout, DefaultCallTimeout)
	o.MaxWaiting = cmp.Or(o.MaxWaiting, DefaultMaxWaiting)
	if o.RequestLimit == nil {
		o.RequestLimit = func(string) (time.Duration, bool) { return DefaultRequestLimit, true }
	}
	if o.Health == nil {
		o.Health = allUsable{}
	}
}

type allUsable struct{}

func (allUsable) Usable(string) bool { return true }
