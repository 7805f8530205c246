package gang

import (
	"cmp"
	"slices"
	"strings"
)

// choose returns spots with room for n tasks, near each other when possible.
// The racks together must have room for n.
func (r racks) choose(n int) []spot {
	if i := r.tightest(n); i >= 0 {
		return r[i].ordered()
	}
	if chosen := r.zone(n); chosen != nil {
		return chosen.ordered()
	}
	return r.fewest(n).ordered()
}

// tightest returns the rack with the least room that has enough, or -1.
func (r racks) tightest(n int) int {
	best := -1
	for i := range r {
		if r[i].places < n {
			continue
		}
		if best < 0 || r[i].compare(&r[best]) < 0 {
			best = i
		}
	}
	return best
}

// compare orders racks with enough room: those without foreign accelerators
// first, then the tighter one.
func (r *rackRoom) compare(o *rackRoom) int {
	if r.keep != o.keep {
		if o.keep {
			return -1
		}
		return 1
	}
	return cmp.Compare(r.places, o.places)
}

// zone returns racks with room for n within the one zone that needs the fewest
// racks; nil when no zone has room.
func (r racks) zone(n int) racks {
	zones := map[string]racks{}
	for i := range r {
		zones[r[i].zone] = append(zones[r[i].zone], r[i])
	}
	var best racks
	var bestZone string
	for name, in := range zones {
		if in.places() < n {
			continue
		}
		chosen := in.fewest(n)
		c := cmp.Compare(len(chosen), len(best))
		if best == nil || c < 0 || (c == 0 && name < bestZone) {
			best, bestZone = chosen, name
		}
	}
	return best
}

// fewest returns as few racks with room for n as there are: the largest, and
// for the rest the tightest rack that has enough.
func (r racks) fewest(n int) racks {
	sorted := slices.Clone(r)
	slices.SortStableFunc(sorted, func(a, b rackRoom) int { return cmp.Compare(b.places, a.places) })
	for i := range sorted {
		n -= sorted[i].places
		if n > 0 {
			continue
		}
		n += sorted[i].places
		last := sorted[i:].tightest(n)
		return append(sorted[:i:i], sorted[i+last])
	}
	return sorted
}

func (r racks) ordered() []spot {
	var out []spot
	for i := range r {
		out = append(out, r[i].ordered()...)
	}
	return out
}

// ordered returns the rack's spots, those with the least room first, so that
// leftovers are used up and whole VMs stay free.
func (r *rackRoom) ordered() []spot {
	spots := slices.Clone(r.spots)
	slices.SortFunc(spots, func(a, b spot) int {
		return cmp.Or(cmp.Compare(a.places, b.places), strings.Compare(string(a.worker.ID), string(b.worker.ID)))
	})
	return spots
}
