package gateway

import (
	"cmp"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/process/ownership"
	"fennelshunt.example/fennelshunt/request/admission"
	"fennelshunt.example/fennelshunt/request/forward"
	"fennelshunt.example/fennelshunt/request/idem"
	"fennelshunt.example/fennelshunt/request/outlier"
	"fennelshunt.example/fennelshunt/request/retry"
	"fennelshunt.example/fennelshunt/request/slots"
	"fennelshunt.example/fennelshunt/request/verdict"
	"fennelshunt.example/fennelshunt/version/spec"
)

// Request headers that callers may set.
const (
	// ServiceHeader names the service; without it the first label of the host
	// does.
	ServiceHeader = "Fennel-Service"
	// TimeoutHeader bounds the request, for example "1.5s".
	TimeoutHeader = "Fennel-Timeout"
	// IdempotentHeader with "true" or "false" overrides what the method says.
	IdempotentHeader = "Fennel-Idempotent"
	// KeyHeader carries the idempotency key.
	KeyHeader = "Idempotency-Key"
	// TeamHeader and CallerHeader name who asks, where no client certificate
	// does.
	TeamHeader   = "Fennel-Team"
	CallerHeader = "Fennel-Caller"
)

// ForwardedHeader marks a request that another daemon forwarded; it holds the
// daemon's name and is only believed on the daemons' own listener.
const ForwardedHeader = "Fennel-Forwarded-By"

// Defaults of Options.
const (
	DefaultTimeout         = 30 * time.Second
	DefaultMaxBody         = 64 << 20
	DefaultMaxKeyedBody    = 1 << 20
	DefaultKeyedBodyMemory = 64 << 20
	DefaultRewindBody      = 64 << 10
	DefaultBodyTimeout     = 10 * time.Second
	DefaultMaxConcurrent   = 4096
	// DefaultHomeWait covers a home that is stopping, which may hold its keys
	// until its requests have ended, and the new owner's claim.
	DefaultHomeWait = ownership.DefaultReleaseTimeout + 2*time.Second
)

// Observer learns of every request's end, for the report on service-level
// burn. Calls come from the requests' goroutines and must be quick.
type Observer func(service, team, caller string, status int, v verdict.Verdict, latency time.Duration)

// Identity tells who sent a request.
type Identity struct {
	Team   string
	Caller string
	// Unnamed is set when Caller is only the connection's address, which may be
	// a proxy's and change between two tries of a request.
	Unnamed bool
}

// name returns the caller's name, empty when it has given none.
func (i Identity) name() string {
	if i.Unnamed {
		return ""
	}
	return i.Caller
}

// Options configure a Gateway. Config, Slots and Forwarder are required; zero
// values of the numbers take the defaults.
type Options struct {
	Self   peer.MemberID
	Config spec.Source
	// Ready is closed once Config is known. Until then the balancer is told to go
	// elsewhere and every request is refused as not run; nil means known from the start.
	Ready     <-chan struct{}
	Slots     slots.Acquirer
	Forwarder *forward.Forwarder
	// Admission may be shared with nobody; nil takes one with its defaults.
	Admission *admission.Controller
	// Outliers learns of every attempt; nil for none.
	Outliers *outlier.Tracker
	// OnLeaving is told of an endpoint that announces in an answer that it is
	// leaving; nil for none. It must be quick.
	OnLeaving func(address string)
	// Keys gives idempotency keys their homes; nil refuses keys.
	Keys idem.Table
	// Peers sends keyed requests to other daemons' ForwardAddr.
	Peers *forward.Forwarder
	// AllowPlainPeers accepts forwarded requests without mutual TLS, for tests
	// and the demonstration on loopback.
	AllowPlainPeers bool
	// Identify tells who sent a request; nil uses DefaultIdentity.
	Identify func(*http.Request) Identity
	Observe  Observer
	Log      zerolog.Logger
	Retry    retry.Options

	// Timeout bounds requests to services that declare no limit.
	Timeout time.Duration
	// MaxBody bounds a request's body, in bytes.
	MaxBody int64
	// MaxKeyedBody bounds the body of a request with an idempotency key, which
	// is held in memory.
	MaxKeyedBody int64
	// KeyedBodyMemory bounds these bodies together, in bytes; one caller has at
	// most half of it, so it should be at least twice MaxKeyedBody.
	KeyedBodyMemory int64
	// RewindBody is how much of a body is kept for another attempt, in bytes.
	RewindBody int
	// BodyTimeout bounds the wait for the next part of a caller's body.
	BodyTimeout time.Duration
	// MaxConcurrent bounds the requests of this daemon, waiting ones included.
	MaxConcurrent int
	// HomeWait bounds the wait for a key's home that changes hands; the
	// request's deadline does too.
	HomeWait time.Duration
}

func (o *Options) setDefaults() {
	o.Timeout = cmp.Or(o.Timeout, DefaultTimeout)
	o.MaxBody = cmp.Or(o.MaxBody, DefaultMaxBody)
	o.MaxKeyedBody = cmp.Or(o.MaxKeyedBody, DefaultMaxKeyedBody)
	o.KeyedBodyMemory = cmp.Or(o.KeyedBodyMemory, DefaultKeyedBodyMemory)
	o.RewindBody = cmp.Or(o.RewindBody, DefaultRewindBody)
	o.BodyTimeout = cmp.Or(o.BodyTimeout, DefaultBodyTimeout)
	o.MaxConcurrent = cmp.Or(o.MaxConcurrent, DefaultMaxConcurrent)
	o.HomeWait = cmp.Or(o.HomeWait, DefaultHomeWait)
	if o.Ready == nil {
		known := make(chan struct{})
		close(known)
		o.Ready = known
	}
	if o.Admission == nil {
		o.Admission = admission.New(admission.Options{})
	}
	if o.OnLeaving == nil {
		o.OnLeaving = func(string) {}
	}
	if o.Identify == nil {
		o.Identify = DefaultIdentity
	}
	if o.Observe == nil {
		o.Observe = func(string, string, string, int, verdict.Verdict, time.Duration) {}
	}
}
