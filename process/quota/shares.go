package quota

import (
	"maps"
	"slices"
)

// Shares tells which share of an account's cap each part of a cell may use. Every part
// obeys the newest version that it has heard of. One owner writes them, to the store, so
// that they outlast every daemon.
//
// Guarantee, as long as versions come from Plan: what all parts together hold of an
// account never exceeds its cap, whichever versions they obey, unless it did before the
// cap was lowered. It rests on reports only: an owner that is lost, or takes over, knows
// nothing and raises no share until every part has told what it obeys and holds.
type Shares struct {
	// Version rises with each change, from FirstVersion on.
	Version uint64 `cbor:"1,keyasint"`
	// Moved holds, by part, the shares of accounts whose cap is not split evenly.
	Moved map[string][]int64 `cbor:"2,keyasint,omitempty"`
}

// FirstVersion is that of the shares before any change: every cap is split evenly.
const FirstVersion = 1

// Of returns a part's share of an account's cap.
func (s *Shares) Of(account string, part, parts int) int64 {
	if moved := s.Moved[account]; len(moved) == parts {
		return moved[part]
	}
	return even(part, parts)
}

// even splits a cap; all parts' shares together are FullShare.
func even(part, parts int) int64 {
	share := int64(FullShare / parts)
	if part < FullShare%parts {
		share++
	}
	return share
}

// Use is what a part holds and wants of an account, in units of FullShare of its cap,
// rounded up.
type Use struct {
	Account string `cbor:"1,keyasint"`
	Held    int64  `cbor:"2,keyasint,omitempty"`
	// Wanted is what waits for nothing but the share, and Largest the most of it that
	// has to start together.
	Wanted  int64 `cbor:"3,keyasint,omitempty"`
	Largest int64 `cbor:"4,keyasint,omitempty"`
}

// Report is what a part tells the owner of the shares.
type Report struct {
	Part  int    `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
	// Obeyed is the version that the part obeys, and no earlier leader of it can act
	// against any more; 0 while that is not certain.
	Obeyed uint64 `cbor:"3,keyasint,omitempty"`
	Uses   []Use  `cbor:"4,keyasint,omitempty"`
}

// Answer tells a part of which accounts the next report must speak.
type Answer struct {
	Asked []string `cbor:"1,keyasint,omitempty"`
}

const (
	// minMove is the least change of a share that is worth a new version.
	minMove = FullShare / 100
	// maxMoved bounds the accounts in a version. With 23 parts each takes some 80 bytes.
	maxMoved = 2000
)

// Balancer is the owner's view of the parts.
type Balancer struct {
	Parts   int
	reports map[int]Report
}

// Take notes a part's report, and answers which accounts the part must tell of: those
// that wait for their share in any part.
func (b *Balancer) Take(r Report) Answer {
	if b.reports == nil {
		b.reports = map[int]Report{}
	}
	if r.Part < 0 || r.Part >= b.Parts || r.Epoch < b.reports[r.Part].Epoch {
		return Answer{}
	}
	b.reports[r.Part] = r
	return Answer{Asked: b.pressed()}
}

// pressed returns the accounts of which something waits for a share.
func (b *Balancer) pressed() []string {
	names := map[string]bool{}
	for _, r := range b.reports {
		for _, u := range r.Uses {
			if u.Wanted > 0 {
				names[u.Account] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// Plan returns the next version after now, and whether there is one: shares move to where
// work waits for them. What a part loses is given to others only in a later version, once
// every part has obeyed this one and told what it holds; what a part holds above its new
// share counts as its own until it has ended.
func (b *Balancer) Plan(now Shares) (Shares, bool) {
	for part := range b.Parts {
		if r, told := b.reports[part]; !told || r.Obeyed != now.Version {
			return Shares{}, false
		}
	}
	next := Shares{Version: now.Version + 1, Moved: maps.Clone(now.Moved)}
	if next.Moved == nil {
		next.Moved = map[string][]int64{}
	}
	changed := false
	for _, account := range b.pressed() {
		uses, told := b.uses(account)
		if !told {
			continue // the parts have been asked
		}
		shares := b.move(&now, account, uses)
		if shares != nil && (len(next.Moved[account]) > 0 || len(next.Moved) < maxMoved) {
			next.Moved[account] = shares
			changed = true
		}
	}
	return next, changed
}

// uses returns what each part holds and wants of an account, if all have told.
func (b *Balancer) uses(account string) ([]Use, bool) {
	all := make([]Use, b.Parts)
	for part := range all {
		i := slices.IndexFunc(b.reports[part].Uses, func(u Use) bool { return u.Account == account })
		if i < 0 {
			return nil, false
		}
		all[part] = b.reports[part].Uses[i]
	}
	return all, true
}

// move returns the next shares of one account; nil if they stay.
func (b *Balancer) move(now *Shares, account string, uses []Use) []int64 {
	aim := aimOf(uses)
	// free is what no part may use now, nor holds above its share.
	free := int64(FullShare)
	for part, u := range uses {
		free -= max(now.Of(account, part, b.Parts), u.Held)
	}
	shares := make([]int64, b.Parts)
	most := int64(0)
	for part := range shares {
		before := now.Of(account, part, b.Parts)
		share := aim[part]
		if share > before {
			// A part that holds more than its share gets what it holds without new room.
			own := max(before, min(share, uses[part].Held))
			raised := min(share, own+max(free, 0))
			free -= raised - own
			share = raised
		}
		shares[part] = share
		most = max(most, share-before, before-share)
	}
	if most < minMove {
		return nil
	}
	return shares
}

// aimOf divides a cap by what the parts hold and want. The part with the most that has to
// start together is to have room for it, so that a gang is not split off by an even hand.
func aimOf(uses []Use) []int64 {
	aim := make([]int64, len(uses))
	sum, gang := int64(0), 0
	for part, u := range uses {
		aim[part] = min(u.Held+u.Wanted, FullShare)
		sum += aim[part]
		if u.Largest > uses[gang].Largest {
			gang = part
		}
	}
	if sum <= FullShare {
		for part := range aim {
			aim[part] += even(part, len(aim)) * (FullShare - sum) / FullShare
		}
		return aim
	}
	need := min(uses[gang].Largest, FullShare)
	aim[gang] = max(aim[gang]*FullShare/sum, need)
	rest, others := FullShare-aim[gang], sum-min(uses[gang].Held+uses[gang].Wanted, FullShare)
	for part := range aim {
		if part != gang && others > 0 {
			aim[part] = aim[part] * rest / others
		}
	}
	return aim
}
