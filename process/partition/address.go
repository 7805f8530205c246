package partition

import (
	"time"

	"fennelshunt.example/fennelshunt/version/spec"
)

// addressWait is the time from the start of a service instance to a heartbeat
// that asks for its address, doubled while the worker does not know one. The
// next heartbeat in its turn would have callers wait for up to a second or, at
// a daemon with many workers, two.
const initialAddressDelay = 50 * time.Millisecond

// askAddress has the worker's next heartbeat sent after a wait, unless one is
// due sooner. It is called after starts and by itself only, and its waits
// double up to the interval: a start of instances costs one heartbeat more, a
// worker that tells no address five.
func (o *owner) askAddress(n *node, wait time.Duration) {
	at := time.Now().Add(wait)
	if !at.Before(n.nextSync) || !lacksAddress(n) {
		n.addressDelay = 0
		return
	}
	n.addressDelay, n.nextSync = wait, at
	time.AfterFunc(wait, func() {
		o.post(func() { o.markDirty(n) })
	})
}

// askAddressAgain goes on asking after a heartbeat that did not tell.
func (o *owner) askAddressAgain(n *node) {
	if n.addressDelay > 0 {
		o.askAddress(n, 2*n.addressDelay)
	}
}

// lacksAddress reports whether a service instance runs whose address is not
// known.
func lacksAddress(n *node) bool {
	for _, t := range n.tasks {
		if t.start.Kind == spec.Service && t.phase == running && t.report.Address == "" {
			return true
		}
	}
	return false
}
