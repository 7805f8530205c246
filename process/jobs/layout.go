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
	layoutRetry   = time.Second
	layoutRecheck = 30 * time.Second
)

// layout compares this daemon's number of shards with the cell's. The progress
// is kept by the number of the shard: with another number the teams would be
// looked for in other shards, their progress would be taken for that of jobs
// which are gone, and everything would start again, tasks included that must
// start only once. So no shard is claimed or served before the numbers agree.
type layout struct {
	manager *Manager
}

// Serve implements suture.Service; it ends when the numbers agree.
func (l *layout) Serve(ctx context.Context) error {
	for {
		pause := layoutRecheck
		stored, err := l.cellShards(ctx)
		switch {
		case err != nil:
			l.manager.options.Log.Warn().Err(err).Msg("number of shards of the cell not known")
			pause = layoutRetry
		case stored == l.manager.options.Shards:
			l.manager.options.Metrics.ShardsDiffer.Set(0)
			l.manager.agree()
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

// cellShards returns the number of shards of the cell, which is this daemon's
// when none is stored yet.
func (l *layout) cellShards(ctx context.Context) (int, error) {
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
func (m *Manager) agree() { m.agreeOnce.Do(func() { close(m.options.agreed) }) }

// agrees reports whether the number of shards is the cell's.
func (m *Manager) agrees() bool {
	select {
	case <-m.options.agreed:
		return true
	default:
		return false
	}
}
