package snapshot

import (
	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/version/spec"
)

// owner identifies the one table that may write a part in place. A part with
// another owner is shared and is copied before the first write. The field
// makes each new(owner) a distinct address.
type owner struct{ _ byte }

// chunkSize bounds what one change of a worker copies after a fork.
const chunkSize = 64

// slot is what a table keeps of a worker besides its record.
type slot struct {
	worker   *Worker
	cell     int32
	position int32 // in the cell; -1 when the worker is not in the index
}

// chunk is the unit in which forks copy slots: shared until its owner writes.
type chunk struct {
	owner *owner
	slots [chunkSize]slot
}

// Rack is a set of workers behind one switch.
type Rack struct {
	Name    string
	Zone    string
	Workers []Index
}

// directory is the part of a table that only changes when workers come and go.
// It is shared by all forks and copied as a whole by the cache.
type directory struct {
	owner   *owner
	byID    map[worker.ID]Index
	racks   []Rack
	rackOf  map[rackKey]int32
	zones   map[string][]int32 // racks by zone
	classOf map[classKey]int32
	free    []Index // positions to use again
	size    int     // positions handed out
}

type rackKey struct{ zone, rack string }

// Table holds the workers and the index over them. A fork costs a copy of the
// top-level slices; everything below is shared until written. A table is not
// safe for concurrent use, but its forks are independent of each other.
type Table struct {
	owner   *owner
	chunks  []*chunk
	classes []*Class
	dir     *directory
	jobs    *jobIndex
}

// fork returns an independent table; both copy what they write from now on.
func (t *Table) fork() *Table {
	t.owner = new(owner)
	return &Table{
		owner:   new(owner),
		chunks:  append([]*chunk(nil), t.chunks...),
		classes: append([]*Class(nil), t.classes...),
		dir:     t.dir,
		jobs:    t.jobs.clone(),
	}
}

// Worker returns the record at a position; nil when there is none.
func (t *Table) Worker(i Index) *Worker { return t.slot(i).worker }

func (t *Table) slot(i Index) *slot { return &t.chunks[i/chunkSize].slots[i%chunkSize] }

// Lookup returns the record of a worker; nil when it is not known.
func (t *Table) Lookup(id worker.ID) *Worker {
	i, ok := t.dir.byID[id]
	if !ok {
		return nil
	}
	return t.Worker(i)
}

// Len returns the number of workers known.
func (t *Table) Len() int { return len(t.dir.byID) }

// Classes lists the classes of the index; the caller must not change it.
func (t *Table) Classes() []*Class { return t.classes }

// Totals returns the free processors and memory of all usable workers, and the
// sum of their reference capacities.
func (t *Table) Totals() (free, reference spec.Resources) {
	for _, c := range t.classes {
		free = free.Add(c.free)
		reference = reference.Add(c.Reference.Times(c.workers))
	}
	return free, reference
}

// Racks lists the racks by position; the caller must not change it.
func (t *Table) Racks() []Rack { return t.dir.racks }

// Zones lists the racks of each zone by position; the caller must not change it.
func (t *Table) Zones() map[string][]int32 { return t.dir.zones }

// All calls f for each worker until it returns false.
func (t *Table) All(f func(*Worker) bool) {
	for i := 0; i < t.dir.size; i++ {
		if w := t.Worker(Index(i)); w != nil && !f(w) {
			return
		}
	}
}

// AllFrom calls f for each worker until it returns false, beginning at a
// position drawn from start and wrapping around.
func (t *Table) AllFrom(start uint64, f func(*Worker) bool) {
	size := t.dir.size
	for i := range size {
		at := Index((start%uint64(size) + uint64(i)) % uint64(size))
		if w := t.Worker(at); w != nil && !f(w) {
			return
		}
	}
}

func (t *Table) writableSlot(i Index) *slot {
	c := t.chunks[i/chunkSize]
	if c.owner != t.owner {
		c = &chunk{owner: t.owner, slots: c.slots}
		t.chunks[i/chunkSize] = c
	}
	return &c.slots[i%chunkSize]
}

func (t *Table) writableClass(n int32) *Class {
	c := t.classes[n]
	if c.owner != t.owner {
		c = c.clone(t.owner)
		t.classes[n] = c
	}
	return c
}

// replace puts a new record in the place of a worker's old one and moves it in
// the index. Neither record's tasks are counted; that is setTasks's job.
func (t *Table) replace(w *Worker) {
	s := t.writableSlot(w.index)
	if s.worker != nil {
		t.unindex(s)
	}
	s.worker = w
	t.index(s)
}

func (t *Table) index(s *slot) {
	s.position = -1
	if s.worker.Unusable != "" {
		return
	}
	c := t.writableClass(s.worker.class)
	s.cell = c.cellOf(s.worker.Free())
	s.position = c.insert(t.owner, s.cell, EntryOf(s.worker))
}

func (t *Table) unindex(s *slot) {
	if s.position < 0 {
		return
	}
	moved := t.writableClass(s.worker.class).remove(t.owner, s.cell, s.position)
	if moved >= 0 {
		t.writableSlot(moved).position = s.position
	}
	s.position = -1
}

// Reference returns the reference capacity of a worker's class.
func (t *Table) Reference(w *Worker) *spec.Resources { return &t.classes[w.class].Reference }
