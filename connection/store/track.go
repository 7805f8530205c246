package store

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"fennelshunt.example/fennelshunt/internal/sleep"
)

// Tracker reads a part of the store as a whole and then watches it. It calls the
// store as it is asked to, without budget or breaker; Follow is for clients that
// have these.
type Tracker struct {
	What string // is followed, for the log
	// Read takes the whole and returns the revision to watch from.
	Read func(ctx context.Context) (Revision, error)
	// Watch takes the changes after a revision and returns the one to go on from,
	// also beside an error; 0 to read again.
	Watch func(ctx context.Context, after Revision, wait time.Duration) (Revision, error)
	// From is the revision to watch from, 0 to read first.
	From Revision
	// ReadLimit bounds the first try of a read; see ReadBound. Wait bounds a watch, and
	// Grace how long after that it may be answered, so that a silent connection is
	// noticed.
	ReadLimit, Wait, Grace time.Duration
	// Pause is kept after each call, ErrorPause after one that failed.
	Pause, ErrorPause time.Duration
	Log               zerolog.Logger
	// Patience, if set, tells when a store that failed is back, and when a call was lost.
	Patience *Patience
}

// trackerAwait bounds how long a tracker whose call failed leaves a store alone
// that fails others as well.
const trackerAwait = time.Second

// Run follows until ctx ends.
func (t *Tracker) Run(ctx context.Context) {
	rev := t.From
	read := ReadBound{First: t.ReadLimit}
	var gap gap
	for ctx.Err() == nil {
		begun := time.Now()
		next, err := t.step(ctx, rev, &read)
		rev = next
		if ctx.Err() == nil {
			gap.note(t, begun, err)
		}
		pause := t.Pause
		if err != nil {
			t.Log.Debug().Err(err).Str("what", t.What).Msg("not followed, trying again")
			pause = t.ErrorPause
		}
		_ = sleep.For(ctx, pause) // ends with the context, which the loop sees
		if err != nil && t.Patience != nil {
			t.Patience.Await(ctx, trackerAwait)
		}
	}
}

func (t *Tracker) read(ctx context.Context, next *Revision) error {
	f := func(ctx context.Context) (err error) {
		*next, err = t.Read(ctx)
		return err
	}
	return t.Patience.Read(ctx, f)
}

// gap is a time in which a tracker's calls fail.
type gap struct {
	since   time.Time // when the first call that failed was sent; zero: none
	failed  int       // calls in a row
	longest time.Duration
}

// gapShown is how many calls in a row fail until a line of the log tells: one that fails
// alone is an answer that was lost.
const gapShown = 2

// note notes how a call went that was sent at begun.
func (g *gap) note(t *Tracker, begun time.Time, err error) {
	took := time.Since(begun)
	if err != nil {
		if g.failed == 0 {
			g.since = begun
		}
		g.failed++
		g.longest = max(g.longest, took)
		if g.failed == gapShown {
			t.Log.Info().Err(err).Str("what", t.What).Int64("since_ms", time.Since(g.since).Milliseconds()).Msg("not followed")
		}
		return
	}
	if g.failed >= gapShown {
		t.Log.Info().Str("what", t.What).Int64("gap_ms", time.Since(g.since).Milliseconds()).Int("failed", g.failed).
			Int64("longest_call_ms", g.longest.Milliseconds()).Int64("call_ms", took.Milliseconds()).Msg("followed again")
	}
	*g = gap{}
}

// step makes one call.
func (t *Tracker) step(ctx context.Context, rev Revision, read *ReadBound) (next Revision, err error) {
	if rev == 0 {
		err = read.Try(ctx, func(ctx context.Context) error { return t.read(ctx, &next) })
		return next, err
	}
	bounded, cancel := context.WithTimeout(ctx, t.Wait+t.Grace)
	defer cancel()
	err = t.Patience.Watch(bounded, func(ctx context.Context) (err error) {
		next, err = t.Watch(ctx, rev, t.Wait)
		return err
	})
	switch {
	case errors.Is(err, ErrOvertaken):
		t.Log.Info().Str("what", t.What).Msg("watch may have been lost in an outage, watching again")
		return max(rev, next), nil
	case errors.Is(err, ErrCompacted):
		t.Log.Warn().Str("what", t.What).Msg("its history is gone, reading it as a whole")
		return 0, nil
	}
	return next, err
}
