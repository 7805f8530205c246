package admission

import (
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"fennelshunt.example/fennelshunt/request/verdict"
)

// limits holds the token buckets of callers and teams.
type limits struct {
	opts *Options

	mu      sync.Mutex
	callers map[callerKey]*rate.Limiter
	teams   map[string]*rate.Limiter
}

type callerKey struct{ team, caller string }

func (l *limits) init(o *Options) {
	l.opts = o
	l.callers = map[callerKey]*rate.Limiter{}
	l.teams = map[string]*rate.Limiter{}
}

// Limit takes a token from the caller's bucket and from the bucket of the team, whose limit is
// teamRate requests per second over all daemons (0: no limit). The error is a *verdict.Error
// with status 429.
func (c *Controller) Limit(team, caller string, teamRate float64) error {
	if c.opts.CallerRate <= 0 && teamRate <= 0 {
		return nil
	}
	now := time.Now()
	if l := c.limits.caller(team, caller); l != nil {
		if err := take(l, now, CodeCallerRate); err != nil {
			return err
		}
	}
	if l := c.limits.team(team, teamRate); l != nil {
		return take(l, now, CodeTeamRate)
	}
	return nil
}

// take takes a token, or returns a refusal with the time until the next one.
func take(l *rate.Limiter, now time.Time, code string) error {
	r := l.ReserveN(now, 1)
	delay := r.DelayFrom(now)
	if r.OK() && delay == 0 {
		return nil
	}
	r.CancelAt(now)
	var e *verdict.Error = refuse(http.StatusTooManyRequests, code, errRate, delay)
	return e
}

func (l *limits) caller(team, caller string) *rate.Limiter {
	if l.opts.CallerRate <= 0 {
		return nil
	}
	k := callerKey{team, caller}
	l.mu.Lock()
	defer l.mu.Unlock()
	lim := l.callers[k]
	if lim == nil {
		if len(l.callers) >= l.opts.MaxCallers {
			l.evictLocked()
		}
		lim = rate.NewLimiter(rate.Limit(l.opts.CallerRate), l.opts.CallerBurst)
		l.callers[k] = lim
	}
	return lim
}

// evictLocked drops one of a few callers, the one whose bucket is fullest: a caller at its limit
// stays limited while other callers come and go.
func (l *limits) evictLocked() {
	const sampleSize = 8
	var victim callerKey
	best, n := -1.0, 0
	for k, lim := range l.callers {
		if t := lim.Tokens(); t > best {
			victim, best = k, t
		}
		if n++; n == sampleSize {
			break
		}
	}
	delete(l.callers, victim)
}

// team returns the team's bucket, filled at this daemon's share of the rate.
func (l *limits) team(team string, total float64) *rate.Limiter {
	if total <= 0 {
		return nil
	}
	share := rate.Limit(total / float64(max(1, l.opts.Members())))
	l.mu.Lock()
	defer l.mu.Unlock()
	lim := l.teams[team]
	if lim == nil {
		lim = rate.NewLimiter(share, burst(share))
		l.teams[team] = lim
	}
	if lim.Limit() != share {
		lim.SetLimit(share)
		lim.SetBurst(burst(share))
	}
	return lim
}

// burst allows the tokens of one second at once.
func burst(r rate.Limit) int { return max(1, int(r)) }
