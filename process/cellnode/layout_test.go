package cellnode

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/lead"
)

func TestShardsForWorkersPerLeader(t *testing.T) {
	members := func(n int, cores float64) []lead.Member {
		all := make([]lead.Member, n)
		for i := range all {
			all[i].Cores = cores
		}
		return all
	}
	linked := func(all []lead.Member, mbps float64) []lead.Member {
		for i := range all {
			all[i].LinkMbps = mbps
		}
		return all
	}
	mixed := append(members(15, 0.8), members(280, 0.192)...)
	for _, c := range []struct {
		workers int
		members []lead.Member
		want    int
	}{
		{48, members(8, 0.4), 1},
		{350, mixed, 1},
		{540, mixed, 1},
		{540, members(97, 0.192), 2},
		{161, members(20, 0.12), 1},
		{1000, mixed, 1},
		{3000, mixed, 3},
		{25000, append(members(15, 0.8), members(1000, 0.192)...), 15},
		{3000, members(2, 0.8), 2},
		{3000, members(2, 0), 1}, // the daemons' capacity is unknown
		{0, mixed, 1},
		{135, linked(members(21, 0.12), 2), 3},   // links of 2 Mbit/s
		{48, linked(members(9, 0.4), 10), 1},     // CPU time is the limit, not the links
		{540, linked(members(97, 0.192), 10), 2}, // likewise
		{540, append(linked(members(6, 0.8), 200), linked(members(90, 0.1), 2)...), 1}, // a few have wide links, and lead
	} {
		require.Equal(t, c.want, shardsFor(c.workers, c.members), "%d workers, %d daemons", c.workers, len(c.members))
	}
}

// constantDirectory lists the same number of workers each time.
type constantDirectory int

func (d constantDirectory) List(context.Context) ([]runner.Worker, store.Revision, error) {
	return make([]runner.Worker, d), 1, nil
}

func (constantDirectory) Has(context.Context, string) (bool, error) { return true, nil }

func (constantDirectory) Watch(context.Context, store.Revision, time.Duration) ([]runner.Change, store.Revision, error) {
	return nil, 1, nil
}

// TestDaemonsWhoseLeasesExpireForAMomentAreCounted guards against a cell that is divided into too
// few shards because the leases of its daemons have just expired and are about to be renewed.
func TestDaemonsWhoseLeasesExpireForAMomentAreCounted(t *testing.T) {
	all := []lead.Member{{Name: "a", Cores: 0.006}, {Name: "b", Cores: 0.006}, {Name: "c", Cores: 0.006}}
	reads := [][]lead.Member{all[:2], all, all[:1]}
	synctest.Test(t, func(t *testing.T) {
		next := 0
		workers, daemons, err := countCell(t.Context(), constantDirectory(24), func() []lead.Member {
			next++
			return reads[next-1]
		})
		require.NoError(t, err)
		require.Equal(t, 24, workers)
		require.ElementsMatch(t, all, daemons)
		require.Equal(t, 3, shardsFor(workers, daemons))
	})
}
