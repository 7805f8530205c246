package preempt

import (
	"cmp"
	"slices"

	"fennelshunt.example/fennelshunt/version/spec"
)

// choose returns victims whose end frees what is missing, given candidates that
// together free enough. To cover several dimensions at the least cost is a hard
// problem; the cheapest of three simple answers is taken: the cheapest tasks,
// those cheapest for what they free, and one task alone. The result is only
// good until the next call.
func (s *search) choose(candidates []victim, missing spec.Resources) []victim {
	slices.SortFunc(candidates, func(a, b victim) int { return cmp.Compare(a.lost, b.lost) })
	s.ordered = append(s.ordered[:0], candidates...)
	best := cover(s.ordered, missing)
	for i := range candidates {
		if candidates[i].lost < total(best) && missing.Fits(candidates[i].size) {
			best = candidates[i : i+1]
			break // sorted: the first is the cheapest
		}
	}
	byUse := slices.Clone(candidates)
	slices.SortStableFunc(byUse, func(a, b victim) int {
		return cmp.Compare(a.lost/use(a.size, missing), b.lost/use(b.size, missing))
	})
	if other := cover(byUse, missing); total(other) < total(best) {
		return other
	}
	return best
}

// cover takes victims in order until what is missing is freed, and then spares
// the dearest of them that turn out not to be needed. It works in place.
func cover(ordered []victim, missing spec.Resources) []victim {
	var freed spec.Resources
	n := 0
	for n < len(ordered) && !missing.Fits(freed) {
		freed = freed.Add(ordered[n].size)
		n++
	}
	chosen := ordered[:n]
	slices.SortFunc(chosen, func(a, b victim) int { return cmp.Compare(b.lost, a.lost) })
	return slices.DeleteFunc(chosen, func(v victim) bool {
		without := freed.Sub(v.size)
		if !missing.Fits(without) {
			return false
		}
		freed = without
		return true
	})
}

// use is how much of what is missing a size frees, summed over dimensions.
func use(size, missing spec.Resources) float64 {
	const none = 1e-9
	return none + part(size.MilliCPU, missing.MilliCPU) + part(size.MemoryMB, missing.MemoryMB) +
		part(size.Accelerators, missing.Accelerators)
}

func part(size, missing int64) float64 {
	if missing <= 0 {
		return 0
	}
	return float64(min(size, missing)) / float64(missing)
}

// bound returns a lower bound of what any set of victims loses: all of what is
// missing, in each dimension, at the price of the victim that frees it cheapest.
func bound(candidates []victim, missing spec.Resources) float64 {
	least := -1.0
	for i := range candidates {
		if price := candidates[i].lost / use(candidates[i].size, missing); least < 0 || price < least {
			least = price
		}
	}
	return max(0, least) * use(missing, missing)
}

func total(victims []victim) float64 {
	sum := 0.0
	for i := range victims {
		sum += victims[i].lost
	}
	return sum
}
