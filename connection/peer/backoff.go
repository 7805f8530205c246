package peer

import (
	"fmt"
	"sync"
	"time"
)

// Pause between two handshakes with an address that does not answer.
const (
	firstDialPause = 2 * time.Second
	lastDialPause  = 8 * time.Second
)

// dialBackoff keeps calls from trying a handshake with a silent address over
// and over: each try sends several packets of full size, and a lost zone would
// make every daemon spend more than its control budget on them. Calls in
// between fail at once as not sent.
type dialBackoff struct {
	mu     sync.Mutex
	failed map[string]dialFailure // by address
}

// dialFailure is why an address did not answer, and until when it is left alone.
type dialFailure struct {
	err   error
	pause time.Duration
	until time.Time
}

// check returns the last failure while the address is to be left alone.
func (b *dialBackoff) check(addr string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	f, ok := b.failed[addr]
	if ok && time.Now().Before(f.until) {
		return fmt.Errorf("peer: %s did not answer a moment ago: %w", addr, f.err)
	}
	return nil
}

// note records the outcome of a handshake.
func (b *dialBackoff) note(addr string, err error) {
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

// forget drops failures that are long over; addresses of replaced daemons
// would else add up.
func (b *dialBackoff) forget(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for addr, f := range b.failed {
		if now.Sub(f.until) > 2*lastDialPause {
			delete(b.failed, addr)
		}
	}
}
