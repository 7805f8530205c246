package snapshot

import "github.com/cespare/xxhash/v2"

// PartitionHash identifies a partition in the index. In a large cell several
// partitions may have the same hash; preferring one of them then prefers all.
type PartitionHash uint8

// PartitionHashes is the number of partition hashes.
const PartitionHashes = 256

// HashPartition returns the hash of a partition.
func HashPartition(name string) PartitionHash { return PartitionHash(xxhash.Sum64String(name)) }

// Affinity is the distance of each partition from a scheduler: 0 for the preferred
// partitions, and from 0.5 to 1 for the others. The order of the others differs
// between schedulers, so that schedulers whose preferred partitions are full do
// not all choose the same partition next.
type Affinity [PartitionHashes]float64

// minDistance is the least distance of a partition that is not preferred.
const minDistance = 0.5

// NewAffinity returns the affinity of the named scheduler to the partitions.
func NewAffinity(scheduler string, partitions []string) *Affinity {
	a := new(Affinity)
	name := xxhash.Sum64String(scheduler)
	for hash := range a {
		mixed := (name ^ uint64(hash)) * mixFactor
		a[hash] = minDistance + (1-minDistance)*fraction(mixed)
	}
	for _, p := range partitions {
		a[HashPartition(p)] = 0
	}
	return a
}

// mixFactor spreads adjacent hashes over the whole range. It is 2^64 divided by the
// golden ratio.
const mixFactor = 0x9e3779b97f4a7c15

// fraction maps the upper bits of x, as many as a float32 holds, to [0, 1).
func fraction(x uint64) float64 {
	const bits = 24
	return float64(x>>(64-bits)) / (1 << bits)
}
