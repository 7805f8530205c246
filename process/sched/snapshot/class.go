package snapshot

import (
	"math/bits"

	"fennelshunt.example/fennelshunt/version/spec"
)

// Levels is the number of steps into which a class divides each of the free
// processors and the free memory.
const Levels = 32

// capacitySteps is the number of steps per doubling to which capacities are
// rounded up, so that VMs of about the same size share a class.
const capacitySteps = 16

// classKey names a class of workers that are indexed together.
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

// roundUp rounds to the next of capacitySteps steps per doubling.
func roundUp(v int64) int64 {
	if v <= capacitySteps {
		return max(v, 1)
	}
	step := int64(1) << (bits.Len64(uint64(v-1)) - 1) / capacitySteps
	return (v + step - 1) / step * step
}

// Class indexes the workers of one zone and about one capacity by what they
// have free: a grid of cells, and per row a bitmap of the cells in use, so that
// a search skips at once whatever is too small or empty.
type Class struct {
	Zone string
	// Reference is the capacity that free amounts are divided by; it is at
	// least the capacity of every worker in the class.
	Reference spec.Resources

	owner *owner
	cells [Levels]*cellRow
	// rows has one bitmap of processor levels per memory level.
	rows [Levels]uint32
	// workers counts the usable workers, which are those in cells, and free
	// is the sum of what they have free.
	workers int64
	free    spec.Resources
}

// cellRow is the cells of one memory level. It is copied before the first write
// by another owner, and the class with it: 32 pointers each, in place of 1,024.
type cellRow struct {
	owner *owner
	cells [Levels]*cell
}

func newClass(o *owner, key classKey) *Class {
	ref := spec.Resources{MilliCPU: key.cpu, MemoryMB: key.mem, Accelerators: key.accel}
	return &Class{Zone: key.zone, Reference: ref, owner: o}
}

// level returns the step of a free amount.
func level(free, reference int64) int {
	if free <= 0 {
		return 0
	}
	return int(min(free*Levels/reference, Levels-1))
}

// cellOf returns the position of the cell of a free amount.
func (c *Class) cellOf(free spec.Resources) int32 {
	row := level(free.MemoryMB, c.Reference.MemoryMB)
	return int32(row*Levels + level(free.MilliCPU, c.Reference.MilliCPU))
}

// insert adds a worker and returns its position in its cell.
func (c *Class) insert(o *owner, at int32, e Entry) int32 {
	c.workers++
	c.free = c.free.Add(e.free())
	c.rows[at/Levels] |= 1 << (at % Levels)
	return c.writable(o, at).add(o, e)
}

// remove takes a worker out and returns the one moved to its position, or -1.
func (c *Class) remove(o *owner, at, position int32) Index {
	c.workers--
	cell := c.writable(o, at)
	c.free = c.free.Sub(cell.pages[position/pageSize].entries[position%pageSize].free())
	moved := cell.remove(o, position)
	if len(cell.pages) == 0 {
		c.rows[at/Levels] &^= 1 << (at % Levels)
	}
	return moved
}

func (c *Class) writable(o *owner, at int32) *cell {
	row := c.writableRow(o, at/Levels)
	old := row.cells[at%Levels]
	switch {
	case old == nil:
		row.cells[at%Levels] = &cell{owner: o}
	case old.owner != o:
		row.cells[at%Levels] = &cell{owner: o, pages: append([]*page(nil), old.pages...)}
	}
	return row.cells[at%Levels]
}

func (c *Class) writableRow(o *owner, n int32) *cellRow {
	old := c.cells[n]
	switch {
	case old == nil:
		c.cells[n] = &cellRow{owner: o}
	case old.owner != o:
		c.cells[n] = &cellRow{owner: o, cells: old.cells}
	}
	return c.cells[n]
}

// cell returns a cell; nil when no worker was ever in it.
func (c *Class) cell(at int32) *cell {
	if row := c.cells[at/Levels]; row != nil {
		return row.cells[at%Levels]
	}
	return nil
}

// clone copies the class; its cells stay shared until written.
func (c *Class) clone(o *owner) *Class {
	n := *c
	n.owner = o
	return &n
}

// Bounds is the range of free amounts of a cell's workers.
type Bounds struct {
	MinCPU, MaxCPU       int64
	MinMemory, MaxMemory int64
}

// Cells calls visit for each cell in use that may hold a worker with room for
// the size, from the fullest up. When visit returns false, the cell's entries
// are skipped; else each is passed to scan until that returns false.
func (c *Class) Cells(size *spec.Resources, visit func(Bounds) bool, scan func(*Entry) bool) {
	if size.Accelerators > c.Reference.Accelerators {
		return
	}
	first := level(size.MemoryMB, c.Reference.MemoryMB)
	mask := ^uint32(0) << level(size.MilliCPU, c.Reference.MilliCPU)
	for row := first; row < Levels; row++ {
		for columns := c.rows[row] & mask; columns != 0; columns &= columns - 1 {
			column := bits.TrailingZeros32(columns)
			if visit(c.bounds(row, column)) {
				c.scanCell(row, column, scan)
			}
		}
	}
}

func (c *Class) scanCell(row, column int, scan func(*Entry) bool) {
	for _, p := range c.cells[row].cells[column].pages {
		for i := range p.entries {
			if !scan(&p.entries[i]) {
				return
			}
		}
	}
}

func (c *Class) bounds(row, column int) Bounds {
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
