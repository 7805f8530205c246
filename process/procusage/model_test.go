package procusage_test

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"text/tabwriter"

	"github.com/stretchr/testify/require"
)

// Cost per unit of each activity; docs/CAPACITY.md names the command and date of each.
// Bytes are those of both directions, with headers.
const (
	heartbeatB         = 399.0  // B per Sync without changes
	heartbeatPerWorker = 0.1    // s that each worker of a daemon adds to the heartbeat interval
	heartbeatMin       = 1.0    // s, shortest heartbeat interval
	heartbeatMax       = 2.5    // s, longest heartbeat interval: a quarter of the lease TTL of 10 s
	listB              = 177.0  // B per VM in the VM list
	listCompressedB    = 7.0    // B per VM in the compressed VM list
	listMax            = 30.0   // s, longest interval between reads of the VM list
	listBudget         = 2500.0 // B/s that reads of the VM list may use; their interval grows to keep to it
	partitionB         = 58.0   // B/s per partition and daemon, idle
	fleetB             = 802.0  // B/s, membership
	gossipB            = 1000.0 // B/s, configuration versions without changes
	changeB            = 5440.0 // B per configuration change, to peers and the store
	storeB             = 390.0  // B/s, store leases and watches
	viewB              = 500.0  // B per task and daemon that sees it, at 0.2 to 0.4 starts/s in a rack
	callB              = 444.0  // B per peer call without content
	sumB               = 34.0   // B per changed worker reported as a sum of what is reserved
	planB              = 860.0  // B per start, at each end of the plan's call
	agentB             = 730.0  // B per start, at the partition's owner

	baseCPU  = 0.8    // % of a core
	syncCPU  = 0.04   // % per heartbeat/s
	rackCPU  = 0.0033 // % per rack in the view
	viewCPU  = 0.04   // % per start/s of the cell
	startCPU = 0.23   // % per start/s that the daemon plans and commits

	secondsPerDay = 86_400

	limitB   = 13_000.0
	limitCPU = 3.6
)

// cellShape is the size and load of a cell.
type cellShape struct {
	name                      string
	workers, perRack, daemons int
	starts                    float64 // per second, the whole cell
	changes                   float64 // of the configuration, per day
	compressed                bool    // the platform compresses the VM list
	// pollShare, if not 0, is the share of the owners that a daemon with a shard
	// polls once per second, for sums of what is reserved; shards is the number
	// of such daemons.
	pollShare, shards float64
}

// cost is the mean cost of control work for one daemon of the cell: bytes per
// second by activity, and CPU in percent of a core.
type cost struct {
	heartbeats, list, views, fleet, versions, store, viewsBusy, plans, agents float64
	idleCPU, busyCPU                                                          float64
}

func (c cost) idle() float64 {
	return c.heartbeats + c.list + c.views + c.fleet + c.versions + c.store
}

func (c cost) busy() float64 { return c.idle() + c.viewsBusy + c.plans + c.agents }

func (s cellShape) cost() cost {
	workers, daemons := float64(s.workers), float64(s.daemons)
	ownWorkers := workers / daemons
	interval := min(max(ownWorkers*heartbeatPerWorker, heartbeatMin), heartbeatMax)
	listEvery := min(max(workers*listB/listBudget, 1), listMax)
	perVM := listB
	if s.compressed {
		perVM = listCompressedB
	}
	ownStarts := s.starts / daemons
	racks := math.Ceil(workers / float64(s.perRack))
	idleCPU := baseCPU + syncCPU*ownWorkers/interval + rackCPU*racks
	c := cost{
		heartbeats: ownWorkers / interval * heartbeatB,
		list:       workers * perVM / listEvery,
		views:      racks * partitionB,
		fleet:      fleetB, store: storeB,
		versions:  gossipB + changeB*s.changes/secondsPerDay,
		viewsBusy: 2 * viewB * s.starts * (daemons - 1) / daemons, // received from and sent to the other daemons
		plans:     2 * planB * ownStarts, agents: agentB * ownStarts,
		idleCPU: idleCPU,
		busyCPU: idleCPU + viewCPU*s.starts + startCPU*ownStarts,
	}
	if s.pollShare > 0 {
		polled := s.pollShare * (daemons - 1)
		polledBy := s.pollShare * s.shards
		c.views = callB * (polled + polledBy)
		c.viewsBusy = sumB * 2 * (s.pollShare*s.starts + polledBy*ownStarts)
		c.plans = planB * (s.starts/s.shards + ownStarts)
		c.idleCPU, c.busyCPU = 0, 0 // no measurements of the CPU time of such polls
	}
	return c
}

// TestCapacityModel computes the cost of cells of several sizes and checks, as
// docs/CAPACITY.md states, which limits are met and which are missed.
func TestCapacityModel(t *testing.T) {
	var out strings.Builder
	w := tabwriter.NewWriter(&out, 0, 4, 1, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "cell\tdaemons\theartbeats\tVM list\tviews\tfleet\tversions\tstore\tidle B/s\t% core\tviews, peak\tplans\tagents\tpeak B/s\t% core\t")
	for _, c := range []struct {
		cellShape
		idleFits, peakFits, idleCPUFits, peakCPUFits bool
	}{
		{cellShape{name: "today, 48 workers", workers: 48, perRack: 8, daemons: 8, starts: 0.5, changes: 500}, true, true, true, true},
		{cellShape{name: "as measured", workers: 600, perRack: 8, daemons: 24, starts: 27.7, changes: secondsPerDay}, false, false, true, true},
		{cellShape{name: "region", workers: 2273, perRack: 8, daemons: 61, starts: 145.5, changes: 40_000}, false, false, true, false},
		{cellShape{name: "region", workers: 2273, perRack: 8, daemons: 91, starts: 145.5, changes: 40_000}, false, false, true, false},
		{cellShape{name: "region, list compressed", workers: 2273, perRack: 8, daemons: 91, starts: 145.5, changes: 40_000, compressed: true}, false, false, true, false},
		{cellShape{name: "region, compressed, racks of 40", workers: 2273, perRack: 40, daemons: 91, starts: 145.5, changes: 40_000, compressed: true}, true, false, true, false},
		{cellShape{name: "region, next step", workers: 2273, perRack: 8, daemons: 91, starts: 145.5, changes: 3636, compressed: true, pollShare: 0.125, shards: 16}, true, false, true, true},
		{cellShape{name: "one cell", workers: 25000, perRack: 8, daemons: 1000, starts: 1600, changes: 40_000}, false, false, false, false},
	} {
		k := c.cost()
		fmt.Fprintf(w, "%s\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t\n", c.name, c.daemons,
			k.heartbeats, k.list, k.views, k.fleet, k.versions, k.store, k.idle(), k.idleCPU, k.viewsBusy, k.plans, k.agents, k.busy(), k.busyCPU)
		require.Equal(t, c.idleFits, k.idle() <= limitB, "%s %d: idle bytes", c.name, c.daemons)
		require.Equal(t, c.peakFits, k.busy() <= limitB, "%s %d: peak bytes", c.name, c.daemons)
		require.Equal(t, c.idleCPUFits, k.idleCPU <= limitCPU, "%s %d: idle CPU", c.name, c.daemons)
		require.Equal(t, c.peakCPUFits, k.busyCPU <= limitCPU, "%s %d: peak CPU", c.name, c.daemons)
	}
	_ = w.Flush() // writes to memory, cannot fail
	t.Log("\n" + out.String())
}
