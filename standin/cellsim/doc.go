// Package cellsim is a discrete-event simulation of a cell. The scheduler is the
// real one, an Engine of process/dispatch; workers, the advice service, the store
// and callers are models. One goroutine executes events in the order of their
// virtual times, so a minute of a cell of hundreds of workers takes some seconds,
// and a run is reproducible from its seed.
//
// All scheduling decisions are those of the Engine. Model workers run each task for
// the time drawn for it, end the tasks of a gang together, stop tasks with a checkpoint
// when ordered to, and list completions until they are acknowledged. The advice
// service handles one call of each daemon at a time. The store has a latency and may
// be slow or down. Callers submit a job through a daemon drawn for each attempt, retry
// when it is refused, and give up after a while. Each daemon judges submissions by the
// load, as package loadshed does, with digests that come with the answers to its
// notifications. CPU time, connections and lost responses are not simulated.
package cellsim
