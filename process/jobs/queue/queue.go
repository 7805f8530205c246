// Package queue orders the jobs that have tasks ready to start: by class, then
// between teams by their share, then within a team by arrival. Jobs whose tasks
// are equivalent to the scheduler have the same shape. Once a task of a shape
// cannot be placed, the others of that shape are skipped for the round, so the
// cost of a round is one decision for each placed task and for each shape.
package queue

import (
	"container/heap"

	"github.com/google/btree"

	"fennelshunt.example/fennelshunt/version/spec"
)

// classes is the number of classes, see spec.Class.Rank.
const classes = 4

// degree is the degree of the B-trees.
const degree = 8

// Shape identifies tasks that fit on the same workers.
type Shape struct {
	Size        spec.Resources
	Kind        spec.Kind
	Constraints string
	// Job is set when the tasks of a job are not equivalent to those of any
	// other job, for example because its instances are spread.
	Job string
}

// Entry is a job with ready tasks. Value identifies the job to the caller.
type Entry[V any] struct {
	Value   V
	Team    string
	Class   spec.Class
	Shape   Shape
	Arrival uint64

	parent *shapeQueue[V]
}

// Queued reports whether the entry is in a queue.
func (e *Entry[V]) Queued() bool { return e.parent != nil }

// shapeQueue holds the entries of one team with the same shape, by arrival.
type shapeQueue[V any] struct {
	shape   Shape
	entries *btree.BTreeG[*Entry[V]]
	team    *teamQueue[V]
}

func (s *shapeQueue[V]) head() *Entry[V] {
	e, _ := s.entries.Min()
	return e
}

// teamQueue holds the shape queues of one team in one class, by the arrival of
// their first entries.
type teamQueue[V any] struct {
	name        string
	class       int
	shapeQueues map[Shape]*shapeQueue[V]
	order       *btree.BTreeG[*shapeQueue[V]]
}

// Queue holds entries. It must be used by one goroutine.
type Queue[V any] struct {
	teams [classes]map[string]*teamQueue[V]
	size  [classes]int
}

// New returns an empty queue.
func New[V any]() *Queue[V] {
	q := &Queue[V]{}
	for i := range q.teams {
		q.teams[i] = map[string]*teamQueue[V]{}
	}
	return q
}

// Len returns the number of entries in a class.
func (q *Queue[V]) Len(c spec.Class) int { return q.size[c.Rank()] }

// Empty reports whether no entry is queued.
func (q *Queue[V]) Empty() bool { return q.size == [classes]int{} }

// Add queues an entry. It has no effect on an entry that is queued already.
func (q *Queue[V]) Add(e *Entry[V]) {
	if e.Queued() {
		return
	}
	rank := e.Class.Rank()
	team := q.teams[rank][e.Team]
	if team == nil {
		team = newTeamQueue[V](e.Team, rank)
		q.teams[rank][e.Team] = team
	}
	team.add(e)
	q.size[rank]++
}

// Remove removes an entry if it is queued.
func (q *Queue[V]) Remove(e *Entry[V]) {
	if !e.Queued() {
		return
	}
	team := e.parent.team
	team.remove(e)
	q.size[team.class]--
	if len(team.shapeQueues) == 0 {
		delete(q.teams[team.class], team.name)
	}
}

func newTeamQueue[V any](name string, class int) *teamQueue[V] {
	return &teamQueue[V]{
		name: name, class: class,
		shapeQueues: map[Shape]*shapeQueue[V]{},
		order:       btree.NewG(degree, func(a, b *shapeQueue[V]) bool { return a.head().Arrival < b.head().Arrival }),
	}
}

func (t *teamQueue[V]) add(e *Entry[V]) {
	s := t.shapeQueues[e.Shape]
	if s == nil {
		s = &shapeQueue[V]{shape: e.Shape, team: t, entries: btree.NewG(degree, earlier[V])}
		t.shapeQueues[e.Shape] = s
	} else {
		t.order.Delete(s)
	}
	s.entries.ReplaceOrInsert(e)
	e.parent = s
	t.order.ReplaceOrInsert(s)
}

func (t *teamQueue[V]) remove(e *Entry[V]) {
	s := e.parent
	t.order.Delete(s)
	s.entries.Delete(e)
	e.parent = nil
	if s.entries.Len() == 0 {
		delete(t.shapeQueues, s.shape)
		return
	}
	t.order.ReplaceOrInsert(s)
}

func earlier[V any](a, b *Entry[V]) bool { return a.Arrival < b.Arrival }

// Round is one pass over the queue. Entries may be added and removed during the
// pass.
type Round[V any] struct {
	queue   *Queue[V]
	share   func(team string) float64
	class   int
	lowest  int
	teams   teamHeap[V]
	skipped map[*shapeQueue[V]]bool
	shapes  map[Shape]bool
}

// NewRound starts a pass from the highest class down to lowest. Within a class
// the team with the lowest share is served first.
func (q *Queue[V]) NewRound(lowest spec.Class, share func(team string) float64) *Round[V] {
	r := &Round[V]{queue: q, share: share, class: classes, lowest: lowest.Rank()}
	r.nextClass()
	return r
}

func (r *Round[V]) nextClass() {
	r.class--
	r.teams = r.teams[:0]
	r.skipped = map[*shapeQueue[V]]bool{}
	r.shapes = map[Shape]bool{}
	if r.class < r.lowest {
		return
	}
	for _, team := range r.queue.teams[r.class] {
		r.teams = append(r.teams, rankedTeam[V]{team, r.share(team.name)})
	}
	heap.Init(&r.teams)
}

// Next returns the next entry to serve, or false when the round has ended. The
// caller then calls Served, SkipShape, SkipTeamShape or SkipTeam, or removes the
// entry.
func (r *Round[V]) Next() (*Entry[V], bool) {
	for r.class >= r.lowest {
		if len(r.teams) == 0 {
			r.nextClass()
			continue
		}
		if e := r.first(r.teams[0].team); e != nil {
			return e, true
		}
		heap.Pop(&r.teams)
	}
	return nil, false
}

// first returns the earliest entry of the team that is not skipped.
func (r *Round[V]) first(t *teamQueue[V]) *Entry[V] {
	var found *Entry[V]
	t.order.Ascend(func(s *shapeQueue[V]) bool {
		if r.skipped[s] || r.shapes[s.shape] {
			return true
		}
		found = s.head()
		return false
	})
	return found
}

// Served updates the team's share after one of its tasks was placed.
func (r *Round[V]) Served(team string) {
	if len(r.teams) == 0 || r.teams[0].team.name != team {
		return
	}
	r.teams[0].share = r.share(team)
	heap.Fix(&r.teams, 0)
}

// SkipShape skips the entry's shape for the rest of the round in this class, for
// all teams, because no worker has capacity for it.
func (r *Round[V]) SkipShape(e *Entry[V]) { r.shapes[e.Shape] = true }

// SkipTeamShape skips the entries of this team with this shape for the rest of
// the round, for example because the team's quota is used up.
func (r *Round[V]) SkipTeamShape(e *Entry[V]) {
	if e.parent != nil {
		r.skipped[e.parent] = true
	}
}

// SkipTeam skips the team for the rest of the round in this class.
func (r *Round[V]) SkipTeam(team string) {
	if len(r.teams) > 0 && r.teams[0].team.name == team {
		heap.Pop(&r.teams)
	}
}

// rankedTeam is a team with its share when it was last computed.
type rankedTeam[V any] struct {
	team  *teamQueue[V]
	share float64
}

type teamHeap[V any] []rankedTeam[V]

func (h teamHeap[V]) Len() int { return len(h) }
func (h teamHeap[V]) Less(i, j int) bool {
	if h[i].share != h[j].share {
		return h[i].share < h[j].share
	}
	return h[i].team.name < h[j].team.name
}
func (h teamHeap[V]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *teamHeap[V]) Push(x any)   { *h = append(*h, x.(rankedTeam[V])) }
func (h *teamHeap[V]) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
