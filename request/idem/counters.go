package idem

import "expvar"

// Counters are the metrics of a Manager; the daemon publishes them.
type Counters struct {
	Joined         expvar.Int // arrivals that joined another
	Intents        expvar.Int // durable intents
	Refused        expvar.Int // intents refused because the store was down or slow
	Writes         expvar.Int // store writes of the key logs, deletes included
	WrittenBytes   expvar.Int // bytes of these writes
	Fenced         expvar.Int // logs that met a newer owner
	OutcomeUnknown expvar.Int // arrivals told that an earlier one may have run
}

// Counters returns the live metrics.
func (m *Manager) Counters() *Counters { return &m.counts }

// Keys returns the number of keys in memory.
func (m *Manager) Keys() int { return int(m.keys.Load()) }
