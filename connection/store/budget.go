package store

import (
	"cmp"
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Budget is the number of calls per second that all daemons of the cell
// together may make. It stays below what the service takes, so that operators'
// tools have room.
type Budget struct {
	Writes float64
	Reads  float64
}

// Defaults of Budget, for a service that takes several hundred writes and about
// two thousand reads a second.
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

// roleShares are the parts of the budget that belong to one role alone. What
// they leave is shared by all roles, by priority.
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
	// spareReserve is the part of the shared bucket that each step down in
	// priority must leave to the roles above it.
	spareReserve = 0.2
	// burstSeconds is how many seconds of unused calls a bucket keeps.
	burstSeconds = 2
	// minBurst lets a daemon of a large fleet take over several resources at
	// once after having been idle.
	minBurst = 4
)

// limiter holds a daemon to its part of the cell's budget.
//
// The part is a guess about the service, which may take less than was
// configured. What goes wrong then: every daemon goes on at its rate, the
// service refuses the excess blindly, claims among it. So each refusal makes
// the limiter slower, but for the own share of claims, until refusals end.
type limiter struct {
	budget Budget

	mu    sync.Mutex // orders the test and the take of the spare bucket
	fleet int
	pace  [classCount]pace
	own   [classCount][roleCount]*rate.Limiter
	spare [classCount]*rate.Limiter
}

func newLimiter(b Budget, fleet int) *limiter {
	l := &limiter{budget: b, fleet: max(1, fleet)}
	for class := range classCount {
		l.pace[class].factor = 1
		total := l.share(callClass(class))
		l.spare[class] = rate.NewLimiter(rate.Limit(total*spareShare), burst(total*spareShare))
		for role, part := range roleShares {
			l.own[class][role] = rate.NewLimiter(rate.Limit(total*part), burst(total*part))
		}
	}
	return l
}

// share is this daemon's part of the cell's budget, in calls per second.
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
	slowed := total * l.pace[class].factor
	adjust(l.spare[class], slowed*spareShare)
	for role := range roleCount {
		if Role(role) == RoleClaims {
			adjust(l.own[class][role], total*roleShares[role])
			continue
		}
		adjust(l.own[class][role], slowed*roleShares[role])
	}
}

func adjust(l *rate.Limiter, perSecond float64) {
	l.SetLimit(rate.Limit(perSecond))
	l.SetBurst(burst(perSecond))
}

func burst(perSecond float64) int { return max(minBurst, int(perSecond*burstSeconds)) }

// slowDown is told that the service refused a call as one too many.
func (l *limiter) slowDown(class callClass) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pace[class].refused(time.Now()) {
		l.apply(class)
	}
}

// recover brings back some of the rate that refusals took.
func (l *limiter) recover(class callClass) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pace[class].recovered(time.Now()) {
		l.apply(class)
	}
}

// wait takes a call of the role's own share, else of the spare, else waits for
// its own. It fails with ErrOverBudget when the deadline of ctx comes first.
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

// takeSpare takes a shared call if enough stay for the roles above.
func (l *limiter) takeSpare(role Role, class callClass) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	spare := l.spare[class]
	reserved := spareReserve * float64(role) * float64(spare.Burst())
	return spare.Tokens() >= reserved+1 && spare.Allow()
}
