package cellnode

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/internal/sleep"
	"fennelshunt.example/fennelshunt/version/work"
)

// Times of following the configuration.
const (
	catalogWait  = 1500 * time.Millisecond
	catalogGrace = 500 * time.Millisecond
	catalogPause = 100 * time.Millisecond
	// checkPeriod is between cheap reads beside the watch: a watch may hear
	// nothing for a while and not show it.
	checkPeriod = time.Second
)

// catalogs keeps the newest queues. A version is never replaced by a lower one.
type catalogs struct {
	source work.Source
	// patience tells when a store that failed is back.
	patience *store.Patience
	log      zerolog.Logger
	now      atomic.Pointer[work.Catalog]
	first    chan struct{} // closed with the first version
}

func newCatalogs(source work.Source, patience *store.Patience, log zerolog.Logger) *catalogs {
	return &catalogs{source: source, patience: patience, log: log, first: make(chan struct{})}
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

func (c *catalogs) take(next *work.Catalog) {
	for {
		before := c.now.Load()
		if next == nil || (before != nil && next.Version <= before.Version) {
			return
		}
		if !c.now.CompareAndSwap(before, next) {
			continue
		}
		c.log.Info().Int64("version", next.Version).Int("queues", len(next.Queues)).Int("accounts", len(next.Accounts.All())).Msg("configuration in force")
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
		Wait: catalogWait, Grace: catalogGrace, ErrorPause: catalogPause, Log: c.log, Patience: c.patience}
	t.Run(ctx)
	return ctx.Err()
}

func (c *catalogs) read(ctx context.Context) (store.Revision, error) {
	next, rev, err := c.source.Current(ctx)
	if err != nil {
		return 0, err
	}
	c.take(next)
	return rev, nil
}

func (c *catalogs) watch(ctx context.Context, after store.Revision, wait time.Duration) (store.Revision, error) {
	next, rev, err := c.source.Watch(ctx, after, wait)
	if err != nil {
		return 0, err
	}
	c.take(next)
	return rev, nil
}

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
		c.take(next)
	}
}
