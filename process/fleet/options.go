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
	// renewsPerTTL is how often a lease is renewed in its time to live: two
	// renewals may fail before it lapses.
	renewsPerTTL = 3
	// fleetAtBaseTTL is the size up to which the lease has its shortest time to
	// live. In a larger fleet it grows in proportion, so that the renewals of
	// the whole fleet stay at what they are at this size: about 30 calls a
	// second with DefaultLeaseTTL, 55 with 5 s.
	fleetAtBaseTTL = 80
	// helpers is how many others are asked to probe a member that does not
	// answer.
	helpers = 3
	// endedHistory bounds the ended lives remembered, and endedFor their age;
	// both hold more than two days of today's replacements.
	endedHistory = 8192
	endedFor     = 48 * time.Hour
)

// SeedCaller calls a daemon of which only the address is known.
type SeedCaller interface {
	CallAddr(ctx context.Context, addr string, method peer.Method, req, resp any) (peer.Ref, error)
}

// Options configure a Fleet. Self, Caller and Registrar are required.
type Options struct {
	// Self describes this daemon; its Ref is taken from Life when that is set.
	Self Member
	Life Life
	// Store registers this daemon and lists the others; nil for none.
	Store     *store.Handle
	Caller    peer.Caller
	Registrar peer.Registrar
	// Seeds are peer addresses asked for the members when the store cannot be
	// reached; SeedCaller calls them. Usually the peer.Node serves as both.
	Seeds      []string
	SeedCaller SeedCaller
	// VMs is the platform's list, nil for none; ObserveVMs is the other way in.
	VMs vmlist.Lister
	Log zerolog.Logger

	LeaseTTL       time.Duration // of the store lease in a small fleet
	Period         time.Duration // between two probes
	PingTimeout    time.Duration // of a direct probe
	ConfirmTimeout time.Duration // from suspicion to the question whether it is gone
	// OnViolation is called when an invariant does not hold; by default it is
	// logged and counted. Tests make it fatal.
	OnViolation func(error)
}

func (o Options) withDefaults() Options {
	o.LeaseTTL = cmp.Or(o.LeaseTTL, DefaultLeaseTTL)
	o.Period = cmp.Or(o.Period, DefaultPeriod)
	o.PingTimeout = cmp.Or(o.PingTimeout, DefaultPingTimeout)
	o.ConfirmTimeout = cmp.Or(o.ConfirmTimeout, DefaultConfirmTimeout)
	if o.Life.Ref.ID == "" {
		o.Life = Life{Ref: o.Self.Ref, owner: uuid.NewString()}
	}
	o.Self.Ref = o.Life.Ref
	o.Self.State = Alive
	return o
}
