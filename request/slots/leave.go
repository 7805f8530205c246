package slots

import (
	"context"
	"fmt"
	"time"

	"fennelshunt.example/fennelshunt/internal/sleep"
)

// returnPoll is how often ReturnIdle checks whether the pools have answered.
const returnPoll = 10 * time.Millisecond

// ReturnIdle returns every idle credit to its pool and keeps none from then on. Call it on a
// planned stop, when no request waits any more and before the membership ends, since pools
// accept no report from a daemon that is not a member. It returns when each pool has answered, or
// with an error when ctx is done or Options.TTL has passed first.
//
// Without it, the credits that a stopping daemon keeps in reserve would count as taken until they
// have expired and requests begun under them would have reached their limit: during each upgrade
// callers would wait although instances are idle.
func (m *Manager) ReturnIdle(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, m.opts.TTL)
	defer cancel()
	holders := m.allHolders()
	for _, h := range holders {
		h.leave()
	}
	for _, h := range holders {
		for !h.returnedAll() {
			if err := sleep.For(ctx, returnPoll); err != nil {
				return fmt.Errorf("slots: %s: idle credits not returned: %w", h.service, err)
			}
		}
	}
	return nil
}

// leave returns the idle credits to the pool.
func (h *holder) leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaving, h.target = true, 0
	h.returnUnkeepable()
	if len(h.returned) > 0 {
		h.triggerReport()
	}
}

// returnedAll reports whether the pool has received everything that was returned. An owner that
// has not answered a full report of this holder would count its credits as taken.
func (h *holder) returnedAll() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.owner.Epoch == 0 {
		return true // no owner to report to
	}
	return h.renewed && h.reportsInFlight == 0 && len(h.returned) == 0
}
