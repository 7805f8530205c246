package relay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/process/lead"
)

// What one daemon carries. A worker under full load takes about two starts and two
// reports a second: some 0.6 ms of processor time, and 3.5 KB on the link when the
// text of the job goes with each start.
const (
	// workersPerCore and workersPerMbit use a quarter of a core and of a link for calls
	// of workers: a daemon has callers to serve as well, and bursts are twice to three
	// times the mean.
	workersPerCore = 400
	workersPerMbit = 8
	// maxPerRelay bounds what is out of reach for a moment when a relay is lost.
	maxPerRelay = 100
	// spareRelays is how much more is chosen than is needed, so that losing one
	// leaves enough.
	spareRelays = 1.5
)

// carries returns how many workers a daemon can call.
func carries(m lead.Member) int { return int(m.Carries(workersPerCore, workersPerMbit)) }

// choose returns the daemons that call the workers for the leader self: none if it
// carries them alone, so that a small cell has no second step between a decision
// and its worker.
func choose(members []lead.Member, self lead.Member, workers int) []lead.Member {
	if self.Cores <= 0 || workers <= carries(self) {
		return nil
	}
	others := slices.DeleteFunc(slices.Clone(members), func(m lead.Member) bool { return m.Name == self.Name || m.Orders == "" || carries(m) == 0 })
	slices.SortFunc(others, func(a, b lead.Member) int {
		return cmp.Or(cmp.Compare(carries(b), carries(a)), cmp.Compare(a.Name, b.Name))
	})
	need := float64(workers) * spareRelays
	for i := range others {
		if need -= float64(min(carries(others[i]), maxPerRelay)); need <= 0 {
			return others[:i+1]
		}
	}
	return others
}

// weight orders relays for a worker: the one with the highest calls it. Each worker
// keeps its relay when another one comes or goes.
func weight(worker runner.WorkerID, relay string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(worker)) // a digest takes everything
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(relay)
	return d.Sum64()
}
