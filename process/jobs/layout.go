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

// Pauses between two looks at the number of shards in the store: after an
// error, and while it differs from this daemon's.
const (
	shardCountRetryInterval   = time.Second
	shardCountRecheckInterval = 30 * time.Second
)

// layout compares this daemon's number of shards with the cell's. The progress
// is kept by the number of the shard: with another number the teams would be
// looked for in other shards, their progress would be taken for that of jobs
// which are gone, and everything would start again, tasks included that must
// start only once. So no shard is claimed or served before the numbers agree.
type shardCountCheck struct {
	manager *Manager
}

// Serve implements suture.Service; it ends when the numbers agree.
func (l *shardCountCheck) Serve(ctx context.Context) error {
	for {
		pause := shardCountRecheckInterval
		stored, err := l.storedShardCount(ctx)
		switch {
		case err != nil:
			l.manager.options.Log.Warn().Err(err).Msg("number of shards of the cell not known")
			pause = shardCountRetryInterval
		case stored == l.manager.options.Shards:
			l.manager.options.Metrics.ShardsDiffer.Set(0)
			l.manager.confirmShardCount()
			return suture.ErrDoNotRestart
		default:
			l.manager.options.Metrics.ShardsDiffer.Set(1)
			l.manager.options.Log.Error().Int("shards", l.manager.options.Shards).Int("cell", stored).
				Msg("setting shards differs from the cell's: no shard is claimed here")
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
func (l *shardCountCheck) storedShardCount(ctx context.Context) (int, error) {
	s, own := l.manager.options.Store, l.manager.options.Shards
	item, err := s.Get(ctx, shardsKey)
	if errors.Is(err, store.ErrNotFound) {
		_, err = s.Swap(ctx, shardsKey, []byte(strconv.Itoa(own)), 0, 0)
		return own, err // a conflict is an error, too: another was first
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

// agree lets shards be claimed and served.
func (m *Manager) confirmShardCount() { m.confirmOnce.Do(func() { close(m.options.countConfirmed) }) }

// agrees reports whether the number of shards is the cell's.
func (m *Manager) shardCountConfirmed() bool {
	select {
	case <-m.options.countConfirmed:
		return true
	default:
		return false
	}
}
