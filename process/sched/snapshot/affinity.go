package snapshot

import "github.com/cespare/xxhash/v2"

// Lane stands for a partition in the index. Partitions of a large cell may
// share one; a preference for the one is then also one for the other.
type Lane uint8

// Lanes is the number of lanes.
const Lanes = 256

// LaneOf returns the lane of a partition.
func LaneOf(partition string) Lane { return Lane(xxhash.Sum64String(partition)) }

// Home is how far each lane is from a scheduler: 0 for its home partitions, and
// for the others from 0.5 to 1 in an order of its own, so that schedulers whose
// home is full do not all turn to the same partition.
type Home [Lanes]float64

// nearest is the least distance of a lane that is not a home.
const nearest = 0.5

// NewHome returns the distances for a scheduler of a name.
func NewHome(scheduler string, partitions []string) *Home {
	h := new(Home)
	name := xxhash.Sum64String(scheduler)
	for lane := range h {
		mixed := (name ^ uint64(lane)) * mixFactor
		h[lane] = nearest + (1-nearest)*fraction(mixed)
	}
	for _, p := range partitions {
		h[LaneOf(p)] = 0
	}
	return h
}

// mixFactor spreads neighbouring lanes over the whole range: 2^64 divided by
// the golden ratio.
const mixFactor = 0x9e3779b97f4a7c15

// fraction maps the upper bits of x, as many as a float32 holds, to [0, 1).
func fraction(x uint64) float64 {
	const bits = 24
	return float64(x>>(64-bits)) / (1 << bits)
}
