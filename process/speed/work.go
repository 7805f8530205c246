package speed

import (
	"math"
	"time"
)

const (
	// queueSteps is the number of steps over which a queue's figures are averaged.
	queueSteps = 60
	// slopeSteps is the weight of the assumption that run times are proportional to estimates,
	// as a number of steps whose estimates are off their mean by a factor of e.
	slopeSteps = 1
	// estimateSpread is the variance that is assumed for the error of a new queue's estimates.
	estimateSpread = 0.5 * 0.5
)

// Queue relates the run times of a queue's work to its estimates. With inaccurate estimates,
// work with a high one mostly takes less time, and work with a low one more. Logarithms of run
// times are therefore fitted as a linear function of those of estimates.
type Queue struct {
	ratio float64 // moving average of run time divided by estimate, see New

	n          float64 // number of steps, up to queueSteps
	meanX      float64 // of the logarithm of the estimate
	meanY      float64 // of the logarithm of the run time on a worker of factor 1
	varX, cov  float64
	slope      float64
	spread     float64 // variance of the run time around the line
	generation uint64  // rises with each change
	long       float64 // share of runs that take much longer than the others
}

const (
	// longRatio is the ratio of run time to prediction from which a run counts as long.
	longRatio = 2.5
	// longRuns is the number of samples over which their share is averaged, longInitial the share
	// of a new queue.
	longRuns    = 200
	longInitial = 0.01
)

// LongShare returns the share of runs that take much longer than predicted.
func (q *Queue) LongShare() float64 { return q.long }

// Queue returns the figures of a queue.
func (m *Model) Queue(name string) *Queue {
	q := m.queues[name]
	if q == nil {
		q = &Queue{ratio: 1, slope: 1, spread: estimateSpread, generation: 1, long: longInitial}
		m.queues[name] = q
	}
	return q
}

// predict returns the logarithm of run time divided by estimate for an estimate's logarithm.
func (q *Queue) predict(x float64) float64 {
	if q.n == 0 {
		return 0
	}
	return q.meanY - q.meanX + (q.slope-1)*(x-q.meanX)
}

// learn takes into account the logarithm of run time divided by estimate of one run, without the
// worker's factor. The n-th run of a step has the weight 1/n, because all runs of a step share the
// error of one estimate.
func (q *Queue) learn(s *Work, value float64) {
	s.runs++
	weight := 1 / float64(s.runs)
	q.n = min(q.n+weight, queueSteps)
	gain := weight / q.n
	off := value - q.predict(s.x)
	bound := clipAt * math.Sqrt(q.spread)
	off = min(max(off, -bound), bound)
	y := s.x + q.predict(s.x) + off
	dx, dy := s.x-q.meanX, y-q.meanY
	q.meanX += gain * dx
	q.meanY += gain * dy
	q.varX = (1 - gain) * (q.varX + gain*dx*dx)
	q.cov = (1 - gain) * (q.cov + gain*dx*dy)
	q.slope = min(max((q.n*q.cov+slopeSteps)/(q.n*q.varX+slopeSteps), 0), 1)
	q.spread = max(q.spread+min(gain, 1.0/20)*(off*off-q.spread), minSpread)
	q.generation++
}

// Work is the work of one step: tasks of the same estimate. Its zero value has no history and
// is set up by Init.
type Work struct {
	queue       *Queue
	estimate    time.Duration
	x           float64 // logarithm of the estimate in seconds
	runs        int     // number of samples
	sum, weight float64 // of the step's own evidence
	factor      float64
	generation  uint64 // of the queue's figures that factor was computed from
}

// Init sets up the work of a step.
func (s *Work) Init(q *Queue, estimate time.Duration) {
	*s = Work{queue: q, estimate: estimate}
	if estimate > 0 {
		s.x = math.Log(estimate.Seconds())
	}
}

// belief returns mean and variance of the logarithm of run time divided by estimate.
func (s *Work) belief() (mean, variance float64) {
	variance = 1 / (1/s.queue.spread + s.weight)
	return variance * (s.queue.predict(s.x)/s.queue.spread + s.sum), variance
}

func (s *Work) learn(value, variance float64) {
	s.sum += value / variance
	s.weight += 1 / variance
	s.generation = 0
}

// Deviation returns the standard deviation of the logarithm of a run time on a known worker
// around its prediction.
func (s *Work) Deviation() float64 {
	_, variance := s.belief()
	return math.Sqrt(variance + endNoise)
}

// Factor returns by how much runs of the work take longer than their estimate on a worker of
// factor 1.
func (s *Work) Factor() float64 {
	if s.queue == nil {
		return 1
	}
	if s.generation != s.queue.generation {
		s.generation = s.queue.generation
		s.factor = s.queue.ratio
		if s.queue.n > 0 {
			mean, _ := s.belief()
			s.factor = math.Exp(mean)
		}
	}
	return s.factor
}

// averageDecay is the weight of the newest run in a moving average.
const averageDecay = 0.15

// average updates the moving averages of a worker and a queue; see New.
func (q *Queue) average(w *Worker, ratio float64) {
	w.Factor += (min(max(ratio/q.ratio, 0.2), 5) - w.Factor) * averageDecay
	q.ratio += (min(ratio, 5) - q.ratio) * averageDecay / 4
	q.generation++
}
