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

// Times of following the configuration.
const (
	catalogWait  = 1500 * time.Millisecond
	catalogGrace = 500 * time.Millisecond
	catalogPause = 100 * time.Millisecond
	// checkPeriod is between reads beside the watch: a watch may hear nothing for a while
	// and not show it. Other daemons are asked more often (followPeers), which costs a
	// hundredth: with 20 accounts a version has 15 KB, and read each second by every
	// daemon it took a sixteenth of a link of 2 Mbit/s.
	checkPeriod = 5 * time.Second
)

// catalogs keeps the newest queues. A version is never replaced by a lower one.
type catalogs struct {
	source work.Source
	// wait bounds a watch: how long the store may say nothing while nothing changes.
	wait time.Duration
	// doubt is the age from which the version held is in doubt.
	doubt time.Duration
	// confirmed is the time, since started, up to which the store is known to have had no
	// newer version; see confirm.
	confirmed atomic.Int64
	started   time.Time
	// patience tells when a store that failed is back.
	patience *store.Patience
	log      zerolog.Logger
	now      atomic.Pointer[work.Catalog]
	first    chan struct{} // closed with the first version
}

func newCatalogs(source work.Source, patience *store.Patience, log zerolog.Logger) *catalogs {
	return &catalogs{source: source, wait: catalogWait, doubt: doubtAfter, started: time.Now(), patience: patience, log: log, first: make(chan struct{})}
}

// follow adapts to the bounds of the deployment: a version that has not been confirmed for
// as long as the next one may take to be in force may miss one, and a watch that hears
// nothing is answered well before that.
func (c *catalogs) follow(b settings.JobCellBounds) {
	bound := b.ConfigMS.Std()
	c.doubt = min(doubtAfter, bound)
	c.wait = min(catalogWait, bound-bound/watchReserve)
	if b.StrictKeys {
		c.wait = min(c.wait, b.KeysMS.Std()/keysLooks)
	}
}

// Current returns the queues in force, nil while none are known.
func (c *catalogs) Current() *work.Catalog { return c.now.Load() }

// accounts is Accounts of dispatch.HostOptions.
func (c *catalogs) accounts() (*work.Accounts, bool) {
	now := c.now.Load()
	if now == nil {
		return nil, false
	}
	return now.Accounts, true
}

// Ways by which a version is heard of, for the log.
const (
	byWatch = "watch"
	byRead  = "reading"
	byCheck = "stale reading"
)

// take puts a version in force that is newer than the one held; from tells how it was
// heard of.
func (c *catalogs) take(next *work.Catalog, from string) {
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
			c.log.Warn().Err(next.Problems).Int64("version", next.Version).Msg("part of the configuration can not be used as it stands")
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
	t := store.Tracker{What: "the configuration", Read: c.read, Watch: c.watch, ReadLimit: catalogWait + catalogGrace,
		Wait: c.wait, Grace: catalogGrace, ErrorPause: catalogPause, Log: c.log, Patience: c.patience}
	t.Run(ctx)
	return ctx.Err()
}

func (c *catalogs) read(ctx context.Context) (store.Revision, error) {
	asked := time.Now()
	next, rev, err := c.source.Current(ctx)
	if err != nil {
		return 0, err
	}
	c.take(next, byRead)
	c.confirm(asked)
	return rev, nil
}

func (c *catalogs) watch(ctx context.Context, after store.Revision, wait time.Duration) (store.Revision, error) {
	asked := time.Now()
	next, rev, err := c.source.Watch(ctx, after, wait)
	if err != nil {
		return 0, err
	}
	c.take(next, byWatch)
	if next == nil {
		asked = asked.Add(min(wait, time.Since(asked))) // it was answered after that at the earliest
	}
	c.confirm(asked)
	return rev, nil
}

// confirm notes that no version was newer than the one held, at a time.
//
// What goes wrong without it: a daemon that the store does not answer any more serves
// with keys that were taken away, and nobody can tell how old they are.
func (c *catalogs) confirm(at time.Time) {
	for {
		before, now := c.confirmed.Load(), int64(at.Sub(c.started))
		if now <= before || c.confirmed.CompareAndSwap(before, now) {
			return
		}
	}
}

// age returns how long ago the version held was last known to be the newest one. A
// daemon that was frozen sees it at once, since it is asked with each request.
func (c *catalogs) age() time.Duration {
	return time.Since(c.started) - time.Duration(c.confirmed.Load())
}

// doubtful reports whether a version of that age may miss one that is to be in force.
func (c *catalogs) doubtful(age time.Duration) bool { return age > c.doubt }

// check reads the configuration now and then.
func (c *catalogs) check(ctx context.Context) {
	for sleep.For(ctx, checkPeriod) == nil {
		bounded, cancel := context.WithTimeout(ctx, catalogGrace)
		next, err := c.source.Glance(bounded)
		cancel()
		if err != nil {
			c.log.Debug().Err(err).Msg("configuration not read")
			continue
		}
		c.take(next, byCheck)
	}
}
