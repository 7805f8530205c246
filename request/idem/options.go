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
// is a log of its own with its own store writes, so there are about as many as
// a cell has daemons: with twice as many, intents waited twice as long for the
// same number of writes.
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
	DefaultEndFlush        = 5 * time.Second
	DefaultHeadSize        = 40
)

// Store is the part of a store handle that the key log uses; *store.Handle of
// role RoleIntents implements it.
type Store interface {
	Get(ctx context.Context, key string) (store.Item, error)
	List(ctx context.Context, prefix string) ([]store.Item, store.Revision, error)
	Swap(ctx context.Context, key string, data []byte, prev store.Revision, lease store.LeaseID) (store.Revision, error)
	Delete(ctx context.Context, key string, prev store.Revision) error
}

// Options configure a Manager. Zero values of the numbers take the defaults.
type Options struct {
	Self      peer.Ref
	Directory ownership.Directory
	Members   fleet.View
	Store     Store
	Log       zerolog.Logger

	// MaxAnswer is the largest body kept of one answer, in bytes.
	MaxAnswer int
	// AnswerMemory bounds the kept answers of all shards together, in bytes.
	AnswerMemory int
	// AnswerRetention is how long an answer is kept after the request's end.
	AnswerRetention time.Duration
	// IntentRetention is how long a non-idempotent key is remembered after its
	// intent. A caller must not use a key again after it.
	IntentRetention time.Duration
	// ClockSkew bounds how far the wall clocks of two daemons are apart; the
	// log is kept that much longer than IntentRetention.
	ClockSkew time.Duration
	// MaxKeys bounds the keys in memory over all shards of this daemon.
	MaxKeys int
	// WritesPerSecond bounds the store writes of all daemons' key logs; each
	// daemon takes an equal share.
	WritesPerSecond float64
	// WriteTimeout bounds one write of the key log.
	WriteTimeout time.Duration
	// EndFlush is how long the end of a request may wait to become durable
	// when no intent carries it along.
	EndFlush time.Duration
	// HeadSize is the number of records at which a log's head is archived.
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
	o.EndFlush = cmp.Or(o.EndFlush, DefaultEndFlush)
	o.HeadSize = cmp.Or(o.HeadSize, DefaultHeadSize)
}
