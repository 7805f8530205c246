// Package relay lets the daemons of a cell carry the leader's orders to the
// workers: the leader decides, and a few other daemons make the calls.
//
// Load pattern: hundreds of workers and a start a millisecond. One daemon that makes
// every call itself holds several connections a worker and sends the text of a job
// with each start of its tasks; its link, its processor or its descriptors are full
// long before those of the others. Relays carry many orders in one message, hold the
// connections, and get the text of a job once.
//
// Guarantees: a Runner keeps those of runner.Runner, so the scheduler can not tell a
// relay from a call of its own. All orders are repeatable (a start, a stop and a
// renewal carry the run and the epoch), so an order whose relay does not answer is
// given once more, directly; an outcome is reported as certain only if no relay can
// still carry the order out. A relay that has seen a higher epoch refuses the orders
// of a lower one, and workers do so themselves.
package relay
