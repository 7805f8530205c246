package submit

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/dispatch"
	"fennelshunt.example/fennelshunt/process/loadshed"
	"fennelshunt.example/fennelshunt/request/verdict"
	"fennelshunt.example/fennelshunt/version/work"
)

// Admission control: a submission is refused, before anything is written, if its job would end after
// it has lost its value. Package loadshed decides; this file passes it the digests and the time, reads
// the store, and logs refusals.

// CodeOverloaded is the code of a refusal for load.
const CodeOverloaded = "overloaded"

// errOverloaded is the cause of a refusal for load.
var errOverloaded = errors.New("submit: the job would end after it has lost its value")

const (
	// maxAdmitted bounds the ids in one generation of recentIDs, and admittedFor is how long ids are
	// remembered at least if there are fewer. It is longer than an unanswered write is expected to take
	// effect late, and than the 3 s within which a caller repeats a submission.
	maxAdmitted = 4096
	admittedFor = 10 * time.Second
	// At most refusalLines refusals are logged in each refusalPeriod: a daemon may refuse hundreds per
	// second, which refused_for_load counts.
	refusalLines  = 10
	refusalPeriod = time.Second
	// storedTimeout bounds the reads before a refusal: a refusal is of use to its caller only if it
	// comes at once, and without the reads the job is handled as without admission control.
	storedTimeout = 50 * time.Millisecond
)

// gate is the admission control of a shard's submissions at this daemon.
type gate struct {
	start time.Time // when the clock for digests began
	log   zerolog.Logger

	mu     sync.Mutex
	judge  loadshed.Gate
	recent recentIDs
}

func newGate(log zerolog.Logger) *gate {
	return &gate{start: time.Now(), log: log.Sample(&zerolog.BurstSampler{Burst: refusalLines, Period: refusalPeriod})}
}

// now is the time on the clock for digests.
func (g *gate) now() time.Duration { return time.Since(g.start) }

// take records a digest from the answer to a request that was sent at the given time.
func (g *gate) take(d *loadshed.Digest, asked time.Duration) {
	if d == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.judge.Take(d, asked)
}

// admit records that a job may be written by this daemon from now on.
func (g *gate) admit(id work.JobID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recent.add(id, g.now())
}

// decide judges a submission, and records it as admitted unless it is to be refused. A job that was
// admitted here before is not refused: a write of it may still take effect.
func (g *gate) decide(id work.JobID, j loadshed.Job, epoch uint64) loadshed.Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.recent.has(id) {
		return loadshed.Decision{}
	}
	x := g.judge.Judge(j, g.now(), epoch, rand.Float64())
	if !x.Refuse {
		g.recent.add(id, g.now())
	}
	return x
}

// admitted reports whether a job was admitted here before.
func (g *gate) admitted(id work.JobID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.recent.has(id)
}

// recentIDs remembers ids in two generations, of which the older one is dropped when the newer one is
// full or old enough.
type recentIDs struct {
	newer, older map[work.JobID]struct{}
	since        time.Duration // when the newer generation began
}

func (r *recentIDs) add(id work.JobID, now time.Duration) {
	if r.newer == nil || len(r.newer) >= maxAdmitted || now-r.since > admittedFor {
		r.newer, r.older, r.since = map[work.JobID]struct{}{}, r.newer, now
	}
	r.newer[id] = struct{}{}
}

func (r *recentIDs) has(id work.JobID) bool {
	_, newer := r.newer[id]
	_, older := r.older[id]
	return newer || older
}

// refuseOverload returns the refusal of a job that would end after it has lost its value, and nil for any
// other. It is nil as well for a job that is in the store or may get there by an earlier attempt, and
// if the store does not tell: the submission is then handled as without admission control.
func (s *Service) refuseOverload(ctx context.Context, id work.JobID, j *work.Job) error {
	g := s.gate
	if g == nil {
		return nil
	}
	if _, known := s.o.View.Leader(); !known {
		g.admit(id)
		return nil
	}
	if h := s.o.Leading(); h != nil {
		g.take(h.Digest(), g.now())
	}
	x := g.decide(id, loadshed.JobOf(j), s.o.View.Epoch())
	if x.Outdated {
		s.stats.DigestsOutdated.Add(1)
	}
	if !x.Refuse {
		return nil
	}
	if stored, err := s.storedBefore(ctx, id); stored || err != nil || g.admitted(id) {
		s.stats.RefusalsDropped.Add(1)
		g.admit(id)
		return nil
	}
	s.stats.NotAccepted.Add(1)
	s.stats.RefusedForLoad.Add(j.Queue.Name+" "+x.Wait.Cause(), 1)
	waits := zerolog.Dict().Int64("room", x.Wait.Room.Milliseconds()).
		Int64("advice", x.Wait.Advice.Milliseconds()).Int64("quota", x.Wait.Quota.Milliseconds())
	g.log.Info().Str("job", string(id)).Str("queue", j.Queue.Name).Str("account", j.Account).
		Bool("beyond", x.Over).Str("reason", x.Wait.Cause()).Dict("wait_ms", waits).
		Int64("objective_ms", j.Objective().Milliseconds()).Int64("digest_age_ms", x.Age.Milliseconds()).
		Int64("retry_after_s", int64(x.RetryAfter/time.Second)).Msg("submission refused for load")
	return &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusTooManyRequests, Code: CodeOverloaded,
		RetryAfterMillis: x.RetryAfter.Milliseconds(),
		Err: fmt.Errorf("%w: it would wait %s, mostly for %s", errOverloaded,
			x.Wait.Total().Round(time.Second), x.Wait.Cause())}
}

// storedBefore reports whether the store has the job, or has had it, by an earlier attempt.
func (s *Service) storedBefore(ctx context.Context, id work.JobID) (bool, error) {
	if s.o.StoreTimeout.Failing() {
		return false, store.ErrUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, storedTimeout)
	defer cancel()
	keys := jobKeys(id)
	if s.o.Preconditions != nil {
		keys = append(keys, s.o.Preconditions(id).OtherShardKeys...)
	}
	return s.anyStored(ctx, keys...)
}

// takeDigest records the digest in the answer to a request that was sent at asked; nil for none.
func (s *Service) takeDigest(d *loadshed.Digest, asked time.Time) {
	if s.gate != nil {
		s.gate.take(d, asked.Sub(s.gate.start))
	}
}

// digestFor returns the digest to send to another daemon; nil for none.
func (s *Service) digestFor(h *dispatch.Host) *loadshed.Digest {
	if s.gate == nil || h == nil {
		return nil
	}
	d := h.Digest()
	if d != nil {
		s.stats.DigestsSent.Add(1)
	}
	return d
}
