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
	// ServiceHeader names the service. The default is the first label of the host.
	ServiceHeader = "Fennel-Service"
	// TimeoutHeader sets the timeout of the request, for example "1.5s".
	TimeoutHeader = "Fennel-Timeout"
	// IdempotentHeader with "true" or "false" overrides the idempotency that
	// follows from the method.
	IdempotentHeader = "Fennel-Idempotent"
	// KeyHeader carries the idempotency key.
	KeyHeader = "Idempotency-Key"
	// TeamHeader and CallerHeader identify the sender when there is no client
	// certificate.
	TeamHeader   = "Fennel-Team"
	CallerHeader = "Fennel-Caller"
)

// ForwardedHeader marks a request that another daemon forwarded and holds that
// daemon's name. It is trusted only on the listener for other daemons.
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
	// DefaultOwnerWait covers the time in which a stopping owner may keep its keys
	// until its requests have completed, and that of the new owner's claim.
	DefaultOwnerWait = ownership.DefaultReleaseTimeout + 2*time.Second
)

// Observer is called with the outcome of every request, for the report on SLO
// burn. It is called from the requests' goroutines and must return quickly.
type Observer func(service, team, caller string, status int, v verdict.Verdict, latency time.Duration)

// Identity identifies the sender of a request.
type Identity struct {
	Team   string
	Caller string
	// Unnamed is set when Caller is only the connection's address, which may be
	// that of a proxy and may change between two tries of a request.
	Unnamed bool
}

// name returns the caller's name, or "" when Caller is only an address.
func (i Identity) name() string {
	if i.Unnamed {
		return ""
	}
	return i.Caller
}

// Options configure a Gateway. Config, Slots and Forwarder are required; numbers
// that are zero take the defaults.
type Options struct {
	Self   peer.MemberID
	Config spec.Source
	// Ready is closed once Config has been loaded. Until then the readiness check fails
	// and every request is refused as not run; nil means that it is loaded from the start.
	Ready     <-chan struct{}
	Slots     slots.Acquirer
	Forwarder *forward.Forwarder
	// Admission must not be shared with another gateway; nil means one with defaults.
	Admission *admission.Controller
	// Outliers receives the result of every attempt; nil for none.
	Outliers *outlier.Tracker
	// OnLeaving is called when an endpoint's answer carries a leaving notice; nil
	// for none. It must return quickly.
	OnLeaving func(address string)
	// Keys is the table of idempotency keys; if nil, requests with keys are refused.
	Keys idem.Table
	// Peers sends keyed requests to other daemons' ForwardAddr; if nil, requests with
	// keys that another daemon owns are refused.
	Peers *forward.Forwarder
	// AllowPlainPeers accepts forwarded requests without mutual TLS, for tests
	// and for the demo on loopback.
	AllowPlainPeers bool
	// Identify returns the sender of a request; nil means DefaultIdentity.
	Identify func(*http.Request) Identity
	Observe  Observer
	Log      zerolog.Logger
	Retry    retry.Options

	// Timeout is the limit for requests to services that declare none.
	Timeout time.Duration
	// MaxBody bounds a request's body, in bytes.
	MaxBody int64
	// MaxKeyedBody bounds the body of a request with an idempotency key, which
	// is held in memory.
	MaxKeyedBody int64
	// KeyedBodyMemory bounds the total size of these bodies, in bytes. One caller
	// may use at most half of it, so it should be at least twice MaxKeyedBody.
	KeyedBodyMemory int64
	// RewindBody bounds the part of a body that is kept for further attempts, in
	// bytes.
	RewindBody int
	// BodyTimeout bounds the wait for the next part of a caller's body.
	BodyTimeout time.Duration
	// MaxConcurrent bounds this daemon's requests in progress, including waiting ones.
	MaxConcurrent int
	// OwnerWait bounds the wait for a key's owner while the ownership is moving.
	// The request's deadline bounds it too.
	OwnerWait time.Duration
}

func (o *Options) setDefaults() {
	o.Timeout = cmp.Or(o.Timeout, DefaultTimeout)
	o.MaxBody = cmp.Or(o.MaxBody, DefaultMaxBody)
	o.MaxKeyedBody = cmp.Or(o.MaxKeyedBody, DefaultMaxKeyedBody)
	o.KeyedBodyMemory = cmp.Or(o.KeyedBodyMemory, DefaultKeyedBodyMemory)
	o.RewindBody = cmp.Or(o.RewindBody, DefaultRewindBody)
	o.BodyTimeout = cmp.Or(o.BodyTimeout, DefaultBodyTimeout)
	o.MaxConcurrent = cmp.Or(o.MaxConcurrent, DefaultMaxConcurrent)
	o.OwnerWait = cmp.Or(o.OwnerWait, DefaultOwnerWait)
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
