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

// Health tells which instances this daemon trusts with new requests; outlier
// ejection implements it, with a floor of its own.
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
	// every name. See LimitsOf.
	RequestLimit func(service string) (time.Duration, bool)

	// LeaseRenewed returns the beginning of the last successful renewal of this
	// daemon's store lease; nil means that the lease is always fresh.
	LeaseRenewed func() time.Time
	// Settle tells the ownership manager that every earlier owner of a pool is
	// accounted for; nil when nobody keeps account of them.
	Settle func(context.Context, ownership.Claim) error
	// CheckInvariants makes pools and holders check their accounts after every
	// change and panic when they are broken.
	CheckInvariants bool

	// TTL is how long a credit is valid after the beginning of its renewal.
	TTL time.Duration
	// Margin is added to every wait that rests on two clocks running alike.
	Margin time.Duration
	// AuthorityBound is the longest time that an owner which is cut off from
	// the store may go on; it must not be shorter than the renew bound of the
	// ownership manager.
	AuthorityBound time.Duration
	// LeaseFresh is the age of the last renewal up to which nobody can have
	// taken a claim over; it must be shorter than the store lease. With an
	// older one a pool's owner goes on only while it hears from a majority of
	// the daemons.
	LeaseFresh time.Duration
	// SlowStart is how long a new instance takes to get all its slots granted.
	SlowStart time.Duration
	// FairWindow is how much longer than the first local waiter another
	// daemon's must have waited to get a slot that comes free here.
	FairWindow time.Duration
	// CallTimeout bounds one call between daemons.
	CallTimeout time.Duration
	// MaxWaiting bounds the waiting requests per service on this daemon.
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
