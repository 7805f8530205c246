package sched

import (
	"testing"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/version/spec"
)

// perDomain counts the instances of a generation per zone and per rack.
func perDomain(p *Planner, generation uint64) (zones, racks map[string]int) {
	zones, racks = map[string]int{}, map[string]int{}
	for _, rack := range p.View().Racks() {
		zones[rack.Zone] += 0
		racks[rack.Name] = 0
		for _, i := range rack.Workers {
			for _, t := range p.View().Worker(i).Tasks {
				if t.Group().Generation == generation {
					zones[rack.Zone]++
					racks[rack.Name]++
				}
			}
		}
	}
	return zones, racks
}

func requireEven(t *testing.T, counts map[string]int, most int) {
	t.Helper()
	lo, hi := 1<<30, 0
	for _, n := range counts {
		lo, hi = min(lo, n), max(hi, n)
	}
	require.LessOrEqual(t, hi-lo, most, "%v", counts)
}

func TestInstancesAreSpread(t *testing.T) {
	s := authority(48)
	p := NewPlanner(cacheOf(s.states(nil, false)).Snapshot())
	for i := range 48 {
		a := instanceAsk(i)
		require.True(t, p.Assume(a, p.Place(a)))
	}
	zones, racks := perDomain(p, 1)
	require.Equal(t, map[string]int{"zone-0": 16, "zone-1": 16, "zone-2": 16}, zones)
	requireEven(t, racks, 0)
}

// TestRollingReplacementEndsEven guards against a nightly replacement after which most
// instances of a service are in the same zone, whose failure then takes the service
// down. It happens if old and new instances count alike while a few of them are
// replaced at a time: new ones are placed where few old ones are left.
func TestRollingReplacementEndsEven(t *testing.T) {
	s := authority(48)
	p := NewPlanner(cacheOf(s.states(nil, false)).Snapshot())
	var old []worker.Ref
	for i := range 48 {
		a := instanceAsk(i)
		require.True(t, p.Assume(a, p.Place(a)))
		old = append(old, a.Ref())
	}
	for i := range 48 {
		a := instanceAsk(i)
		a.Task.Generation = 2
		a.Constraints = spec.Constraints{MaxPerWorker: 1}
		p.Forget(old[i])
		require.True(t, p.Assume(a, p.Place(a)), "instance %d", i)
	}
	zones, racks := perDomain(p, 2)
	requireEven(t, zones, 1)
	requireEven(t, racks, 1)
}
