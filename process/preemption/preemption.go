// Package preemption decides whether to stop runs so that a waiting step can start in time, and
// which runs.
//
// Load: gangs and urgent work wait while tasks with slack fill the cell. A gang needs many slots
// at once, and its tickets are valid for two seconds at most, so it starts only if it has free
// slots and valid tickets at the same time. Meanwhile, small tasks fill each slot that becomes
// free. A stopped run loses little if its step writes checkpoints: the time to stop and to
// start again, and the wait for a new ticket.
//
// Guarantees:
//   - a plan gives every task of the step a slot, in free capacity or in that of its victims;
//   - no victim of a plan is needless: without any one of them, the plan has too few slots;
//   - victims write checkpoints, are no members of gangs and no long-running tasks;
//   - victims are of a less urgent queue and still meet their objective after the loss, as far as
//     estimates tell, or they have borrowed their capacity, and the step is within its account's
//     entitlement;
//   - nothing is stopped for work beyond its account's entitlement;
//   - a task is stopped at most MaxPerTask times, and Budget bounds the stops per second;
//   - a plan that would not bring the step in time, or a step that is in time without one, stops
//     nothing.
package preemption

import (
	"cmp"
	"slices"
	"time"

	"fennelshunt.example/fennelshunt/version/work"
)

const (
	// MaxPerTask is how often a task may be stopped for others: each stop costs the task a wait
	// for a new ticket, and a third one would use up the slack that usual objectives leave.
	MaxPerTask = 2
	// MinAge is the least age of a victim. The start of a younger run, with its ticket and the
	// transfer of its checkpoint, has cost more than the run has achieved.
	MinAge = 300 * time.Millisecond
	// Restart is what a victim loses of its own time: up to 200 ms until the stop takes effect,
	// and 100 ms more for a start from a checkpoint than for any other start.
	Restart = 300 * time.Millisecond
	// AlmostDone is the least remaining time of a victim. A run that ends before the tickets
	// arrive frees its capacity by itself.
	AlmostDone = 150 * time.Millisecond
	// stopCost is added for each victim, in core-seconds: a stop, a start, and a name in a call
	// for a new ticket. It makes few large victims preferable to many small ones.
	stopCost = 2.0
	// nameCost is added for each worker that the call for tickets has to name, in core-seconds:
	// a name makes a slow call some 8 ms longer.
	nameCost = 1.0
	// slackScale is how fast the risk that a victim ends late falls with the slack that a stop
	// leaves it: with none, all of its remaining work counts as lost, with slackScale a quarter.
	slackScale = time.Second
	// gainShare is the part of its value that a step loses if it is late: a late job keeps a
	// fifth. The value is measured as the step's work.
	gainShare = 0.8
)

// Run is a run that could be stopped.
type Run struct {
	ID       int // set and read by the caller only
	Size     work.Resources
	Priority int // of its queue; a higher number is less urgent
	// Checkpoints: its step writes checkpoints.
	Checkpoints bool
	// Protected: it is a member of a gang or a long-running task, or it must not be stopped for
	// another reason.
	Protected bool
	// Borrowed: its job is beyond the entitlement of its account.
	Borrowed bool
	Stopped  int // how often its task has been stopped for other steps
	Age      time.Duration
	// Remaining is the expected remaining time, Slack the time between its expected end without
	// a stop and its objective.
	Remaining, Slack time.Duration
	// Renewal is the expected wait for a new ticket and a new slot.
	Renewal time.Duration
}

// Worker is a worker that a waiting step may use.
type Worker struct {
	ID    int            // set and read by the caller only
	Free  work.Resources // may be negative in a dimension
	Limit int            // how many of the step's tasks may go there
	// NoTicket: the step has no ticket for the worker that outlasts the call.
	NoTicket bool
	Runs     []Run
}

// Claim is a waiting step that may need the capacity of others.
type Claim struct {
	Need     work.Resources // of one task
	Count    int            // of tasks that must start
	Priority int
	// Borrows: the step is beyond the entitlement of its account. Reclaims: it is within it, and may
	// take back what others have borrowed. OnlyReclaims: it may stop no other runs.
	Borrows, Reclaims, OnlyReclaims bool
	// Now is the current time, Due the latest end at which the step is in time, and Estimate how
	// long it runs. Without is its expected start if nothing is stopped, With that by the plan.
	Now, Due, Estimate, Without, With time.Duration
}

// Qualifies reports whether the step is in time with its plan and late without.
func (c Claim) Qualifies() bool {
	return c.With+c.Estimate <= c.Due && c.Without+c.Estimate > c.Due
}

// Slots are slots on one worker.
type Slots struct {
	Worker  Worker
	N       int // slots for the step's tasks
	Victims []Run
}

// Plan is the slots that a step would use, and the runs to stop for them.
type Plan struct {
	Slots   []Slots
	Victims int
	// Loss is the expected loss, in core-seconds.
	Loss float64
}

// MayReclaim reports whether the run's capacity is borrowed and may be reclaimed for the claim, whatever
// the run's priority and objective.
func (c *Claim) MayReclaim(r *Run) bool { return c.Reclaims && !c.Borrows && r.Borrowed }

// Eligible reports whether the run may be stopped for a claim.
func (r *Run) Eligible(c *Claim) bool {
	if c.Borrows || !r.Checkpoints || r.Protected || r.Stopped >= MaxPerTask || r.Age < MinAge || r.Remaining <= AlmostDone {
		return false
	}
	return c.MayReclaim(r) || (!c.OnlyReclaims && r.Priority > c.Priority && r.Slack > Restart+r.Renewal)
}

// Loss is the expected loss of stopping a run, in core-seconds. A run that is late in any case has
// lost gainShare of its value already.
func (r *Run) Loss() float64 {
	cores := float64(r.Size.CPU) / 1000
	rest := max(r.Slack-Restart-r.Renewal, 0)
	risk := float64(slackScale) / float64(slackScale+rest)
	atRisk := cores * r.Remaining.Seconds() * risk * risk
	if r.Slack < 0 {
		atRisk *= 1 - gainShare
	}
	return stopCost + cores*Restart.Seconds() + atRisk
}

// Worthwhile reports whether a step with the given work, in core-seconds, gains more by the plan
// than its victims lose.
func (p *Plan) Worthwhile(coreSeconds float64) bool { return p.Loss < Gain(coreSeconds) }

// Gain is the value, in core-seconds, that a step with the given work gains by being in time.
func Gain(coreSeconds float64) float64 { return gainShare * coreSeconds }

// candidate is a run that may be stopped, with its loss.
type candidate struct {
	run  *Run
	loss float64
}

// option is a way to get more slots on a worker.
type option struct {
	victims []candidate
	loss    float64
	gain    int // slots in addition to those that the worker has
}

// better reports whether the option loses less per slot than another one.
func (o *option) better(than *option) bool {
	return than.gain == 0 || o.loss*float64(than.gain) < than.loss*float64(o.gain)
}

// state is the state of a worker while a plan is made.
type state struct {
	w       *Worker
	free    work.Resources // with the capacity of the chosen victims
	fits    int            // slots without any victims
	n       int            // slots that the plan uses
	victims []candidate    // chosen
	left    []candidate    // that may still be chosen, those with the least loss per core first
	// best is the result of next; its gain is 0 if no stops give more slots. stale: it has to be
	// computed again.
	best  option
	stale bool
}

// Choose returns a plan with a slot for each task of the claim, on the workers in the given
// order where the cost is equal; false if there are not enough slots. It uses free slots first,
// those of workers with a ticket before others, and then the victims with the least loss per
// slot.
func Choose(c Claim, workers []Worker) (Plan, bool) {
	states := make([]state, len(workers))
	order := make([]*state, len(workers))
	for i := range workers {
		w := &workers[i]
		states[i] = state{w: w, free: w.Free, fits: c.Need.Times(w.Free, w.Limit), stale: true}
		order[i] = &states[i]
	}
	slices.SortStableFunc(order, func(x, y *state) int {
		if x.w.NoTicket != y.w.NoTicket {
			if y.w.NoTicket {
				return -1
			}
			return 1
		}
		return cmp.Compare(y.fits, x.fits)
	})
	missing := c.Count
	for _, x := range order {
		x.n = min(missing, x.fits)
		missing -= x.n
	}
	if missing > 0 {
		for _, x := range order {
			x.collect(c)
		}
	}
	for missing > 0 {
		var from *state
		for _, x := range order {
			if x.refresh(c, missing); x.best.gain > 0 && (from == nil || x.best.better(&from.best)) {
				from = x
			}
		}
		if from == nil {
			return Plan{}, false
		}
		missing -= from.best.gain
		from.take()
	}
	return planOf(c, order), true
}

// collect lists the runs of a worker that may be stopped.
func (x *state) collect(c Claim) {
	if x.fits >= x.w.Limit {
		return
	}
	for i := range x.w.Runs {
		if r := &x.w.Runs[i]; r.Eligible(&c) {
			x.left = append(x.left, candidate{r, r.Loss()})
		}
	}
	slices.SortStableFunc(x.left, func(a, b candidate) int {
		return cmp.Compare(a.loss*float64(max(b.run.Size.CPU, 1)), b.loss*float64(max(a.run.Size.CPU, 1)))
	})
}

// refresh computes the worker's best option again if it may have changed.
func (x *state) refresh(c Claim, missing int) {
	if x.stale || x.best.gain > missing {
		x.best = x.next(c, missing)
		x.stale = false
	}
}

// next returns the way to get more slots on the worker with the least loss per slot, among those
// that stop the first runs of the list without needless ones.
func (x *state) next(c Claim, missing int) (best option) {
	if x.n >= x.w.Limit {
		return option{}
	}
	free, most := x.free, 0
	for i := range x.left {
		free = free.Add(x.left[i].run.Size)
		gain := min(c.Need.Times(free, x.w.Limit)-x.n, missing)
		if gain <= most {
			continue
		}
		most = gain
		o := option{victims: needed(c.Need, free, x.n+gain, x.left[:i+1]), gain: gain}
		if x.n == 0 && x.w.NoTicket {
			o.loss = nameCost
		}
		for _, v := range o.victims {
			o.loss += v.loss
		}
		if o.better(&best) {
			best = o
		}
		if gain == missing {
			break
		}
	}
	return best
}

// needed returns those of the victims without which there would be fewer than n slots. free is the
// free capacity with that of all victims. Victims with the greatest loss are dropped first.
func needed(need, free work.Resources, n int, victims []candidate) []candidate {
	kept := slices.Clone(victims)
	slices.SortStableFunc(kept, func(a, b candidate) int { return cmp.Compare(b.loss, a.loss) })
	return slices.DeleteFunc(kept, func(v candidate) bool {
		rest := free.Sub(v.run.Size)
		if need.Times(rest, n) < n {
			return false
		}
		free = rest
		return true
	})
}

// take adds the best option to the plan.
func (x *state) take() {
	for _, v := range x.best.victims {
		x.free = x.free.Add(v.run.Size)
		x.left = slices.DeleteFunc(x.left, func(l candidate) bool { return l.run == v.run })
	}
	x.victims = append(x.victims, x.best.victims...)
	x.n += x.best.gain
	x.stale = true
}

// planOf returns the plan for the chosen slots. It drops needless victims: options that are chosen
// one after the other on a worker may together stop more runs than their slots need.
func planOf(c Claim, states []*state) Plan {
	var p Plan
	for _, x := range states {
		if x.n == 0 {
			continue
		}
		slots := Slots{Worker: *x.w, N: x.n}
		for _, v := range needed(c.Need, x.free, x.n, x.victims) {
			slots.Victims = append(slots.Victims, *v.run)
			p.Loss += v.loss
		}
		p.Victims += len(slots.Victims)
		p.Slots = append(p.Slots, slots)
	}
	return p
}

// Budget is a token bucket that bounds the stops: it gains Rate stops per second and holds at most
// Rate.
type Budget struct {
	Rate int
	left float64
	at   time.Duration
	used bool
}

// Left returns how many stops are allowed now.
func (b *Budget) Left(now time.Duration) int {
	if !b.used {
		b.used, b.left = true, float64(b.Rate)
	} else {
		b.left = min(b.left+float64(b.Rate)*(now-b.at).Seconds(), float64(b.Rate))
	}
	b.at = now
	return int(max(b.left, 0))
}

// Spend takes n stops from the budget.
func (b *Budget) Spend(now time.Duration, n int) {
	b.Left(now)
	b.left -= float64(n)
}
