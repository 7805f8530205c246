package cellsim

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"fennelshunt.example/fennelshunt/version/work"
)

// Account is a client account of the simulation.
type Account struct {
	Name string
	// Share is the account's share of all submissions.
	Share float64
	// Weight and Cap are its configuration in the scheduler.
	Weight float64
	Cap    work.Resources
}

const (
	// capFactor is an account's cap relative to its mean running resources.
	capFactor = 1.9
	// weightFactor is an account's weight relative to its mean submissions, in jobs per second.
	weightFactor = 1.3
	// accountRatio is the size of an account relative to the next larger one, before the
	// same constant is added to all of them.
	accountRatio = 0.82
)

// Accounts returns n accounts of different sizes for a load, each with a cap and weight
// in proportion to its submissions.
func Accounts(n int, classes []Class) []Account {
	var rate float64
	var running work.Resources
	for i := range classes {
		c := &classes[i]
		rate += c.PerSecond
		tasks := c.PerSecond * c.Steps * c.Width.Mean * c.Work.Mean / 1000 // running at the same time
		running.CPU += int(tasks * c.CPU.Mean)
		running.Memory += int(tasks * c.Memory.Mean)
	}
	all := make([]Account, n)
	sum, share := 0.0, 1.0
	for i := range all {
		all[i].Share = share + 0.15 // 0.15 of the largest, so that even the smallest account has a cap that fits a gang
		sum += all[i].Share
		share *= accountRatio
	}
	for i := range all {
		a := &all[i]
		a.Name = fmt.Sprintf("a%02d", i)
		a.Share /= sum
		a.Weight = max(1, weightFactor*a.Share*rate)
		a.Cap = work.Resources{CPU: int(capFactor * a.Share * float64(running.CPU)), Memory: int(capFactor * a.Share * float64(running.Memory))}
	}
	return all
}

// gangShare is the largest share of an account's cap that one of its gangs takes.
const gangShare = 0.6

// maxGang returns the greatest number of tasks of a size in a gang of the account.
func (a *Account) maxGang(size work.Resources) int {
	return int(gangShare * float64(size.Times(a.Cap, math.MaxInt32)))
}

// drawAccount draws the account that submits a job; nil without accounts.
func drawAccount(o *Options, rng *rand.Rand) *Account {
	if len(o.Accounts) == 0 {
		return nil
	}
	x := rng.Float64()
	for i := range o.Accounts {
		if x -= o.Accounts[i].Share; x <= 0 {
			return &o.Accounts[i]
		}
	}
	return &o.Accounts[len(o.Accounts)-1]
}

// HotAccount multiplies the submissions of one account, an index of Options.Accounts, by
// Factor.
type HotAccount struct {
	Account int
	Span    Span
	Factor  float64
}

// drawHot draws the extra submissions of hot accounts.
func drawHot(o *Options, t time.Duration, rng *rand.Rand, add func(c int, by *Account)) {
	for _, h := range o.Pattern.Hot {
		if !h.Span.has(t) || h.Account >= len(o.Accounts) {
			continue
		}
		for c := range o.Classes {
			extra := o.Classes[c].PerSecond * o.Accounts[h.Account].Share * (h.Factor - 1)
			for range poisson(rng, extra*loadStep.Seconds()) {
				add(c, &o.Accounts[h.Account])
			}
		}
	}
}

// accounts returns the accounts' configuration for the engine, nil without accounts.
func (o *Options) accounts() *work.Accounts {
	if len(o.Accounts) == 0 {
		return nil
	}
	var list []work.Account
	for _, a := range o.Accounts {
		list = append(list, work.Account{Name: a.Name, Weight: a.Weight, Cap: a.Cap})
	}
	accounts, err := work.NewAccounts(list)
	if err != nil {
		panic(fmt.Sprintf("cellsim: invalid generated accounts: %v", err))
	}
	return accounts
}

// worstAccounts returns the mean credit of the tenth of the accounts with the lowest credit.
// The extra jobs of hot accounts do not count: they stand for the jobs over an account's
// entitlement. Jobs without an account count as those of one account.
func (s *sim) worstAccounts() float64 {
	owed, earned := map[string]float64{}, map[string]float64{}
	for _, j := range s.all {
		if !j.hot {
			owed[j.spec.Account] += j.worth
			earned[j.spec.Account] += j.earned()
		}
	}
	names := make([]string, 0, len(owed))
	for name := range owed {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(earned[a]/owed[a], earned[b]/owed[b]), cmp.Compare(a, b))
	})
	sum, n := 0.0, max(1, len(names)/10)
	for _, name := range names[:n] {
		sum += earned[name] / owed[name] / float64(n)
	}
	return sum
}

// SurveyClasses returns a variant of the load of Classes, for a customer whose work has
// shifted: gangs are rarer and longer, with more expensive advice, and quick jobs are
// shorter.
func SurveyClasses(workers int, load float64) []Class {
	classes := Classes(workers, load)
	wide, many, quick := &classes[Wide], &classes[Many], &classes[Quick]
	wide.Queue.Advice = ticketed(559*time.Millisecond, 8060*time.Microsecond)
	wide.PerSecond, wide.Worth, wide.Work.Mean, wide.Work.Max, wide.Allowed, wide.Poison = 3.58, 13.1, 5000, 12000, 0.3, 0.03
	many.Queue.Advice = ticketed(104*time.Millisecond, 1430*time.Microsecond)
	many.PerSecond, many.Worth, many.Work.Mean, many.Work.Max = 16.1, 3.17, 2200, 5400
	many.Memory = LogNormal{10000, 0.55, 30000}
	quick.Queue.Advice = ticketed(9360*time.Microsecond, 130*time.Microsecond)
	quick.Queue.Allowance, quick.Queue.Attempts = 300*time.Millisecond, 4
	quick.PerSecond, quick.Worth, quick.Work.Mean, quick.Work.Max, quick.Poison = 103, 0.398, 640, 1600, 0.03
	quick.Memory = LogNormal{18000, 0.55, 55000}
	demand := 0.0
	for i := range classes {
		c := &classes[i]
		c.PerSecond *= float64(workers) / refWorkers
		demand += c.PerSecond * c.Steps * c.Width.Mean * c.CPU.Mean / 1000 * c.Work.Mean / 1000
	}
	for i := range classes {
		classes[i].PerSecond *= load * float64(workers*workerCores) / demand
	}
	return classes
}

// ticketed returns advice whose tickets are valid for two seconds.
func ticketed(base, perWorker time.Duration) *work.Advice {
	return &work.Advice{Base: base, PerWorker: perWorker, Valid: 2 * time.Second}
}
