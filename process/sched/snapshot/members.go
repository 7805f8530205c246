package snapshot

import (
	"maps"
	"slices"
	"unique"

	"fennelshunt.example/fennelshunt/connection/worker"
)

func newDirectory() *directory {
	return &directory{
		byID:    map[worker.ID]Index{},
		rackOf:  map[rackKey]int32{},
		zones:   map[string][]int32{},
		classOf: map[classKey]int32{},
	}
}

// clone copies the whole directory. Workers are added and removed rarely compared
// to tasks, so this is cheap enough.
func (d *directory) clone() *directory {
	racks := slices.Clone(d.racks)
	for i := range racks {
		racks[i].Workers = slices.Clone(racks[i].Workers)
	}
	zones := make(map[string][]int32, len(d.zones))
	for zone, in := range d.zones {
		zones[zone] = slices.Clone(in)
	}
	return &directory{
		byID: maps.Clone(d.byID), racks: racks, rackOf: maps.Clone(d.rackOf), zones: zones,
		classOf: maps.Clone(d.classOf), free: slices.Clone(d.free), size: d.size,
	}
}

// writableDirectory returns the directory after copying it if it is shared.
func (t *Table) writableDirectory() *directory {
	if t.dir.owner != t.owner {
		t.dir = t.dir.clone()
		t.dir.owner = t.owner
	}
	return t.dir
}

// put adds a worker or replaces its record.
func (t *Table) put(w *Worker) {
	old := t.Lookup(w.ID)
	if old != nil && !samePosition(old, w) {
		t.remove(old)
		old = nil
	}
	if old == nil {
		t.register(w)
	} else {
		w.index, w.class, w.rack = old.index, old.class, old.rack
	}
	t.replace(w)
	t.countDifference(old, w)
}

// countDifference replaces the counted tasks of a worker's old record, which may
// be nil, by those of the new one. Most tasks are in both; subtracting and adding
// them again would be most of the cost of applying a state.
func (t *Table) countDifference(old, w *Worker) {
	delta := map[unique.Handle[Group]]int32{}
	if old != nil {
		for i := range old.Tasks {
			delta[old.Tasks[i].group]--
		}
	}
	for i := range w.Tasks {
		delta[w.Tasks[i].group]++
	}
	for group, n := range delta {
		if n != 0 {
			g := group.Value()
			t.jobs.add(jobCount{job: g.Job, generation: g.Generation, rack: w.rack}, n)
		}
	}
}

// samePosition reports whether two records belong to the same rack and class.
func samePosition(a, b *Worker) bool {
	return a.Zone == b.Zone && a.Rack == b.Rack &&
		classOf(a.Zone, a.Capacity) == classOf(b.Zone, b.Capacity)
}

// register assigns a new worker its index, rack and class.
func (t *Table) register(w *Worker) {
	d := t.writableDirectory()
	w.index = t.allocateIndex(d)
	w.rack = rackIndex(d, rackKey{w.Zone, w.Rack})
	w.class = t.classIndex(d, classOf(w.Zone, w.Capacity))
	d.byID[w.ID] = w.index
	d.racks[w.rack].Workers = append(d.racks[w.rack].Workers, w.index)
}

func (t *Table) allocateIndex(d *directory) Index {
	if n := len(d.free); n > 0 {
		i := d.free[n-1]
		d.free = d.free[:n-1]
		return i
	}
	i := Index(d.size)
	d.size++
	if d.size > len(t.chunks)*chunkSize {
		t.chunks = append(t.chunks, &chunk{owner: t.owner})
	}
	return i
}

func rackIndex(d *directory, key rackKey) int32 {
	if i, ok := d.rackOf[key]; ok {
		return i
	}
	i := int32(len(d.racks))
	d.racks = append(d.racks, Rack{Name: key.rack, Zone: key.zone})
	d.rackOf[key] = i
	d.zones[key.zone] = append(d.zones[key.zone], i)
	return i
}

func (t *Table) classIndex(d *directory, key classKey) int32 {
	if i, ok := d.classOf[key]; ok {
		return i
	}
	i := int32(len(t.classes))
	t.classes = append(t.classes, newClass(t.owner, key))
	d.classOf[key] = i
	return i
}

// remove removes a worker.
func (t *Table) remove(w *Worker) {
	s := t.writableSlot(w.index)
	t.unindex(s)
	s.worker = nil
	t.countTasks(w, -1)
	d := t.writableDirectory()
	delete(d.byID, w.ID)
	d.free = append(d.free, w.index)
	r := &d.racks[w.rack]
	r.Workers = slices.DeleteFunc(r.Workers, func(i Index) bool { return i == w.index })
}
