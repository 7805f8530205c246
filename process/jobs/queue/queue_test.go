package queue

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"fennelshunt.example/fennelshunt/internal/rapidtest"
	"fennelshunt.example/fennelshunt/version/spec"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

var classList = []spec.Class{spec.Low, spec.Normal, spec.High, spec.Urgent}

// naiveNext finds the entry that Round.Next must return by scanning all entries.
func naiveNext(entries []*Entry[int], share map[string]float64, skipped func(*Entry[int]) bool) *Entry[int] {
	var best *Entry[int]
	better := func(a, b *Entry[int]) bool {
		if a.Class != b.Class {
			return a.Class.Rank() > b.Class.Rank()
		}
		if a.Team != b.Team && share[a.Team] != share[b.Team] {
			return share[a.Team] < share[b.Team]
		}
		if a.Team != b.Team {
			return a.Team < b.Team
		}
		return a.Arrival < b.Arrival
	}
	for _, e := range entries {
		if e.Queued() && !skipped(e) && (best == nil || better(e, best)) {
			best = e
		}
	}
	return best
}

// TestRoundAgainstFullScan compares the queue with a scan of all entries while entries
// are served, skipped and removed at random.
func TestRoundAgainstFullScan(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		q := New[int]()
		var entries []*Entry[int]
		for i := range rapid.IntRange(1, 40).Draw(rt, "entries") {
			e := &Entry[int]{
				Value: i, Arrival: uint64(i),
				Team:  rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "team"),
				Class: rapid.SampledFrom(classList).Draw(rt, "class"),
				Shape: Shape{Size: spec.Resources{MilliCPU: rapid.Int64Range(1, 4).Draw(rt, "size")}},
			}
			entries = append(entries, e)
			q.Add(e)
		}
		share := map[string]float64{"a": 0, "b": 0.1, "c": 0.2}
		type shapeOf struct {
			class spec.Class
			shape Shape
		}
		type teamShape struct {
			shapeOf
			team string
		}
		shapes, teamShapes := map[shapeOf]bool{}, map[teamShape]bool{}
		skipped := func(e *Entry[int]) bool {
			s := shapeOf{e.Class, e.Shape}
			return shapes[s] || teamShapes[teamShape{s, e.Team}]
		}
		round := q.NewRound(spec.Low, func(team string) float64 { return share[team] })
		for {
			got, ok := round.Next()
			want := naiveNext(entries, share, skipped)
			require.Equal(rt, want != nil, ok)
			if !ok {
				break
			}
			require.Equal(rt, want.Value, got.Value)
			s := shapeOf{got.Class, got.Shape}
			switch rapid.IntRange(0, 3).Draw(rt, "answer") {
			case 0:
				shapes[s] = true
				round.SkipShape(got)
			case 1:
				teamShapes[teamShape{s, got.Team}] = true
				round.SkipTeamShape(got)
			case 2:
				q.Remove(got)
				require.False(rt, got.Queued())
			default:
				share[got.Team] += 0.07
				round.Served(got.Team)
				q.Remove(got)
			}
		}
		for _, e := range entries {
			q.Remove(e)
		}
		for _, class := range classList {
			require.Zero(rt, q.Len(class))
		}
	})
}

func BenchmarkNext(b *testing.B) {
	q := New[int]()
	for i := range 50_000 {
		q.Add(&Entry[int]{Value: i, Arrival: uint64(i), Team: string(rune('a' + i%20)), Class: spec.Normal,
			Shape: Shape{Size: spec.Resources{MilliCPU: int64(i % 30)}}})
	}
	shares := map[string]float64{}
	round := q.NewRound(spec.Low, func(team string) float64 { return shares[team] })
	for b.Loop() {
		e, ok := round.Next()
		if !ok {
			b.Fatal("queue is empty")
		}
		q.Remove(e)
		q.Add(e)
		shares[e.Team] += 0.001
		round.Served(e.Team)
	}
}
