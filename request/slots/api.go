// Package slots distributes the slots of a service's instances among all daemons. It guarantees
// that, over all daemons together, an instance never serves more requests at once than it has
// slots.
package slots

import (
	"context"

	"fennelshunt.example/fennelshunt/process/plan"
)

// Outcome is the outcome of a request's use of a slot.
type Outcome int

// Outcomes of a request. Ended frees the slot at once. Unknown keeps it in use until the
// request's own time limit and a margin have passed, because the endpoint may still be working
// on it.
const (
	Ended Outcome = iota
	Unknown
)

// Slot is the right to run one request at one instance.
type Slot interface {
	Endpoint() plan.Endpoint
	// Release returns the slot; only the first call has an effect.
	Release(outcome Outcome)
}

// Acquirer provides slots.
type Acquirer interface {
	// Acquire waits for a slot of the service until ctx ends. The error is a
	// *verdict.Error with verdict NotRun.
	Acquire(ctx context.Context, service string) (Slot, error)
}
