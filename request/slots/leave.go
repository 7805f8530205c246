package slots

import (
	"context"
	"fmt"
	"time"

	"fennelshunt.example/fennelshunt/internal/sleep"
)

// returnPoll is how often ReturnIdle looks whether the pools have answered.
const returnPoll = 10 * time.Millisecond

// ReturnIdle gives every idle credit back to its pool and keeps none from then
// on. Call it on a planned stop, when no request waits any more and before the
// membership ends: afterwards the pools take no report from here. It returns
// when each pool has answered; the error says that ctx, or the time for which the
// credits are valid, ended before.
//
// What goes wrong otherwise: the credits that a leaving daemon keeps in reserve
// count as taken until they have lapsed and requests begun under them would
// have reached their limit. One would notice callers that wait beside idle
// instances during each upgrade.
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

// leave gives the idle credits back.
func (h *holder) leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaving, h.target = true, 0
	h.dropUnkeepable()
	if len(h.returned) > 0 {
		h.kick()
	}
}

// returnedAll reports whether the pool knows of everything that was given
// back. An owner that has not renewed with this holder would count its credits
// as taken.
func (h *holder) returnedAll() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.owner.Epoch == 0 {
		return true // nobody to tell
	}
	return h.renewed && h.calls == 0 && len(h.returned) == 0
}
