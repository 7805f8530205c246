package service

import (
	"cmp"

	"fennelshunt.example/fennelshunt/process/sched/snapshot"
	"fennelshunt.example/fennelshunt/version/spec"
)

// Load is the number of instances of a job in a rack and its zone, separately for
// the ask's generation (Tasks) and all others (Old). The fields are listed in the
// order in which they are compared.
type Load struct {
	ZoneTasks, ZoneOld int32
	RackTasks, RackOld int32
}

// Compare orders loads, the lowest first.
func (l Load) Compare(o Load) int {
	return cmp.Or(cmp.Compare(l.ZoneTasks, o.ZoneTasks), cmp.Compare(l.ZoneOld, o.ZoneOld),
		cmp.Compare(l.RackTasks, o.RackTasks), cmp.Compare(l.RackOld, o.RackOld))
}

// count is the distribution of a job's instances over zones and racks.
type count struct {
	racks map[int32]Load  // only racks with instances; only the rack fields are set
	zones map[string]Load // only the zone fields are set
}

// countOf counts the instances of the ask's job. Its cost is linear in the racks
// that have any.
func countOf(v *snapshot.View, a *snapshot.Ask) count {
	c := count{racks: map[int32]Load{}, zones: map[string]Load{}}
	v.JobRacks(a.Task.Job, func(generation uint64, rack, n int32) {
		r, z := c.racks[rack], c.zones[v.Racks()[rack].Zone]
		if generation == a.Task.Generation {
			r.RackTasks += n
			z.ZoneTasks += n
		} else {
			r.RackOld += n
			z.ZoneOld += n
		}
		c.racks[rack], c.zones[v.Racks()[rack].Zone] = r, z
	})
	if a.Constraints.Spread == spec.SpreadRack {
		clear(c.zones)
	}
	return c
}

// rack returns the load of a rack, including that of its zone.
func (c *count) rack(rack int32, zone string) Load {
	l, z := c.racks[rack], c.zones[zone]
	l.ZoneTasks, l.ZoneOld = z.ZoneTasks, z.ZoneOld
	return l
}
