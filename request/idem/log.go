package idem

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/internal/sleep"
	"fennelshunt.example/fennelshunt/request/verdict"
)

const (
	// readyWait bounds how long an arrival waits for a new owner to read the key log.
	readyWait = time.Second
	// downPause is the time after a failed write in which intents are refused
	// without a write.
	downPause = 500 * time.Millisecond
	// budgetPause is the pause after a write that exceeded the store's budget.
	budgetPause = 50 * time.Millisecond
	// maintenanceInterval is the interval at which expired archives are deleted.
	maintenanceInterval = time.Minute
	// sweepRounds is the number of maintenance rounds between sweeps of the keys in
	// memory.
	sweepRounds = 10
)

var (
	errLogClosed    = errors.New("the key log belongs to another home now")
	errStoreDown    = errors.New("the store does not take the intent")
	errNotInTime    = errors.New("the intent was not durable in time")
	errStillReading = errors.New("the key log is not read yet")
)

// keyLog is the durable log of one shard under one epoch. Only its run goroutine
// accesses the store; the fields guarded by mu pass work to it.
type keyLog struct {
	s      *shard
	ctx    context.Context
	cancel context.CancelFunc
	ready  chan struct{} // closed when this owner has fenced the previous one and read the log
	wake   chan struct{} // capacity 1

	mu        sync.Mutex
	pending   []*intent
	outcomes  []record
	flushes   []chan error
	down      bool      // the last write failed
	downUntil time.Time // until then intents are refused without a write
	stopped   bool

	w writer // used by run only
}

// intent is a waiting call of Attempt.Intend.
type intent struct {
	record record
	queued time.Time
	result chan error // capacity 1
	// resolved and cancelled are guarded by the shard's mu; at most one is set.
	resolved, cancelled bool
}

func newKeyLog(ctx context.Context, s *shard) *keyLog {
	l := &keyLog{s: s, ready: make(chan struct{}), wake: make(chan struct{}, 1)}
	// ctx bounds the call that delivers the grant, not the ownership itself.
	l.ctx, l.cancel = context.WithCancel(context.WithoutCancel(ctx))
	l.w = writer{s: s}
	return l
}

// waitReady waits until the log has been read, so that this owner has the record
// of every non-idempotent key.
func (l *keyLog) waitReady(ctx context.Context) error {
	select {
	case <-l.ready:
		return nil
	default:
	}
	t := time.NewTimer(readyWait)
	defer t.Stop()
	select {
	case <-l.ready:
		return nil
	case <-l.ctx.Done():
		return errLogClosed
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return errStillReading
	}
}

func refused(err error) *verdict.Error {
	return notRun(http.StatusServiceUnavailable, CodeIntentRefused, err)
}

// append makes the record durable. After an error the request must not be
// sent. The record may be in the log nevertheless; the next write then removes
// it or marks it as not run.
func (l *keyLog) append(ctx context.Context, r record) error {
	in := &intent{record: r, queued: time.Now(), result: make(chan error, 1)}
	if err := l.enqueue(in); err != nil {
		l.s.m.counts.Refused.Add(1)
		return refused(err)
	}
	select {
	case err := <-in.result:
		return err
	case <-ctx.Done():
		if l.withdraw(in) {
			return refused(errNotInTime)
		}
		return <-in.result
	}
}

func (l *keyLog) enqueue(in *intent) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return errLogClosed
	}
	// While the store is down callers are refused at once instead of after a
	// write timeout; one intent after each pause probes the store.
	if l.down {
		now := time.Now()
		if now.Before(l.downUntil) {
			return errStoreDown
		}
		l.downUntil = now.Add(l.s.m.opts.WriteTimeout + downPause)
	}
	l.pending = append(l.pending, in)
	l.signal()
	return nil
}

// withdraw cancels an intent whose caller stopped waiting. It returns false when
// the intent has been resolved already.
func (l *keyLog) withdraw(in *intent) bool {
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	if in.resolved {
		return false
	}
	in.cancelled = true
	return true
}

// noteOutcome queues the outcome of a request for a later write.
func (l *keyLog) noteOutcome(r record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.stopped {
		l.outcomes = append(l.outcomes, r)
	}
}

// flush writes the queued outcomes and waits until they are durable.
func (l *keyLog) flush(ctx context.Context) error {
	done := make(chan error, 1)
	l.mu.Lock()
	if l.stopped {
		l.mu.Unlock()
		return errLogClosed
	}
	l.flushes = append(l.flushes, done)
	l.signal()
	l.mu.Unlock()
	select {
	case err := <-done:
		return err
	case <-l.ctx.Done():
		return errLogClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *keyLog) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// stop ends run and refuses the waiting intents.
func (l *keyLog) stop() {
	l.cancel()
	l.mu.Lock()
	l.stopped = true
	pending := l.pending
	l.pending = nil
	l.mu.Unlock()
	l.resolve(pending, refused(errLogClosed))
}

// run fences the previous owner, reads the log, and then commits until the log
// is stopped or fenced.
func (l *keyLog) run() {
	defer l.stop()
	if !l.open() {
		return
	}
	close(l.ready)
	flush := time.NewTicker(l.s.m.opts.OutcomeFlush)
	defer flush.Stop()
	maintenance := time.NewTicker(maintenanceInterval)
	defer maintenance.Stop()
	for round := 0; ; {
		var err error
		select {
		case <-l.ctx.Done():
			return
		case <-l.wake:
			err = l.commit()
		case <-flush.C:
			err = l.commit()
		case <-maintenance.C:
			round++
			l.w.deleteExpired(l.ctx)
			if round%sweepRounds == 0 {
				l.s.sweep()
			}
		}
		if errors.Is(err, errFenced) {
			l.s.m.counts.Fenced.Add(1)
			l.s.m.opts.Log.Warn().Int("shard", l.s.n).Uint64("epoch", l.s.epoch).Msg("key log fenced by a newer owner; requests with its keys are refused")
			return
		}
	}
}

// open retries the takeover of the log until it succeeds. It returns false when
// the log is fenced or stopped.
func (l *keyLog) open() bool {
	retry := sleep.NewBackoff(firstOpenRetry, lastOpenRetry)
	for {
		err := l.w.open(l.ctx)
		if err == nil {
			return true
		}
		if errors.Is(err, errFenced) || l.ctx.Err() != nil {
			return false
		}
		l.s.m.opts.Log.Warn().Err(err).Int("shard", l.s.n).Msg("takeover of the key log failed; trying again")
		if sleep.For(l.ctx, retry.NextBackOff()) != nil {
			return false
		}
	}
}

// commit writes one group: all that was queued while the previous write was in
// flight or while the rate limiter delayed this one.
func (l *keyLog) commit() error {
	if err := l.s.m.limiter.Wait(l.ctx); err != nil {
		return err
	}
	l.mu.Lock()
	pending, outcomes, flushes := l.pending, l.outcomes, l.flushes
	l.pending, l.outcomes, l.flushes = nil, nil, nil
	l.mu.Unlock()
	pending = l.withoutCancelled(pending)
	l.w.noteOutcomes(outcomes)
	if len(pending) == 0 && !l.w.dirty {
		notifyFlushes(flushes, nil)
		return nil
	}
	err := l.w.write(l.ctx, pending)
	if errors.Is(err, store.ErrOverBudget) {
		l.requeue(pending, flushes)
		return nil
	}
	notifyFlushes(flushes, err)
	if err != nil {
		l.noteFailure(err)
		l.resolve(pending, refused(errors.Join(errStoreDown, err)))
		return err
	}
	l.noteSuccess()
	l.resolve(pending, nil)
	l.w.archiveIfLarge(l.ctx)
	return nil
}

// requeue queues a group again that exceeded the store's write budget and
// therefore was certainly not written. Intents that have waited too long are
// refused.
func (l *keyLog) requeue(pending []*intent, flushes []chan error) {
	var late, kept []*intent
	for _, in := range pending {
		if time.Since(in.queued) > l.s.m.opts.WriteTimeout {
			late = append(late, in)
		} else {
			kept = append(kept, in)
		}
	}
	l.resolve(late, refused(store.ErrOverBudget))
	l.mu.Lock()
	stopped := l.stopped
	if !stopped {
		l.pending = append(kept, l.pending...)
		l.flushes = append(flushes, l.flushes...)
	}
	l.mu.Unlock()
	if stopped {
		l.resolve(kept, refused(errLogClosed))
	}
	time.AfterFunc(budgetPause, l.signal)
}

func (l *keyLog) noteFailure(err error) {
	if errors.Is(err, store.ErrConflict) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = true
	l.downUntil = time.Now().Add(downPause)
}

func (l *keyLog) noteSuccess() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = false
}

func (l *keyLog) withoutCancelled(in []*intent) []*intent {
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	out := in[:0]
	for _, i := range in {
		if !i.cancelled {
			out = append(out, i)
		}
	}
	return out
}

// resolve returns the result to the waiting attempts. An intent that was
// cancelled while its write was in flight is in the log although nothing was
// sent, so its outcome is recorded as not run.
func (l *keyLog) resolve(intents []*intent, err error) {
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	for _, in := range intents {
		switch {
		case in.cancelled && err == nil:
			r := in.record
			r.End = outcomeNotRun
			l.s.noteRecord(r)
			l.noteOutcome(r)
		case in.cancelled:
		case err == nil:
			in.resolved = true
			l.s.assertNoIntent(in.record)
			l.s.noteRecord(in.record)
			l.s.m.counts.Intents.Add(1)
			in.result <- nil
		default:
			in.resolved = true
			l.s.m.counts.Refused.Add(1)
			in.result <- err
		}
	}
}

func notifyFlushes(flushes []chan error, err error) {
	for _, f := range flushes {
		f <- err
	}
}
