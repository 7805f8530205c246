package dispatch

import (
	"errors"
	"fmt"

	"fennelshunt.example/fennelshunt/process/fair"
	"fennelshunt.example/fennelshunt/process/lead"
)

// Policy holds a switch or a figure for each mechanism that a cell can do
// without, so that what one is worth can be measured by a settings file alone.
// The zero value of a field stands for its default.
type Policy struct {
	// WriteChains is how many writes to the store may be under way at once, 1 to
	// lead.Chains. Load pattern: a store that answers slowly.
	WriteChains int `json:"write_chains,omitempty"`
	// NoBundles keeps each job's progress under its own key, however many jobs
	// wait to be written. Load pattern: as above, with a burst.
	NoBundles bool `json:"no_bundles,omitempty"`
	// WriteKeys is how many keys one write may change, minWriteKeys to
	// lead.MaxCommit.
	WriteKeys int `json:"write_keys,omitempty"`
	// NoHolds lets others take the room of a gang while its tickets are asked for.
	// Load pattern: many wide gangs, and slow advice.
	NoHolds bool `json:"no_holds,omitempty"`
	// NoPacking lets small tasks go where most room is. Load pattern: as above.
	NoPacking bool `json:"no_packing,omitempty"`
	// NoParallelAdvice asks for a gang by one call after the other. Load pattern:
	// gangs that need advice on more workers than one call may name.
	NoParallelAdvice bool `json:"no_parallel_advice,omitempty"`
	// Shares is how accounts take turns; see package fair.
	Shares fair.Way `json:"shares,omitempty"`
	// NoQuotaTurns lets small work take what a gang waits for of its account's cap. Load
	// pattern: accounts that hand in more than their caps let run.
	NoQuotaTurns bool `json:"no_quota_turns,omitempty"`
	// QuotaHeadroom keeps room in an account's cap for its queues that come first. Load
	// pattern: accounts whose quick work matters more than their gangs.
	QuotaHeadroom bool `json:"quota_headroom,omitempty"`
	// FirstCome starts what was handed in first, and keeps no room: a baseline.
	FirstCome bool `json:"first_come,omitempty"`
	// ReservedShare: room is reserved for one waiting step in so many workers at a
	// time, at least for maxReserved. Load pattern: more gangs than fit.
	ReservedShare int `json:"reserved_share,omitempty"`
}

// minWriteKeys: the list of workers, a bundle and the keys of one cancelled job.
const minWriteKeys = 5

// Check returns an error for each field that is out of its bounds.
func (p Policy) Check() error {
	return errors.Join(
		inBounds("policy.write_chains", p.WriteChains, 1, lead.Chains),
		inBounds("policy.write_keys", p.WriteKeys, minWriteKeys, lead.MaxCommit),
		inBounds("policy.reserved_share", p.ReservedShare, 1, 1_000_000),
		named("policy.shares", p.Shares.Check()),
	)
}

// named puts the field's name before an error.
func named(field string, err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%s: %w", field, err)
}

// inBounds checks a figure of which 0 stands for the default.
func inBounds(field string, v, least, most int) error {
	if v == 0 || (v >= least && v <= most) {
		return nil
	}
	return fmt.Errorf("%s: is %d; use %d to %d, or leave it out", field, v, least, most)
}

// complete fills in defaults.
func (p Policy) complete() Policy {
	if p.WriteChains == 0 {
		p.WriteChains = lead.Chains
	}
	if p.WriteKeys == 0 {
		p.WriteKeys = lead.MaxCommit
	}
	if p.ReservedShare == 0 {
		p.ReservedShare = defaultReservedShare
	}
	return p
}
