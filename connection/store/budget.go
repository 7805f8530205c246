package store

import (
	"cmp"
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Budget is the number of calls per second that all daemons of the cell together
// may make. It is below the limits of the service to leave some for operators'
// tools.
type Budget struct {
	Writes float64
	Reads  float64
}

// Defaults of Budget, for a service that sustains several hundred writes and about
// two thousand reads per second.
const (
	DefaultWritesPerSecond = 300
	DefaultReadsPerSecond  = 1600
)

func (b Budget) withDefaults() Budget {
	b.Writes = cmp.Or(b.Writes, DefaultWritesPerSecond)
	b.Reads = cmp.Or(b.Reads, DefaultReadsPerSecond)
	return b
}

func (b Budget) of(class callClass) float64 {
	if class == writeCall {
		return b.Writes
	}
	return b.Reads
}

// roleShares are the parts of the budget reserved for one role each. The rest is
// shared by all roles, by priority.
var roleShares = [roleCount]float64{
	RoleClaims:   0.14,
	RoleVersions: 0.10,
	RoleMembers:  0.14,
	RoleIntents:  0.18,
	RoleProgress: 0.14,
}

const (
	// spareShare is the part of the budget that any role may use.
	spareShare = 0.30
	// spareReserve is the part of the spare bucket that each step down in
	// priority must leave to the roles above it.
	spareReserve = 0.2
	// burstSeconds is the size of a bucket, in seconds at its rate.
	burstSeconds = 2
	// minBurst lets a daemon of a large fleet take over several resources at
	// once after having been idle.
	minBurst = 4
)

// limiter keeps a daemon within its part of the cell's budget.
//
// The service may sustain less than the configured budget. Daemons that kept their
// rate would then have calls refused regardless of their role, claims included. So
// the limiter lowers its rates after each refusal, except the reserved share of
// claims, and raises them again when refusals stop.
type limiter struct {
	budget Budget

	mu       sync.Mutex // also makes testing and taking from the spare bucket atomic
	fleet    int
	adaptive [classCount]adaptiveRate
	own      [classCount][roleCount]*rate.Limiter
	spare    [classCount]*rate.Limiter
}

func newLimiter(b Budget, fleet int) *limiter {
	l := &limiter{budget: b, fleet: max(1, fleet)}
	for class := range classCount {
		l.adaptive[class].factor = 1
		total := l.share(callClass(class))
		l.spare[class] = rate.NewLimiter(rate.Limit(total*spareShare), burst(total*spareShare))
		for role, part := range roleShares {
			l.own[class][role] = rate.NewLimiter(rate.Limit(total*part), burst(total*part))
		}
	}
	return l
}

// share returns this daemon's part of the cell's budget, in calls per second.
func (l *limiter) share(class callClass) float64 { return l.budget.of(class) / float64(l.fleet) }

// setFleetSize divides the cell's budget by the number of daemons.
func (l *limiter) setFleetSize(daemons int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fleet = max(1, daemons)
	for class := range classCount {
		l.apply(callClass(class))
	}
}

// apply sets the rates of a class's buckets.
func (l *limiter) apply(class callClass) {
	total := l.share(class)
	reduced := total * l.adaptive[class].factor
	adjust(l.spare[class], reduced*spareShare)
	for role := range roleCount {
		if Role(role) == RoleClaims {
			adjust(l.own[class][role], total*roleShares[role])
			continue
		}
		adjust(l.own[class][role], reduced*roleShares[role])
	}
}

func adjust(l *rate.Limiter, perSecond float64) {
	l.SetLimit(rate.Limit(perSecond))
	l.SetBurst(burst(perSecond))
}

func burst(perSecond float64) int { return max(minBurst, int(perSecond*burstSeconds)) }

// slowDown lowers the rates after the service refused a call for its rate limit.
func (l *limiter) slowDown(class callClass) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.adaptive[class].decrease(time.Now()) {
		l.apply(class)
	}
}

// recover raises rates that refusals have lowered.
func (l *limiter) recover(class callClass) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.adaptive[class].increase(time.Now()) {
		l.apply(class)
	}
}

// wait takes a token of the role's own share, or else a shared one, or else waits for one
// of its own. It fails with ErrOverBudget if the deadline of ctx is earlier.
func (l *limiter) wait(ctx context.Context, role Role, class callClass) error {
	l.recover(class)
	own := l.own[class][role]
	if own.Allow() || l.takeSpare(role, class) {
		return nil
	}
	if err := own.Wait(ctx); err != nil {
		return fmt.Errorf("%s: %w: %w", role, ErrOverBudget, err)
	}
	return nil
}

// takeSpare takes a shared token if enough are left for the roles of higher priority.
func (l *limiter) takeSpare(role Role, class callClass) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	spare := l.spare[class]
	reserved := spareReserve * float64(role) * float64(spare.Burst())
	return spare.Tokens() >= reserved+1 && spare.Allow()
}
