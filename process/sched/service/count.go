package service

import (
	"cmp"

	"fennelshunt.example/fennelshunt/process/sched/snapshot"
	"fennelshunt.example/fennelshunt/version/spec"
)

// Load is how many instances of a job a rack and its zone have: those of the
// wanted generation, and of others. The fields are in order of weight.
type Load struct {
	ZoneTasks, ZoneOld int32
	RackTasks, RackOld int32
}

// Compare orders loads, the lightest first.
func (l Load) Compare(o Load) int {
	return cmp.Or(cmp.Compare(l.ZoneTasks, o.ZoneTasks), cmp.Compare(l.ZoneOld, o.ZoneOld),
		cmp.Compare(l.RackTasks, o.RackTasks), cmp.Compare(l.RackOld, o.RackOld))
}

// count is how a job's instances lie over zones and racks.
type count struct {
	racks map[int32]Load  // only racks that have any
	zones map[string]Load // only the zone's fields are set
}

// countOf reads a job's counts; its cost is that of the racks that have any.
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

// rack returns the load of a rack in its zone.
func (c *count) rack(rack int32, zone string) Load {
	l, z := c.racks[rack], c.zones[zone]
	l.ZoneTasks, l.ZoneOld = z.ZoneTasks, z.ZoneOld
	return l
}
