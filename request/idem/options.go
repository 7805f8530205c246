package idem

import (
	"cmp"
	"context"
	"time"

	"github.com/rs/zerolog"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/fleet"
	"fennelshunt.example/fennelshunt/process/ownership"
)

// Shards is the number of ownership resources that the keys are hashed to. Each
// shard has its own log and store writes, so there are about as many as a cell
// has daemons: with twice as many, intents waited twice as long for the same
// number of writes.
const Shards = 8

// Defaults of Options.
const (
	DefaultMaxAnswer       = 256 << 10
	DefaultAnswerMemory    = 24 << 20
	DefaultAnswerRetention = 10 * time.Minute
	DefaultIntentRetention = 24 * time.Hour
	DefaultClockSkew       = 5 * time.Minute
	DefaultMaxKeys         = 400_000
	DefaultWritesPerSecond = 100
	DefaultWriteTimeout    = time.Second
	DefaultOutcomeFlush    = 5 * time.Second
	DefaultHeadSize        = 40
)

// Store is the subset of a store handle that the key log uses. It is
// implemented by a *store.Handle of role RoleIntents.
type Store interface {
	Get(ctx context.Context, key string) (store.Item, error)
	List(ctx context.Context, prefix string) ([]store.Item, store.Revision, error)
	Swap(ctx context.Context, key string, data []byte, prev store.Revision, lease store.LeaseID) (store.Revision, error)
	Delete(ctx context.Context, key string, prev store.Revision) error
}

// Options configure a Manager. Numbers that are zero take the defaults.
type Options struct {
	Self      peer.Ref
	Directory ownership.Directory
	Members   fleet.View
	Store     Store
	Log       zerolog.Logger

	// MaxAnswer is the largest body of an answer that is kept, in bytes.
	MaxAnswer int
	// AnswerMemory bounds the total size of the kept answers of all shards, in bytes.
	AnswerMemory int
	// AnswerRetention is how long an answer is kept after its request completed.
	AnswerRetention time.Duration
	// IntentRetention is how long a non-idempotent key is recorded after its
	// intent. A caller must not retry with a key after that time.
	IntentRetention time.Duration
	// ClockSkew is the largest assumed difference between the wall clocks of two
	// daemons. Archives are kept that much longer than IntentRetention.
	ClockSkew time.Duration
	// MaxKeys bounds the number of keys in memory in all shards of this daemon.
	MaxKeys int
	// WritesPerSecond bounds the rate of store writes of all daemons' key logs;
	// each daemon gets an equal share.
	WritesPerSecond float64
	// WriteTimeout is the timeout of one write of the key log.
	WriteTimeout time.Duration
	// OutcomeFlush is the interval at which the outcomes of requests are written
	// when no write of an intent includes them.
	OutcomeFlush time.Duration
	// HeadSize is the number of records in a log's head at which they are archived.
	HeadSize int
}

func (o *Options) setDefaults() {
	o.MaxAnswer = cmp.Or(o.MaxAnswer, DefaultMaxAnswer)
	o.AnswerMemory = cmp.Or(o.AnswerMemory, DefaultAnswerMemory)
	o.AnswerRetention = cmp.Or(o.AnswerRetention, DefaultAnswerRetention)
	o.IntentRetention = cmp.Or(o.IntentRetention, DefaultIntentRetention)
	o.ClockSkew = cmp.Or(o.ClockSkew, DefaultClockSkew)
	o.MaxKeys = cmp.Or(o.MaxKeys, DefaultMaxKeys)
	o.WritesPerSecond = cmp.Or(o.WritesPerSecond, DefaultWritesPerSecond)
	o.WriteTimeout = cmp.Or(o.WriteTimeout, DefaultWriteTimeout)
	o.OutcomeFlush = cmp.Or(o.OutcomeFlush, DefaultOutcomeFlush)
	o.HeadSize = cmp.Or(o.HeadSize, DefaultHeadSize)
}
