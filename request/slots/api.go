// Package slots shares the slots of a service's instances among all daemons:
// over all of them together an instance never serves more requests at once
// than it has slots.
package slots

import (
	"context"

	"fennelshunt.example/fennelshunt/process/plan"
)

// End tells how a request's use of a slot ended.
type End int

// Ends of a request. Ended frees the slot at once; Unknown keeps it taken until
// the request's own time limit and a margin have passed, because the endpoint
// may still be working.
const (
	Ended End = iota
	Unknown
)

// Slot is the right to have one request at one instance.
type Slot interface {
	Endpoint() plan.Endpoint
	// Release gives the slot back; only the first call counts.
	Release(end End)
}

// Acquirer hands out slots.
type Acquirer interface {
	// Acquire waits for a slot of the service until ctx ends. The error is a
	// *verdict.Error with verdict NotRun.
	Acquire(ctx context.Context, service string) (Slot, error)
}
