package lead

import (
	"cmp"
	"context"
	"slices"
	"time"
)

// Leaving leadership to a stronger daemon.
//
// Load pattern: all daemons begin at once, in any order, or all are killed; whichever
// claims first leads, and it may be one with a quarter of the processor time of the
// strongest. What goes wrong if it goes on leading: under full load it falls behind,
// or the cell is divided for ever to fit it.
const (
	// yieldPause is kept after giving leadership up, and doubles up to yieldPauseMax each
	// time this daemon has to lead again: a stronger daemon that can not lead costs the
	// cell a takeover each time.
	yieldPause    = 2 * time.Second
	yieldPauseMax = time.Minute
)

// yielder is when a daemon gave leadership up to a stronger one.
type yielder struct {
	pause time.Duration
	next  time.Time // not before
}

// yield gives leadership up if a daemon is there that is much stronger, answers, and
// reaches the store. That one claims first: weaker ones leave a vacancy to it for
// deferDelay.
func (e *Elector) yield(ctx context.Context, y *yielder) {
	t := e.current()
	if t == nil || e.stopping.Load() || time.Now().Before(y.next) || e.o.Peers == nil {
		return
	}
	stronger, found := e.strongest()
	if !found || !e.o.Self.weakerThan(stronger) {
		return
	}
	if reply, err := e.ping(ctx, stronger); err != nil || reply.TurnedAway {
		return
	}
	y.pause = min(max(2*y.pause, yieldPause), yieldPauseMax)
	y.next = time.Now().Add(y.pause)
	e.o.Log.Info().Str("to", stronger.Name).Float64("cores", e.o.Self.Cores).Float64("its_cores", stronger.Cores).
		Uint64("epoch", t.Epoch).Msg("leaving leadership to a stronger daemon")
	if err := t.release(ctx); err != nil {
		e.o.Log.Warn().Err(err).Msg("leadership not released, it lapses")
	}
}

// strongest returns the other daemon with most to lead with that leads no part.
func (e *Elector) strongest() (Member, bool) {
	others := e.free()
	if len(others) == 0 {
		return Member{}, false
	}
	return slices.MaxFunc(others, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Cores, b.Cores), cmp.Compare(a.LinkMbps, b.LinkMbps))
	}), true
}
