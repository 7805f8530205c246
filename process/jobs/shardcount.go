package jobs

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/thejerf/suture/v4"

	"fennelshunt.example/fennelshunt/connection/store"
)

// shardsKey holds the number of shards of the cell, in decimal. It is written
// once.
const shardsKey = "progress/shards"

// Time between two reads of the number of shards in the store: after an error,
// and while it differs from this daemon's.
const (
	shardCountRetryInterval   = time.Second
	shardCountRecheckInterval = 30 * time.Second
)

// shardCountCheck compares this daemon's number of shards with the cell's. The
// progress is stored by shard number. With another number of shards the teams
// would map to other shards, their stored progress would be treated as that of
// removed jobs, and every task would start again, including those that must start
// only once. So no shard is claimed or served before the numbers agree.
type shardCountCheck struct {
	manager *Manager
}

// Serve implements suture.Service; it ends when the numbers agree.
func (c *shardCountCheck) Serve(ctx context.Context) error {
	for {
		pause := shardCountRecheckInterval
		stored, err := c.storedShardCount(ctx)
		switch {
		case err != nil:
			c.manager.options.Log.Warn().Err(err).Msg("reading the cell's number of shards failed; no shard is claimed until it succeeds")
			pause = shardCountRetryInterval
		case stored == c.manager.options.Shards:
			c.manager.options.Metrics.ShardsDiffer.Set(0)
			c.manager.confirmShardCount()
			return suture.ErrDoNotRestart
		default:
			c.manager.options.Metrics.ShardsDiffer.Set(1)
			c.manager.options.Log.Error().Int("shards", c.manager.options.Shards).Int("cell", stored).
				Msg("setting shards differs from the cell's number of shards; this daemon claims no shard")
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// storedShardCount returns the number of shards of the cell, which is this daemon's
// when none is stored yet.
func (c *shardCountCheck) storedShardCount(ctx context.Context) (int, error) {
	s, own := c.manager.options.Store, c.manager.options.Shards
	item, err := s.Get(ctx, shardsKey)
	if errors.Is(err, store.ErrNotFound) {
		_, err = s.Swap(ctx, shardsKey, []byte(strconv.Itoa(own)), 0, 0)
		return own, err // a conflict is an error: another daemon was first, and the next read returns its number
	}
	if err != nil {
		return 0, err
	}
	n, err := strconv.Atoi(string(item.Data))
	if err != nil {
		return 0, fmt.Errorf("%s: %w", shardsKey, err)
	}
	return n, nil
}

// confirmShardCount allows shards to be claimed and served.
func (m *Manager) confirmShardCount() { m.confirmOnce.Do(func() { close(m.options.countConfirmed) }) }

// shardCountConfirmed reports whether this daemon's number of shards is confirmed
// to be the cell's.
func (m *Manager) shardCountConfirmed() bool {
	select {
	case <-m.options.countConfirmed:
		return true
	default:
		return false
	}
}
