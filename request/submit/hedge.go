package submit

import (
	"context"
	"errors"
	"fmt"
	"time"

	"fennelshunt.example/fennelshunt/connection/store"
)

// Parameters of a hedged submission: what is tried in parallel to a write that the store has not
// answered.
//
// All attempts write the same job on the condition that it does not exist, so at most one takes
// effect, and the first success is the result.
const (
	// forwardFactor times the usual response time of the store, but at least minForwardDelay, is
	// how long a write may stay unanswered before another daemon is asked to write the job as
	// well. When some daemons lose their connection to the store without an error, each
	// submission there would otherwise wait for the timeouts of two writes, 0.8 s, which makes a
	// job of 0.6 s late. Through another daemon it takes some 10 ms.
	forwardFactor   = 4
	minForwardDelay = 40 * time.Millisecond
	// maxAttempts is the maximum number of concurrent attempts: two of this daemon, and one
	// through other daemons.
	maxAttempts = 3
)

// overdue returns how long a write may stay unanswered before other ways are tried as well.
func (s *Service) overdue() time.Duration { return overdue(s.o.StoreTimeout) }

func overdue(t *store.AdaptiveTimeout) time.Duration {
	return min(max(minForwardDelay, forwardFactor*t.Average()), t.Timeout())
}

// forwardFirstFor is how long submissions are sent to other daemons first, after another daemon has
// written a job for which the store had not answered this one. By then this daemon's own write of
// the job has been answered or has timed out, which shows whether the store can be reached.
const forwardFirstFor = writeTimeout

// forwardFirst reports whether another daemon is likely to write a job sooner than this one.
func (s *Service) forwardFirst() bool {
	return s.o.StoreTimeout.Failing() || time.Now().UnixNano() < s.forwardUntil.Load()
}

// attempt is the outcome of one attempt.
type attempt struct {
	err     error
	byOther bool        // another daemon has written the job
	stored  store.Entry // under the job's id, if byOther is not set
}

// errNotForwarded means that no other daemon has written the job or may still write it.
var errNotForwarded = errors.New("submit: no other daemon wrote the job")

// createHedged tries to write the job. It also tries through other daemons when the store has
// not answered for a while, and makes a second attempt of its own after the usual timeout.
//
// The second attempt serves a store that becomes slow: otherwise the first writes of each daemon
// would be abandoned just before their answers, and their callers would wait for two more
// answers.
func (s *Service) createHedged(ctx context.Context, sub *submission) (attempt, error) {
	results := make(chan attempt, maxAttempts)
	own := func() {
		// Not cancelled when another attempt has succeeded: its result shows the state of the
		// store.
		free := context.WithoutCancel(ctx)
		done := s.pacer.sentWrite()
		var r attempt
		r.err = s.o.StoreTimeout.CallWithMinTimeout(free, writeTimeout, func(ctx context.Context) (err error) {
			r.stored, err = s.create(ctx, sub)
			return err
		})
		done(r.err)
		results <- r
	}
	others := func() {
		accepted, uncertain := s.forward(ctx, sub)
		r := attempt{byOther: true}
		switch {
		case accepted:
		case uncertain:
			r.err = store.ErrUnknownOutcome
		default:
			r.err = errNotForwarded
		}
		results <- r
	}
	sent, answered := 1, 0
	ownEnded, othersOpen := false, false
	go own()
	timeout := s.o.StoreTimeout.Timeout()
	forwardTimer := time.NewTimer(s.overdue())
	defer forwardTimer.Stop()
	retryTimer := time.NewTimer(timeout)
	defer retryTimer.Stop()
	var unconfirmed, last error
	for {
		select {
		case <-forwardTimer.C:
			sent++
			othersOpen = true
			go others()
			s.pacer.probeIfDue(s)
		case <-retryTimer.C:
			sent++
			go own()
		case <-ctx.Done():
			return attempt{}, fmt.Errorf("%w: %w", store.ErrUnknownOutcome, ctx.Err())
		case r := <-results:
			answered++
			switch {
			case r.err == nil, errors.Is(r.err, errIDCancelled), errors.Is(r.err, errOtherAccount):
				if r.byOther {
					s.forwardUntil.Store(time.Now().Add(forwardFirstFor).UnixNano())
				}
				return r, r.err
			case errors.Is(r.err, store.ErrUnknownOutcome):
				unconfirmed = r.err
			}
			if r.byOther {
				othersOpen = false
			} else {
				last, ownEnded = r.err, true
			}
			if answered < sent && !s.pacer.stopsWaiting(unconfirmed != nil && ownEnded && !othersOpen) {
				continue
			}
			if unconfirmed != nil {
				return attempt{}, unconfirmed
			}
			return attempt{}, last
		}
	}
}
