// Package fairshare counts what each team holds and says which team should be
// served next: the one with the lowest dominant share of the cell, divided by
// its weight. It also keeps teams within their quotas.
//
// Guarantee: Charge never lets a team's holdings exceed its quota; a quota that
// is lowered below what is held stops further charges until enough is refunded.
package fairshare

import (
	"errors"
	"fmt"

	"fennelshunt.example/fennelshunt/version/spec"
)

// ErrQuota means that a charge would exceed the team's quota.
var ErrQuota = errors.New("fairshare: quota of the team used up")

// account is the state of one team.
type account struct {
	weight int
	quota  spec.Resources
	held   spec.Resources
	// pending is held by tasks of which it is unknown whether they run.
	pending spec.Resources
}

// Accounts holds the teams of one shard. It belongs to one goroutine.
type Accounts struct {
	teams    map[string]*account
	capacity spec.Resources
}

// New returns empty accounts.
func New() *Accounts { return &Accounts{teams: map[string]*account{}} }

// SetCapacity sets the usable capacity of the cell, of which shares are taken.
func (a *Accounts) SetCapacity(total spec.Resources) { a.capacity = total }

// SetTeam sets weight and quota; a weight below 1 counts as 1 and a zero
// dimension of the quota is unlimited.
func (a *Accounts) SetTeam(team string, weight int, quota spec.Resources) {
	t := a.team(team)
	t.weight, t.quota = max(weight, 1), quota
}

func (a *Accounts) team(name string) *account {
	t := a.teams[name]
	if t == nil {
		t = &account{weight: 1}
		a.teams[name] = t
	}
	return t
}

// Fits reports whether the team may hold size more.
func (a *Accounts) Fits(team string, size spec.Resources) bool {
	t := a.team(team)
	return within(t.held.Add(t.pending).Add(size), size, t.quota)
}

// CanEverFit reports whether size fits into the team's quota at all.
func (a *Accounts) CanEverFit(team string, size spec.Resources) bool {
	return within(size, size, a.team(team).quota)
}

// within reports whether total stays inside the quota in every dimension that
// size adds to; a zero dimension is unlimited.
func within(total, size, quota spec.Resources) bool {
	return dimensionWithin(total.MilliCPU, size.MilliCPU, quota.MilliCPU) &&
		dimensionWithin(total.MemoryMB, size.MemoryMB, quota.MemoryMB) &&
		dimensionWithin(total.Accelerators, size.Accelerators, quota.Accelerators)
}

func dimensionWithin(total, size, quota int64) bool {
	return quota == 0 || size == 0 || total <= quota
}

// Charge counts size as held, or fails with ErrQuota and changes nothing.
func (a *Accounts) Charge(team string, size spec.Resources) error {
	if !a.Fits(team, size) {
		return fmt.Errorf("team %q: %w", team, ErrQuota)
	}
	t := a.team(team)
	t.held = t.held.Add(size)
	return nil
}

// Adopt counts size as held without a look at the quota: the task runs already.
func (a *Accounts) Adopt(team string, size spec.Resources) {
	t := a.team(team)
	t.held = t.held.Add(size)
}

// Refund gives back what was charged or adopted.
func (a *Accounts) Refund(team string, size spec.Resources) {
	t := a.team(team)
	t.held = t.held.Sub(size)
}

// SetPending replaces what tasks of unknown fate may hold.
func (a *Accounts) SetPending(team string, size spec.Resources) { a.team(team).pending = size }

// Held returns what the team's tasks hold.
func (a *Accounts) Held(team string) spec.Resources { return a.team(team).held }

// Quota returns the team's quota.
func (a *Accounts) Quota(team string) spec.Resources { return a.team(team).quota }

// Weight returns the team's weight, at least 1.
func (a *Accounts) Weight(team string) int { return a.team(team).weight }

// Share returns the team's dominant share of the cell divided by its weight.
func (a *Accounts) Share(team string) float64 {
	t := a.team(team)
	return Dominant(t.held, a.capacity) / float64(t.weight)
}

// Dominant returns the largest fraction that held takes of one dimension of
// the capacity; a dimension without capacity does not count.
func Dominant(held, capacity spec.Resources) float64 {
	return max(
		fraction(held.MilliCPU, capacity.MilliCPU),
		fraction(held.MemoryMB, capacity.MemoryMB),
		fraction(held.Accelerators, capacity.Accelerators),
	)
}

func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// Each calls f for every team.
func (a *Accounts) Each(f func(team string, held spec.Resources, weight int)) {
	for name, t := range a.teams {
		f(name, t.held, t.weight)
	}
}

// Forget drops a team that holds nothing and is no longer configured.
func (a *Accounts) Forget(team string) {
	if t := a.teams[team]; t != nil && t.held.IsZero() && t.pending.IsZero() {
		delete(a.teams, team)
	}
}

// ShareOf returns the weighted dominant share of holdings outside the accounts.
func (a *Accounts) ShareOf(held spec.Resources, weight int) float64 {
	return Dominant(held, a.capacity) / float64(max(weight, 1))
}
