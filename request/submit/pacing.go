package submit

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/internal/sleep"
	"fennelshunt.example/fennelshunt/process/lead"
	"fennelshunt.example/fennelshunt/process/outage"
	"fennelshunt.example/fennelshunt/request/verdict"
)

// probeLife is how long a probe may wait for its answer, although it counts as failed after
// outage.ProbeTimeout: a late answer shows that the store is back.
const probeLife = time.Second

// logInterval is the minimum time between the starts of two outages that are logged, so that a store
// that keeps failing and returning does not fill the log.
const logInterval = 5 * time.Second

// Pacer applies the decisions of package outage to the requests of one daemon. Its services, one per
// shard, share it, since they call the same store.
type Pacer struct {
	timeout *store.AdaptiveTimeout
	stats   *Stats
	log     zerolog.Logger
	off     bool // the policy no_outage_pacing

	mu       sync.Mutex
	tracker  *outage.Tracker
	changed  chan struct{} // closed when a write or a probe has ended
	waiting  int           // submissions that wait for a turn to write
	probes   map[uint64]openProbe
	loggedAt time.Time
	logged   bool // the start of the present outage has been logged
	unlogged int  // outages since the last one that was logged
}

// openProbe is a read in flight.
type openProbe struct {
	sent   time.Time
	cancel context.CancelFunc
}

// NewPacer returns a Pacer; off is the policy no_outage_pacing.
func NewPacer(t *store.AdaptiveTimeout, stats *Stats, off bool, log zerolog.Logger) *Pacer {
	return &Pacer{timeout: t, stats: stats, log: log, off: off, tracker: outage.New(),
		changed: make(chan struct{}), probes: map[uint64]openProbe{}}
}

// observe passes on what the daemon's calls have shown; p.mu is held.
func (p *Pacer) observe(now time.Time) {
	c := p.timeout.Condition()
	e := p.tracker.Observe(now, outage.Store{
		Failing: c.Failing, Since: c.FailingSince, Refused: p.timeout.RefusedWithin(refusalAge),
		AnsweredAt: c.AnsweredAt, Usual: c.Average, Latest: c.Latest, Overdue: overdue(p.timeout),
	})
	for _, probe := range p.probes {
		if !c.Failing && probe.sent.Before(c.AnsweredAt) {
			probe.cancel() // a later call was answered, so its answer would show nothing new
		}
	}
	if e.Begun {
		p.stats.Outages.Add(1)
		if p.logged = now.Sub(p.loggedAt) >= logInterval; p.logged {
			p.loggedAt = now
			p.log.Warn().Dur("age", e.Length).Int("not_logged", p.unlogged).
				Msg("store does not answer; submissions are forwarded or refused")
			p.unlogged = 0
		} else {
			p.unlogged++
		}
	}
	if e.Ended && p.logged {
		p.logged = false
		p.log.Info().Dur("length", e.Length).Int("refused", e.Counts.Refused).Int("unknown", e.Counts.Unknown).
			Int("forwarded", e.Counts.Forwarded).Int("probes", e.Counts.Probes).
			Msg("store answers again; submissions are written")
	}
}

// notify wakes the waiting submissions; p.mu is held.
func (p *Pacer) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// decide returns what to do next with a submission to s, and a channel that is closed at the next
// change. A probe that is due is sent at once, so that no other submission sends one as well.
func (p *Pacer) decide(s *Service, r outage.Request) (outage.Decision, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.observe(now)
	r.Waiting = p.waiting
	d := p.tracker.Decide(now, r)
	if d.Send {
		p.probe(s)
	}
	return d, p.changed
}

// storeFails reports whether the store fails or seems to.
func (p *Pacer) storeFails() bool {
	if p.off {
		return p.timeout.Failing()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.observe(now)
	return p.tracker.Fails(now)
}

// enter asks for permission to write one submission of another daemon; leave ends it.
func (p *Pacer) enter() bool {
	if p.off {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.observe(time.Now())
	return p.tracker.Enter()
}

// leave ends the writing of one submission, which may be the turn of another.
func (p *Pacer) leave() {
	if p.off {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tracker.Leave()
	p.notify()
}

// sentWrite records a write; the result is to be called with its error.
func (p *Pacer) sentWrite() (done func(error)) {
	if p.off {
		return func(error) {}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	id := p.tracker.SentWrite(time.Now())
	return func(err error) {
		p.mu.Lock()
		defer p.mu.Unlock()
		now := time.Now()
		p.observe(now)
		p.tracker.EndedWrite(now, id, !failed(err))
		p.notify()
	}
}

// forwardedTimeout is the shortest timeout of a write for another daemon, which waits
// forwardTimeout: a store that has just become slow answers within that time.
func (p *Pacer) forwardedTimeout() time.Duration {
	if p.off {
		return 0
	}
	return forwardTimeout
}

// readTimeout bounds a read for a caller while the store fails. The adaptive timeout then rises to
// its maximum of 1.5 s, half of the time that a caller waits.
func (p *Pacer) readTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if p.off || !p.storeFails() {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, outage.ProbeTimeout)
}

// failed reports whether a call had no answer or was refused.
func failed(err error) bool {
	return errors.Is(err, store.ErrUnknownOutcome) || errors.Is(err, store.ErrUnavailable) ||
		errors.Is(err, store.ErrOverBudget)
}

// probe reads from the store in the background; its end wakes the waiting submissions. A failed read
// cannot change the store, so it leaves no outcome unknown. p.mu is held.
func (p *Pacer) probe(s *Service) {
	ctx, cancel := context.WithTimeout(context.Background(), probeLife)
	id := p.tracker.SentProbe(time.Now())
	p.probes[id] = openProbe{time.Now(), cancel}
	p.stats.Probes.Add(1)
	go func() {
		defer cancel()
		err := s.o.StoreTimeout.CallWithMinTimeout(ctx, probeLife, func(ctx context.Context) error {
			_, err := s.o.Store.Get(ctx, probeKey)
			return err
		})
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.probes, id)
		p.observe(time.Now())
		p.tracker.EndedProbe(id, !failed(err))
		p.notify()
	}()
}

// probeIfDue sends a probe, unless one was sent just before.
func (p *Pacer) probeIfDue(s *Service) {
	if p.off {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.tracker.ProbeDue(time.Now()) {
		p.probe(s)
	}
}

// stopsWaiting reports whether a submission that had no answer to a write stops waiting for its
// hedged one: the store fails, so that one is not expected to be answered either.
func (p *Pacer) stopsWaiting(unanswered bool) bool {
	return !p.off && unanswered && p.timeout.Failing()
}

// targets returns the members to forward to.
func (p *Pacer) targets(s *Service) []lead.Member {
	if p.off {
		return s.forwardTargets()
	}
	members := s.otherMembers()
	names := make([]string, len(members))
	for i, m := range members {
		names[i] = m.Name
	}
	leader, _ := s.otherLeader()
	p.mu.Lock()
	chosen := p.tracker.Targets(time.Now(), names, leader.Name)
	p.mu.Unlock()
	targets := make([]lead.Member, len(chosen))
	for i, name := range chosen {
		targets[i] = members[slices.Index(names, name)]
	}
	return targets
}

// endedTarget records the result of one target. A call that was cut off because the time of its
// submission was over says nothing about the target.
func (p *Pacer) endedTarget(ctx context.Context, name string, r forwardReply, err error) {
	if p.off || (err != nil && ctx.Err() != nil) {
		return
	}
	result := outage.TargetFails
	switch {
	case err == nil && r.Accepted:
		result = outage.TargetAccepted
	case err != nil && peer.NotRun(err):
		result = outage.TargetUnreached
	case err == nil && r.StoreAnswers: // it may be uncertain for an earlier write
		result = outage.TargetDeclined
	case err != nil || r.Uncertain:
		result = outage.TargetSilent
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tracker.EndedTarget(time.Now(), name, result)
}

// endedForward records whether any target of a submission accepted it.
func (p *Pacer) endedForward(accepted bool) {
	if p.off {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tracker.EndedForward(time.Now(), accepted)
}

// accepted records that a job was accepted.
func (p *Pacer) accepted() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tracker.Accepted(time.Now())
}

// refused records a request that was not accepted, and returns the age of the outage.
func (p *Pacer) refused(d outage.Decision) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.tracker.Refused(now, d.Verdict)
	p.observe(now)
	if d.AtOnce {
		p.stats.RefusedAtOnce.Add(1)
	}
	return p.tracker.Age(now)
}

// Ready reports whether callers should use this daemon; see outage.Tracker.Ready.
func (p *Pacer) Ready() bool {
	if p.off {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.observe(now)
	return p.tracker.Ready(now)
}

// wait waits until changed is closed, d has passed or ctx ends. turn means that the submission waits
// for a turn to write.
func (p *Pacer) wait(ctx context.Context, changed <-chan struct{}, d time.Duration, turn bool) {
	if turn {
		p.mu.Lock()
		p.waiting++
		p.mu.Unlock()
		defer func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.waiting--
		}()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// errRefusedAtOnce means that earlier calls have shown that the store does not answer.
var errRefusedAtOnce = errors.New("submit: the store does not answer this daemon")

// answerBy bounds ctx by the time in which a submission can still be answered, and returns the time
// that its caller has left. At most a quarter of that is reserved for the answer, so that a caller
// with little time keeps most of it.
func answerBy(ctx context.Context) (bounded context.Context, cancel context.CancelFunc, left time.Duration) {
	left = submitBudget
	if deadline, ok := ctx.Deadline(); ok {
		left = time.Until(deadline)
	}
	hold := min(submitBudget, left-min(outage.AnswerTime, left/4))
	bounded, cancel = context.WithTimeout(ctx, hold)
	return bounded, cancel, left
}

// pacedRequest is a submission or a cancellation.
type pacedRequest struct {
	// try makes one attempt of this daemon, and forward one through other daemons. done reports that
	// err is the final result. Both record in the Request whether a write may still take effect.
	try     func(context.Context, *outage.Request) (done bool, err error)
	forward func(context.Context, *outage.Request) (done bool, err error)
}

// writePaced writes the job to the store or through another daemon, as package outage decides.
// written is called with what the store has under the job's id, once this daemon has written the job
// or has found it there.
func (s *Service) writePaced(ctx context.Context, sub *submission, written func(stored store.Entry)) error {
	return s.paced(ctx, pacedRequest{
		try: func(ctx context.Context, r *outage.Request) (done bool, err error) {
			created, err := s.createHedged(ctx, sub)
			r.TargetUncertain, r.Forwarded = sub.targetUncertain.Load(), r.Forwarded || sub.forwarded.Load()
			switch {
			case err == nil:
				if !created.byOther {
					written(created.stored)
				}
				return true, nil
			case errors.Is(err, errIDCancelled):
				return true, unavailable(CodeIDCancelled, err)
			case errors.Is(err, errOtherAccount):
				return true, refuseOtherAccount()
			case errors.Is(err, store.ErrUnknownOutcome):
				// A write without an answer has usually been overdue, and createHedged has then
				// forwarded the job as well.
				r.Unconfirmed, r.Forwarded = true, true
			}
			return false, err
		},
		forward: func(ctx context.Context, r *outage.Request) (done bool, err error) {
			accepted, uncertain := s.forward(ctx, sub)
			r.TargetUncertain = sub.targetUncertain.Load()
			r.Unconfirmed = r.Unconfirmed || uncertain
			return accepted, nil
		},
	})
}

// paced carries out one request as package outage decides.
func (s *Service) paced(ctx context.Context, q pacedRequest) error {
	ctx, cancel, callerLeft := answerBy(ctx)
	defer cancel()
	end, _ := ctx.Deadline()
	callerEnd := time.Now().Add(callerLeft)
	var r outage.Request
	var last error
	var probeWaitFrom, turnWaitFrom time.Time // when the first wait for a probe or a turn began
	for {
		if r.Left = time.Until(end); ctx.Err() != nil {
			r.Left = 0
		}
		if !probeWaitFrom.IsZero() {
			r.Probed = time.Since(probeWaitFrom)
		}
		if !turnWaitFrom.IsZero() {
			r.Held = time.Since(turnWaitFrom)
		}
		d, changed := s.pacer.decide(s, r)
		var done bool
		var err error
		switch d.Action {
		case outage.Write:
			done, err = q.try(ctx, &r)
			s.pacer.leave()
			r.Writes++
			if last = err; !done {
				_ = sleep.For(ctx, min(retryDelay, time.Until(end)/4)) // the next decision checks ctx
			}
		case outage.Forward:
			done, err = q.forward(ctx, &r)
			r.Forwarded = true
		case outage.Probe:
			if probeWaitFrom.IsZero() {
				probeWaitFrom = time.Now()
			}
			r.SentProbe = r.SentProbe || d.Send
			s.pacer.wait(ctx, changed, d.Wait, false)
		case outage.Wait:
			if turnWaitFrom.IsZero() {
				turnWaitFrom = time.Now()
			}
			s.pacer.wait(ctx, changed, d.Wait, true)
		case outage.End:
			age := s.pacer.refused(d)
			if last == nil {
				last = context.Cause(ctx)
			}
			if last == nil {
				last = errRefusedAtOnce
			}
			if d.Verdict == outage.MayHaveRun {
				return unknown(last)
			}
			return refusedFor(age, callerEnd, last)
		}
		if done {
			if err == nil {
				s.pacer.accepted()
			}
			return err
		}
	}
}

// refusedFor returns a refusal in an outage of the given age, with a Retry-After for a caller that
// waits until callerEnd.
func refusedFor(age time.Duration, callerEnd time.Time, err error) error {
	after := outage.RetryAfter(age, time.Until(callerEnd), rand.Float64(), rand.Float64())
	return &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusServiceUnavailable, Code: CodeStore,
		RetryAfterMillis: after.Milliseconds(), Err: err}
}
