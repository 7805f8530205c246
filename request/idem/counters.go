package idem

import "expvar"

// Counters are the metrics of a Manager, which the daemon publishes.
type Counters struct {
	Joined         expvar.Int // arrivals that joined another one
	Intents        expvar.Int // durable intents
	Refused        expvar.Int // intents refused because the store was down, slow or over its write budget
	Writes         expvar.Int // store writes of the key logs, including deletes
	WrittenBytes   expvar.Int // bytes written by them
	Fenced         expvar.Int // key logs fenced by a newer owner
	OutcomeUnknown expvar.Int // arrivals refused because an earlier one may have run
}

// Counters returns the metrics, which keep changing.
func (m *Manager) Counters() *Counters { return &m.counts }

// Keys returns the number of keys in memory.
func (m *Manager) Keys() int { return int(m.keys.Load()) }
