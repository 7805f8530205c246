// Package gang places tasks that only make progress when all of them run: every
// task gets a worker or none does. It looks for one rack with room for all, the
// tightest that has it, then for the zone that needs the fewest racks, then for
// racks anywhere.
//
// A gang that finds no room gets a Shadow: the earliest time at which it could
// start and the capacity to keep for it until then. Small work goes on beside
// it (backfill) where it ends before that time or takes nothing of what is kept.
package gang

import (
	"fmt"

	"fennelshunt.example/fennelshunt/process/sched/batch"
	"fennelshunt.example/fennelshunt/process/sched/filter"
	"fennelshunt.example/fennelshunt/process/sched/snapshot"
)

// Place decides on all asks and leaves the view as it was.
//
// For asks of one size, which is what a job declares, it finds room whenever
// there is any. For mixed sizes it places one after the other, each on its best
// worker, and may miss an arrangement that a search over all would find.
func Place(v *snapshot.View, asks []snapshot.Ask) snapshot.GangDecision {
	if len(asks) == 0 {
		return snapshot.GangDecision{Placed: true}
	}
	if !alike(asks) {
		return placeMixed(v, asks)
	}
	all := room(v, &asks[0])
	if total := all.places(); total < len(asks) {
		return refuse(v, asks, total)
	}
	return assign(asks, all.choose(len(asks)))
}

func alike(asks []snapshot.Ask) bool {
	for i := range asks {
		if asks[i].Size != asks[0].Size || len(asks[i].Avoid) > 0 || asks[i].Task.Job != asks[0].Task.Job {
			return false
		}
	}
	return true
}

// assign gives the asks to spots, in order.
func assign(asks []snapshot.Ask, spots []spot) snapshot.GangDecision {
	decisions := make([]snapshot.Decision, 0, len(asks))
	for _, s := range spots {
		for n := s.places; n > 0 && len(decisions) < len(asks); n-- {
			decisions = append(decisions, snapshot.Decision{Worker: s.worker.ID, Partition: s.worker.Partition})
		}
	}
	return snapshot.GangDecision{Placed: true, Decisions: decisions, Fit: len(asks)}
}

// refuse tells why a gang has to wait, or that it never fits.
func refuse(v *snapshot.View, asks []snapshot.Ask, fit int) snapshot.GangDecision {
	d := snapshot.GangDecision{Fit: fit}
	d.Rejections, d.Infeasible = filter.Explain(v, &asks[0])
	if d.Infeasible != "" || v.Len() == 0 {
		return d
	}
	if most := capacity(v, &asks[0]); most < len(asks) {
		d.Infeasible = fmt.Sprintf("needs %d places at once; all allowed VMs together have %d when empty", len(asks), most)
	}
	return d
}

// placeMixed places one ask after the other on the view and takes all back.
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
