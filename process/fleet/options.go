package fleet

import (
	"cmp"
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/connection/vmlist"
)

// Defaults of Options.
const (
	DefaultLeaseTTL       = 9 * time.Second
	DefaultPeriod         = time.Second
	DefaultPingTimeout    = 500 * time.Millisecond
	DefaultConfirmTimeout = 5 * time.Second
)

const (
	// renewsPerTTL is how many times a lease is renewed within its TTL: two renewals
	// may fail before it expires.
	renewsPerTTL = 3
	// fleetAtBaseTTL is the fleet size up to which leases have the shortest TTL. In a
	// larger fleet the TTL grows in proportion, so that the renewal rate of the whole
	// fleet does not exceed that at this size: about 30 calls per second with
	// DefaultLeaseTTL, 55 with 5 s.
	fleetAtBaseTTL = 80
	// helpers is how many other members are asked to probe a member that does not
	// answer.
	helpers = 3
	// endedHistory bounds the number of ended incarnations that are kept, and endedFor
	// their age; both cover at least two days at the current rate of replacements.
	endedHistory = 8192
	endedFor     = 48 * time.Hour
)

// SeedCaller calls a daemon by its address when its Ref is not known.
type SeedCaller interface {
	CallAddr(ctx context.Context, addr string, method peer.Method, req, resp any) (peer.Ref, error)
}

// Options configure a Fleet. Self, Caller and Registrar are required.
type Options struct {
	// Self describes this daemon; its Ref is taken from Incarnation when that is set.
	Self        Member
	Incarnation Incarnation
	// Store is where daemons are registered and listed; nil for none.
	Store     *store.Handle
	Caller    peer.Caller
	Registrar peer.Registrar
	// Seeds are peer addresses that are asked for the members when the store cannot
	// be reached, through SeedCaller. Usually the peer.Node is both Caller and
	// SeedCaller.
	Seeds      []string
	SeedCaller SeedCaller
	// VMs is the platform's VM list, nil for none; ObserveVMs is the alternative.
	VMs vmlist.Lister
	Log zerolog.Logger

	LeaseTTL       time.Duration // of the store lease in a small fleet
	Period         time.Duration // between two probes
	PingTimeout    time.Duration // of a direct probe
	ConfirmTimeout time.Duration // from a suspicion to the first try to evict the member
	// OnViolation, if set, is called when an invariant is violated, which is also
	// logged and counted. Tests make it fatal.
	OnViolation func(error)
}

func (o Options) withDefaults() Options {
	o.LeaseTTL = cmp.Or(o.LeaseTTL, DefaultLeaseTTL)
	o.Period = cmp.Or(o.Period, DefaultPeriod)
	o.PingTimeout = cmp.Or(o.PingTimeout, DefaultPingTimeout)
	o.ConfirmTimeout = cmp.Or(o.ConfirmTimeout, DefaultConfirmTimeout)
	if o.Incarnation.Ref.ID == "" {
		o.Incarnation = Incarnation{Ref: o.Self.Ref, owner: uuid.NewString()}
	}
	o.Self.Ref = o.Incarnation.Ref
	o.Self.State = Alive
	return o
}
