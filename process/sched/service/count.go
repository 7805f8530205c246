package service

import (
	"cmp"

	"fennelshunt.example/fennelshunt/process/sched/snapshot"
	"fennelshunt.example/fennelshunt/version/spec"
)

// Load is how many instances of a job a rack and its zone have: those of the
// wanted generation, and of earlier ones. The fields are in order of weight.
type Load struct {
	ZoneTasks, ZoneOld int32
	RackTasks, RackOld int32
}

// Compare orders loads, the lightest first.
func (l Load) Compare(o Load) int {
	return cmp.Or(cmp.Compare(l.ZoneTasks, o.ZoneTasks), cmp.Compare(l.ZoneOld, o.ZoneOld),
		cmp.Compare(l.RackTasks, o.RackTasks), cmp.Compare(l.RackOld, o.RackOld))
}

// Counts is how a job's instances lie over zones and racks.
type Counts struct {
	racks map[int32]Load
	zones map[string]Load
}

// Count reads a job's counts; its cost is that of the racks that have any.
func Count(v *snapshot.View, task spec.TaskID) Counts {
	c := Counts{racks: map[int32]Load{}, zones: map[string]Load{}}
	v.JobRacks(task.Job, func(generation uint64, rack, n int32) {
		c.add(v, rack, n, generation == task.Generation)
	})
	return c
}

func (c Counts) add(v *snapshot.View, rack, n int32, current bool) {
	zone := v.Racks()[rack].Zone
	r, z := c.racks[rack], c.zones[zone]
	if current {
		r.RackTasks += n
		z.ZoneTasks += n
	} else {
		r.RackOld += n
		z.ZoneOld += n
	}
	c.racks[rack], c.zones[zone] = r, z
}

// Rack returns the load of a rack in its zone.
func (c Counts) Rack(rack int32, zone string) Load {
	l, z := c.racks[rack], c.zones[zone]
	l.ZoneTasks, l.ZoneOld = z.ZoneTasks, z.ZoneOld
	return l
}
