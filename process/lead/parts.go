package lead

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"fennelshunt.example/fennelshunt/internal/sleep"
)

// Who leads which part of a divided cell.
//
// What goes wrong if a daemon that leads a part takes another one as soon as nobody else
// does: on a busy machine the others, or their electors for that part, come to run a second
// later, and one daemon leads two parts beside daemons that lead none, for as long as it lives.
const (
	// busyDelay is how much longer a daemon that leads a part leaves another one to those
	// that lead none, and busyRounds how often it does so while one of them answers.
	busyDelay  = time.Second
	busyRounds = 3
)

// leaveToOthers leaves a vacancy to daemons that lead no part; false when ctx has ended.
func (e *Elector) leaveToOthers(ctx context.Context) bool {
	for range busyRounds {
		if sleep.For(ctx, busyDelay) != nil {
			return false
		}
		if _, vacant := e.view.vacant(e.o.Self); !vacant || !e.othersFree(ctx) {
			break
		}
	}
	return true
}

// othersFree reports whether a daemon that leads no part, and reaches the store, answers.
func (e *Elector) othersFree(ctx context.Context) bool {
	if e.o.Main != nil {
		return e.o.Main.answers(ctx, e.free())
	}
	return e.answers(ctx, e.free())
}

// free returns the other daemons that lead no part, as far as is known, in any order.
func (e *Elector) free() []Member {
	free := slices.DeleteFunc(e.view.Members(), func(m Member) bool {
		return m.same(e.o.Self) || e.o.Leading != nil && e.o.Leading(m.Name)
	})
	rand.Shuffle(len(free), func(i, j int) { free[i], free[j] = free[j], free[i] })
	return free
}

// answers asks some of the daemons, until one could lead.
func (e *Elector) answers(ctx context.Context, members []Member) bool {
	for _, m := range members[:min(len(members), witnesses)] {
		if reply, err := e.ping(ctx, m); err == nil && !reply.Leads && !reply.TurnedAway {
			return true
		}
	}
	return false
}
