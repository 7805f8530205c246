// Package quota counts what each client account (a team, in the declared files) holds of
// a cell's resources, keeps it within its cap, and tells its share by weight.
//
// Guarantee: what is charged never takes an account over its limit, which is its cap, or
// the share of the cap that a part of the cell may use. What runs already is adopted
// whatever the limit; a limit that is lowered below what is held stops further charges
// until enough is refunded. What may run unseen counts as held.
package quota

import (
	"errors"
	"fmt"
	"slices"
)

// ErrOver means that a charge would take the account over its limit.
var ErrOver = errors.New("quota: the account's quota is used up")

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

// Times returns n times s.
func (s Size) Times(n int) Size {
	return Size{s.MilliCPU * int64(n), s.MemoryMB * int64(n), s.Accelerators * int64(n)}
}

// Least returns the smaller amount of each resource.
func (s Size) Least(t Size) Size {
	return Size{min(s.MilliCPU, t.MilliCPU), min(s.MemoryMB, t.MemoryMB), min(s.Accelerators, t.Accelerators)}
}

// Most returns the larger amount of each resource.
func (s Size) Most(t Size) Size {
	return Size{max(s.MilliCPU, t.MilliCPU), max(s.MemoryMB, t.MemoryMB), max(s.Accelerators, t.Accelerators)}
}

// Negative reports whether an amount is below zero.
func (s Size) Negative() bool { return s.MilliCPU < 0 || s.MemoryMB < 0 || s.Accelerators < 0 }

// FullShare is the share of a cap that is all of it. Shares are counted in ten-thousandths.
const FullShare = 10_000

// Account is the state of one account. It belongs to the goroutine of its Ledger.
type Account struct {
	Name   string
	ledger *Ledger
	weight float64
	cap    Size // 0 in a dimension bounds nothing there
	share  int64
	held   Size
	unseen Size // what may run without being known
	// wanted waits for nothing but the limit; largest is the most of it that has to
	// start together.
	wanted, largest Size
}

// Ledger holds accounts. It belongs to one goroutine.
type Ledger struct {
	accounts map[string]*Account
	capacity Size
	shareOf  func(account string) int64 // nil: all of each cap
	wanting  []*Account                 // those for which something waits
}

// NewLedger returns a ledger without accounts.
func NewLedger() *Ledger { return &Ledger{accounts: map[string]*Account{}} }

// SetCapacity sets the usable capacity of the cell, of which shares are taken.
func (l *Ledger) SetCapacity(total Size) { l.capacity = total }

// Account returns an account, which is made without bounds if it is not known.
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

// Forget drops an account that holds nothing.
func (l *Ledger) Forget(name string) {
	if a := l.accounts[name]; a != nil && a.held == (Size{}) && a.unseen == (Size{}) {
		delete(l.accounts, name)
	}
}

// Set sets weight and cap; a weight of 0 or less counts as 1.
func (a *Account) Set(weight float64, limit Size) {
	if weight <= 0 {
		weight = 1
	}
	a.weight, a.cap = weight, limit
}

// SetShares sets which share of each account's cap may be used, in units of FullShare.
func (l *Ledger) SetShares(of func(account string) int64) {
	l.shareOf = of
	for name, a := range l.accounts {
		a.share = of(name)
	}
}

// ClearWants forgets what waits for limits.
func (l *Ledger) ClearWants() {
	for _, a := range l.wanting {
		a.wanted, a.largest = Size{}, Size{}
	}
	l.wanting = l.wanting[:0]
}

// Uses tells what is held and wanted of accounts: of those for which something waits, and
// of those named.
func (l *Ledger) Uses(asked []string) []Use {
	var all []Use
	for _, a := range l.accounts {
		if a.wanted != (Size{}) || slices.Contains(asked, a.Name) {
			all = append(all, a.use())
		}
	}
	for _, name := range asked {
		if l.accounts[name] == nil {
			all = append(all, Use{Account: name})
		}
	}
	return all
}

func (a *Account) use() Use {
	return Use{Account: a.Name, Held: portion(a.held.Add(a.unseen), a.cap), Wanted: portion(a.wanted, a.cap), Largest: portion(a.largest, a.cap)}
}

// portion is how much of a cap a size takes at the most, in units of FullShare, rounded
// up; at most ten caps.
func portion(size, limit Size) int64 {
	most := int64(0)
	for _, d := range [...][2]int64{{size.MilliCPU, limit.MilliCPU}, {size.MemoryMB, limit.MemoryMB}, {size.Accelerators, limit.Accelerators}} {
		if d[1] > 0 {
			most = max(most, (min(d[0], 10*d[1])*FullShare+d[1]-1)/d[1])
		}
	}
	return most
}

// Want notes that so many things of a size wait for the limit, of which some have to
// start together.
func (a *Account) Want(size Size, n, together int) {
	if a.wanted == (Size{}) && a.largest == (Size{}) {
		a.ledger.wanting = append(a.ledger.wanting, a)
	}
	a.wanted = a.wanted.Add(size.Times(n))
	a.largest = a.largest.Most(size.Times(together))
}

// Fits reports whether the account may hold size more.
func (a *Account) Fits(size Size) bool {
	return a.within(a.held.Add(a.unseen).Add(size), size, a.share)
}

// FitsBeside reports whether the account may hold size more and still have room for spare,
// as far as its limit ever has.
func (a *Account) FitsBeside(size, spare Size) bool {
	total := a.held.Add(a.unseen).Add(size)
	return a.within(total.Add(spare), size, a.share) || (a.within(total, size, a.share) && !a.within(size.Add(spare), size, a.share))
}

// Unbounded reports whether the account has no cap at all.
func (a *Account) Unbounded() bool { return a.cap == (Size{}) }

// Over reports whether the account holds more than it may of what size asks for.
func (a *Account) Over(size Size) bool { return !a.within(a.held.Add(a.unseen), size, a.share) }

// CanEverFit reports whether size fits into the account's whole cap.
func (a *Account) CanEverFit(size Size) bool { return a.within(size, size, FullShare) }

// Times returns how many of n things of a size the account may hold more.
func (a *Account) Times(size Size, n int) int {
	total := a.held.Add(a.unseen)
	for _, d := range [...][3]int64{{size.MilliCPU, total.MilliCPU, a.cap.MilliCPU}, {size.MemoryMB, total.MemoryMB, a.cap.MemoryMB},
		{size.Accelerators, total.Accelerators, a.cap.Accelerators}} {
		if d[0] > 0 && d[2] > 0 {
			n = min(n, int(max(limitOf(d[2], a.share)-d[1], 0)/d[0]))
		}
	}
	return n
}

// within reports whether total stays inside the share of the cap in every dimension that
// size adds to.
func (a *Account) within(total, size Size, share int64) bool {
	return dimensionWithin(total.MilliCPU, size.MilliCPU, a.cap.MilliCPU, share) &&
		dimensionWithin(total.MemoryMB, size.MemoryMB, a.cap.MemoryMB, share) &&
		dimensionWithin(total.Accelerators, size.Accelerators, a.cap.Accelerators, share)
}

func dimensionWithin(total, size, limit, share int64) bool {
	return limit == 0 || size == 0 || total <= limitOf(limit, share)
}

// limitOf rounds down, so that the shares of all parts together stay within the cap.
func limitOf(limit, share int64) int64 {
	if share == FullShare {
		return limit
	}
	return limit/FullShare*share + limit%FullShare*share/FullShare
}

// Charge counts size as held, or fails with ErrOver and changes nothing.
func (a *Account) Charge(size Size) error {
	if !a.Fits(size) {
		return fmt.Errorf("account %q: %w", a.Name, ErrOver)
	}
	a.held = a.held.Add(size)
	return nil
}

// Adopt counts size as held without a look at the limit: it is there already.
func (a *Account) Adopt(size Size) { a.held = a.held.Add(size) }

// Refund gives back what was charged or adopted.
func (a *Account) Refund(size Size) { a.held = a.held.Sub(size) }

// SetUnseen replaces what may run for the account without being known.
func (a *Account) SetUnseen(size Size) { a.unseen = size }

// Held returns what the account holds.
func (a *Account) Held() Size { return a.held }

// Cap returns the account's cap.
func (a *Account) Cap() Size { return a.cap }

// Weight returns the account's weight.
func (a *Account) Weight() float64 { return a.weight }

// Share returns the account's dominant share of the cell divided by its weight.
func (l *Ledger) Share(a *Account) float64 { return l.ShareOf(a.held, a.weight) }

// ShareOf returns the dominant share of a size divided by a weight, of which 0 and less
// count as 1.
func (l *Ledger) ShareOf(held Size, weight float64) float64 {
	if weight <= 0 {
		weight = 1
	}
	return Dominant(held, l.capacity) / weight
}

// Dominant returns the largest fraction that held takes of one dimension of the whole; a
// dimension of which there is none does not count.
func Dominant(held, whole Size) float64 {
	return max(fraction(held.MilliCPU, whole.MilliCPU), fraction(held.MemoryMB, whole.MemoryMB), fraction(held.Accelerators, whole.Accelerators))
}

func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
