package relay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/process/lead"
)

// Capacity of a daemon as a relay. A worker under full load needs about two starts and
// two reports per second: some 0.6 ms of processor time, and 3.5 KB on the link if each
// start carries the job's spec.
const (
	// workersPerCore and workersPerMbit use a quarter of a core and of the link for calls
	// to workers: a daemon also serves callers, and bursts are two to three times the
	// mean.
	workersPerCore = 400
	workersPerMbit = 8
	// maxPerRelay bounds the number of workers that are briefly unreachable when a relay
	// fails.
	maxPerRelay = 100
	// spareRelays is the ratio of chosen to needed relay capacity, so that enough remains
	// when a relay fails.
	spareRelays = 1.5
)

// workerCapacity returns how many workers a daemon can call.
func workerCapacity(m lead.Member) int { return int(m.Capacity(workersPerCore, workersPerMbit)) }

// choose returns the daemons that call the workers for the leader self: none if the leader
// has the capacity to call them all, so that a small cell has no additional hop between
// the leader and its workers.
func choose(members []lead.Member, self lead.Member, workers int) []lead.Member {
	if self.Cores <= 0 || workers <= workerCapacity(self) {
		return nil
	}
	others := slices.DeleteFunc(slices.Clone(members), func(m lead.Member) bool { return m.Name == self.Name || m.Orders == "" || workerCapacity(m) == 0 })
	slices.SortFunc(others, func(a, b lead.Member) int {
		return cmp.Or(cmp.Compare(workerCapacity(b), workerCapacity(a)), cmp.Compare(a.Name, b.Name))
	})
	need := float64(workers) * spareRelays
	for i := range others {
		if need -= float64(min(workerCapacity(others[i]), maxPerRelay)); need <= 0 {
			return others[:i+1]
		}
	}
	return others
}

// weight is the rendezvous hash of a worker and a relay: the relay with the highest weight
// calls the worker. A worker keeps its relay when another relay is removed; an added relay
// takes over only the workers for which it has the highest weight.
func weight(worker runner.WorkerID, relay string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(worker)) // a digest never fails
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(relay)
	return d.Sum64()
}
