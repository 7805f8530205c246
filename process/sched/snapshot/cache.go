// Package snapshot holds the state on which the schedulers decide: the workers
// of all partitions, an index over their free capacity, and cheap immutable
// snapshots of both. A Cache follows the states of the partitions, a Snapshot is
// its state at one point in time, and a View is a private fork of a snapshot to
// which a scheduler applies its own placements.
package snapshot

import (
	"sync"
	"time"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/plan"
)

// position is the last state of a partition that was applied.
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

// Apply applies a partition's full state or a change of it. It ignores a state of
// a lower epoch, a position already reached in the same epoch, and a change (not
// Full) in an epoch whose full state has not been received.
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

// accept reports whether a state is newer than what was applied before.
//
// A state that the previous owner of the partition sent before it lost its claim
// may arrive late, over another connection than the new owner's. If it were
// applied, it would show capacity that the new owner has already assigned, and
// plans based on it would be refused with no_room.
func (c *Cache) accept(s *plan.State) bool {
	last, known := c.partitions[s.Partition]
	if !known || s.Epoch > last.epoch {
		return s.Full
	}
	if s.Epoch < last.epoch {
		return false
	}
	return s.Seq > last.seq
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
		if w.Removed {
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

// drop removes a worker unless it has moved to another partition.
func (c *Cache) drop(partition string, members map[worker.ID]struct{}, id worker.ID) {
	delete(members, id)
	if w := c.table.Lookup(id); w != nil && w.Partition == partition {
		c.table.remove(w)
	}
}

// Snapshot returns the current state. It is cheap, and returns the same snapshot
// until something changes.
func (c *Cache) Snapshot() *Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.latest == nil {
		c.latest = &Snapshot{table: c.table.fork()}
	}
	return c.latest
}

// Partitions returns the current epoch of each partition.
func (c *Cache) Partitions() map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	epochs := make(map[string]uint64, len(c.partitions))
	for name, last := range c.partitions {
		epochs[name] = last.epoch
	}
	return epochs
}

func recordOf(w *plan.WorkerState, partition string, now time.Time) *Worker {
	record := &Worker{
		ID: w.ID, Zone: w.Zone, Rack: w.Rack, Partition: partition,
		Capacity: w.Capacity, Reserved: w.Reserved, Unusable: w.Unusable,
		partitionHash: HashPartition(partition),
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

// Snapshot is the immutable state of all workers at one point in time. It is safe for concurrent use.
type Snapshot struct {
	mu    sync.Mutex // guards table.fork, which marks the table as shared
	table *Table
}

// View returns a private fork of the snapshot.
func (s *Snapshot) View() *View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &View{Table: s.table.fork()}
}

// Len returns the number of workers.
func (s *Snapshot) Len() int { return s.table.Len() }

// Lookup returns the record of a worker, or nil if it is unknown.
func (s *Snapshot) Lookup(id worker.ID) *Worker { return s.table.Lookup(id) }

// All calls f for each worker until it returns false.
func (s *Snapshot) All(f func(*Worker) bool) { s.table.All(f) }
