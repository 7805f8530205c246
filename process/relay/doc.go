// Package relay distributes a leader's calls to workers over other daemons of the cell:
// the leader decides, and a few daemons, the relays, make the calls.
//
// With hundreds of workers and a start per millisecond, a daemon that made every call
// itself would hold several connections per worker and send the job's spec with each
// start of a task. Its link, processor or file descriptors would be exhausted long before
// those of the other daemons. A relay receives many orders in one message, holds the
// connections to the workers, and fetches the spec of a job once.
//
// Guarantees: a Runner provides the guarantees of runner.Runner, so relayed and direct
// calls look the same to the scheduler. All orders are idempotent (a start, a stop and a
// renewal carry the run and the epoch), so an order whose relay does not answer is issued
// again, in the end directly. An outcome is reported as certain only if no relay can still
// carry out the order. A relay that has seen a higher epoch refuses the orders of a lower
// one, and so do the workers.
package relay
