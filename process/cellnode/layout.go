package cellnode

import (
	"context"
	"errors"
	"math"
	"time"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/internal/sleep"
	"fennelshunt.example/fennelshunt/process/dispatch"
	"fennelshunt.example/fennelshunt/process/lead"
)

// Dividing a cell into parts.
//
// Load pattern: more workers than one leader's processor carries. Rounds of placement,
// orders, reports and hand-ins all grow with the workers, and a leader that falls
// behind serves nobody: with 3,000 workers a fiftieth of what 1,000 get.
const (
	// workersPerLeaderCore: a leader uses some 0.33 of a core for 1,000 workers under
	// full load, and three times that in bursts, of which 0.8 of a core carry the most.
	workersPerLeaderCore = 1400
	// tolerance of a part over its size that does not make another one.
	tolerance = 0.2
	// ableShare: daemons with that share of the strongest one's processor time can lead a
	// part as well.
	ableShare = 0.75
	// settlePause is between looks at how many workers there are, settled of which must
	// be alike, most of them in all: workers register within seconds of each other.
	settlePause = 500 * time.Millisecond
	settled     = 3
	settleMost  = 10
)

// layOut returns how the cell is divided. Its first leader divides it if it has just
// begun: nothing has been handed in, and no worker been called. A cell that is at work
// is not divided any more: its workers would have to be taken from a leader that has
// runs there.
func (n *Node) layOut(p *part, t *lead.Term) (lead.Layout, error) {
	ctx := t.Context()
	layout, err := n.layout(ctx)
	if err != nil || p.index > 0 || layout.Parts > 1 || t.Epoch > 1 || !n.o.Settings.Bootstrap {
		return layout, err
	}
	for {
		layout, err := n.begin(ctx, t)
		if err == nil || ctx.Err() != nil {
			return layout, ctx.Err()
		}
		n.log.Warn().Err(err).Msg("the cell's layout is not known yet")
		if err := sleep.For(ctx, settlePause); err != nil {
			return lead.One, err
		}
	}
}

// layout waits until the layout in the store is known.
func (n *Node) layout(ctx context.Context) (lead.Layout, error) {
	for {
		changed := n.view().Changed()
		if layout, known := n.view().Layout(); known {
			return layout, nil
		}
		select {
		case <-ctx.Done():
			return lead.One, ctx.Err()
		case <-changed:
		}
	}
}

// begin divides a cell that has just begun.
func (n *Node) begin(ctx context.Context, t *lead.Term) (lead.Layout, error) {
	entry, err := n.o.Store.Get(ctx, lead.KeyLayout)
	switch {
	case err == nil:
		return lead.DecodeLayout(entry)
	case !errors.Is(err, store.ErrNotFound):
		return lead.One, err
	}
	fresh, err := dispatch.Fresh(ctx, n.o.Store)
	if err != nil || !fresh {
		return lead.One, err
	}
	workers, err := n.countWorkers(ctx)
	if err != nil {
		return lead.One, err
	}
	layout := lead.Layout{Parts: partsFor(workers, n.view().Members())}
	if layout.Parts == 1 {
		return layout, nil
	}
	n.log.Info().Int("workers", workers).Int("parts", layout.Parts).Msg("dividing the cell")
	if err := t.Commit(ctx, 0, []store.Write{{Key: lead.KeyLayout, Value: layout.Encode()}}, nil); err != nil {
		return lead.One, err
	}
	return layout, nil
}

// countWorkers waits until workers have registered.
func (n *Node) countWorkers(ctx context.Context) (int, error) {
	last, alike := -1, 0
	for range settleMost {
		workers, _, err := n.o.Directory.List(ctx)
		if err != nil && len(workers) == 0 {
			return 0, err
		}
		if len(workers) != last {
			last, alike = len(workers), 0
		}
		if alike++; alike >= settled && last > 0 {
			break
		}
		if err := sleep.For(ctx, settlePause); err != nil {
			return 0, err
		}
	}
	return last, nil
}

// partsFor returns into how many parts a cell is divided: as many as the strongest daemons
// make necessary, since they lead (see lead.Elector's yield).
//
// What goes wrong if the daemon that happens to lead first is the measure: a small one
// divides a cell for ever that one of the strong ones carries, and each part has its
// share of the room and of every quota only.
func partsFor(workers int, members []lead.Member) int {
	most := 0.0
	for _, m := range members {
		most = max(most, carries(m))
	}
	if most <= 0 {
		return 1
	}
	able := 0
	for _, m := range members {
		if carries(m) >= ableShare*most {
			able++
		}
	}
	parts := int(math.Ceil(float64(workers)/most - tolerance))
	return max(1, min(parts, able))
}

// carries returns how many workers a daemon carries as the leader, by its processor and,
// where that is known, its link; 0 if nothing is known of it.
func carries(m lead.Member) float64 { return m.Carries(workersPerLeaderCore, workersPerLeaderMbit) }

// workersPerLeaderMbit is how many workers a leader carries for each Mbit/s of its link.
// Measured with relays at 135 workers, 47 jobs and 120 starts a second: 50 to 170 KB/s out
// and 80 to 180 KB/s in, so that on 250 KB/s (2 Mbit/s) bursts jam it, pings go unanswered
// and leaders follow each other. Half of that leaves room for bursts and for reading the
// state at a takeover; in still smaller parts wide gangs find too few workers that are good
// for them (of 31 workers 5, for a gang that needs them all).
const workersPerLeaderMbit = 30
