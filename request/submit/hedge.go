package submit

import (
	"context"
	"errors"
	"fmt"
	"time"

	"fennelshunt.example/fennelshunt/connection/store"
)

// Hedging a hand-in: what is tried beside a write that the store does not answer.
//
// All tries write the same job under the condition that it is not there, so at most one
// takes effect, and the first that succeeds is the answer.
const (
	// othersFactor times the store's usual answer, and othersMin at least, may a write go
	// unanswered until another daemon is asked to write the job as well.
	//
	// Load pattern: some daemons are cut off from the store, silently. What goes wrong
	// without it: each hand-in there waits for the timeouts of two writes first, 0.8 s;
	// a job of 0.6 s is then late. Through another daemon it takes some 10 ms.
	othersFactor = 4
	othersMin    = 40 * time.Millisecond
	// hedgedTries is how many tries may be under way: two of this daemon's own, and one
	// through others.
	hedgedTries = 3
)

// behindFor is how long other daemons are asked first after one has written what the store
// had not answered here: until the timeout of that write tells more.
const behindFor = writeTimeout

// othersFirst reports whether other daemons are likely to write a job sooner than this one.
func (s *Service) othersFirst() bool {
	return s.o.Patience.Suspect() || time.Now().UnixNano() < s.behindUntil.Load()
}

// tried is the outcome of one try.
type tried struct {
	err     error
	byOther bool
}

// errNotTaken: no other daemon has written the job, and none may.
var errNotTaken = errors.New("submit: no other daemon took the job over")

// createHedged tries to write the job; through other daemons as well when there is no
// answer for a while, and once more itself when there is none in the usual time. byOther
// tells that another daemon has written it.
//
// What goes wrong without the second try: when a store becomes slow, the first writes of
// each daemon are given up just before their answers, and their callers wait for two
// more answers.
func (s *Service) createHedged(ctx context.Context, h *handIn) (byOther bool, err error) {
	results := make(chan tried, hedgedTries)
	own := func() {
		// Not taken back when another try has succeeded: how it goes tells of the store.
		free := context.WithoutCancel(ctx)
		results <- tried{err: s.o.Patience.CallWithin(free, writeTimeout, func(ctx context.Context) error { return s.create(ctx, h) })}
	}
	others := func() {
		took, maybe := s.handOver(ctx, h)
		r := tried{byOther: true}
		switch {
		case took:
		case maybe:
			r.err = store.ErrUnknownOutcome
		default:
			r.err = errNotTaken
		}
		results <- r
	}
	sent, answered := 1, 0
	go own()
	timeout := s.o.Patience.Timeout()
	askOthers := time.NewTimer(min(max(othersMin, othersFactor*s.o.Patience.Usual()), timeout))
	defer askOthers.Stop()
	tryAgain := time.NewTimer(timeout)
	defer tryAgain.Stop()
	var open, last error
	for {
		select {
		case <-askOthers.C:
			sent++
			go others()
		case <-tryAgain.C:
			sent++
			go own()
		case <-ctx.Done():
			return false, fmt.Errorf("%w: %w", store.ErrUnknownOutcome, ctx.Err())
		case r := <-results:
			answered++
			switch {
			case r.err == nil, errors.Is(r.err, errGivenUp), errors.Is(r.err, errForeign):
				if r.byOther {
					s.behindUntil.Store(time.Now().Add(behindFor).UnixNano())
				}
				return r.byOther, r.err
			case errors.Is(r.err, store.ErrUnknownOutcome):
				open = r.err
			}
			if !r.byOther {
				last = r.err
			}
			if answered < sent {
				continue
			}
			if open != nil {
				return false, open
			}
			return false, last
		}
	}
}
