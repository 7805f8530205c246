package preempt

import (
	"cmp"
	"slices"

	"fennelshunt.example/fennelshunt/version/spec"
)

// choose returns victims that free what is missing, given candidates that together
// free enough. Covering several dimensions at minimum cost is a hard problem, so it
// takes the cheapest of three heuristic solutions: the cheapest tasks first, the
// tasks with the lowest cost per freed amount first, and a single task. The result
// is valid only until the next call.
func (s *search) choose(candidates []victim, missing spec.Resources) []victim {
	slices.SortFunc(candidates, func(a, b victim) int { return cmp.Compare(a.cost, b.cost) })
	s.ordered = append(s.ordered[:0], candidates...)
	best := cover(s.ordered, missing)
	for i := range candidates {
		if candidates[i].cost < totalCost(best) && missing.Fits(candidates[i].size) {
			best = candidates[i : i+1]
			break // sorted by cost, so the first is the cheapest
		}
	}
	byPrice := slices.Clone(candidates)
	slices.SortStableFunc(byPrice, func(a, b victim) int {
		return cmp.Compare(a.cost/coverage(a.size, missing), b.cost/coverage(b.size, missing))
	})
	if other := cover(byPrice, missing); totalCost(other) < totalCost(best) {
		return other
	}
	return best
}

// cover takes victims in order until what is missing is freed, and then drops those
// that turn out to be unnecessary, the most expensive first. It works in place.
func cover(ordered []victim, missing spec.Resources) []victim {
	var freed spec.Resources
	n := 0
	for n < len(ordered) && !missing.Fits(freed) {
		freed = freed.Add(ordered[n].size)
		n++
	}
	chosen := ordered[:n]
	slices.SortFunc(chosen, func(a, b victim) int { return cmp.Compare(b.cost, a.cost) })
	return slices.DeleteFunc(chosen, func(v victim) bool {
		without := freed.Sub(v.size)
		if !missing.Fits(without) {
			return false
		}
		freed = without
		return true
	})
}

// coverage returns how much of what is missing a size frees, as a fraction summed
// over dimensions. It is never 0, so that it can be a divisor.
func coverage(size, missing spec.Resources) float64 {
	const epsilon = 1e-9
	return epsilon + fraction(size.MilliCPU, missing.MilliCPU) + fraction(size.MemoryMB, missing.MemoryMB) +
		fraction(size.Accelerators, missing.Accelerators)
}

func fraction(size, missing int64) float64 {
	if missing <= 0 {
		return 0
	}
	return float64(min(size, missing)) / float64(missing)
}

// lowerBound returns a lower bound of the cost of any set of victims: all of what is
// missing at the lowest cost per freed amount of any victim.
func lowerBound(candidates []victim, missing spec.Resources) float64 {
	least := -1.0
	for i := range candidates {
		if price := candidates[i].cost / coverage(candidates[i].size, missing); least < 0 || price < least {
			least = price
		}
	}
	return max(0, least) * coverage(missing, missing)
}

func totalCost(victims []victim) float64 {
	sum := 0.0
	for i := range victims {
		sum += victims[i].cost
	}
	return sum
}
