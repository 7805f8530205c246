package partition

import (
	"time"

	"fennelshunt.example/fennelshunt/version/spec"
)

// initialAddressDelay is the time from the start of a service instance to an
// extra heartbeat that fetches its address; it doubles while the worker reports
// none. Waiting for the next regular heartbeat would delay callers by up to a
// second or, at a daemon with many workers, two.
const initialAddressDelay = 50 * time.Millisecond

// pollAddress schedules the worker's next heartbeat after wait, unless one is due
// sooner. It is called only after starts and by pollAddressAgain, with waits that
// double up to the heartbeat interval: a start of instances costs one extra
// heartbeat, or five if the worker reports no address.
func (o *owner) pollAddress(n *node, wait time.Duration) {
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

// pollAddressAgain doubles the delay and schedules another heartbeat if the last
// one did not report all addresses.
func (o *owner) pollAddressAgain(n *node) {
	if n.addressDelay > 0 {
		o.pollAddress(n, 2*n.addressDelay)
	}
}

// lacksAddress reports whether a service instance runs on the worker whose
// address is not known.
func lacksAddress(n *node) bool {
	for _, t := range n.tasks {
		if t.start.Kind == spec.Service && t.phase == running && t.report.Address == "" {
			return true
		}
	}
	return false
}
