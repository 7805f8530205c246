package quota

import (
	"maps"
	"slices"
)

// Shares defines which share of an account's cap each shard of a cell may use. Every shard
// applies the newest version that it has received. A single owner writes them to the store,
// so that they survive the failure of any daemon.
//
// Guarantee, as long as all versions come from Plan: what all shards together hold of an
// account never exceeds its cap, whichever versions they apply, unless it already did before
// the cap was lowered. The guarantee depends on reports only: an owner that fails or takes
// over starts without any, and raises no share until every shard has reported which version
// it applies and what it holds.
type Shares struct {
	// Version increases with each change, starting at FirstVersion.
	Version uint64 `cbor:"1,keyasint"`
	// Overrides holds the shares, indexed by shard, of accounts whose cap is not split evenly.
	Overrides map[string][]int64 `cbor:"2,keyasint,omitempty"`
}

// FirstVersion is the version before any change, in which every cap is split evenly.
const FirstVersion = 1

// Of returns a shard's share of an account's cap.
func (s *Shares) Of(account string, shard, shards int) int64 {
	if overrides := s.Overrides[account]; len(overrides) == shards {
		return overrides[shard]
	}
	return evenShare(shard, shards)
}

// evenShare returns a shard's share of an evenly split cap. The shares of all shards add up
// to FullShare.
func evenShare(shard, shards int) int64 {
	share := int64(FullShare / shards)
	if shard < FullShare%shards {
		share++
	}
	return share
}

// Usage is what a shard holds of an account's cap and could use in addition, in units of
// 1/FullShare, rounded up.
type Usage struct {
	Account string `cbor:"1,keyasint"`
	Held    int64  `cbor:"2,keyasint,omitempty"`
	// Waiting is work that only the share keeps from starting. Largest is the largest part
	// of it that has to start at the same time, such as a gang.
	Waiting int64 `cbor:"3,keyasint,omitempty"`
	Largest int64 `cbor:"4,keyasint,omitempty"`
}

// Report is sent by a shard's leader to the owner of the shares.
type Report struct {
	Shard int    `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
	// Applied is the version that the shard applies. It is 0 until it is certain that no
	// earlier leader of the shard can still act on an older one.
	Applied uint64  `cbor:"3,keyasint,omitempty"`
	Usages  []Usage `cbor:"4,keyasint,omitempty"`
}

// Reply lists the accounts that the shard's next report must include.
type Reply struct {
	Accounts []string `cbor:"1,keyasint,omitempty"`
}

const (
	// minChange is the smallest change of a share that justifies a new version, unless a smaller
	// one is what waiting work needs to start.
	minChange = FullShare / 100
	// maxOverrides limits the accounts in a version. With 23 shards each takes some 80 bytes.
	maxOverrides = 2000
)

// Balancer computes new versions of the shares from the reports of all shards. It is used by
// the owner of the shares.
type Balancer struct {
	Shards  int
	reports map[int]Report
}

// AddReport records a shard's report. It returns the accounts that the shard must include in its
// next report: those with work that waits for a share in any shard.
func (b *Balancer) AddReport(r Report) Reply {
	if b.reports == nil {
		b.reports = map[int]Report{}
	}
	if r.Shard < 0 || r.Shard >= b.Shards || r.Epoch < b.reports[r.Shard].Epoch {
		return Reply{}
	}
	b.reports[r.Shard] = r
	return Reply{Accounts: b.contended()}
}

// contended returns the accounts with work that waits for a share.
func (b *Balancer) contended() []string {
	names := map[string]bool{}
	for _, r := range b.reports {
		for _, u := range r.Usages {
			if u.Waiting > 0 {
				names[u.Account] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// Plan returns the version that follows current, and whether there is one. It moves shares
// to shards with waiting work. What one shard loses is assigned to others only in a later
// version, after every shard has applied this one and reported what it holds. What a shard
// holds above its new share is not assigned to others until that work has ended.
func (b *Balancer) Plan(current Shares) (Shares, bool) {
	for shard := range b.Shards {
		if r, reported := b.reports[shard]; !reported || r.Applied != current.Version {
			return Shares{}, false
		}
	}
	next := Shares{Version: current.Version + 1, Overrides: maps.Clone(current.Overrides)}
	if next.Overrides == nil {
		next.Overrides = map[string][]int64{}
	}
	changed := false
	for _, account := range b.contended() {
		usages, reported := b.usages(account)
		if !reported {
			continue // the next reports will include the account
		}
		shares := b.rebalance(&current, account, usages)
		if shares != nil && (len(next.Overrides[account]) > 0 || len(next.Overrides) < maxOverrides) {
			next.Overrides[account] = shares
			changed = true
		}
	}
	return next, changed
}

// usages returns the usage of an account in each shard, or false if a shard has not reported
// it.
func (b *Balancer) usages(account string) ([]Usage, bool) {
	all := make([]Usage, b.Shards)
	for shard := range all {
		i := slices.IndexFunc(b.reports[shard].Usages, func(u Usage) bool { return u.Account == account })
		if i < 0 {
			return nil, false
		}
		all[shard] = b.reports[shard].Usages[i]
	}
	return all, true
}

// rebalance returns the next shares of one account; nil if they do not change.
func (b *Balancer) rebalance(current *Shares, account string, usages []Usage) []int64 {
	target := targetShares(usages)
	// free is the part of the cap that is neither assigned to a shard by current nor held
	// by a shard in excess of its share.
	free := int64(FullShare)
	for shard, u := range usages {
		free -= max(current.Of(account, shard, b.Shards), u.Held)
	}
	shares := make([]int64, b.Shards)
	change, needed := int64(0), false
	for shard := range shares {
		before := current.Of(account, shard, b.Shards)
		share := target[shard]
		needed = needed || usages[shard].startsBetween(before, share)
		if share > before {
			// A shard that already holds more than its share is raised to what it holds without
			// taking from free, which does not include it.
			own := max(before, min(share, usages[shard].Held))
			raised := min(share, own+max(free, 0))
			free -= raised - own
			share = raised
		}
		shares[shard] = share
		change = max(change, share-before, before-share)
	}
	if change == 0 || change < minChange && !needed {
		return nil
	}
	return shares
}

// startsBetween reports whether the largest part of the waiting work does not start with the share
// from and starts with the share to, at once or after what the shard holds has ended.
func (u *Usage) startsBetween(from, to int64) bool {
	return from < u.Largest && u.Largest <= to || from < u.Held+u.Largest && u.Held+u.Largest <= to
}

// targetShares divides a cap in proportion to what the shards hold and what waits in them.
// The shard with the largest Usage.Largest gets at least enough for it: a proportional split
// could leave too little for the gang.
func targetShares(usages []Usage) []int64 {
	target := make([]int64, len(usages))
	sum, largest := int64(0), 0
	for shard, u := range usages {
		target[shard] = min(u.Held+u.Waiting, FullShare)
		sum += target[shard]
		if u.Largest > usages[largest].Largest {
			largest = shard
		}
	}
	if sum <= FullShare {
		for shard := range target {
			target[shard] += evenShare(shard, len(target)) * (FullShare - sum) / FullShare
		}
		return target
	}
	need := min(usages[largest].Largest, FullShare)
	target[largest] = max(target[largest]*FullShare/sum, need)
	rest, others := FullShare-target[largest], sum-min(usages[largest].Held+usages[largest].Waiting, FullShare)
	for shard := range target {
		if shard != largest && others > 0 {
			target[shard] = target[shard] * rest / others
		}
	}
	return target
}
