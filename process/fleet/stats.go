package fleet

import "expvar"

// Stats counts what a fleet did. Publish the fields under names of the daemon's
// choice.
type Stats struct {
	Probes        expvar.Int // probes begun
	FailedProbes  expvar.Int // probes without an answer, direct or by others
	Suspicions    expvar.Int // suspicions that this daemon raised
	Refutations   expvar.Int // suspicions of this daemon that it refuted
	Evictions     expvar.Int // lives that this daemon recorded as lapsed
	Syncs         expvar.Int // whole member lists fetched from a peer
	Renewals      expvar.Int // renewals of the store lease that succeeded
	Registrations expvar.Int // times that the alive key was put
	StoreFailures expvar.Int // registrations and renewals that failed
	Pauses        expvar.Int // ticks that came late: this process was paused
	Violations    expvar.Int // invariants found broken
}

// Each calls f with the name and value of every counter.
func (s *Stats) Each(f func(name string, v *expvar.Int)) {
	f("probes", &s.Probes)
	f("failed_probes", &s.FailedProbes)
	f("suspicions", &s.Suspicions)
	f("refutations", &s.Refutations)
	f("evictions", &s.Evictions)
	f("syncs", &s.Syncs)
	f("renewals", &s.Renewals)
	f("registrations", &s.Registrations)
	f("store_failures", &s.StoreFailures)
	f("pauses", &s.Pauses)
	f("violations", &s.Violations)
}
