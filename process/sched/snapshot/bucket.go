package snapshot

import (
	"math"

	"fennelshunt.example/fennelshunt/version/spec"
)

// Entry is what a cell holds of a worker: enough to filter and score it
// without a look at its record.
type Entry struct {
	CPU    int64 // free milli processors
	Memory int64 // free MB
	Accel  int16 // free accelerators
	Idle   bool  // nothing is reserved
	Lane   Lane  // of the worker's partition
	Worker Index
}

// EntryOf returns the entry of a worker.
func EntryOf(w *Worker) Entry {
	free := w.Free()
	return Entry{
		CPU: free.MilliCPU, Memory: free.MemoryMB, Accel: int16(min(free.Accelerators, math.MaxInt16)),
		Idle: w.Reserved.IsZero(), Lane: w.lane, Worker: w.index,
	}
}

// free returns the free processors and memory.
func (e *Entry) free() spec.Resources {
	return spec.Resources{MilliCPU: e.CPU, MemoryMB: e.Memory}
}

// Fits reports whether a task of this size fits.
func (e *Entry) Fits(size *spec.Resources) bool {
	return size.MilliCPU <= e.CPU && size.MemoryMB <= e.Memory && size.Accelerators <= int64(e.Accel)
}

// pageSize bounds what one change copies after a fork.
const pageSize = 64

// page is part of a cell. A table that is not the owner copies it before the
// first write.
type page struct {
	owner   *owner
	entries []Entry
}

// cell lists the workers of a class whose free capacity is alike. Every page
// but the last is full.
type cell struct {
	owner *owner
	pages []*page
}

// writable returns a page that the owner may change.
func (c *cell) writable(o *owner, n int) *page {
	p := c.pages[n]
	if p.owner != o {
		p = &page{owner: o, entries: append(make([]Entry, 0, len(p.entries)+1), p.entries...)}
		c.pages[n] = p
	}
	return p
}

// add appends an entry and returns its position.
func (c *cell) add(o *owner, e Entry) int32 {
	last := len(c.pages) - 1
	if last < 0 || len(c.pages[last].entries) == pageSize {
		c.pages = append(c.pages, &page{owner: o})
		last++
	}
	p := c.writable(o, last)
	p.entries = append(p.entries, e)
	return int32(last*pageSize + len(p.entries) - 1)
}

// remove takes out the entry at a position by moving the last one there. It
// returns the worker moved, or -1.
func (c *cell) remove(o *owner, position int32) Index {
	last := len(c.pages) - 1
	p := c.writable(o, last)
	moved := p.entries[len(p.entries)-1]
	p.entries = p.entries[:len(p.entries)-1]
	target := int32(last*pageSize + len(p.entries))
	if len(p.entries) == 0 {
		c.pages = c.pages[:last]
	}
	if target == position {
		return -1
	}
	c.writable(o, int(position)/pageSize).entries[position%pageSize] = moved
	return moved.Worker
}
