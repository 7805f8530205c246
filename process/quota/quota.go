// Package quota tracks the cell resources that each client account (a team, in the declared
// files) holds, enforces the account's cap, and computes its weighted dominant share.
//
// Guarantee: a charge never takes an account over its limit, which is its cap, or the share
// of the cap that is assigned to one shard of the cell. Work that already runs is adopted
// whatever the limit; a limit that is lowered below what is held rejects further charges
// until enough is refunded. Unconfirmed work, which may run without having been reported,
// counts as held.
package quota

import (
	"errors"
	"fmt"
	"slices"
)

// ErrExceeded means that a charge would take the account over its limit.
var ErrExceeded = errors.New("quota: account limit exceeded")

// Size is an amount of each resource.
type Size struct {
	MilliCPU     int64 `json:"milli_cpu"`
	MemoryMB     int64 `json:"memory_mb"`
	Accelerators int64 `json:"accelerators,omitempty"`
}

// Add returns s + t.
func (s Size) Add(t Size) Size {
	return Size{s.MilliCPU + t.MilliCPU, s.MemoryMB + t.MemoryMB, s.Accelerators + t.Accelerators}
}

// Sub returns s - t.
func (s Size) Sub(t Size) Size {
	return Size{s.MilliCPU - t.MilliCPU, s.MemoryMB - t.MemoryMB, s.Accelerators - t.Accelerators}
}

// Times returns s multiplied by n.
func (s Size) Times(n int) Size {
	return Size{s.MilliCPU * int64(n), s.MemoryMB * int64(n), s.Accelerators * int64(n)}
}

// Min returns the element-wise minimum of s and t.
func (s Size) Min(t Size) Size {
	return Size{min(s.MilliCPU, t.MilliCPU), min(s.MemoryMB, t.MemoryMB), min(s.Accelerators, t.Accelerators)}
}

// Max returns the element-wise maximum of s and t.
func (s Size) Max(t Size) Size {
	return Size{max(s.MilliCPU, t.MilliCPU), max(s.MemoryMB, t.MemoryMB), max(s.Accelerators, t.Accelerators)}
}

// Negative reports whether an amount is below zero.
func (s Size) Negative() bool { return s.MilliCPU < 0 || s.MemoryMB < 0 || s.Accelerators < 0 }

// FullShare is the whole of a cap. Shares of a cap are expressed in ten-thousandths.
const FullShare = 10_000

// Account is the state of one account. Like its Ledger, it is not safe for concurrent use.
type Account struct {
	Name        string
	ledger      *Ledger
	weight      float64
	cap         Size // a dimension of 0 is unlimited
	share       int64
	held        Size
	unconfirmed Size // work that may run without having been reported
	// waiting is work that only the limit keeps from starting; largest is the largest part
	// of it that has to start at the same time, such as a gang.
	waiting, largest Size
}

// Ledger holds the accounts of a cell. It is not safe for concurrent use.
type Ledger struct {
	accounts map[string]*Account
	capacity Size
	shareOf  func(account string) int64 // nil: the whole of each cap
	waiting  []*Account                 // accounts with waiting work
}

// NewLedger returns a ledger without accounts.
func NewLedger() *Ledger { return &Ledger{accounts: map[string]*Account{}} }

// SetCapacity sets the usable capacity of the cell, relative to which dominant shares are
// computed.
func (l *Ledger) SetCapacity(total Size) { l.capacity = total }

// Account returns an account. An unknown one is created without a cap.
func (l *Ledger) Account(name string) *Account {
	a := l.accounts[name]
	if a == nil {
		a = &Account{Name: name, ledger: l, weight: 1, share: FullShare}
		if l.shareOf != nil {
			a.share = l.shareOf(name)
		}
		l.accounts[name] = a
	}
	return a
}

// Each calls f for every account.
func (l *Ledger) Each(f func(a *Account)) {
	for _, a := range l.accounts {
		f(a)
	}
}

// Remove removes an account that holds nothing.
func (l *Ledger) Remove(name string) {
	if a := l.accounts[name]; a != nil && a.held == (Size{}) && a.unconfirmed == (Size{}) {
		delete(l.accounts, name)
	}
}

// Configure sets the weight and the cap; a weight of 0 or less counts as 1.
func (a *Account) Configure(weight float64, limit Size) {
	if weight <= 0 {
		weight = 1
	}
	a.weight, a.cap = weight, limit
}

// SetShares sets the function that returns the usable share of an account's cap, in units
// of 1/FullShare.
func (l *Ledger) SetShares(of func(account string) int64) {
	l.shareOf = of
	for name, a := range l.accounts {
		a.share = of(name)
	}
}

// ClearWaiting resets the waiting work of all accounts.
func (l *Ledger) ClearWaiting() {
	for _, a := range l.waiting {
		a.waiting, a.largest = Size{}, Size{}
	}
	l.waiting = l.waiting[:0]
}

// Usages returns the usage of all accounts with waiting work and of the accounts named in
// asked.
func (l *Ledger) Usages(asked []string) []Usage {
	var all []Usage
	for _, a := range l.accounts {
		if a.waiting != (Size{}) || slices.Contains(asked, a.Name) {
			all = append(all, a.usage())
		}
	}
	for _, name := range asked {
		if l.accounts[name] == nil {
			all = append(all, Usage{Account: name})
		}
	}
	return all
}

func (a *Account) usage() Usage {
	return Usage{Account: a.Name, Held: portion(a.held.Add(a.unconfirmed), a.cap), Waiting: portion(a.waiting, a.cap), Largest: portion(a.largest, a.cap)}
}

// portion returns the largest fraction of a cap that a size takes in any dimension, in
// units of 1/FullShare, rounded up and limited to ten times the cap.
func portion(size, limit Size) int64 {
	most := int64(0)
	for _, d := range [...][2]int64{{size.MilliCPU, limit.MilliCPU}, {size.MemoryMB, limit.MemoryMB}, {size.Accelerators, limit.Accelerators}} {
		if d[1] > 0 {
			most = max(most, (min(d[0], 10*d[1])*FullShare+d[1]-1)/d[1])
		}
	}
	return most
}

// AddWaiting records that n tasks of a size wait for the limit; together is how many of them
// have to start at the same time.
func (a *Account) AddWaiting(size Size, n, together int) {
	if a.waiting == (Size{}) && a.largest == (Size{}) {
		a.ledger.waiting = append(a.ledger.waiting, a)
	}
	a.waiting = a.waiting.Add(size.Times(n))
	a.largest = a.largest.Max(size.Times(together))
}

// Fits reports whether size can be charged within the limit.
func (a *Account) Fits(size Size) bool {
	return a.within(a.held.Add(a.unconfirmed).Add(size), size, a.share)
}

// FitsWithSpare reports whether size can be charged and leaves enough of the limit for spare.
// If the limit is too small for size and spare together even when nothing is held, spare is
// ignored.
func (a *Account) FitsWithSpare(size, spare Size) bool {
	total := a.held.Add(a.unconfirmed).Add(size)
	return a.within(total.Add(spare), size, a.share) || (a.within(total, size, a.share) && !a.within(size.Add(spare), size, a.share))
}

// Unlimited reports whether the account has no cap in any dimension.
func (a *Account) Unlimited() bool { return a.cap == (Size{}) }

// Over reports whether the account exceeds its limit in a dimension that size uses.
func (a *Account) Over(size Size) bool { return !a.within(a.held.Add(a.unconfirmed), size, a.share) }

// CanEverFit reports whether size fits into the account's whole cap.
func (a *Account) CanEverFit(size Size) bool { return a.within(size, size, FullShare) }

// FitCount returns how many of n tasks of a size can be charged within the limit.
func (a *Account) FitCount(size Size, n int) int {
	total := a.held.Add(a.unconfirmed)
	for _, d := range [...][3]int64{{size.MilliCPU, total.MilliCPU, a.cap.MilliCPU}, {size.MemoryMB, total.MemoryMB, a.cap.MemoryMB},
		{size.Accelerators, total.Accelerators, a.cap.Accelerators}} {
		if d[0] > 0 && d[2] > 0 {
			n = min(n, int(max(limitOf(d[2], a.share)-d[1], 0)/d[0]))
		}
	}
	return n
}

// within reports whether total is within the share of the cap in every dimension that size
// uses.
func (a *Account) within(total, size Size, share int64) bool {
	return dimensionWithin(total.MilliCPU, size.MilliCPU, a.cap.MilliCPU, share) &&
		dimensionWithin(total.MemoryMB, size.MemoryMB, a.cap.MemoryMB, share) &&
		dimensionWithin(total.Accelerators, size.Accelerators, a.cap.Accelerators, share)
}

func dimensionWithin(total, size, limit, share int64) bool {
	return limit == 0 || size == 0 || total <= limitOf(limit, share)
}

// limitOf returns a share of a limit. It rounds down, so that the shares of all shards add up
// to at most the cap.
func limitOf(limit, share int64) int64 {
	if share == FullShare {
		return limit
	}
	return limit/FullShare*share + limit%FullShare*share/FullShare
}

// Charge counts size as held, or fails with ErrExceeded and changes nothing.
func (a *Account) Charge(size Size) error {
	if !a.Fits(size) {
		return fmt.Errorf("account %q: %w", a.Name, ErrExceeded)
	}
	a.held = a.held.Add(size)
	return nil
}

// Adopt counts size as held regardless of the limit, for work that already runs.
func (a *Account) Adopt(size Size) { a.held = a.held.Add(size) }

// Refund releases what was charged or adopted.
func (a *Account) Refund(size Size) { a.held = a.held.Sub(size) }

// SetUnconfirmed replaces the amount of work that may run for the account without having been
// reported.
func (a *Account) SetUnconfirmed(size Size) { a.unconfirmed = size }

// Held returns what the account holds, without unconfirmed work.
func (a *Account) Held() Size { return a.held }

// Cap returns the account's cap.
func (a *Account) Cap() Size { return a.cap }

// Weight returns the account's weight.
func (a *Account) Weight() float64 { return a.weight }

// Share returns the account's dominant share of the cell divided by its weight.
func (l *Ledger) Share(a *Account) float64 { return l.ShareOf(a.held, a.weight) }

// ShareOf returns the dominant share of a size divided by a weight; a weight of 0 or less
// counts as 1.
func (l *Ledger) ShareOf(held Size, weight float64) float64 {
	if weight <= 0 {
		weight = 1
	}
	return Dominant(held, l.capacity) / weight
}

// Dominant returns the largest fraction that held takes of any dimension of whole. Dimensions
// in which whole is 0 are ignored.
func Dominant(held, whole Size) float64 {
	return max(fraction(held.MilliCPU, whole.MilliCPU), fraction(held.MemoryMB, whole.MemoryMB), fraction(held.Accelerators, whole.Accelerators))
}

func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
