package service

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"fennelshunt.example/fennelshunt/process/sched/filter"
)

// group is a set of racks that are equally loaded: some by name, and of some
// zones all that have no instance of the job. The latter are most of a large
// cell and are not listed one by one.
type group struct {
	load  Load
	racks []int32
	zones []string
}

// groups returns the racks that the constraints allow, the least loaded first.
func (s *search) groups() []*group {
	byLoad := map[Load]*group{}
	at := func(l Load) *group {
		if byLoad[l] == nil {
			byLoad[l] = &group{load: l}
		}
		return byLoad[l]
	}
	for _, rack := range slices.Sorted(maps.Keys(s.count.racks)) {
		r := &s.view.Racks()[rack]
		if filter.ZoneAllowed(s.ask, r.Zone) && filter.RackAllowed(s.ask, r.Name) {
			g := at(s.rack(rack, r.Zone))
			g.racks = append(g.racks, rack)
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(s.view.Zones())) {
		if filter.ZoneAllowed(s.ask, zone) {
			g := at(s.rack(noRack, zone))
			g.zones = append(g.zones, zone)
		}
	}
	return slices.SortedFunc(maps.Values(byLoad), func(a, b *group) int { return a.load.Compare(b.load) })
}

// noRack is the position of no rack; its load is that of a rack without any
// instance.
const noRack = -1

// each calls f for each rack of a group until it returns false. The racks
// without instances begin at one drawn from the job, so that services that find
// more room than is rated do not all fall on the same racks.
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

// empty reports whether a rack has no instance and is allowed.
func (s *search) empty(rack int32) bool {
	_, counted := s.count.racks[rack]
	return !counted && filter.RackAllowed(s.ask, s.view.Racks()[rack].Name)
}
