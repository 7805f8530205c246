package lead

import (
	"cmp"
	"context"
	"slices"
	"time"
)

// Yielding leadership to a stronger daemon.
//
// When all daemons start at once, or restart after all were killed, the first to claim
// leads, and it may have a quarter of the processor time of the strongest. If it went on
// leading, it would fall behind under full load, or the cell's permanent shard layout
// would be chosen to suit it.
const (
	// yieldPause is the minimum time between two yields of this daemon. It doubles up to
	// yieldPauseMax with each yield, since a stronger daemon that cannot lead costs the
	// cell a takeover each time.
	yieldPause    = 2 * time.Second
	yieldPauseMax = time.Minute
)

// yieldBackoff spaces the yields of a daemon.
type yieldBackoff struct {
	pause time.Duration
	next  time.Time // earliest time of the next yield
}

// yield releases leadership if there is a daemon that is much stronger, answers, and
// reaches the store. That daemon claims first, since weaker ones leave the vacancy to it
// for deferDelay.
func (e *Elector) yield(ctx context.Context, y *yieldBackoff) {
	t := e.current()
	if t == nil || e.stopping.Load() || time.Now().Before(y.next) || e.o.Peers == nil {
		return
	}
	stronger, found := e.strongest()
	if !found || !e.o.Self.weakerThan(stronger) {
		return
	}
	if reply, err := e.ping(ctx, stronger); err != nil || reply.StoreRefuses {
		return
	}
	y.pause = min(max(2*y.pause, yieldPause), yieldPauseMax)
	y.next = time.Now().Add(y.pause)
	e.o.Log.Info().Str("to", stronger.Name).Float64("cores", e.o.Self.Cores).Float64("its_cores", stronger.Cores).
		Uint64("epoch", t.Epoch).Msg("yielding leadership to a stronger daemon")
	if err := t.release(ctx); err != nil {
		e.o.Log.Warn().Err(err).Msg("leadership not released; the record expires with its lease")
	}
}

// strongest returns the daemon with the most cores, then link bandwidth, among the others
// that lead no shard.
func (e *Elector) strongest() (Member, bool) {
	others := e.nonLeaders()
	if len(others) == 0 {
		return Member{}, false
	}
	return slices.MaxFunc(others, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Cores, b.Cores), cmp.Compare(a.LinkMbps, b.LinkMbps))
	}), true
}
