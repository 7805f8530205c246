// Package snapshot keeps what the schedulers decide on: the workers of all
// partitions, an index over their free capacity, and cheap immutable snapshots
// of both. A Cache follows the partitions; a Snapshot is one moment of it; a
// View is a private fork of a snapshot on which a run of decisions assumes its
// own placements.
package snapshot

import (
	"sync"
	"time"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/plan"
)

// position is how far a partition's state has been followed.
type position struct {
	epoch uint64
	seq   uint64
}

// Cache follows the states of the partitions. It is safe for concurrent use.
type Cache struct {
	mu         sync.Mutex
	table      *Table
	partitions map[string]position
	members    map[string]map[worker.ID]struct{}
	latest     *Snapshot // nil after a change
}

// NewCache returns an empty cache.
func NewCache() *Cache {
	return &Cache{
		table:      newTable(),
		partitions: map[string]position{},
		members:    map[string]map[worker.ID]struct{}{},
	}
}

func newTable() *Table {
	return &Table{owner: new(owner), dir: newDirectory(), jobs: newJobIndex()}
}

// Apply takes a partition's state or a change of it. Ignored are: a lower
// epoch, a position already reached in the same epoch, and a change (not Full)
// that belongs to an epoch whose full state has not been seen.
func (c *Cache) Apply(s plan.State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.accept(&s) {
		return
	}
	c.latest = nil
	c.partitions[s.Partition] = position{s.Epoch, s.Seq}
	c.apply(&s, time.Now())
}

// accept reports whether a state is news.
//
// A state that an old owner sent before its claim was taken may arrive late,
// over another connection than the new owner's. Taken in, it would show room
// that the new owner has given away; its plans would be refused with no room.
func (c *Cache) accept(s *plan.State) bool {
	at, known := c.partitions[s.Partition]
	if !known || s.Epoch > at.epoch {
		return s.Full
	}
	if s.Epoch < at.epoch {
		return false
	}
	return s.Seq > at.seq
}

func (c *Cache) apply(s *plan.State, now time.Time) {
	members := c.members[s.Partition]
	if members == nil {
		members = map[worker.ID]struct{}{}
		c.members[s.Partition] = members
	}
	if s.Full {
		c.dropMissing(s, members)
	}
	for i := range s.Workers {
		w := &s.Workers[i]
		if w.Gone {
			c.drop(s.Partition, members, w.ID)
			continue
		}
		members[w.ID] = struct{}{}
		c.table.put(recordOf(w, s.Partition, now))
	}
}

// dropMissing removes the partition's workers that a full state lacks.
func (c *Cache) dropMissing(s *plan.State, members map[worker.ID]struct{}) {
	listed := make(map[worker.ID]struct{}, len(s.Workers))
	for i := range s.Workers {
		listed[s.Workers[i].ID] = struct{}{}
	}
	for id := range members {
		if _, ok := listed[id]; !ok {
			c.drop(s.Partition, members, id)
		}
	}
}

// drop removes a worker unless another partition has it by now.
func (c *Cache) drop(partition string, members map[worker.ID]struct{}, id worker.ID) {
	delete(members, id)
	if w := c.table.Lookup(id); w != nil && w.Partition == partition {
		c.table.remove(w)
	}
}

// Snapshot returns the present state. It is cheap, and the same snapshot is
// returned until something changes.
func (c *Cache) Snapshot() *Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.latest == nil {
		c.latest = &Snapshot{table: c.table.fork()}
	}
	return c.latest
}

// Partitions returns the epoch up to which each partition has been followed.
func (c *Cache) Partitions() map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	epochs := make(map[string]uint64, len(c.partitions))
	for name, at := range c.partitions {
		epochs[name] = at.epoch
	}
	return epochs
}

func recordOf(w *plan.WorkerState, partition string, now time.Time) *Worker {
	record := &Worker{
		ID: w.ID, Zone: w.Zone, Rack: w.Rack, Partition: partition,
		Capacity: w.Capacity, Reserved: w.Reserved, Unusable: w.Unusable,
		lane: LaneOf(partition),
	}
	if len(w.Tasks) > 0 {
		record.Tasks = make([]Task, len(w.Tasks))
	}
	for i := range w.Tasks {
		record.Tasks[i] = taskOf(&w.Tasks[i], now)
	}
	record.countPreemptible()
	return record
}

// Snapshot is an immutable state of all workers. It is safe for concurrent use.
type Snapshot struct {
	mu    sync.Mutex // guards forks of table, which mark it as shared
	table *Table
}

// View forks the snapshot.
func (s *Snapshot) View() *View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &View{Table: s.table.fork()}
}

// Len returns the number of workers.
func (s *Snapshot) Len() int { return s.table.Len() }

// Lookup returns the record of a worker; nil when it is not known.
func (s *Snapshot) Lookup(id worker.ID) *Worker { return s.table.Lookup(id) }

// All calls f for each worker until it returns false.
func (s *Snapshot) All(f func(*Worker) bool) { s.table.All(f) }
