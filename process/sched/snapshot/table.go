package snapshot

import (
	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/version/spec"
)

// owner identifies the only table that may modify a structure in place
// (copy-on-write). A structure with another owner is shared and is copied before
// the first write. The field makes each new(owner) a distinct address.
type owner struct{ _ byte }

// chunkSize is the number of slots per chunk, the unit that is copied by the first
// change of a worker after a fork.
const chunkSize = 64

// slot holds a worker's record and its position in the index.
type slot struct {
	worker   *Worker
	bucket   int32
	position int32 // in the bucket; -1 when the worker is not in the index
}

// chunk is the unit in which slots are copied. It is shared by forks until one of
// them writes to it.
type chunk struct {
	owner *owner
	slots [chunkSize]slot
}

// Rack is a group of workers behind the same network switch.
type Rack struct {
	Name    string
	Zone    string
	Workers []Index
}

// directory is the part of a table that changes only when workers are added or
// removed. It is shared by all forks; the cache copies it as a whole to change it.
type directory struct {
	owner   *owner
	byID    map[worker.ID]Index
	racks   []Rack
	rackOf  map[rackKey]int32
	zones   map[string][]int32 // racks by zone
	classOf map[classKey]int32
	free    []Index // unused indices below size
	size    int     // number of indices allocated so far
}

type rackKey struct{ zone, rack string }

// Table holds the workers and the index over them. Forking copies only the
// top-level slices; everything below is shared until the first write. A table is
// not safe for concurrent use, but its forks are independent of each other.
type Table struct {
	owner   *owner
	chunks  []*chunk
	classes []*WorkerClass
	dir     *directory
	jobs    *jobIndex
}

// fork returns an independent copy of the table. From then on both copy shared
// structures before they write to them.
func (t *Table) fork() *Table {
	t.owner = new(owner)
	return &Table{
		owner:   new(owner),
		chunks:  append([]*chunk(nil), t.chunks...),
		classes: append([]*WorkerClass(nil), t.classes...),
		dir:     t.dir,
		jobs:    t.jobs.clone(),
	}
}

// Worker returns the record at an index, or nil if there is none.
func (t *Table) Worker(i Index) *Worker { return t.slot(i).worker }

func (t *Table) slot(i Index) *slot { return &t.chunks[i/chunkSize].slots[i%chunkSize] }

// Lookup returns the record of a worker, or nil if it is unknown.
func (t *Table) Lookup(id worker.ID) *Worker {
	i, ok := t.dir.byID[id]
	if !ok {
		return nil
	}
	return t.Worker(i)
}

// Len returns the number of workers.
func (t *Table) Len() int { return len(t.dir.byID) }

// Classes returns the classes of the index. The caller must not modify the slice.
func (t *Table) Classes() []*WorkerClass { return t.classes }

// Totals returns the free CPU and memory of all usable workers, and the sum of
// their reference capacities.
func (t *Table) Totals() (free, reference spec.Resources) {
	for _, c := range t.classes {
		free = free.Add(c.free)
		reference = reference.Add(c.Reference.Times(c.workers))
	}
	return free, reference
}

// Racks returns all racks. The caller must not modify the slice.
func (t *Table) Racks() []Rack { return t.dir.racks }

// Zones returns the racks of each zone, as indices into Racks. The caller must not
// modify the map.
func (t *Table) Zones() map[string][]int32 { return t.dir.zones }

// All calls f for each worker until it returns false.
func (t *Table) All(f func(*Worker) bool) {
	for i := 0; i < t.dir.size; i++ {
		if w := t.Worker(Index(i)); w != nil && !f(w) {
			return
		}
	}
}

// AllFrom calls f for each worker until it returns false. It begins at an index
// derived from start and wraps around.
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

func (t *Table) writableClass(n int32) *WorkerClass {
	c := t.classes[n]
	if c.owner != t.owner {
		c = c.clone(t.owner)
		t.classes[n] = c
	}
	return c
}

// replace replaces a worker's record and updates the index. It does not change
// the task counts per job; callers do that.
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
	s.bucket = c.bucketOf(s.worker.Free())
	s.position = c.insert(t.owner, s.bucket, EntryOf(s.worker))
}

func (t *Table) unindex(s *slot) {
	if s.position < 0 {
		return
	}
	moved := t.writableClass(s.worker.class).remove(t.owner, s.bucket, s.position)
	if moved >= 0 {
		t.writableSlot(moved).position = s.position
	}
	s.position = -1
}

// Reference returns the reference capacity of a worker's class.
func (t *Table) Reference(w *Worker) *spec.Resources { return &t.classes[w.class].Reference }
