package loadshed

import (
	"cmp"
	"slices"
	"time"
)

// Periods of a Forecast.
const (
	// Period is the least time between two digests: a round over 500 waiting steps is cheap, and a
	// digest is used for ten times as long.
	Period = 100 * time.Millisecond
	// Settling is how long a new leader makes no digest. Until it has heard from its workers, it sees
	// what they run as waiting.
	Settling = time.Second
	// window is the time over which starts are averaged. It is shorter than the objective of a gang,
	// and in a full cell some tens of gangs start in it.
	window = 10 * time.Second
	// longWindow is a second time over which starts are averaged; the higher rate of the two counts.
	// A burst of more urgent work lowers the rate of a class for some seconds, which says little
	// about the half minute and more (three objectives) in which a job has to be completed.
	longWindow = 3 * window
	// minObserved is how long work of a class must have been waiting, with breaks of at most maxGap, for
	// its rate of starts to tell what the cell can do, rather than what was submitted.
	minObserved = 5 * time.Second
	maxGap      = time.Second
	// maxAccounts bounds the size of a digest, which is sent with some hundred answers per second.
	maxAccounts = 32
	// minListed is the time, in seconds, that the work of a class has to take for accounts to be
	// listed. With less work nothing is refused.
	minListed = 2.0
)

// Rank is the part of the engine's order that depends on when a step can end.
type Rank uint8

// Ranks.
const (
	InTime  Rank = iota
	Late         // beyond its objective, and still of value
	TooLate      // of no value
)

// Step is a waiting step.
type Step struct {
	Class   Class
	Account string
	Rank    Rank
	// Left is the time to the step's due time.
	Left time.Duration
	// Work is the work of the tasks to start, in core-seconds. Proxy is how long the calls for advice
	// that are still to be sent occupy proxies, and Quota how long the account's cap takes to run the
	// step, both in seconds.
	Work, Proxy, Quota float64
	// AwaitsAdvice and AwaitsQuota tell what the step waits for; neither: capacity.
	AwaitsAdvice, AwaitsQuota bool
}

// Account is a client account that has work.
type Account struct {
	Name   string
	Weight float64
	Beyond float64 // share of its recent submissions that were beyond its entitlement
}

// Cell is the state of a shard for a digest.
type Cell struct {
	Cores, Proxies float64
	Accounts       []Account
	Steps          []Step
}

// Forecast condenses the state of a shard into digests. The zero value is ready to use. It is not safe
// for concurrent use.
type Forecast struct {
	starts map[key]*starts
}

// key identifies the work of a class or, with an account, the part of it that is the account's.
type key struct {
	account string
	class   Class
}

// starts holds recent starts.
type starts struct {
	unsampled float64  // work started since the last sample
	samples   []sample // of the last longWindow, by time
	// waitingSince is since when work has been waiting without a break longer than maxGap, -1 if none
	// is; waitedAt is when some was last waiting. Of an account, only work that waits for the quota or
	// is beyond the entitlement counts.
	waitingSince, waitedAt time.Duration
}

// sample is the work started until a time, since the previous sample.
type sample struct {
	at   time.Duration
	work float64
}

// Started records a start of work, in core-seconds.
func (f *Forecast) Started(c Class, account string, work float64) {
	f.startsOf(key{"", c}).unsampled += work
	if account != "" {
		f.startsOf(key{account, c}).unsampled += work
	}
}

func (f *Forecast) startsOf(k key) *starts {
	if f.starts == nil {
		f.starts = map[key]*starts{}
	}
	r := f.starts[k]
	if r == nil {
		r = &starts{waitingSince: -1}
		f.starts[k] = r
	}
	return r
}

// Digest returns the digest of the shard's state at a time. Times must not decrease.
func (f *Forecast) Digest(now time.Duration, epoch uint64, cell *Cell) *Digest {
	d := &Digest{Epoch: epoch, Cores: cell.Cores, Proxies: cell.Proxies}
	sum := sums{digest: d, counts: map[key]int{}, steps: map[key]int{}, advice: map[Class]float64{}, accounts: map[string]*AccountLoad{}}
	for i := range cell.Steps {
		if s := &cell.Steps[i]; s.Rank != TooLate {
			sum.add(s)
		}
	}
	f.sample(now, sum.counts)
	f.addRates(now, &sum)
	slices.SortFunc(d.Classes, func(a, b ClassLoad) int { return compareClasses(a.Class, b.Class) })
	d.addAccounts(cell.Accounts, sum.accounts)
	return d
}

// sums holds the sums over the waiting steps while a digest is made.
type sums struct {
	digest   *Digest
	counts   map[key]int       // of steps; for an account, of those that wait for the quota or exceed the entitlement
	steps    map[key]int       // of all steps of an account
	advice   map[Class]float64 // work that waits for advice, in core-seconds
	accounts map[string]*AccountLoad
}

// add adds a step to its class and to its account.
func (x *sums) add(s *Step) {
	if s.Account != "" {
		x.addOwn(s)
	}
	if s.AwaitsQuota {
		return
	}
	c := x.digest.class(s.Class)
	c.Work.add(s.Rank, s.Work)
	c.Proxy.add(s.Rank, s.Proxy)
	if s.Rank == InTime {
		c.addDue(s.Left, s.Work)
	}
	x.counts[key{"", s.Class}]++
	if s.AwaitsAdvice {
		x.advice[s.Class] += s.Work
	}
}

// addOwn adds a step to its account.
func (x *sums) addOwn(s *Step) {
	a := x.accounts[s.Account]
	if a == nil {
		a = &AccountLoad{Name: s.Account}
		x.accounts[s.Account] = a
	}
	own := a.class(s.Class)
	own.Work.add(s.Rank, s.Work)
	own.Quota.add(s.Rank, s.Quota)
	x.steps[key{s.Account, s.Class}]++
	if s.AwaitsQuota {
		own.Blocked.add(s.Rank, s.Work)
	} else {
		own.Proxy.add(s.Rank, s.Proxy)
	}
	if s.AwaitsQuota || s.Class.Over {
		x.counts[key{s.Account, s.Class}]++
	}
}

// addRates adds the rates of starts, and the shares of work that waits for advice, to a digest.
func (f *Forecast) addRates(now time.Duration, x *sums) {
	for i := range x.digest.Classes {
		c := &x.digest.Classes[i]
		work := c.Work.InTime + c.Work.Late
		k := key{"", c.Class}
		c.Rate = f.rate(now, k, work/float64(x.counts[k]))
		c.Advice = over(x.advice[c.Class], work)
	}
	for _, a := range x.accounts {
		blocked := slices.ContainsFunc(a.Classes, func(c AccountClass) bool { return c.Blocked != (Waiting{}) })
		for i := range a.Classes {
			c, k := &a.Classes[i], key{a.Name, a.Classes[i].Class}
			if x.counts[k] > 0 {
				c.Rate = f.rate(now, k, (c.Work.InTime+c.Work.Late)/float64(x.steps[k]))
			}
			if !blocked {
				c.Quota = Waiting{} // the cap has room, so it delays nothing yet
			}
		}
	}
}

func compareClasses(a, b Class) int {
	if a.Over != b.Over {
		if a.Over {
			return 1
		}
		return -1
	}
	return cmp.Compare(a.Priority, b.Priority)
}

func (w *Waiting) add(r Rank, amount float64) {
	if r == InTime {
		w.InTime += amount
	} else {
		w.Late += amount
	}
}

// addDue adds work of a step with the given time to its due time.
func (c *ClassLoad) addDue(left time.Duration, work float64) {
	i, _ := slices.BinarySearch(dueBounds[:], left)
	for len(c.Due) <= i {
		c.Due = append(c.Due, 0)
	}
	c.Due[i] += work
}

func (d *Digest) class(c Class) *ClassLoad {
	i := slices.IndexFunc(d.Classes, func(x ClassLoad) bool { return x.Class == c })
	if i < 0 {
		i, d.Classes = len(d.Classes), append(d.Classes, ClassLoad{Class: c})
	}
	return &d.Classes[i]
}

func (a *AccountLoad) class(c Class) *AccountClass {
	i := slices.IndexFunc(a.Classes, func(x AccountClass) bool { return x.Class == c })
	if i < 0 {
		i, a.Classes = len(a.Classes), append(a.Classes, AccountClass{Class: c})
	}
	return &a.Classes[i]
}

// sample records what was started since the last sample, given the number of waiting steps.
func (f *Forecast) sample(now time.Duration, waiting map[key]int) {
	for k := range waiting {
		f.startsOf(k)
	}
	for k, r := range f.starts {
		if waiting[k] > 0 {
			if r.waitingSince < 0 || now-r.waitedAt > maxGap {
				r.waitingSince = now
			}
			r.waitedAt = now
		} else if now-r.waitedAt > maxGap {
			r.waitingSince = -1
		}
		if r.unsampled > 0 {
			r.samples = append(r.samples, sample{now, r.unsampled})
			r.unsampled = 0
		}
		old := 0
		for old < len(r.samples) && r.samples[old].at <= now-longWindow {
			old++
		}
		r.samples = slices.Delete(r.samples, 0, old)
		if r.waitingSince < 0 && len(r.samples) == 0 {
			delete(f.starts, k)
		}
	}
}

// rate returns the work started per second while work was waiting; 0 if that is not known. least, the
// mean work of a step, counts as started in any case: without a start in the window the rate would be 0
// and the wait unbounded. If nothing at all was started in the cell, the cause is a fault rather than
// load, and its end is not known.
func (f *Forecast) rate(now time.Duration, k key, least float64) float64 {
	r := f.starts[k]
	if r.waitingSince < 0 || now-r.waitingSince < minObserved {
		return 0
	}
	length := min(window, now-r.waitingSince)
	if !f.anySince(now - length) {
		return 0
	}
	return max(max(r.since(now-length), least)/length.Seconds(), r.since(now-longWindow)/longWindow.Seconds())
}

// anySince reports whether any work was started after a time.
func (f *Forecast) anySince(t time.Duration) bool {
	for _, r := range f.starts {
		if n := len(r.samples); n > 0 && r.samples[n-1].at > t {
			return true
		}
	}
	return false
}

// since returns the work started after a time.
func (r *starts) since(t time.Duration) (sum float64) {
	for i := len(r.samples) - 1; i >= 0 && r.samples[i].at > t; i-- {
		sum += r.samples[i].work
	}
	return sum
}

// addAccounts adds the accounts with the most waiting work relative to their weights, if anything may
// be refused.
func (d *Digest) addAccounts(active []Account, loads map[string]*AccountLoad) {
	var list []AccountLoad
	for _, a := range active {
		d.Weights += a.Weight
		load := loads[a.Name]
		switch {
		case load == nil && a.Beyond < beyondShare:
			continue
		case load == nil:
			load = &AccountLoad{Name: a.Name}
		}
		load.Weight, load.Beyond = a.Weight, a.Beyond
		list = append(list, *load)
	}
	if !d.Overloaded() {
		list = slices.DeleteFunc(list, func(a AccountLoad) bool { return !slices.ContainsFunc(a.Classes, AccountClass.awaitsQuota) })
	}
	slices.SortFunc(list, func(a, b AccountLoad) int {
		return cmp.Or(cmp.Compare(b.pressure(), a.pressure()), cmp.Compare(a.Name, b.Name))
	})
	d.Accounts = slices.Clip(list[:min(len(list), maxAccounts)])
}

// Overloaded reports whether the work of any class takes longer than minListed, so that submissions may
// be refused for other reasons than their account's quota.
func (d *Digest) Overloaded() bool {
	return slices.ContainsFunc(d.Classes, func(c ClassLoad) bool {
		work, proxy := c.Work.InTime+c.Work.Late, c.Proxy.InTime+c.Proxy.Late
		return max(over(work, c.Rate), over(work, d.Cores), over(proxy, d.Proxies)) > minListed
	})
}

// pressure is the account's waiting work relative to its weight.
func (a *AccountLoad) pressure() float64 {
	sum := 0.0
	for i := range a.Classes {
		sum += a.Classes[i].Work.InTime + a.Classes[i].Work.Late
	}
	return over(sum, a.Weight)
}
