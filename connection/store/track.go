package store

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"fennelshunt.example/fennelshunt/internal/sleep"
)

// Tracker lists a part of the store and then watches it. Its calls are not subject
// to a call budget or a circuit breaker; clients that have these use Follow.
type Tracker struct {
	Name string // what is followed, for the log
	// Read reads everything and returns the revision to watch from.
	Read func(ctx context.Context) (Revision, error)
	// Watch reads the changes after a revision and returns the revision to continue
	// from, also together with an error; 0 to read everything again.
	Watch func(ctx context.Context, after Revision, wait time.Duration) (Revision, error)
	// From is the revision to watch from; 0 to read first.
	From Revision
	// ReadLimit is the timeout of the first attempt of a read; see ReadTimeout. Wait is
	// how long a watch waits for changes, and Grace how much later its answer may
	// arrive before the connection is considered dead.
	ReadLimit, Wait, Grace time.Duration
	// Pause follows each successful call, ErrorPause each failed one.
	Pause, ErrorPause time.Duration
	Log               zerolog.Logger
	// Timeout, if set, says when a failed store answers again and which calls are
	// presumed lost.
	Timeout *AdaptiveTimeout
}

// trackerAwait bounds how long a tracker waits after a failed call for the store to
// answer any call of this daemon.
const trackerAwait = time.Second

// Run follows until ctx ends.
func (t *Tracker) Run(ctx context.Context) {
	rev := t.From
	read := ReadTimeout{First: t.ReadLimit}
	var gap gap
	for ctx.Err() == nil {
		begun := time.Now()
		next, err := t.step(ctx, rev, &read)
		rev = next
		if ctx.Err() == nil {
			gap.record(t, begun, err)
		}
		pause := t.Pause
		if err != nil {
			t.Log.Debug().Err(err).Str("what", t.Name).Msg("store read or watch failed; trying again")
			pause = t.ErrorPause
		}
		_ = sleep.For(ctx, pause) // fails only when the context has ended, which the loop checks
		if err != nil && t.Timeout != nil {
			t.Timeout.AwaitAnswer(ctx, trackerAwait)
		}
	}
}

func (t *Tracker) read(ctx context.Context, next *Revision) error {
	f := func(ctx context.Context) (err error) {
		*next, err = t.Read(ctx)
		return err
	}
	return t.Timeout.Read(ctx, f)
}

// gap is a period in which a tracker's calls fail.
type gap struct {
	since   time.Time     // when the first failed call was sent; zero: none
	failed  int           // consecutive failed calls
	longest time.Duration // duration of the longest failed call
}

// gapLogThreshold is the number of consecutive failed calls after which the gap is
// logged: a single failure is usually a lost response.
const gapLogThreshold = 2

// record records the result of a call that was sent at begun.
func (g *gap) record(t *Tracker, begun time.Time, err error) {
	took := time.Since(begun)
	if err != nil {
		if g.failed == 0 {
			g.since = begun
		}
		g.failed++
		g.longest = max(g.longest, took)
		if g.failed == gapLogThreshold {
			t.Log.Info().Err(err).Str("what", t.Name).Int64("since_ms", time.Since(g.since).Milliseconds()).Msg("store reads or watches fail; data may be outdated")
		}
		return
	}
	if g.failed >= gapLogThreshold {
		t.Log.Info().Str("what", t.Name).Int64("gap_ms", time.Since(g.since).Milliseconds()).Int("failed", g.failed).
			Int64("longest_call_ms", g.longest.Milliseconds()).Int64("call_ms", took.Milliseconds()).Msg("store reads and watches succeed again")
	}
	*g = gap{}
}

// step makes one call.
func (t *Tracker) step(ctx context.Context, rev Revision, read *ReadTimeout) (next Revision, err error) {
	if rev == 0 {
		err = read.Try(ctx, func(ctx context.Context) error { return t.read(ctx, &next) })
		return next, err
	}
	bounded, cancel := context.WithTimeout(ctx, t.Wait+t.Grace)
	defer cancel()
	err = t.Timeout.Watch(bounded, func(ctx context.Context) (err error) {
		next, err = t.Watch(ctx, rev, t.Wait)
		return err
	})
	switch {
	case errors.Is(err, ErrPresumedLost):
		t.Log.Info().Str("what", t.Name).Msg("watch may have been lost in an outage; watching again")
		return max(rev, next), nil
	case errors.Is(err, ErrCompacted):
		t.Log.Warn().Str("what", t.Name).Msg("watch revision was compacted; reading everything again")
		return 0, nil
	}
	return next, err
}
