package cellsim

import (
	"cmp"
	"math"
	"slices"
	"time"

	"fennelshunt.example/fennelshunt/process/dispatch"
	"fennelshunt.example/fennelshunt/version/work"
)

// windowLength is the length of the windows of WorstWindows.
const windowLength = 2 * time.Second

// Result holds the results of a run.
type Result struct {
	// Credit is the earned share of the worth of all jobs but the extra jobs of hot
	// accounts. WorstWindows is its mean over the two worst windows by submission time.
	Credit, WorstWindows float64
	// WorstAccounts is its mean over the tenth of the accounts with the lowest credit.
	WorstAccounts float64
	Classes       []ClassResult
	// Busy is the mean share of the cores in use during the load, Spent and Wasted the
	// core-seconds of all work and of discarded work.
	Busy          float64
	Spent, Wasted float64
	// Refusals counts submissions refused for load, retries included, and Unjudged those for which
	// the daemon had no recent digest.
	Refusals, Unjudged int
	Stats              dispatch.Stats
	// Off has the differences of predicted and actual run times relative to the actual ones,
	// of runs that were done and that are no members of gangs, in ascending order.
	Off []float64
	// Samples is the time series of the run.
	Samples []Sample

	busySum   float64
	busyCount int
}

// Sample is the state of a run at a time: the share of the cores in use, and the
// number of jobs that had not started, by class.
type Sample struct {
	At      time.Duration
	Busy    float64
	Waiting []int
	// Unwritten is the number of jobs whose progress has not been written to the store.
	Unwritten int
}

// ClassResult holds the results of one class of jobs.
type ClassResult struct {
	Name                        string
	Jobs, InTime, Late, Refused int
	// NeverEnded counts accepted jobs without a final state at the end of the run, Worthless the
	// accepted ones that earned nothing, which includes them.
	NeverEnded, Worthless int
	Credit                float64
	// Largest is the credit of the tenth of the jobs with the greatest worth.
	Largest float64
	// Start has the times from the first submission to the first start, Done those until
	// the final state was shown. Both are sorted and omit jobs that never got that far.
	Start, Done []time.Duration
	// ProxyWait is the longest mean wait for a proxy, over the seconds of submission.
	ProxyWait time.Duration
}

// Quantile returns a quantile of sorted values, 0 if there are none.
func Quantile[T any](sorted []T, q float64) (v T) {
	if len(sorted) == 0 {
		return v
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// ran records how far off the prediction of a run time was.
func (s *sim) ran(_ string, predicted, took time.Duration) {
	if took > 0 {
		s.result.Off = append(s.result.Off, math.Abs(predicted.Seconds()/took.Seconds()-1))
	}
}

// sampleEvery is the sampling interval.
const sampleEvery = 250 * time.Millisecond

// sample records the use of the workers and, every sampleEvery, a Sample.
func (s *sim) sample() {
	t := s.loadTime()
	if t < 0 || t > s.o.Length {
		return
	}
	used, all := 0, 0
	for _, w := range s.order {
		if !w.crashed {
			used += w.used.CPU
			all += w.entry.Capacity.CPU
		}
	}
	busy := float64(used) / float64(max(all, 1))
	s.result.busySum += busy
	s.result.busyCount++
	if t%sampleEvery < tick {
		waiting := make([]int, len(s.o.Classes))
		for _, j := range s.open {
			if j.started == 0 {
				waiting[j.class]++
			}
		}
		sample := Sample{At: t, Busy: busy, Waiting: waiting}
		if s.engine != nil {
			sample.Unwritten = s.engine.Unwritten()
		}
		s.result.Samples = append(s.result.Samples, sample)
	}
}

// earned returns the part of its worth that a job has earned.
func (j *job) earned() float64 {
	took := j.shown - settle - j.submitted
	switch {
	case j.shown == 0 || (j.ended != work.Completed && !(j.poisoned && j.ended == work.Failed)):
		return 0
	case took <= j.due:
		return j.worth
	case took <= lateFactor*j.due:
		return lateShare * j.worth
	}
	return 0
}

func (s *sim) report() *Result {
	s.addStats()
	r := &s.result
	r.Stats = s.stats
	slices.Sort(r.Off)
	if r.busyCount > 0 {
		r.Busy = r.busySum / float64(r.busyCount)
	}
	windows := map[time.Duration][2]float64{}
	var owed, earned float64
	r.WorstAccounts = s.worstAccounts()
	for _, j := range s.all {
		if j.hot {
			continue
		}
		owed += j.worth
		earned += j.earned()
		w := windows[j.submitted/windowLength]
		windows[j.submitted/windowLength] = [2]float64{w[0] + j.earned(), w[1] + j.worth}
	}
	r.Credit = share(earned, owed)
	shares := make([]float64, 0, len(windows))
	for _, w := range windows {
		shares = append(shares, share(w[0], w[1]))
	}
	slices.Sort(shares)
	if len(shares) > 1 {
		r.WorstWindows = (shares[0] + shares[1]) / 2
	}
	for c := range s.o.Classes {
		r.Classes = append(r.Classes, s.reportClass(c))
	}
	return r
}

func share(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

func (s *sim) reportClass(c int) ClassResult {
	r := ClassResult{Name: s.o.Classes[c].Queue.Name}
	var jobs []*job
	for _, j := range s.all {
		if j.class == c {
			jobs = append(jobs, j)
		}
	}
	r.Jobs = len(jobs)
	slices.SortStableFunc(jobs, func(a, b *job) int { return cmp.Compare(b.worth, a.worth) })
	var owed, earned float64
	waits, counts := map[time.Duration]time.Duration{}, map[time.Duration]time.Duration{}
	for i, j := range jobs {
		if j.accepted > 0 {
			waits[j.submitted/time.Second] += j.awaitedProxy
			counts[j.submitted/time.Second]++
		}
		owed += j.worth
		earned += j.earned()
		if i == len(jobs)/10 {
			r.Largest = share(earned, owed)
		}
		switch {
		case j.accepted == 0:
			r.Refused++
		case j.earned() == j.worth:
			r.InTime++
		case j.earned() > 0:
			r.Late++
		}
		if j.accepted > 0 && j.shown == 0 {
			r.NeverEnded++
		}
		if j.accepted > 0 && j.earned() == 0 {
			r.Worthless++
		}
		if j.started > 0 {
			r.Start = append(r.Start, j.started-settle-j.submitted)
		}
		if j.shown > 0 {
			r.Done = append(r.Done, j.shown-settle-j.submitted)
		}
	}
	for second, n := range counts {
		r.ProxyWait = max(r.ProxyWait, waits[second]/n)
	}
	r.Credit = share(earned, owed)
	slices.Sort(r.Start)
	slices.Sort(r.Done)
	return r
}
