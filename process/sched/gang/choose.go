package gang

import (
	"cmp"
	"slices"
	"strings"
)

// choose returns candidates on which n tasks fit, near each other if possible. At
// least n tasks must fit on the racks together.
func (r racks) choose(n int) []candidate {
	if i := r.tightest(n); i >= 0 {
		return r[i].ordered()
	}
	if chosen := r.zone(n); chosen != nil {
		return chosen.ordered()
	}
	return r.fewest(n).ordered()
}

// tightest returns the index of the rack on which the fewest tasks fit, but at
// least n, or -1.
func (r racks) tightest(n int) int {
	best := -1
	for i := range r {
		if r[i].tasks < n {
			continue
		}
		if best < 0 || r[i].compare(&r[best]) < 0 {
			best = i
		}
	}
	return best
}

// compare orders racks on which the gang fits: first racks whose accelerators it
// would not waste, and among equal ones the tighter rack.
func (r *rackCapacity) compare(o *rackCapacity) int {
	if r.wastesAccelerators != o.wastesAccelerators {
		if o.wastesAccelerators {
			return -1
		}
		return 1
	}
	return cmp.Compare(r.tasks, o.tasks)
}

// zone returns racks on which n tasks fit within a single zone, the one that needs
// the fewest racks. It returns nil when no zone has enough capacity.
func (r racks) zone(n int) racks {
	zones := map[string]racks{}
	for i := range r {
		zones[r[i].zone] = append(zones[r[i].zone], r[i])
	}
	var best racks
	var bestZone string
	for name, in := range zones {
		if in.tasks() < n {
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

// fewest returns the fewest racks on which n tasks fit: the largest racks, and for
// the remaining tasks the tightest rack on which they fit.
func (r racks) fewest(n int) racks {
	sorted := slices.Clone(r)
	slices.SortStableFunc(sorted, func(a, b rackCapacity) int { return cmp.Compare(b.tasks, a.tasks) })
	for i := range sorted {
		n -= sorted[i].tasks
		if n > 0 {
			continue
		}
		n += sorted[i].tasks
		last := sorted[i:].tightest(n)
		return append(sorted[:i:i], sorted[i+last])
	}
	return sorted
}

func (r racks) ordered() []candidate {
	var out []candidate
	for i := range r {
		out = append(out, r[i].ordered()...)
	}
	return out
}

// ordered returns the rack's candidates, those on which the fewest tasks fit first,
// so that small remainders are used up and whole VMs stay free.
func (r *rackCapacity) ordered() []candidate {
	sorted := slices.Clone(r.candidates)
	slices.SortFunc(sorted, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.tasks, b.tasks), strings.Compare(string(a.worker.ID), string(b.worker.ID)))
	})
	return sorted
}
