package peer

import (
	"fmt"
	"sync"
	"time"
)

// Bounds of the pause between two handshakes with an address that does not answer.
const (
	firstDialPause = 2 * time.Second
	lastDialPause  = 8 * time.Second
)

// dialBackoff limits how often calls try a handshake with an unresponsive address:
// each attempt sends several packets of full size, and the loss of a zone would
// make every daemon spend more than its control traffic budget on them. Calls in
// between fail at once with ErrNotSent.
type dialBackoff struct {
	mu     sync.Mutex
	failed map[string]dialFailure // by address
}

// dialFailure is the last failed handshake with an address; the next one is tried
// at the time until or later.
type dialFailure struct {
	err   error
	pause time.Duration
	until time.Time
}

// check returns the last failure while the backoff of the address lasts.
func (b *dialBackoff) check(addr string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	f, ok := b.failed[addr]
	if ok && time.Now().Before(f.until) {
		return fmt.Errorf("peer: %s did not answer a moment ago: %w", addr, f.err)
	}
	return nil
}

// record records the outcome of a handshake.
func (b *dialBackoff) record(addr string, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err == nil {
		delete(b.failed, addr)
		return
	}
	f := b.failed[addr]
	f.err = err
	f.pause = min(max(2*f.pause, firstDialPause), lastDialPause)
	f.until = time.Now().Add(f.pause)
	if b.failed == nil {
		b.failed = make(map[string]dialFailure)
	}
	b.failed[addr] = f
}

// evict drops failures whose backoff has ended long ago; addresses of replaced
// daemons would otherwise accumulate.
func (b *dialBackoff) evict(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for addr, f := range b.failed {
		if now.Sub(f.until) > 2*lastDialPause {
			delete(b.failed, addr)
		}
	}
}
