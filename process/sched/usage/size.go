package usage

import (
	"math"

	"fennelshunt.example/fennelshunt/version/spec"
)

// Size returns what to reserve for the next task of a job. It is never more
// than limit, the capacity of the largest VM that may run it: a task that seems
// to need more than any VM has is still tried, and what it uses beyond is
// relieved on its worker. A declared size beyond the limit is returned as it
// is, so that placement tells the operator that the job can never run. An
// unknown job has the zero size.
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

// sample is what was seen of one dimension.
type sample struct {
	peak  int64 // of ended tasks
	live  int64 // the highest report of running ones
	ended int
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

func withMargin(v int64, n int) int64 {
	return int64(math.Ceil(float64(v) * (baseMargin + doubt/math.Sqrt(float64(n)))))
}
