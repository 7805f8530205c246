// Package fair orders the waiting jobs of different accounts that compete for the same
// capacity. Waiting jobs of one priority are ordered by their due times; the package shifts
// the due time used for ordering in favour of some accounts. It also reports which
// submissions exceed the entitlement of their account.
//
// In a full cell with accounts of different sizes, of which one submits several times its
// usual load, ordering by due time alone is unfair in two ways: an account with few jobs
// loses half of its work by one late gang, which a large account hardly notices, and the
// account that submits too much takes the capacity of the others.
//
// A Book has no clock of its own and makes no decision on capacity or quota. It must be used
// by one goroutine.
package fair

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Policy is the policy by which the jobs of different accounts are ordered.
type Policy string

// Policies. The zero value stands for DefaultPolicy.
const (
	// Due orders jobs by due time alone, regardless of their account.
	Due Policy = "due"
	// Dominant prefers accounts that use less than others relative to their weight.
	Dominant Policy = "dominant"
	// Risk prefers accounts of which the largest share of recent work would be late if the
	// job were late.
	Risk Policy = "risk"
)

// DefaultPolicy is the policy used for the zero value. All jobs together fare about equally
// well under each of the three; the worst-served accounts fare best under Risk.
const DefaultPolicy = Risk

// Check returns an error for an unknown policy.
func (p Policy) Check() error {
	policies := []Policy{"", Due, Dominant, Risk}
	if !slices.Contains(policies, p) {
		return fmt.Errorf("is %q; use %s, or leave it out", p, strings.Join([]string{string(Due), string(Dominant), string(Risk)}, ", "))
	}
	return nil
}

const (
	// workDecay is the time constant by which an account's recent work decays: after it
	// about a third is left. It spans several objectives of long jobs.
	workDecay = time.Minute
	// maxShift is the maximum shift of a job's due time, in objectives. With a whole
	// objective a job could overtake every job that has just been submitted.
	maxShift = 0.5
	// useDecay is the time constant by which an account's recent usage decays.
	useDecay = 10 * time.Second
	// recentDecay is the time constant by which recent submissions decay: short relative to the
	// objectives of long jobs, and tens of submissions of an account that sends too many.
	recentDecay = 2 * time.Second
	// exceedsRefill is the time in which the digest that tells of an excess is replaced everywhere but
	// at daemons with few submissions.
	exceedsRefill = 500 * time.Millisecond
	// maxSkew bounds by how much the clocks of daemons are expected to be behind.
	maxSkew = 2 * time.Second
	// exceedsLeast is the least number of recent submissions beyond the entitlement, so that a small
	// burst of a small account is not taken for a lasting excess.
	exceedsLeast = 4
)

// Entitlement is the rate at which accounts may submit jobs: as many jobs per second as
// their weight, with a burst of Window seconds at that rate and Slack jobs.
type Entitlement struct {
	Window time.Duration // 0: no limit
	// Slack is in jobs. Each shard of a cell grants the whole of it, since the jobs of a
	// small account are not spread evenly over the shards.
	Slack float64
	// Share is the share of the cell's submissions that arrive here: less than 1 in a cell
	// with several shards.
	Share float64
}

// Book holds the submissions, recent work and usage of each account. Its methods take
// times as durations since an origin that the caller chooses.
type Book struct {
	policy   Policy
	entitled Entitlement
	accounts map[string]*account
	// used is the recent usage of all accounts in core-seconds, weights the sum of their
	// weights.
	used, weights float64
	usedAt        time.Duration
	latest        time.Duration // of the submissions
}

type account struct {
	weight float64
	// tokens is the number of further submissions within the entitlement as of tokensAt;
	// the bucket is full until the first submission.
	tokens    float64
	tokensAt  time.Duration
	submitted bool
	over      uint64 // submissions that exceeded the entitlement
	// recent counts submissions and recentOver those of them that exceeded the entitlement; both decay
	// since tokensAt.
	recent, recentOver float64
	// all is the work in core-seconds of recently completed jobs, late that of the late
	// ones among them; both decay since workAt.
	late, all float64
	workAt    time.Duration
	use       float64 // recent usage in core-seconds, decaying since useAt
	useAt     time.Duration
}

// New returns a book without accounts.
func New(policy Policy, e Entitlement) *Book {
	if policy == "" {
		policy = DefaultPolicy
	}
	if e.Share <= 0 {
		e.Share = 1
	}
	return &Book{policy: policy, entitled: e, accounts: map[string]*account{}}
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

// SetWeight sets an account's weight; a weight of 0 or less counts as 1.
func (b *Book) SetWeight(name string, weight float64) {
	if weight <= 0 {
		weight = 1
	}
	a := b.account(name)
	b.weights += weight - a.weight
	a.weight = weight
}

// Submitted records a submission and reports whether it is within the account's
// entitlement. Jobs without an account always are.
func (b *Book) Submitted(name string, at time.Duration) bool {
	if name == "" || b.entitled.Window <= 0 {
		return true
	}
	a := b.account(name)
	rate := a.weight * b.entitled.Share // jobs a second
	most := rate*b.entitled.Window.Seconds() + b.entitled.Slack
	if !a.submitted {
		a.submitted, a.tokens, a.tokensAt = true, most, at
	}
	b.latest = max(b.latest, at)
	left := decay(at-a.tokensAt, recentDecay)
	a.recent, a.recentOver = a.recent*left+1, a.recentOver*left
	a.tokens = min(most, a.tokens+rate*max(at-a.tokensAt, 0).Seconds())
	a.tokensAt = max(a.tokensAt, at)
	if a.tokens < 1 {
		a.over++
		a.recentOver++
		return false
	}
	a.tokens--
	return true
}

// Exceeds returns the share of the account's recent submissions that were beyond its entitlement; 0 if
// these are few, or if exceedsRefill of its entitlement has come back since. The latter matters while
// its submissions are refused, of which the book learns nothing.
//
// Times of submissions are from the clocks of the daemons that accepted them, so the latest of these
// counts, but at least now less maxSkew.
func (b *Book) Exceeds(name string, now time.Duration) float64 {
	a := b.accounts[name]
	if a == nil || a.recentOver < exceedsLeast {
		return 0
	}
	since, rate := max(b.latest, now-maxSkew)-a.tokensAt, a.weight*b.entitled.Share
	if a.tokens+rate*max(since, 0).Seconds() >= 1+rate*exceedsRefill.Seconds() {
		return 0
	}
	return a.recentOver / a.recent
}

// Weight returns the account's weight.
func (b *Book) Weight(name string) float64 {
	if a := b.accounts[name]; a != nil {
		return a.weight
	}
	return 1
}

// OverEntitlement returns how many submissions of the account exceeded its entitlement.
func (b *Book) OverEntitlement(name string) uint64 {
	if a := b.accounts[name]; a != nil {
		return a.over
	}
	return 0
}

// Completed records a completed job with its work in core-seconds and whether it was in time.
// Only Risk uses it.
func (b *Book) Completed(name string, at time.Duration, work float64, inTime bool) {
	if b.policy != Risk {
		return
	}
	a := b.account(name)
	left := decay(at-a.workAt, workDecay)
	a.late, a.all, a.workAt = a.late*left, a.all*left+work, at
	if !inTime {
		a.late += work
	}
}

// Used records core-seconds used by an account. Only Dominant uses it.
func (b *Book) Used(name string, at time.Duration, coreSeconds float64) {
	if b.policy != Dominant {
		return
	}
	a := b.account(name)
	a.use, a.useAt = a.use*decay(at-a.useAt, useDecay)+coreSeconds, at
	b.used, b.usedAt = b.used*decay(at-b.usedAt, useDecay)+coreSeconds, at
}

func decay(d, over time.Duration) float64 { return math.Exp(-float64(max(d, 0)) / float64(over)) }

// OrderTime returns the time by which a job is ordered among others of its priority: its due
// time, shifted by at most maxShift times its objective. work is the job's work in
// core-seconds.
func (b *Book) OrderTime(name string, now, due, objective time.Duration, work float64) time.Duration {
	return due - time.Duration(maxShift*b.advance(name, now, work)*float64(objective))
}

// advance returns how far a job of the account is ordered ahead of its due time, from -1 to
// 1 in units of maxShift objectives.
func (b *Book) advance(name string, now time.Duration, work float64) float64 {
	switch b.policy {
	case Dominant:
		return b.dominantAdvance(name, now)
	case Risk:
		return b.riskAdvance(name, now, work)
	}
	return 0
}

// riskAdvance returns the share of the account's recent work that is late if this job is.
func (b *Book) riskAdvance(name string, now time.Duration, work float64) float64 {
	a := b.account(name)
	left := decay(now-a.workAt, workDecay)
	if work <= 0 {
		return 0
	}
	return (a.late*left + work) / (a.all*left + work)
}

// dominantAdvance returns 1 for an account that uses nothing, 0 for one that uses as much
// relative to its weight as all accounts together, and less for one that uses more.
func (b *Book) dominantAdvance(name string, now time.Duration) float64 {
	a := b.account(name)
	average := b.used * decay(now-b.usedAt, useDecay) / b.weights
	if average <= 0 {
		return 0
	}
	return max(-1, 1-a.use*decay(now-a.useAt, useDecay)/a.weight/average)
}
