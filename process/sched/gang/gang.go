// Package gang places gangs: tasks that make progress only when all of them run,
// so that either every task gets a worker or none does. It chooses the tightest
// rack on which the whole gang fits, else the zone that needs the fewest racks,
// else the fewest racks of any zones.
//
// For a gang that does not fit now, it computes a Shadow, as in EASY backfilling:
// the earliest time at which the gang is expected to fit and the capacity to
// reserve for it until then. Other tasks are backfilled if they are expected to
// end before that time or do not use reserved capacity.
package gang

import (
	"fmt"

	"fennelshunt.example/fennelshunt/process/sched/batch"
	"fennelshunt.example/fennelshunt/process/sched/filter"
	"fennelshunt.example/fennelshunt/process/sched/snapshot"
)

// Place decides on all asks and leaves the view unchanged.
//
// If all asks have the same size, as a job declares them, it finds a placement
// whenever there is one. Asks of mixed sizes are placed greedily one after the
// other, which may miss a placement that an exhaustive search would find.
func Place(v *snapshot.View, asks []snapshot.Ask) snapshot.GangDecision {
	if len(asks) == 0 {
		return snapshot.GangDecision{Placed: true}
	}
	if !uniform(asks) {
		return placeMixed(v, asks)
	}
	all := feasibleRacks(v, &asks[0])
	if total := all.tasks(); total < len(asks) {
		return refuse(v, asks, total)
	}
	return assign(asks, all.choose(len(asks)))
}

// uniform reports whether all asks are interchangeable: one job, one size, and no
// workers to avoid.
func uniform(asks []snapshot.Ask) bool {
	for i := range asks {
		if asks[i].Size != asks[0].Size || len(asks[i].Avoid) > 0 || asks[i].Task.Job != asks[0].Task.Job {
			return false
		}
	}
	return true
}

// assign distributes the asks over the candidates, in order.
func assign(asks []snapshot.Ask, candidates []candidate) snapshot.GangDecision {
	decisions := make([]snapshot.Decision, 0, len(asks))
	for _, c := range candidates {
		for n := c.tasks; n > 0 && len(decisions) < len(asks); n-- {
			decisions = append(decisions, snapshot.Decision{Worker: c.worker.ID, Partition: c.worker.Partition})
		}
	}
	return snapshot.GangDecision{Placed: true, Decisions: decisions, Fit: len(asks)}
}

// refuse returns the decision for a gang that does not fit: why it has to wait, or
// why it can never run.
func refuse(v *snapshot.View, asks []snapshot.Ask, fit int) snapshot.GangDecision {
	d := snapshot.GangDecision{Fit: fit}
	d.Rejections, d.Infeasible = filter.Explain(v, &asks[0])
	if d.Infeasible != "" || v.Len() == 0 {
		return d
	}
	if most := maxTasks(v, &asks[0]); most < len(asks) {
		d.Infeasible = fmt.Sprintf("needs %d places at once; all allowed VMs together have %d when empty", len(asks), most)
	}
	return d
}

// placeMixed places one ask after the other on the view and finally undoes all
// placements.
func placeMixed(v *snapshot.View, asks []snapshot.Ask) snapshot.GangDecision {
	decisions := make([]snapshot.Decision, 0, len(asks))
	defer func() {
		for i := range decisions {
			v.End(asks[i].Ref(), decisions[i].Worker)
		}
	}()
	for i := range asks {
		d, ok := batch.Place(v, &asks[i])
		if !ok {
			rejections, infeasible := filter.Explain(v, &asks[i])
			return snapshot.GangDecision{Fit: i, Rejections: rejections, Infeasible: infeasible}
		}
		v.Start(&asks[i], d.Worker)
		decisions = append(decisions, d)
	}
	return snapshot.GangDecision{Placed: true, Decisions: decisions, Fit: len(asks)}
}
