package service

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"fennelshunt.example/fennelshunt/process/sched/filter"
)

// group is a set of equally loaded racks: individual racks that have instances of
// the job, and for some zones all racks that have none. The latter are the majority
// in a large cell and therefore not listed individually.
type group struct {
	load  Load
	racks []int32
	zones []string
}

// groups returns the racks that the constraints allow, the least loaded first.
func (s *search) groups() []*group {
	byLoad := map[Load]*group{}
	groupFor := func(l Load) *group {
		if byLoad[l] == nil {
			byLoad[l] = &group{load: l}
		}
		return byLoad[l]
	}
	for _, rack := range slices.Sorted(maps.Keys(s.count.racks)) {
		r := &s.view.Racks()[rack]
		if filter.ZoneAllowed(s.ask, r.Zone) && filter.RackAllowed(s.ask, r.Name) {
			g := groupFor(s.rack(rack, r.Zone))
			g.racks = append(g.racks, rack)
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(s.view.Zones())) {
		if filter.ZoneAllowed(s.ask, zone) {
			g := groupFor(s.rack(noRack, zone))
			g.zones = append(g.zones, zone)
		}
	}
	return slices.SortedFunc(maps.Values(byLoad), func(a, b *group) int { return a.load.Compare(b.load) })
}

// noRack is an index without a rack. Its load is that of a rack without instances.
const noRack = -1

// each calls f for each rack of a group until it returns false. Racks without
// instances are visited starting at one derived from the job, so that services
// with more feasible workers than SampleSize do not all choose the same racks.
func (s *search) each(g *group, f func(rack int32) bool) {
	for _, rack := range g.racks {
		if !f(rack) {
			return
		}
	}
	start := xxhash.Sum64String(s.ask.Task.Job)
	for _, zone := range g.zones {
		racks := s.view.Zones()[zone]
		for i := range racks {
			rack := racks[(start+uint64(i))%uint64(len(racks))]
			if s.empty(rack) && !f(rack) {
				return
			}
		}
	}
}

// empty reports whether a rack is allowed and has no instance of the job.
func (s *search) empty(rack int32) bool {
	_, counted := s.count.racks[rack]
	return !counted && filter.RackAllowed(s.ask, s.view.Racks()[rack].Name)
}
