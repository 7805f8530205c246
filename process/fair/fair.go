// Package fair decides which account's work goes first where that of several waits for the
// same room: it moves the time at which a job should be done, by which waiting work of one
// priority is ordered, and tells which hand-ins are beyond what their account is entitled
// to.
//
// Load pattern: a cell that is full, with accounts of unlike size, of which one hands in
// several times its usual. What goes wrong if only the time counts by which a job should be
// done: an account with few jobs loses half of its work by one gang that is late, while a
// large one hardly notices; and the one that hands in too much takes the others' room.
//
// A Book has no clock and makes no decision on room or quota. It belongs to one goroutine.
package fair

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Way is how accounts take turns.
type Way string

// Ways. The zero value stands for DefaultWay.
const (
	// Due: the job that should be done first goes first, whoever handed it in.
	Due Way = "due"
	// Dominant: accounts that use less than the others for their weight go first.
	Dominant Way = "dominant"
	// Risk: accounts go first that would lose the most of their work of late, were the
	// job late.
	Risk Way = "risk"
)

// DefaultWay is the one that measured best.
const DefaultWay = Risk

// Check returns an error for a way that does not exist.
func (w Way) Check() error {
	ways := []Way{"", Due, Dominant, Risk}
	if !slices.Contains(ways, w) {
		return fmt.Errorf("is %q; use %s, or leave it out", w, strings.Join([]string{string(Due), string(Dominant), string(Risk)}, ", "))
	}
	return nil
}

const (
	// memory is how long it takes until a third is left of what counts as an account's
	// work of late: some objectives of long jobs.
	workDecay = time.Minute
	// reach is how many objectives a job goes before or behind its time at the most. A
	// whole one would let it pass everything that has just come.
	maxShift = 0.5
	// useDecay is the same for what an account uses.
	useDecay = 10 * time.Second
)

// Entitlement is what accounts may hand in: weight jobs a second over a window, and some
// more.
type Entitlement struct {
	Window time.Duration // 0: everything is within
	// Slack is in jobs; each part of a cell grants the whole of it, since the jobs of a
	// small account do not spread evenly over the parts.
	Slack float64
	// Share of the hand-ins that come here: less than 1 where a cell has several parts.
	Share float64
}

// Book holds what counts of each account.
type Book struct {
	way      Way
	entitled Entitlement
	accounts map[string]*account
	// used is the use by weight of all accounts together, and weights theirs.
	used, weights float64
	usedAt        time.Duration
}

type account struct {
	weight float64
	// tokens of hand-ins within the entitlement, as of tokensAt; full until the first one.
	tokens   float64
	tokensAt time.Duration
	submitted bool
	beyond   uint64 // hand-ins that were not within
	// late and all are the work of jobs that have ended of late, decaying since workAt.
	late, all float64
	workAt    time.Duration
	use       float64 // core-seconds of late, decaying since useAt
	useAt     time.Duration
}

// New returns a book without accounts.
func New(way Way, e Entitlement) *Book {
	if way == "" {
		way = DefaultWay
	}
	if e.Share <= 0 {
		e.Share = 1
	}
	return &Book{way: way, entitled: e, accounts: map[string]*account{}}
}

func (b *Book) account(name string) *account {
	a := b.accounts[name]
	if a == nil {
		a = &account{weight: 1}
		b.accounts[name] = a
		b.weights++
	}
	return a
}

// SetWeight sets an account's weight; 0 and less counts as 1.
func (b *Book) SetWeight(name string, weight float64) {
	if weight <= 0 {
		weight = 1
	}
	a := b.account(name)
	b.weights += weight - a.weight
	a.weight = weight
}

// HandedIn notes a hand-in, and reports whether it is within the account's entitlement.
// Jobs of no account always are.
func (b *Book) HandedIn(name string, at time.Duration) bool {
	if name == "" || b.entitled.Window <= 0 {
		return true
	}
	a := b.account(name)
	rate := a.weight * b.entitled.Share // jobs a second
	most := rate*b.entitled.Window.Seconds() + b.entitled.Slack
	if !a.submitted {
		a.submitted, a.tokens, a.tokensAt = true, most, at
	}
	a.tokens = min(most, a.tokens+rate*max(at-a.tokensAt, 0).Seconds())
	a.tokensAt = max(a.tokensAt, at)
	if a.tokens < 1 {
		a.beyond++
		return false
	}
	a.tokens--
	return true
}

// Beyond returns how many hand-ins of the account were beyond its entitlement.
func (b *Book) Beyond(name string) uint64 {
	if a := b.accounts[name]; a != nil {
		return a.beyond
	}
	return 0
}

// Ended notes a job of so much work, in core-seconds, that is done: in time, or not. It
// counts for Risk.
func (b *Book) Ended(name string, at time.Duration, work float64, inTime bool) {
	if b.way != Risk {
		return
	}
	a := b.account(name)
	left := decay(at-a.workAt, workDecay)
	a.late, a.all, a.workAt = a.late*left, a.all*left+work, at
	if !inTime {
		a.late += work
	}
}

// Used notes so many core-seconds of an account's. It counts for Dominant.
func (b *Book) Used(name string, at time.Duration, coreSeconds float64) {
	if b.way != Dominant {
		return
	}
	a := b.account(name)
	a.use, a.useAt = a.use*decay(at-a.useAt, useDecay)+coreSeconds, at
	b.used, b.usedAt = b.used*decay(at-b.usedAt, useDecay)+coreSeconds, at
}

func decay(d, over time.Duration) float64 { return math.Exp(-float64(max(d, 0)) / float64(over)) }

// Turn returns the time by which a job of so much work is ordered among others of its
// priority: due, moved by up to reach of its objective.
func (b *Book) Turn(name string, now, due, objective time.Duration, work float64) time.Duration {
	return due - time.Duration(maxShift*b.advance(name, now, work)*float64(objective))
}

// favour is how much a job of the account goes before its time: from -1 to 1.
func (b *Book) advance(name string, now time.Duration, work float64) float64 {
	switch b.way {
	case Dominant:
		return b.dominantAdvance(name, now)
	case Risk:
		return b.riskAdvance(name, now, work)
	}
	return 0
}

// risk is the share of the account's work of late that is lost if the job is late.
func (b *Book) riskAdvance(name string, now time.Duration, work float64) float64 {
	a := b.account(name)
	left := decay(now-a.workAt, workDecay)
	if work <= 0 {
		return 0
	}
	return (a.late*left + work) / (a.all*left + work)
}

// dominantAdvance is 1 for an account that uses nothing, 0 for one that uses as much for its weight
// as all together, and less for one that uses more.
func (b *Book) dominantAdvance(name string, now time.Duration) float64 {
	a := b.account(name)
	usual := b.used * decay(now-b.usedAt, useDecay) / b.weights
	if usual <= 0 {
		return 0
	}
	return max(-1, 1-a.use*decay(now-a.useAt, useDecay)/a.weight/usual)
}
