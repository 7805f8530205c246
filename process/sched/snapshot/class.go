package snapshot

import (
	"math/bits"

	"fennelshunt.example/fennelshunt/version/spec"
)

// Levels is the number of ranges into which a class divides free CPU, and free
// memory likewise.
const Levels = 32

// capacitySteps is the number of steps per power of two to which capacities are
// rounded up, so that VMs of about the same size share a class.
const capacitySteps = 16

// classKey identifies a class of workers.
type classKey struct {
	zone  string
	cpu   int64
	mem   int64
	accel int64
}

func classOf(zone string, capacity spec.Resources) classKey {
	return classKey{
		zone: zone, cpu: roundUp(capacity.MilliCPU), mem: roundUp(capacity.MemoryMB),
		accel: capacity.Accelerators,
	}
}

// roundUp rounds up to the next of the capacitySteps steps per power of two.
func roundUp(v int64) int64 {
	if v <= capacitySteps {
		return max(v, 1)
	}
	step := int64(1) << (bits.Len64(uint64(v-1)) - 1) / capacitySteps
	return (v + step - 1) / step * step
}

// WorkerClass indexes the workers of one zone with about the same capacity by
// their free capacity: a grid of buckets, with a bitmap of the non-empty buckets
// per row, so that a search skips buckets that are empty or too small.
type WorkerClass struct {
	Zone string
	// Reference is the capacity relative to which free amounts are expressed. It
	// is at least the capacity of every worker in the class.
	Reference spec.Resources

	owner *owner
	rows  [Levels]*bucketRow
	// occupied has one bitmap per row: the non-empty buckets by CPU level.
	occupied [Levels]uint32
	// workers is the number of usable workers, which are those in buckets, and
	// free is the sum of their free CPU and memory.
	workers int64
	free    spec.Resources
}

// bucketRow holds the buckets of one memory level. It is copied before the first
// write by another owner, and so is the class: 32 pointers each instead of 1,024.
type bucketRow struct {
	owner   *owner
	buckets [Levels]*bucket
}

func newClass(o *owner, key classKey) *WorkerClass {
	ref := spec.Resources{MilliCPU: key.cpu, MemoryMB: key.mem, Accelerators: key.accel}
	return &WorkerClass{Zone: key.zone, Reference: ref, owner: o}
}

// level returns the range into which a free amount falls.
func level(free, reference int64) int {
	if free <= 0 {
		return 0
	}
	return int(min(free*Levels/reference, Levels-1))
}

// bucketOf returns the position of the bucket for a free amount.
func (c *WorkerClass) bucketOf(free spec.Resources) int32 {
	row := level(free.MemoryMB, c.Reference.MemoryMB)
	return int32(row*Levels + level(free.MilliCPU, c.Reference.MilliCPU))
}

// insert adds a worker to a bucket and returns its position there.
func (c *WorkerClass) insert(o *owner, at int32, e Entry) int32 {
	c.workers++
	c.free = c.free.Add(e.free())
	c.occupied[at/Levels] |= 1 << (at % Levels)
	return c.writable(o, at).add(o, e)
}

// remove removes a worker and returns the one moved to its position, or -1.
func (c *WorkerClass) remove(o *owner, at, position int32) Index {
	c.workers--
	b := c.writable(o, at)
	c.free = c.free.Sub(b.pages[position/pageSize].entries[position%pageSize].free())
	moved := b.remove(o, position)
	if len(b.pages) == 0 {
		c.occupied[at/Levels] &^= 1 << (at % Levels)
	}
	return moved
}

func (c *WorkerClass) writable(o *owner, at int32) *bucket {
	row := c.writableRow(o, at/Levels)
	old := row.buckets[at%Levels]
	switch {
	case old == nil:
		row.buckets[at%Levels] = &bucket{owner: o}
	case old.owner != o:
		row.buckets[at%Levels] = &bucket{owner: o, pages: append([]*page(nil), old.pages...)}
	}
	return row.buckets[at%Levels]
}

func (c *WorkerClass) writableRow(o *owner, n int32) *bucketRow {
	old := c.rows[n]
	switch {
	case old == nil:
		c.rows[n] = &bucketRow{owner: o}
	case old.owner != o:
		c.rows[n] = &bucketRow{owner: o, buckets: old.buckets}
	}
	return c.rows[n]
}

// bucket returns a bucket, or nil if no worker was ever in it.
func (c *WorkerClass) bucket(at int32) *bucket {
	if row := c.rows[at/Levels]; row != nil {
		return row.buckets[at%Levels]
	}
	return nil
}

// clone copies the class; its buckets stay shared until the first write.
func (c *WorkerClass) clone(o *owner) *WorkerClass {
	n := *c
	n.owner = o
	return &n
}

// Bounds is the range of free amounts of the workers in a bucket.
type Bounds struct {
	MinCPU, MaxCPU       int64
	MinMemory, MaxMemory int64
}

// Buckets calls visit for each non-empty bucket that may contain a worker on
// which the size fits, those with the least free capacity first. If visit returns
// false, the entries of the bucket are skipped. Otherwise each entry is passed to
// scan until scan returns false.
func (c *WorkerClass) Buckets(size *spec.Resources, visit func(Bounds) bool, scan func(*Entry) bool) {
	if size.Accelerators > c.Reference.Accelerators {
		return
	}
	first := level(size.MemoryMB, c.Reference.MemoryMB)
	mask := ^uint32(0) << level(size.MilliCPU, c.Reference.MilliCPU)
	for row := first; row < Levels; row++ {
		for columns := c.occupied[row] & mask; columns != 0; columns &= columns - 1 {
			column := bits.TrailingZeros32(columns)
			if visit(c.bounds(row, column)) {
				c.scanBucket(row, column, scan)
			}
		}
	}
}

func (c *WorkerClass) scanBucket(row, column int, scan func(*Entry) bool) {
	for _, p := range c.rows[row].buckets[column].pages {
		for i := range p.entries {
			if !scan(&p.entries[i]) {
				return
			}
		}
	}
}

func (c *WorkerClass) bounds(row, column int) Bounds {
	cpu, mem := c.Reference.MilliCPU, c.Reference.MemoryMB
	return Bounds{
		MinCPU: ceilDiv(int64(column)*cpu, Levels), MaxCPU: int64(column+1) * cpu / Levels,
		MinMemory: ceilDiv(int64(row)*mem, Levels), MaxMemory: int64(row+1) * mem / Levels,
	}
}

func ceilDiv(a, b int64) int64 { return (a + b - 1) / b }

// Reference returns the reference capacity of the class of a capacity.
func Reference(capacity spec.Resources) spec.Resources {
	key := classOf("", capacity)
	return spec.Resources{MilliCPU: key.cpu, MemoryMB: key.mem, Accelerators: key.accel}
}
