package dispatch

import (
	"math"
	"time"

	"fennelshunt.example/fennelshunt/connection/runner"
)

// How many racks to ask about for a gang that seeks one: more racks make the calls longer, and more likely to be the last.

// shareDoubts are the factors of the learned share of good workers with which a gang reckons, each as likely as the
// others: steps of one queue differ, and a step of which little is good needs many racks.
var shareDoubts = [...]float64{0.5, 1, 1.5}

// maxShare bounds the share that a gang reckons with: no number of workers is certain to be good.
const maxShare = 0.95

// askAboutRacks names workers for n tasks of a gang that seeks a rack, through several proxies at once if these are free:
// all that the gang waits for are the answers, and one that is lost does not keep back the others. all is sorted by rack.
func (e *Engine) askAboutRacks(s *step, all []asked, n int, share float64) {
	var racks [][]asked
	expected := 0.0 // on the rack
	for i, c := range all {
		if i == 0 || c.rack != all[i-1].rack {
			racks, expected = append(racks, nil), 0
		}
		if expected < float64(n)*askFactor {
			last := &racks[len(racks)-1]
			*last = append(*last, c)
			expected += c.expected(share)
		}
	}
	calls := 1
	if s.needsSlowCalls() && !e.o.Policy.NoParallelAdvice && e.now >= e.proxiesScarceUntil {
		calls = max(1, min(maxCalls, e.freeProxies(s), len(racks)))
	}
	perCall := func(workers int) int { return max(1, callCount(workers, calls)) }
	cost := func(workers int) time.Duration { return s.callCost(perCall(workers)) }
	var ids []runner.WorkerID
	for _, rack := range racks[:racksToName(racks, n, share, cost)] {
		for _, c := range rack {
			ids = append(ids, c.id)
		}
	}
	ids = ids[:min(len(ids), maxWorkersPerCall)]
	e.requestCalls(s, ids, perCall(len(ids)))
}

// racksToName returns how many of the racks to name at a time for a gang of n tasks, so that it is known the soonest which rack
// holds it. cost is how long it takes to ask about so many workers.
func racksToName(racks [][]asked, n int, share float64, cost func(workers int) time.Duration) int {
	best, least, workers := min(len(racks), 1), math.Inf(1), 0
	for k := 1; k <= len(racks); k++ {
		if workers += len(racks[k-1]); workers > maxWorkersPerCall {
			break
		}
		mean := 0.0 // of the seconds until a rack is found, or all have been asked about
		for _, doubt := range shareDoubts {
			none := 1.0 // the probability that none has been found so far
			for from := 0; from < len(racks); from += k {
				named, still := 0, none
				for _, rack := range racks[from:min(from+k, len(racks))] {
					named += len(rack)
					still *= 1 - holds(rack, n, min(share*doubt, maxShare))
				}
				mean += none * cost(named).Seconds()
				none = still
			}
		}
		if mean < least {
			best, least = k, mean
		}
	}
	return best
}

// holds returns the probability that the good workers of a rack hold n tasks.
func holds(rack []asked, n int, share float64) float64 {
	slots := make([]float64, n+1) // by the number of tasks that they hold
	slots[0] = 1
	for _, c := range rack {
		p := share
		if c.known {
			p = 1
		}
		for i := n; i >= 0; i-- {
			moved := slots[i] * p
			slots[i] -= moved
			slots[min(i+c.fits, n)] += moved
		}
	}
	return slots[n]
}
