package loadshed

import (
	"slices"
	"time"

	"fennelshunt.example/fennelshunt/version/work"
)

// Expect returns how long a job submitted now is expected to wait, and whether it is judged as beyond its
// account's entitlement. For a job that is expected in time, only the steps that can be in time as
// well count; the others come after it.
func (d *Digest) Expect(j Job) (w Wait, over bool) {
	own := d.account(j.Account)
	class := Class{Priority: j.Priority, Over: own.beyond(j)}
	w = d.wait(class, j.Account, own, j.Objective, false)
	if w.Total()+j.Path > j.Objective {
		w = d.wait(class, j.Account, own, j.Objective, true)
	}
	return w, class.Over
}

// beyond reports whether a job is judged as beyond its account's entitlement.
func (a *AccountLoad) beyond(j Job) bool {
	return a != nil && a.Beyond >= beyondShare && work.LateFactor*j.Objective >= window
}

func (d *Digest) account(name string) *AccountLoad {
	if i := slices.IndexFunc(d.Accounts, func(a AccountLoad) bool { return a.Name == name }); i >= 0 {
		return &d.Accounts[i]
	}
	return nil
}

// wait returns the expected wait of a step of a class that will be in time or late. That of a job
// within its account's entitlement is at most what the account's own work takes in its share of the
// cell.
func (d *Digest) wait(class Class, account string, own *AccountLoad, left time.Duration, late bool) Wait {
	whole := d.cellWait(class, left, late, d.Classes, 1)
	var w Wait
	switch {
	case account == "" || class.Over:
		w = whole
	case own != nil:
		if w = d.cellWait(class, left, late, d.ownClasses(own), own.Weight/max(d.Weights, own.Weight)); w.Total() > whole.Total() {
			w = whole
		}
	}
	if own != nil {
		// Work that waits for the quota waits for capacity at the same time.
		w.Quota = max(0, seconds(own.quota(class, late))-w.Total())
	}
	return w
}

// cellWait returns how long a share of the cell takes for the work of the classes that comes before a
// step. It is the longest of three times: that which the processors need, that which the proxies need,
// and that by the recent rate at which work of the same priority was started.
func (d *Digest) cellWait(class Class, left time.Duration, late bool, classes []ClassLoad, share float64) Wait {
	var work, proxy, observed, advice float64
	for i := range classes {
		c := &classes[i]
		before, part := c.Work.before(c.Class, class, late), 1.0
		if c.Class == class && !late {
			part = c.dueWithin(left)
		}
		work += before * part
		proxy += c.Proxy.before(c.Class, class, late) * part
		if c.Class.Priority == class.Priority {
			if t := over(before*part, c.Rate*share); t > observed {
				observed, advice = t, c.Advice
			}
		}
	}
	room, ask := over(work, d.Cores*share), over(proxy, d.Proxies*share)
	switch {
	case observed >= max(room, ask):
		return Wait{Room: seconds(observed * (1 - advice)), Advice: seconds(observed * advice)}
	case ask > room:
		return Wait{Advice: seconds(ask)}
	}
	return Wait{Room: seconds(room)}
}

// dueWithin returns which share of the work that can be in time is due within the time left, and so comes
// before a job of the class that is due then. Work in an interval that ends later does not count.
func (c *ClassLoad) dueWithin(left time.Duration) float64 {
	if len(c.Due) == 0 {
		return 1
	}
	sum, all := 0.0, 0.0
	for i, work := range c.Due {
		all += work
		if i < len(dueBounds) && dueBounds[i] <= left {
			sum += work
		}
	}
	return over(sum, all)
}

// ownClasses returns an account's part of the classes, without the work that waits for its quota.
func (d *Digest) ownClasses(own *AccountLoad) []ClassLoad {
	part := slices.Clone(d.Classes)
	for i := range part {
		part[i].Work, part[i].Proxy, part[i].Due = Waiting{}, Waiting{}, nil
		for _, c := range own.Classes {
			if c.Class == part[i].Class {
				unblocked := Waiting{InTime: max(0, c.Work.InTime-c.Blocked.InTime), Late: max(0, c.Work.Late-c.Blocked.Late)}
				part[i].Work, part[i].Proxy = unblocked, c.Proxy
			}
		}
	}
	return part
}

// quota returns how long, in seconds, the account's own work before a step takes within its cap: the
// longer of the times by the cap, if it served only that work, and by the rate of starts in the class.
func (a *AccountLoad) quota(class Class, late bool) float64 {
	byCap, byRate := 0.0, 0.0
	for i := range a.Classes {
		c := &a.Classes[i]
		byCap += c.Quota.before(c.Class, class, late)
		if c.Class == class {
			byRate = over(c.Work.before(class, class, late), c.Rate)
		}
	}
	return max(byCap, byRate)
}

// before returns the part of the work waiting in class c that the engine serves before a step of class
// d submitted now: all of the work within entitlements before any work beyond them, then what can be
// in time before what will be late, then by priority.
func (w Waiting) before(c, d Class, late bool) float64 {
	sum := 0.0
	switch {
	case c.Over && !d.Over:
	case !c.Over && d.Over:
		sum = w.InTime + w.Late
	default:
		if late || c.Priority <= d.Priority {
			sum = w.InTime
		}
		if late && c.Priority <= d.Priority {
			sum += w.Late
		}
	}
	return sum
}

// over returns work divided by a rate, and 0 if the rate is not known.
func over(work, rate float64) float64 {
	if rate <= 0 {
		return 0
	}
	return work / rate
}

// maxWait bounds waits, so that durations do not overflow.
const maxWait = time.Hour

func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxWait.Seconds()) * float64(time.Second))
}
