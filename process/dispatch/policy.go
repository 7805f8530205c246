package dispatch

import (
	"errors"
	"fmt"

	"fennelshunt.example/fennelshunt/process/fair"
	"fennelshunt.example/fennelshunt/process/lead"
)

// Policy has a switch or a value for each mechanism that a cell can do without, so that the
// benefit of each can be measured by changing a settings file. The zero value of a field
// stands for its default.
type Policy struct {
	// WriteStreams is how many writes to the store may be in flight at once, 1 to
	// lead.WriteStreams. It matters with a store that answers slowly.
	WriteStreams int `json:"write_chains,omitempty"`
	// NoBatches keeps each job's progress under its own key, however many jobs wait to be
	// written. Batches matter with a slow store and bursts of jobs.
	NoBatches bool `json:"no_bundles,omitempty"`
	// WriteKeys is how many keys one write may change, minWriteKeys to lead.MaxCommit.
	WriteKeys int `json:"write_keys,omitempty"`
	// NoGangReservations turns off gang reservations: other steps may use the capacity of a
	// gang while its tickets are requested. Reservations matter with many wide gangs and slow
	// advice.
	NoGangReservations bool `json:"no_holds,omitempty"`
	// NoPacking lets small tasks go where most capacity is free. Packing matters with many
	// wide gangs and slow advice.
	NoPacking bool `json:"no_packing,omitempty"`
	// NoParallelAdvice requests advice for a gang by one call after the other. Parallel calls
	// matter for gangs that need advice on more workers than one call may name.
	NoParallelAdvice bool `json:"no_parallel_advice,omitempty"`
	// NoAdviceBudget assigns proxies for slow calls in the order of the steps, whatever they are
	// worth and however soon they must start. The budget matters when more steps need slow calls
	// than there are proxies.
	NoAdviceBudget bool `json:"no_advice_budget,omitempty"`
	// NoQuickProxies drops a proxy at once when its daemon loses its membership, and sends slow
	// calls and quick ones without regard to how many quick steps wait for a proxy. The opposite
	// matters with bursts of quick jobs while slow calls use most proxies.
	NoQuickProxies bool `json:"no_quick_proxies,omitempty"`
	// Shares is the policy by which the jobs of different accounts are ordered; see package fair.
	Shares fair.Policy `json:"shares,omitempty"`
	// NoQuotaTurns lets small work use the part of its account's cap that a gang waits for. It
	// matters for accounts that submit more than their caps allow to run.
	NoQuotaTurns bool `json:"no_quota_turns,omitempty"`
	// QuotaHeadroom keeps some of an account's cap free for its queues of higher priority. It
	// matters for accounts whose quick work is more important than their gangs.
	QuotaHeadroom bool `json:"quota_headroom,omitempty"`
	// NoPreemption never stops runs so that a gang starts in time. Preemption matters with gangs
	// and slow advice in a cell full of work that has slack.
	NoPreemption bool `json:"no_preemption,omitempty"`
	// UrgentPreemption stops less urgent runs also for steps that are no gangs. It matters where
	// urgent steps find no capacity in time among the runs that end by themselves, as with long runs
	// or few workers; elsewhere it stops nothing.
	UrgentPreemption bool `json:"urgent_preemption,omitempty"`
	// Reclaim stops runs beyond the entitlement of their accounts for work within it, whatever their
	// queue and objective. It matters where accounts fill much of a cell with long runs beyond their
	// entitlement; runs of a few seconds end soon enough by themselves.
	Reclaim bool `json:"reclaim,omitempty"`
	// NoSpeedModel predicts run times from moving averages over queues, without the speed of the
	// worker. The model of speeds matters with workers of unlike speed and inaccurate estimates.
	NoSpeedModel bool `json:"no_speed_model,omitempty"`
	// StragglerMoves stops runs that take much longer than expected, so that they start again on
	// another worker. Moves matter where some runs take several times as long as the others, or
	// workers become slow, and the cell has capacity to spare; in a full cell they throw away
	// work without a gain. They need the model of speeds.
	StragglerMoves bool `json:"straggler_moves,omitempty"`
	// NoEvacuation leaves runs on workers that have given notice alone, so that they are lost when the
	// worker leaves. Evacuation matters where workers are withdrawn at short notice.
	NoEvacuation bool `json:"no_evacuation,omitempty"`
	// FirstCome starts jobs in the order of their submission and reserves nothing: a baseline.
	FirstCome bool `json:"first_come,omitempty"`
	// NoLoadShedding accepts submissions whatever the load. On the leader, no digest of the load is
	// made; on a daemon, none is used. It matters when more is submitted than the cell can complete
	// in useful time.
	NoLoadShedding bool `json:"no_load_shedding,omitempty"`
	// ReservedShare: capacity is reserved for one waiting step per so many workers at a time,
	// but for at least maxReserved. It matters when more gangs wait than fit.
	ReservedShare int `json:"reserved_share,omitempty"`
	// NoOutagePacing lets each submission try the store, or wait for it, while the store fails; see
	// package outage. It matters where the store does not answer for seconds.
	NoOutagePacing bool `json:"no_outage_pacing,omitempty"`
}

// minWriteKeys is the number of keys of a batch and of one cancelled job with a stored spec. In a
// write that has the lists of workers as well, such a job goes into the batch.
const minWriteKeys = 5

// Check returns an error for each field that is out of its bounds.
func (p Policy) Check() error {
	return errors.Join(
		inBounds("policy.write_chains", p.WriteStreams, 1, lead.WriteStreams),
		inBounds("policy.write_keys", p.WriteKeys, minWriteKeys, lead.MaxCommit),
		inBounds("policy.reserved_share", p.ReservedShare, 1, 1_000_000),
		named("policy.shares", p.Shares.Check()),
	)
}

// named prefixes an error with the field's name.
func named(field string, err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%s: %w", field, err)
}

// inBounds checks a value of which 0 stands for the default.
func inBounds(field string, v, least, most int) error {
	if v == 0 || (v >= least && v <= most) {
		return nil
	}
	return fmt.Errorf("%s: is %d; use %d to %d, or leave it out", field, v, least, most)
}

// complete fills in defaults.
func (p Policy) complete() Policy {
	if p.WriteStreams == 0 {
		p.WriteStreams = lead.WriteStreams
	}
	if p.WriteKeys == 0 {
		p.WriteKeys = lead.MaxCommit
	}
	if p.ReservedShare == 0 {
		p.ReservedShare = defaultReservedShare
	}
	return p
}
