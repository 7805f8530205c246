// Package cellsim plays a cell in virtual time around the real scheduler: an
// Engine of process/dispatch with workers, an advice service, a store and callers
// that are models. One goroutine plays events in the order of their times, so a
// minute of a cell of hundreds of workers takes some seconds, and a run repeats
// exactly by its seed.
//
// What is a model and what is not: every decision is the product's own. Workers
// run tasks for the time drawn for them, end gangs together, stop on order with a
// checkpoint, and list ends until they are acknowledged; the advice service
// serves the calls of one daemon in turn; the store takes its time, or is away;
// callers hand a job in, try again when it is refused, and leave after a while.
// Processor time, connections and lost answers are not played.
package cellsim
