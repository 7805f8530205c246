package cellnode

import (
	"context"
	"errors"
	"maps"
	"math"
	"slices"
	"time"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/internal/sleep"
	"fennelshunt.example/fennelshunt/process/dispatch"
	"fennelshunt.example/fennelshunt/process/lead"
)

// Dividing a cell into shards.
//
// A cell is divided when it has more workers than one leader's CPU can serve. The cost
// of placement rounds, orders, reports and submissions grows with the number of workers, and
// an overloaded leader's throughput collapses: with 3,000 workers it completes a fiftieth of
// what it does with 1,000.
const (
	// workersPerLeaderCore is the number of workers per core of the leader. A leader uses
	// some 0.33 of a core for 1,000 workers under full load and three times that in bursts,
	// most of which 0.8 of a core can absorb.
	workersPerLeaderCore = 1400
	// sizeTolerance is the fraction by which a shard may exceed its size before another
	// shard is made.
	sizeTolerance = 0.2
	// minLeaderShare is the share of the strongest daemon's capacity from which a daemon
	// can lead a shard as well.
	minLeaderShare = 0.75
	// registrationPoll is the interval between reads of the number of registered workers.
	// Workers register within seconds of each other: the number counts once stableReads
	// reads agree, or after maxReads reads.
	registrationPoll = 500 * time.Millisecond
	stableReads      = 3
	maxReads         = 10
)

// ensureLayout returns how the cell is divided. The first leader of shard 0 divides a cell that
// has just been bootstrapped: no job has been submitted and no worker called yet. If it fails
// before it has written the layout, a successor does. A cell in operation is not divided, since
// its workers would have to be taken from a leader that has runs there.
func (n *Node) ensureLayout(s *shard, t *lead.Term) (lead.Layout, error) {
	ctx := t.Context()
	layout, err := n.layout(ctx)
	if err != nil || s.index > 0 || layout.Shards > 1 || !n.o.Settings.Bootstrap {
		return layout, err
	}
	for {
		layout, err := n.createLayout(ctx, t)
		if err == nil || ctx.Err() != nil {
			return layout, ctx.Err()
		}
		n.log.Warn().Err(err).Msg("cell layout not determined yet; retrying")
		if err := sleep.For(ctx, registrationPoll); err != nil {
			return lead.SingleShard, err
		}
	}
}

// layout waits for the layout from the store.
func (n *Node) layout(ctx context.Context) (lead.Layout, error) {
	for {
		changed := n.view().Changed()
		if layout, known := n.view().Layout(); known {
			return layout, nil
		}
		select {
		case <-ctx.Done():
			return lead.SingleShard, ctx.Err()
		case <-changed:
		}
	}
}

// createLayout divides a cell that has just been bootstrapped.
func (n *Node) createLayout(ctx context.Context, t *lead.Term) (lead.Layout, error) {
	entry, err := n.o.Store.Get(ctx, lead.KeyLayout)
	switch {
	case err == nil:
		return lead.DecodeLayout(entry)
	case !errors.Is(err, store.ErrNotFound):
		return lead.SingleShard, err
	}
	fresh, err := dispatch.IsEmpty(ctx, n.o.Store)
	if err != nil || !fresh {
		return lead.SingleShard, err
	}
	workers, daemons, err := countCell(ctx, n.o.Directory, n.view().Members)
	if err != nil {
		return lead.SingleShard, err
	}
	layout := lead.Layout{Shards: shardsFor(workers, daemons)}
	if layout.Shards == 1 {
		n.log.Info().Int("workers", workers).Int("daemons", len(daemons)).Msg("the cell is not divided into shards")
		return layout, nil
	}
	n.log.Info().Int("workers", workers).Int("daemons", len(daemons)).Int("parts", layout.Shards).
		Msg("dividing the cell into shards")
	if err := t.Commit(ctx, 0, []store.Write{{Key: lead.KeyLayout, Value: layout.Encode()}}, nil); err != nil {
		return lead.SingleShard, err
	}
	return layout, nil
}

// countCell waits until the workers have registered, and returns their number and every daemon
// that was a member at one of the reads.
//
// The members at a single read are not enough: while the store or the daemons are slow, the leases
// of some daemons expire and are renewed a moment later. The layout is not changed later, so a cell
// that is divided by such a read keeps too few shards.
func countCell(ctx context.Context, directory runner.Directory, members func() []lead.Member) (
	workers int, daemons []lead.Member, err error,
) {
	seen := map[string]lead.Member{}
	last, equalReads := -1, 0
	for range maxReads {
		listed, _, err := directory.List(ctx)
		if _, err = runner.Refused(err); err != nil {
			return 0, nil, err
		}
		for _, m := range members() {
			seen[m.Name] = m
		}
		if len(listed) != last {
			last, equalReads = len(listed), 0
		}
		if equalReads++; equalReads >= stableReads && last > 0 {
			break
		}
		if err := sleep.For(ctx, registrationPoll); err != nil {
			return 0, nil, err
		}
	}
	return last, slices.Collect(maps.Values(seen)), nil
}

// shardsFor returns the number of shards of a cell, computed from the capacity of the
// strongest daemons, since they lead (see lead.Elector's yield).
//
// The capacity of the daemon that happens to lead first must not decide: a small one would
// permanently divide a cell that one of the strong ones can lead alone, and each shard has
// only its share of the free capacity and of every quota.
func shardsFor(workers int, members []lead.Member) int {
	most := 0.0
	for _, m := range members {
		most = max(most, capacity(m))
	}
	if most <= 0 {
		return 1
	}
	able := 0
	for _, m := range members {
		if capacity(m) >= minLeaderShare*most {
			able++
		}
	}
	shards := int(math.Ceil(float64(workers)/most - sizeTolerance))
	return max(1, min(shards, able))
}

// capacity returns how many workers a daemon can serve as a leader, by its CPU time
// and, where that is known, its link; 0 if its CPU time is unknown.
func capacity(m lead.Member) float64 { return m.Capacity(workersPerLeaderCore, workersPerLeaderMbit) }

// workersPerLeaderMbit is how many workers a leader can serve for each Mbit/s of its link.
// With relays, 135 workers, 47 jobs and 120 starts per second take 50 to 170 KB/s out and
// 80 to 180 KB/s in; on 250 KB/s (2 Mbit/s) bursts saturate the link, pings time out and
// the leader changes repeatedly. Half of that load leaves capacity for bursts and for
// reading the state at a takeover. Still smaller shards have too few suitable workers for
// wide gangs (5 of 31 workers, for a gang that needs them all).
const workersPerLeaderMbit = 30
