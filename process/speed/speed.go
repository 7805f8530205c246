// Package speed estimates how long runs of tasks take on given workers.
//
// Load: workers differ in speed by a factor of two, run time estimates are off by a factor
// of two, and a few runs in a hundred take seven times as long as the others. A run is
// predicted as
//
//	run time = estimate x factor of the work x factor of the worker.
//
// The factor of the work starts as that of its queue, which relates run times to estimates, and
// follows the runs of the same step: the error of an estimate is the same for all tasks of a
// step. The factor of a worker therefore comes mostly from comparing runs of one step on
// different workers. A worker without runs of its own has the factor of the workers with the
// same labels, or of those in the same rack, whichever are more alike. The progress of a run
// counts as well as its end, so that slow workers, whose runs end last, are found in time.
//
// Guarantees:
//   - One run changes the factor of a worker, a step or a queue by a bounded amount, however
//     long it takes.
//   - Progress that stands still or goes back is not used.
//   - A worker's history is removed with the worker.
//   - Where workers are of similar speed and estimates are right, every factor stays 1.
//   - Reading a factor allocates nothing and costs a few nanoseconds.
//
// All state is in memory. A successor learns it again from the progress that workers report.
package speed

import (
	"math"
	"slices"
	"time"
)

// Variances are of the natural logarithm of run times.
const (
	// endNoise is the variance of the run times of one step's tasks on one worker: they differ
	// by some 15 %.
	endNoise = 0.15 * 0.15
	// progressNoise is the variance of run times derived from progress: a report is some tens
	// of milliseconds old, of the several hundred that a run takes.
	progressNoise = 0.2 * 0.2
	// clipAt bounds, in standard deviations, the deviation with which one run counts. Of normally
	// distributed runs one in twenty is further off.
	clipAt = 2
	// maxWeight bounds the evidence on a worker, so that newer runs replace older ones: with
	// endNoise, half of it is from the last dozen runs.
	maxWeight = 12 / endNoise
	// changeRuns is the number of samples in a row that are far off in the same direction from
	// which the speed counts as changed. It exceeds the two samples, one by progress and one by
	// its end, that a single run may give.
	changeRuns = 3
	// workerSpread is the assumed variance between workers on which nothing is known yet.
	workerSpread = 0.3 * 0.3
	// minSpread is the least learned variance: a few values may be nearly equal by chance.
	minSpread = 0.1 * 0.1
	// returnWeight is the evidence from which a worker whose speed had changed may count in its pools
	// again: its mean is then known as precisely as a pool's least variance tells workers apart, and
	// a tenth of it at most is from before the change.
	returnWeight = 1 / minSpread
	// poolMin is the number of workers with runs of their own from which a pool is used.
	poolMin = 3
	// maxRatio bounds the ratio of run time to prediction that is taken into account at all.
	maxRatio = 100
)

// Evidence says what a run time was derived from.
type Evidence uint8

// Kinds of evidence.
const (
	Progress Evidence = iota
	End
)

// Model holds the factors of one scheduler. It is not safe for concurrent use.
type Model struct {
	averages bool
	queues   map[string]*Queue
	pools    map[string]*pool
	workers  []*Worker
	typical  float64
	stats    Stats
}

// Stats counts the evidence that was used.
type Stats struct {
	Samples uint64 // run times taken into account
	Clipped uint64 // those that counted with a bounded deviation
	Changed uint64 // changes of a worker's speed
	// Recovered counts workers whose speed had changed and that count in the pools of their labels
	// again.
	Recovered uint64
}

// New returns a model without history. If averages is set, it keeps moving averages of run time
// divided by estimate for each worker and each queue instead; these take no account of
// progress, steps and labels.
func New(averages bool) *Model {
	return &Model{averages: averages, queues: map[string]*Queue{}, pools: map[string]*pool{}, typical: 1}
}

// Stats returns the counters.
func (m *Model) Stats() Stats { return m.stats }

// Typical returns the factor of a typical worker, as of the last Refresh.
func (m *Model) Typical() float64 { return m.typical }

// Worker is the speed of one incarnation of a worker.
type Worker struct {
	// Factor is by how much runs take longer than on a worker of factor 1.
	Factor float64

	kind, rack  *pool
	sum, weight float64 // of the worker's own evidence, each sample weighted by its inverse variance
	mean        float64 // logarithm of Factor
	variance    float64
	priorMean   float64
	priorVar    float64
	direction   float64 // of the last samples that were far off: 1 slower, -1 faster
	far         int     // number of these in a row
	changed     bool    // its speed has changed, so that it does not count in its pools
	usual       float64 // mean before the change
}

// pool is a set of workers that share labels.
type pool struct {
	key     string
	members int

	// Sums over the members with runs of their own, weighted by the evidence on them.
	n                    int
	weight, sum, squares float64
	mean, variance       float64 // variance is 0 if there are too few of them
}

// AddWorker adds a worker without history, with its labels other than the rack as one text.
func (m *Model) AddWorker(kind, rack string) *Worker {
	w := &Worker{Factor: 1}
	m.SetLabels(w, kind, rack)
	m.workers = append(m.workers, w)
	return w
}

// SetLabels changes the labels of a worker.
func (m *Model) SetLabels(w *Worker, kind, rack string) {
	kind, rack = "k "+kind, "r "+rack
	if w.kind != nil && w.kind.key == kind && w.rack.key == rack {
		return // workers report their labels with each heartbeat
	}
	m.leave(w)
	w.kind, w.rack = m.join(kind), m.join(rack)
	if !m.averages {
		w.usePool()
	}
}

// RemoveWorker removes a worker with its history.
func (m *Model) RemoveWorker(w *Worker) {
	m.leave(w)
	m.workers = slices.DeleteFunc(m.workers, func(x *Worker) bool { return x == w })
}

func (m *Model) join(key string) *pool {
	p := m.pools[key]
	if p == nil {
		p = &pool{key: key}
		m.pools[key] = p
	}
	p.members++
	return p
}

func (m *Model) leave(w *Worker) {
	for _, p := range []*pool{w.kind, w.rack} {
		if p == nil {
			continue
		}
		if p.members--; p.members == 0 {
			delete(m.pools, p.key)
		}
	}
}

// Refresh computes the pools and the factors that depend on them again. It takes some
// microseconds for several hundred workers.
func (m *Model) Refresh() {
	if m.averages {
		return
	}
	for _, p := range m.pools {
		p.n, p.weight, p.sum, p.squares = 0, 0, 0, 0
	}
	for _, w := range m.workers {
		if w.weight == 0 || w.changed {
			continue
		}
		own, weight := w.sum/w.weight, min(w.weight, 1/endNoise)
		for _, p := range []*pool{w.kind, w.rack} {
			p.n, p.weight, p.sum, p.squares = p.n+1, p.weight+weight, p.sum+weight*own, p.squares+weight*own*own
		}
	}
	for _, p := range m.pools {
		p.close()
	}
	sum := 0.0
	for _, w := range m.workers {
		if w.changed && w.recovered() {
			w.changed = false
			m.stats.Recovered++
		}
		w.usePool()
		sum += w.mean
	}
	m.typical = math.Exp(sum / float64(max(len(m.workers), 1)))
}

// close computes the mean and the variance from the sums.
func (p *pool) close() {
	if p.n < poolMin {
		p.variance = 0
		return
	}
	p.mean = p.sum / p.weight
	p.variance = max(p.squares/p.weight-p.mean*p.mean, minSpread)
}

// pooled returns mean and variance of the worker's pool with the least variance; false if no pool
// tells more than what is assumed of workers on which nothing is known.
func (w *Worker) pooled() (mean, variance float64, ok bool) {
	variance = workerSpread
	for _, p := range []*pool{w.kind, w.rack} {
		if p.variance > 0 && p.variance < variance {
			mean, variance, ok = p.mean, p.variance, true
		}
	}
	return mean, variance, ok
}

// recovered reports whether the runs of a worker whose speed had changed agree with its pool again, or
// with its own speed before the change if the workers that are left make no pool.
func (w *Worker) recovered() bool {
	if w.weight < returnWeight {
		return false
	}
	mean, variance, ok := w.pooled()
	if !ok {
		mean, variance = w.usual, minSpread
	}
	off := w.sum/w.weight - mean
	return off*off <= variance+1/w.weight
}

// usePool sets what is assumed of the worker's speed apart from its own evidence.
func (w *Worker) usePool() {
	w.priorMean, w.priorVar, _ = w.pooled()
	if w.changed {
		w.priorVar = workerSpread
	}
	w.update()
}

// update computes the factor from the pool's mean and the worker's own evidence.
func (w *Worker) update() {
	before := w.mean
	w.variance = 1 / (1/w.priorVar + w.weight)
	w.mean = w.variance * (w.priorMean/w.priorVar + w.sum)
	if w.mean != before {
		w.Factor = math.Exp(w.mean)
	}
}

// learn adds evidence: the logarithm of a run time divided by that on a worker of factor 1, and
// its variance.
func (w *Worker) learn(value, variance float64) {
	if w.weight > maxWeight {
		w.sum *= maxWeight / w.weight
		w.weight = maxWeight
	}
	w.sum += value / variance
	w.weight += 1 / variance
	w.update()
}

// detectChange records whether a sample was far off, and in which direction, and reports whether the
// speed has changed. If so, the factor stays as it is, but the evidence for it counts no more than
// what is assumed of a new worker, so that new samples move it quickly.
func (w *Worker) detectChange(off float64, far bool) bool {
	if !far {
		w.far = 0
		return false
	}
	direction := math.Copysign(1, off)
	if direction != w.direction {
		w.direction, w.far = direction, 0
	}
	if w.far++; w.far < changeRuns {
		return false
	}
	if !w.changed {
		w.usual = w.mean
	}
	w.far, w.changed = 0, true
	w.priorVar = workerSpread
	w.weight = min(w.weight, 1/workerSpread)
	w.sum = w.mean*(1/w.priorVar+w.weight) - w.priorMean/w.priorVar
	w.update()
	return true
}

// Learn takes into account that a whole run of the work takes took on a worker.
func (m *Model) Learn(w *Worker, s *Work, took time.Duration, from Evidence) {
	if s.estimate <= 0 || took <= 0 {
		return
	}
	ratio := float64(took) / float64(s.estimate)
	if m.averages {
		if from == End {
			m.stats.Samples++
			s.queue.average(w, ratio)
		}
		return
	}
	m.stats.Samples++
	noise := endNoise
	if from == Progress {
		noise = progressNoise
	}
	ofWork, workVar := s.belief()
	expected := ofWork + w.mean
	off := math.Log(min(max(ratio, 1/maxRatio), maxRatio)) - expected
	total := workVar + w.variance + noise
	bound := clipAt * math.Sqrt(total)
	far := math.Abs(off) > bound
	isLong := 0.0
	if far && off > math.Log(longRatio) {
		isLong = 1
	}
	s.queue.long += (isLong - s.queue.long) / longRuns
	if far {
		m.stats.Clipped++
		off = math.Copysign(bound, off)
	}
	if w.detectChange(off, far) {
		m.stats.Changed++
	}
	s.queue.learn(s, ofWork+off)
	workerMean := w.mean
	w.learn(workerMean+off, workVar+noise)
	s.learn(ofWork+off, w.variance+noise)
}
