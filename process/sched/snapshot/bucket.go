package snapshot

import (
	"math"

	"fennelshunt.example/fennelshunt/version/spec"
)

// Entry describes a worker in a bucket of the index: enough to filter and score
// it without reading its record.
type Entry struct {
	CPU       int64 // free CPU, in thousandths of a core
	Memory    int64 // free memory, in MB
	Accel     int16 // free accelerators
	Idle      bool  // nothing is reserved
	Partition PartitionHash
	Worker    Index
}

// EntryOf returns the index entry of a worker.
func EntryOf(w *Worker) Entry {
	free := w.Free()
	return Entry{
		CPU: free.MilliCPU, Memory: free.MemoryMB, Accel: int16(min(free.Accelerators, math.MaxInt16)),
		Idle: w.Reserved.IsZero(), Partition: w.partitionHash, Worker: w.index,
	}
}

// free returns the free CPU and memory.
func (e *Entry) free() spec.Resources {
	return spec.Resources{MilliCPU: e.CPU, MemoryMB: e.Memory}
}

// Fits reports whether a task of the size fits.
func (e *Entry) Fits(size *spec.Resources) bool {
	return size.MilliCPU <= e.CPU && size.MemoryMB <= e.Memory && size.Accelerators <= int64(e.Accel)
}

// pageSize is the number of entries per page, the unit that is copied by the
// first change after a fork.
const pageSize = 64

// page is a part of a bucket. A table that does not own it copies it before the
// first write.
type page struct {
	owner   *owner
	entries []Entry
}

// bucket lists the workers of a class with similar free capacity. Every page but
// the last is full.
type bucket struct {
	owner *owner
	pages []*page
}

// writable returns a page that the owner may modify in place.
func (b *bucket) writable(o *owner, n int) *page {
	p := b.pages[n]
	if p.owner != o {
		p = &page{owner: o, entries: append(make([]Entry, 0, len(p.entries)+1), p.entries...)}
		b.pages[n] = p
	}
	return p
}

// add appends an entry and returns its position.
func (b *bucket) add(o *owner, e Entry) int32 {
	last := len(b.pages) - 1
	if last < 0 || len(b.pages[last].entries) == pageSize {
		b.pages = append(b.pages, &page{owner: o})
		last++
	}
	p := b.writable(o, last)
	p.entries = append(p.entries, e)
	return int32(last*pageSize + len(p.entries) - 1)
}

// remove deletes the entry at a position by moving the last entry there. It
// returns the worker that was moved, or -1.
func (b *bucket) remove(o *owner, position int32) Index {
	last := len(b.pages) - 1
	p := b.writable(o, last)
	moved := p.entries[len(p.entries)-1]
	p.entries = p.entries[:len(p.entries)-1]
	target := int32(last*pageSize + len(p.entries))
	if len(p.entries) == 0 {
		b.pages = b.pages[:last]
	}
	if target == position {
		return -1
	}
	b.writable(o, int(position)/pageSize).entries[position%pageSize] = moved
	return moved.Worker
}
