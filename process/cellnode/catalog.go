package cellnode

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/internal/sleep"
	"fennelshunt.example/fennelshunt/process/settings"
	"fennelshunt.example/fennelshunt/version/work"
)

// Timing of the watch on the configuration in the store.
const (
	catalogWait  = 1500 * time.Millisecond
	catalogGrace = 500 * time.Millisecond
	catalogPause = 100 * time.Millisecond
	// checkPeriod is the interval of reads in addition to the watch, since a watch can miss
	// changes without an error. Other daemons are asked more often (followPeers), at a
	// hundredth of the cost: with 20 accounts a version has 15 KB, and one read per second
	// by every daemon took a sixteenth of a 2 Mbit/s link.
	checkPeriod = 5 * time.Second
)

// catalogs holds the newest known version of the configuration (queues and accounts). A
// version is never replaced by a lower one.
type catalogs struct {
	source work.Source
	// wait bounds a watch: the store answers after it even when nothing has changed.
	wait time.Duration
	// maxAge is the age above which the version held counts as unconfirmed.
	maxAge time.Duration
	// confirmed is the time, since started, up to which the store is known to have had no
	// newer version; see confirm.
	confirmed atomic.Int64
	started   time.Time
	// storeTimeout also signals when the store answers again after failures.
	storeTimeout *store.AdaptiveTimeout
	log          zerolog.Logger
	now          atomic.Pointer[work.Catalog]
	first        chan struct{} // closed with the first version
}

func newCatalogs(source work.Source, storeTimeout *store.AdaptiveTimeout, log zerolog.Logger) *catalogs {
	return &catalogs{source: source, wait: catalogWait, maxAge: unconfirmedAfter, started: time.Now(), storeTimeout: storeTimeout, log: log, first: make(chan struct{})}
}

// follow derives maxAge and wait from the bounds of the deployment. A version counts as
// unconfirmed once its last confirmation is older than the time within which a new version
// has to be in force; a watch without changes returns well before that.
func (c *catalogs) follow(b settings.JobCellBounds) {
	bound := b.ConfigMS.Std()
	c.maxAge = min(unconfirmedAfter, bound)
	c.wait = min(catalogWait, bound-bound/watchReserve)
	if b.StrictKeys {
		c.wait = min(c.wait, b.KeysMS.Std()/keyConfirmations)
	}
}

// Current returns the configuration in force, nil while none is known.
func (c *catalogs) Current() *work.Catalog { return c.now.Load() }

// accounts implements dispatch.HostOptions.Accounts.
func (c *catalogs) accounts() (*work.Accounts, bool) {
	now := c.now.Load()
	if now == nil {
		return nil, false
	}
	return now.Accounts, true
}

// Sources of a version, as written to the log.
const (
	fromWatch = "watch"
	fromRead  = "reading"
	fromCheck = "stale reading"
)

// install puts next in force if it is newer than the version held; from names its source in
// the log.
func (c *catalogs) install(next *work.Catalog, from string) {
	for {
		before := c.now.Load()
		if next == nil || (before != nil && next.Version <= before.Version) {
			return
		}
		age := c.age()
		if !c.now.CompareAndSwap(before, next) {
			continue
		}
		c.log.Info().Int64("version", next.Version).Str("from", from).Int64("age_before_ms", age.Milliseconds()).Int("queues", len(next.Queues)).Int("accounts", len(next.Accounts.All())).Msg("configuration in force")
		if next.Problems != nil {
			c.log.Warn().Err(next.Problems).Int64("version", next.Version).Msg("configuration contains entries that cannot be used as declared")
		}
		if before == nil {
			close(c.first)
		}
		return
	}
}

// Serve follows the source until ctx ends.
func (c *catalogs) Serve(ctx context.Context) error {
	go c.check(ctx)
	t := store.Tracker{Name: "the configuration", Read: c.read, Watch: c.watch, ReadLimit: catalogWait + catalogGrace,
		Wait: c.wait, Grace: catalogGrace, ErrorPause: catalogPause, Log: c.log, Timeout: c.storeTimeout}
	t.Run(ctx)
	return ctx.Err()
}

func (c *catalogs) read(ctx context.Context) (store.Revision, error) {
	asked := time.Now()
	next, rev, err := c.source.Current(ctx)
	if err != nil {
		return 0, err
	}
	c.install(next, fromRead)
	c.confirm(asked)
	return rev, nil
}

func (c *catalogs) watch(ctx context.Context, after store.Revision, wait time.Duration) (store.Revision, error) {
	asked := time.Now()
	next, rev, err := c.source.Watch(ctx, after, wait)
	if err != nil {
		return 0, err
	}
	c.install(next, fromWatch)
	if next == nil {
		asked = asked.Add(min(wait, time.Since(asked))) // a watch without changes returns after wait at the earliest
	}
	c.confirm(asked)
	return rev, nil
}

// confirm records that no version newer than the one held existed at the given time.
//
// It lets a daemon that the store no longer answers find out how old its version is;
// otherwise it would accept revoked keys for an unknown time.
func (c *catalogs) confirm(at time.Time) {
	for {
		before, now := c.confirmed.Load(), int64(at.Sub(c.started))
		if now <= before || c.confirmed.CompareAndSwap(before, now) {
			return
		}
	}
}

// age returns how long ago the version held was last known to be the newest one. It is
// evaluated with each request, so a process that was suspended detects a stale version
// as soon as it resumes.
func (c *catalogs) age() time.Duration {
	return time.Since(c.started) - time.Duration(c.confirmed.Load())
}

// unconfirmed reports whether a newer version may have to be in force already, given the
// age of the version held.
func (c *catalogs) unconfirmed(age time.Duration) bool { return age > c.maxAge }

// check reads the configuration every checkPeriod, in case the watch has missed a change.
func (c *catalogs) check(ctx context.Context) {
	for sleep.For(ctx, checkPeriod) == nil {
		bounded, cancel := context.WithTimeout(ctx, catalogGrace)
		next, err := c.source.CurrentCached(bounded)
		cancel()
		if err != nil {
			c.log.Debug().Err(err).Msg("periodic read of the configuration failed; the next one repeats it")
			continue
		}
		c.install(next, fromCheck)
	}
}
