package usage

import (
	"math"

	"fennelshunt.example/fennelshunt/version/spec"
)

// Size returns what to reserve for the next task of a job. A learned size is at
// most limit, the capacity of the largest VM that may run the task: a task that
// seems to need more than any VM has is still tried, and the excess is handled on
// its worker (see Relieve). A declared size above the limit is returned unchanged,
// so that placement reports the job as infeasible. The size of an unknown job is
// zero.
func (l *Learner) Size(job string, limit spec.Resources) spec.Resources {
	h := l.jobs[job]
	if h == nil {
		return spec.Resources{}
	}
	cpu := sample{h.cpu.percentile(cpuPercentile), h.live.MilliCPU, h.cpu.len()}
	memory := sample{max(h.memory.percentile(100), h.live.MemoryMB), h.live.MemoryMB, h.memory.len()}
	return spec.Resources{
		MilliCPU:     cpu.estimate(h.declared.MilliCPU, limit.MilliCPU),
		MemoryMB:     memory.estimate(h.declared.MemoryMB, limit.MemoryMB),
		Accelerators: h.declared.Accelerators,
	}
}

// sample is the observed usage of one dimension.
type sample struct {
	peak  int64 // of ended tasks
	live  int64 // the highest recent report, running tasks included
	ended int   // number of ended tasks
}

func (s sample) estimate(declared, limit int64) int64 {
	if declared > limit {
		return declared
	}
	want := declared
	switch {
	case s.ended >= MinEnded:
		want = withMargin(s.peak, s.ended)
	case s.live > declared:
		want = withMargin(s.live, 1)
	}
	floor := int64(math.Ceil(float64(declared) * Floor))
	return min(max(want, floor), limit)
}

// withMargin adds the safety margin for a peak observed over n tasks.
func withMargin(v int64, n int) int64 {
	return int64(math.Ceil(float64(v) * (baseMargin + sampleMargin/math.Sqrt(float64(n)))))
}
