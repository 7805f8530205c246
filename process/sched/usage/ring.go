package usage

import "slices"

// ring holds the last Window values.
type ring struct {
	values []int64
	next   int
}

func (r *ring) add(v int64) {
	if len(r.values) < Window {
		r.values = append(r.values, v)
		return
	}
	r.values[r.next] = v
	r.next = (r.next + 1) % Window
}

func (r *ring) len() int { return len(r.values) }

// percentile returns the p-th percentile of the values (nearest rank), or 0 if
// there are none.
func (r *ring) percentile(p int) int64 {
	if len(r.values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(r.values))
	return sorted[(len(sorted)*p+99)/100-1]
}
