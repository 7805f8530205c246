package fleet

import "expvar"

// Stats are the counters of a fleet. Each lists them with their names.
type Stats struct {
	Probes        expvar.Int // started probes
	FailedProbes  expvar.Int // probes without an answer, direct or through helpers
	Suspicions    expvar.Int // suspicions that this daemon raised
	Refutations   expvar.Int // suspicions of this daemon that it refuted
	Evictions     expvar.Int // incarnations that this daemon evicted
	Syncs         expvar.Int // whole member lists fetched from a peer
	Renewals      expvar.Int // successful renewals of the store lease
	Registrations expvar.Int // successful registrations
	StoreFailures expvar.Int // failed registrations, renewals and revocations
	Pauses        expvar.Int // late ticks, after this process was suspended
	Violations    expvar.Int // detected violations of invariants
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
